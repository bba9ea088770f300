"""The task that owns all connections to searchers and what is known of them.

It chooses the searcher of each attempt, keeps this node's shares of the
limits of the fleet, and reports the result to the sender of the attempt.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.limits.rate import may_send
from kumquatchuted.limits.rate import RecentSends
from kumquatchuted.limits.rate import record_send
from kumquatchuted.limits.shares import cold_tokens
from kumquatchuted.limits.shares import connection_share
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Searcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.partials.grouping import Group
from kumquatchuted.partials.grouping import group_far_shards
from kumquatchuted.partials.messages import PartialOrder
from kumquatchuted.platform import searchers as wire
from kumquatchuted.retries import budget as bud
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import ServiceSpec
from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose
from kumquatchuted.searchers.connection import Answered
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import Ended
from kumquatchuted.searchers.connection import Exchange
from kumquatchuted.searchers.connection import Opened
from kumquatchuted.searchers.dialling import dial
from kumquatchuted.searchers import load as ld
from kumquatchuted.searchers.messages import AbandonAttempt
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import AttemptSent
from kumquatchuted.searchers.messages import Lost
from kumquatchuted.searchers.messages import NoneSent
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import Reply
from kumquatchuted.searchers.messages import RequestCounted
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.times import first_times
from kumquatchuted.searchers.times import record_time
from kumquatchuted.searchers.times import Times

log = Logger("searchers")

# A searcher's report of its warmth is up to one report interval and the
# delay of the store old, and clocks run apart by little.
COLD_MARGIN_S = 0.3
# Idle connections are used for this long if the searcher states no limit.
DEFAULT_IDLE_S = 4.0
# A connection is not used in the last part of the stated limit, because the
# searcher may close it while the request is on its way.
IDLE_RESERVE_S = 0.8
# A request that may run only once uses a connection only this shortly after
# its last answer: if the connection is closed on the way, nobody knows
# whether the request ran.
ONCE_IDLE_S = 0.5
# With more than this part of all searchers unreachable at once, the fault
# is assumed to be this node's, and they are not taken for restarted ones.
OWN_FAULT_SHARE = 0.3
OWN_FAULT_WINDOW_S = 2.0
DEFAULT_SPEC = ServiceSpec("", 8, 3.0, 0.0)


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt under way.

    :param started: monotonic time in seconds
    :param connection: over which it was sent or will be
    :param is_sent: whether its bytes were written
    """

    order: SendAttempt
    searcher: str
    started: float
    connection: Connection
    is_sent: bool


@dataclass(frozen=True, slots=True)
class LingerOver:
    """The time for the late answer of an abandoned attempt is over."""

    key: object


class SearchersTask:
    """Owns connections, loads, allowances and attempts."""

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Callable[[], float],
        rng: random.Random,
        on_event: Callable[[str, str], None] = lambda name, label: None,
        delegate: Callable[[object], None] = lambda order: None,
    ) -> None:
        """Create the task.

        :param clock: monotonic time in seconds
        :param on_event: counts an event by its name and a label
        :param delegate: mailbox of the task of partial queries
        """
        self.mailbox = Mailbox()
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._count = on_event
        self._delegate = delegate
        self._budget_limits = bud.BudgetLimits(
            cfg.limits.retry_ratio, cfg.limits.retry_slack
        )
        self._specs: dict[str, ServiceSpec] = {}
        self._searchers: dict[str, Searcher] = {}
        self._by_service: dict[str, list[Searcher]] = {}
        self._nodes: frozenset[str] = frozenset((cfg.node,))
        self._other_nodes_in: frozenset[str] = frozenset()
        self._loads: dict[str, ld.Load] = {}
        self._cold_until: dict[str, float] = {}
        self._sends: dict[str, RecentSends] = {}
        self._budgets: dict[str, bud.Budget] = {}
        self._connections: dict[str, list[Connection]] = {}
        self._idle: dict[str, list[Connection]] = {}
        self._attempts: dict[object, Attempt] = {}
        self._broken_at: dict[str, float] = {}
        self._times: dict[str, Times] = {}
        self._dials: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self._handle(await self.mailbox.get())

    def _handle(self, message: object) -> None:
        match message:
            case Answered():
                self._answered(message)
            case SendAttempt():
                self._start(message)
            case SendShards():
                self._start_all(message)
            case Opened(connection=connection):
                self._opened(connection)
            case Ended():
                self._ended(message)
            case RequestCounted(services=services):
                for service in services:
                    self._add_allowance(service)
            case AbandonAttempt(key=key, linger_s=linger_s):
                self._abandon(key, linger_s)
            case LingerOver(key=key):
                self._drop(key)
            case MembersChanged():
                self._members_changed(message)
            case ManifestChanged(manifest=manifest):
                self._specs = dict(manifest.services)

    # Choice of a searcher

    def _start(self, order: SendAttempt) -> None:
        now = self._clock()
        refusal = Refusal.NO_SEARCHER
        excluded = list(order.exclude)
        if order.is_repeat and self._budget(order.service).tokens < 1:
            self._refuse(order, Refusal.NO_BUDGET)
            return
        while True:
            searcher = self._choose(order, excluded, now)
            if searcher is None:
                break
            refusal = Refusal.BUSY
            connection = self._connection(searcher, order, now)
            if connection is not None:
                self._assign(order, searcher, connection, now)
                return
            excluded.append(searcher.name)
        self._refuse(order, refusal)

    def _start_all(self, message: SendShards) -> None:
        now = self._clock()
        orders = message.orders
        chosen = [self._choose(order, [], now) for order in orders]
        usable = sum(searcher is not None for searcher in chosen)
        if usable < message.least:
            self._count("refused", "too_few")
            message.reply_to(NoneSent(usable))
            return
        groups = self._groups(orders, chosen, now) if message.top else ()
        delegated = set()
        for group in groups:
            self._delegate(_partial_order(message, group))
            delegated.update(group.shards)
        for shard, order in enumerate(orders):
            if shard not in delegated:
                self._add_allowance(order.service)
                self._start(order)

    def _groups(
        self,
        orders: tuple[SendAttempt, ...],
        chosen: list[Searcher | None],
        now: float,
    ) -> tuple[Group, ...]:
        """Return which shards nodes of other data centres gather."""
        own = self._cfg.data_centre
        reachable = {
            shard: {
                item.data_centre
                for item in self._by_service.get(orders[shard].service, ())
                if self._loads.get(item.name, ld.Load()).closed_until <= now
            }
            for shard, searcher in enumerate(chosen)
            if searcher is not None and searcher.data_centre != own
        }
        return group_far_shards(reachable, own, self._other_nodes_in)

    def _choose(
        self, order: SendAttempt, excluded: list[str], now: float
    ) -> Searcher | None:
        usable = {
            searcher.name: searcher
            for searcher in self._by_service.get(order.service, ())
            if searcher.name not in excluded
            and self._is_warm_enough(searcher, now)
        }
        chosen = choose(
            (self._candidate(searcher) for searcher in usable.values()),
            self._times_of(order.route).usual_s,
            now,
            self._rng.random,
        )
        return None if chosen is None else usable[chosen.name]

    def _candidate(self, searcher: Searcher) -> Candidate:
        return Candidate(
            searcher.name,
            searcher.capacity,
            searcher.data_centre == self._cfg.data_centre,
            self._loads.get(searcher.name, ld.Load()),
        )

    def _is_warm_enough(self, searcher: Searcher, now: float) -> bool:
        if self._cold_until.get(searcher.name, 0.0) <= now:
            return True
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        limits = self._cfg.limits
        fleet = spec.cold_per_s * limits.warmup_factor + limits.warmup_slack
        share = cold_tokens(self._cfg.node, self._nodes, searcher.name, fleet)
        recent = self._sends.get(searcher.name, RecentSends())
        return may_send(recent, share, now)

    # Attempts and connections

    def _connection(
        self, searcher: Searcher, order: SendAttempt, now: float
    ) -> Connection | None:
        """Return an idle connection or a new one, within the share."""
        idle = self._idle.get(searcher.name, [])
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, order, now):
                return connection
            connection.close()
        open_ = self._connections.setdefault(searcher.name, [])
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        if len(open_) >= connection_share(self._nodes, spec.max_connections):
            return None
        connection = Connection(
            searcher.name, wire.ID_HEADER, self.mailbox.post
        )
        open_.append(connection)
        dialled = asyncio.ensure_future(
            dial(searcher.host, searcher.port, connection, self.mailbox.post)
        )
        self._dials.add(dialled)
        dialled.add_done_callback(self._dials.discard)
        self._count("connections", searcher.service)
        return connection

    def _is_fresh(
        self, connection: Connection, order: SendAttempt, now: float
    ) -> bool:
        if not connection.is_open():
            return False
        if connection.idle_limit_s is None:
            limit = DEFAULT_IDLE_S
        else:
            limit = connection.idle_limit_s - IDLE_RESERVE_S
        if order.runs_once:
            limit = min(limit, ONCE_IDLE_S)
        return now - connection.idle_since < limit

    def _assign(
        self,
        order: SendAttempt,
        searcher: Searcher,
        connection: Connection,
        now: float,
    ) -> None:
        name = searcher.name
        if order.is_repeat:
            self._budgets[order.service] = bud.take(
                self._budget(order.service)
            )
            self._count("repeats", order.service)
        self._loads[name] = ld.start_attempt(
            self._loads.get(name, ld.Load()), now
        )
        if self._cold_until.get(name, 0.0) > now - COLD_MARGIN_S:
            self._sends[name] = record_send(
                self._sends.get(name, RecentSends()), now
            )
        self._attempts[order.key] = Attempt(
            order, name, now, connection, is_sent=False
        )
        late_s = self._times_of(order.route).late_s
        order.reply_to(AttemptSent(order.key, name, late_s))
        if connection.is_open():
            self._write(order.key)
        else:
            connection.waiting_key = order.key

    def _write(self, key: object) -> None:
        attempt = self._attempts[key]
        order, connection = attempt.order, attempt.connection
        process = attempt.searcher if connection.is_first_use else None
        left_s = order.deadline - self._clock()
        self._attempts[key] = Attempt(
            order, attempt.searcher, attempt.started, connection, is_sent=True
        )
        connection.send(
            Exchange(
                key,
                order.outgoing.request_id,
                order.outgoing.method != b"HEAD",
            ),
            wire.encode_attempt(order.outgoing, left_s, process),
        )

    def _opened(self, connection: Connection) -> None:
        key = connection.waiting_key
        if key in self._attempts:
            connection.waiting_key = None
            self._write(key)
        else:
            connection.idle_since = self._clock()
            self._idle.setdefault(connection.searcher, []).append(connection)

    def _answered(self, event: Answered) -> None:
        now = self._clock()
        connection = event.connection
        attempt = self._attempts.pop(event.key, None)
        if event.is_reusable:
            limit = wire.decode_idle_limit(event.reply)
            connection.idle_limit_s = limit
            connection.idle_since = now
            self._idle.setdefault(connection.searcher, []).append(connection)
        if attempt is None:
            return
        reply = wire.decode_reply(event.reply)
        self._learn(attempt, reply, event, now)
        attempt.order.reply_to(AttemptDone(event.key, attempt.searcher, reply))

    def _learn(
        self, attempt: Attempt, reply: Reply, event: Answered, now: float
    ) -> None:
        name = attempt.searcher
        load = ld.end_attempt(
            self._loads.get(name, ld.Load()), attempt.started
        )
        if reply.status < 500 and not reply.not_executed:
            route, took_s = attempt.order.route, now - attempt.started
            times = self._times_of(route)
            load = ld.record_answer(load, took_s, times.usual_s, now)
            self._times[route.name] = record_time(
                times, took_s, route.objective_s
            )
        else:
            load = ld.record_failure(load, now)
        if reply.wrong_process:
            load = ld.record_broken(load, now)
            event.connection.close()
        report = wire.decode_load(event.reply, now, len(load.pending))
        if report is not None:
            load = ld.record_report(load, report)
        self._loads[name] = load

    def _ended(self, event: Ended) -> None:
        connection, name = event.connection, event.connection.searcher
        for group in (self._connections, self._idle):
            if connection in group.get(name, ()):
                group[name].remove(connection)
        key = event.key if event.key is not None else connection.waiting_key
        attempt = self._attempts.pop(key, None)
        if attempt is None or attempt.connection is not connection:
            return
        now = self._clock()
        load = ld.end_attempt(
            self._loads.get(name, ld.Load()), attempt.started
        )
        if attempt.is_sent:
            self._loads[name] = ld.record_failure(load, now)
        else:
            self._loads[name] = ld.record_broken(load, now)
            self._suspect_restart(name, event.reason, now)
        self._count("lost", attempt.order.service)
        log.info(
            "attempt lost searcher={} sent={} cause={} request={}",
            name,
            attempt.is_sent,
            event.reason,
            attempt.order.outgoing.request_id.decode("latin-1"),
        )
        attempt.order.reply_to(
            AttemptDone(key, name, Lost(event.reason, attempt.is_sent))
        )

    def _suspect_restart(self, name: str, reason: str, now: float) -> None:
        """Treat a searcher that was not there as cold when it returns."""
        self._broken_at[name] = now
        recent = [
            at
            for at in self._broken_at.values()
            if at > now - OWN_FAULT_WINDOW_S
        ]
        refused = reason == "ConnectionRefusedError"
        if not refused and len(recent) > OWN_FAULT_SHARE * len(
            self._searchers
        ):
            return
        searcher = self._searchers.get(name)
        if searcher is None:
            return
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        until = self._loads[name].closed_until + spec.warmup_s
        self._cold_until[name] = max(self._cold_until.get(name, 0.0), until)

    def _abandon(self, key: object, linger_s: float) -> None:
        if key not in self._attempts:
            return
        if linger_s <= 0:
            self._drop(key)
            return
        asyncio.get_running_loop().call_later(
            linger_s, self.mailbox.post, LingerOver(key)
        )

    def _drop(self, key: object) -> None:
        """Close the connection of an attempt, which ends work on it."""
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        now = self._clock()
        load = ld.end_attempt(
            self._loads.get(attempt.searcher, ld.Load()), attempt.started
        )
        took = now - attempt.started
        usual_s = self._times_of(attempt.order.route).usual_s
        if took > ld.OVERDUE_FACTOR * usual_s:
            load = ld.record_failure(load, now)
        self._loads[attempt.searcher] = load
        attempt.connection.waiting_key = None
        attempt.connection.close()

    def _refuse(self, order: SendAttempt, refusal: Refusal) -> None:
        self._count("refused", refusal.name.lower())
        order.reply_to(AttemptDone(order.key, None, refusal))

    def _times_of(self, route: Route) -> Times:
        times = self._times.get(route.name)
        return first_times(route.objective_s) if times is None else times

    # Allowances

    def _budget(self, service: str) -> bud.Budget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = bud.start_budget(self._budget_limits, len(self._nodes))
            self._budgets[service] = budget
        return budget

    def _add_allowance(self, service: str) -> None:
        self._budgets[service] = bud.record_request(
            self._budget(service), self._budget_limits, len(self._nodes)
        )

    # Members

    def _members_changed(self, message: MembersChanged) -> None:
        now = self._clock()
        former = self._searchers
        self._searchers = dict(message.searchers)
        self._nodes = frozenset(message.nodes) | {self._cfg.node}
        self._other_nodes_in = frozenset(
            node.data_centre
            for name, node in message.nodes.items()
            if name != self._cfg.node
        )
        for name, searcher in self._searchers.items():
            seen_at = message.seen_at.get(name, now)
            self._note_warmth(former.get(name), searcher, seen_at)
        for name in former.keys() - self._searchers.keys():
            self._forget(name)
        by_service: dict[str, list[Searcher]] = {}
        for searcher in self._searchers.values():
            if searcher.state is not SearcherState.READY:
                continue
            if searcher.data_centre in message.evacuated:
                continue
            by_service.setdefault(searcher.service, []).append(searcher)
        self._by_service = by_service

    def _note_warmth(
        self, former: Searcher | None, searcher: Searcher, seen_at: float
    ) -> None:
        name = searcher.name
        if former is not None and (
            former.started != searcher.started
            or (former.host, former.port) != (searcher.host, searcher.port)
        ):
            log.info("searcher restarted searcher={}", name)
            self._forget(name)
        if searcher.cold_left_s > 0:
            until = seen_at + searcher.cold_left_s + COLD_MARGIN_S
            self._cold_until[name] = max(
                self._cold_until.get(name, 0.0), until
            )

    def _forget(self, name: str) -> None:
        """Drop what is known of a process that is gone."""
        for connection in self._idle.pop(name, []):
            connection.close()
        self._loads.pop(name, None)
        self._sends.pop(name, None)
        self._broken_at.pop(name, None)
        self._cold_until.pop(name, None)


def _partial_order(message: SendShards, group: Group) -> PartialOrder:
    first = message.orders[group.shards[0]]
    return PartialOrder(
        key=(first.key, group.data_centre),
        route=first.route,
        data_centre=group.data_centre,
        shards=group.shards,
        services=tuple(
            message.orders[shard].service for shard in group.shards
        ),
        top=message.top,
        outgoing=first.outgoing,
        answer_at=message.answer_at,
        reply_to=message.reply_to,
    )

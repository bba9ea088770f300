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
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.platform import searcher_codec as wire
from kumquatchuted.retries.budget import BudgetLimits
from kumquatchuted.retries.service_budgets import ServiceBudgets
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.searchers.connection import Answered
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import Ended
from kumquatchuted.searchers.connection import Exchange
from kumquatchuted.searchers.connection import Opened
from kumquatchuted.searchers.fleet import Fleet
from kumquatchuted.searchers.messages import AbandonAttempt
from kumquatchuted.searchers.messages import AttemptAssigned
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import RequestReceived
from kumquatchuted.searchers.messages import SearcherResponse
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.messages import ShardsNotSent
from kumquatchuted.searchers.pool import Pool

log = Logger("searchers")

REFUSED = ConnectionRefusedError.__name__


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
        count: Callable[[str, str], None] = lambda event, label: None,
        delegate: Callable[[object], None] = lambda order: None,
    ) -> None:
        """Create the task.

        :param clock: monotonic time in seconds
        :param count: counts an event by its name and a label
        :param delegate: mailbox of the task of partial queries
        """
        self.mailbox = Mailbox()
        self._clock = clock
        self._count = count
        self._delegate = delegate
        self._fleet = Fleet(cfg, rng)
        self._pool = Pool(wire.ID_HEADER, self.mailbox.post)
        self._budgets = ServiceBudgets(_budget_limits(cfg), clock)
        self._attempts: dict[object, Attempt] = {}

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
            case RequestReceived(services=services):
                for service in services:
                    self._budgets.record_request(service)
            case AbandonAttempt(key=key, linger_s=linger_s):
                self._abandon(key, linger_s)
            case LingerOver(key=key):
                self._drop(key)
            case MembersChanged():
                for name in self._fleet.set_members(message, self._clock()):
                    self._pool.close_idle(name)
                self._budgets.set_nodes(self._fleet.node_count())
            case SettingsChanged(cfg=cfg):
                self._fleet.set_settings(cfg)
                self._budgets.set_limits(_budget_limits(cfg))
            case ManifestChanged(manifest=manifest):
                self._fleet.set_manifest(manifest)

    def _start(self, order: SendAttempt) -> None:
        """Send an attempt to the best searcher that can take it."""
        now = self._clock()
        if order.is_retry and not self._budgets.has_token(order.service):
            self._refuse(order, Refusal.NO_BUDGET)
            return
        excluded = list(order.exclude)
        refusal = Refusal.NO_SEARCHER
        while True:
            searcher = self._fleet.choose(
                order.route, order.service, excluded, now
            )
            if searcher is None:
                self._refuse(order, refusal)
                return
            connection = self._connect(searcher, order, now)
            if connection is not None:
                self._assign(order, searcher.name, connection, now)
                return
            refusal = Refusal.BUSY
            excluded.append(searcher.name)

    def _start_all(self, message: SendShards) -> None:
        """Send a query to its shards, unless too few can take it."""
        now = self._clock()
        attempts = message.attempts
        chosen = [
            self._fleet.choose(order.route, order.service, (), now)
            for order in attempts
        ]
        usable = sum(searcher is not None for searcher in chosen)
        if usable < message.min_usable:
            self._count("refused", "too_few")
            message.reply_to(ShardsNotSent(usable))
            return
        delegated = set()
        if message.top_k:
            services = tuple(order.service for order in attempts)
            for group in self._fleet.groups(services, chosen, now):
                order = self._partial_order(message, group)
                self._delegate(order)
                delegated.update(group.shards)
        log.info(
            "query sent shards={} usable={} delegated={} request={}",
            len(attempts),
            usable,
            len(delegated),
            attempts[0].outgoing.request_id.decode("latin-1"),
        )
        for shard, order in enumerate(attempts):
            if shard not in delegated:
                self._budgets.record_request(order.service)
                self._start(order)

    def _connect(
        self, searcher: RegisteredSearcher, order: SendAttempt, now: float
    ) -> Connection | None:
        connection = self._pool.take_idle(
            searcher.name, order.at_most_once, now
        )
        if connection is not None:
            return connection
        most = self._fleet.most_connections(searcher.service)
        connection = self._pool.open(searcher, most)
        if connection is not None:
            self._count("connections", searcher.service)
        return connection

    def _assign(
        self,
        order: SendAttempt,
        searcher: str,
        connection: Connection,
        now: float,
    ) -> None:
        if order.is_retry:
            self._budgets.take_token(order.service)
            self._count("repeats", order.service)
        if order.is_retry or not order.is_shard_query:
            log.info(
                "attempt sent searcher={} service={} repeat={} {} request={}",
                searcher,
                order.service,
                order.is_retry,
                self._fleet.describe(searcher, now),
                order.outgoing.request_id.decode("latin-1"),
            )
        self._fleet.attempt_started(searcher, now)
        self._attempts[order.key] = Attempt(
            order, searcher, now, connection, is_sent=False
        )
        hedge_delay_s = self._fleet.times_of(order.route).hedge_delay_s
        order.reply_to(AttemptAssigned(order.key, searcher, hedge_delay_s))
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
        has_body = order.outgoing.method != b"HEAD"
        connection.send(
            Exchange(key, order.outgoing.request_id, has_body),
            wire.encode_attempt(order.outgoing, left_s, process),
        )

    def _opened(self, connection: Connection) -> None:
        key = connection.waiting_key
        if key in self._attempts:
            connection.waiting_key = None
            self._write(key)
        else:
            self._pool.add_idle(connection, self._clock())

    def _answered(self, event: Answered) -> None:
        now = self._clock()
        connection = event.connection
        attempt = self._attempts.pop(event.key, None)
        if event.is_reusable:
            connection.idle_limit_s = wire.decode_keep_alive_timeout(
                event.response
            )
            self._pool.add_idle(connection, now)
        if attempt is None:
            return
        response = wire.decode_reply(event.response)
        self._learn(attempt, response, now)
        if response.wrong_process:
            connection.close()
        own = self._fleet.pending(attempt.searcher)
        report = wire.decode_load(event.response, now, own)
        self._fleet.load_reported(attempt.searcher, report)
        attempt.order.reply_to(
            AttemptDone(event.key, attempt.searcher, response)
        )

    def _learn(
        self, attempt: Attempt, response: SearcherResponse, now: float
    ) -> None:
        name, started = attempt.searcher, attempt.started
        if response.status < 500 and not response.not_executed:
            route = attempt.order.route
            self._fleet.attempt_answered(name, route, started, now)
            return
        self._fleet.attempt_failed(name, started, now)
        if response.wrong_process:
            self._fleet.found_elsewhere(name, now)
        log.info(
            "attempt failed searcher={} status={} ran={} request={}",
            name,
            response.status,
            not response.not_executed,
            attempt.order.outgoing.request_id.decode("latin-1"),
        )

    def _ended(self, event: Ended) -> None:
        connection = event.connection
        self._pool.remove(connection)
        key = event.key if event.key is not None else connection.waiting_key
        attempt = self._attempts.get(key)
        name, now = connection.searcher, self._clock()
        if attempt is None or attempt.connection is not connection:
            return
        del self._attempts[key]
        if attempt.is_sent and connection.has_answered:
            self._fleet.attempt_failed(name, attempt.started, now)
        elif attempt.is_sent:
            self._fleet.first_use_lost(name, attempt.started, now)
        else:
            refused = event.reason == REFUSED
            self._fleet.connect_failed(name, attempt.started, refused, now)
        self._count("lost", attempt.order.service)
        log.info(
            "attempt lost searcher={} sent={} cause={} request={}",
            name,
            attempt.is_sent,
            event.reason,
            attempt.order.outgoing.request_id.decode("latin-1"),
        )
        lost = NoResponse(event.reason, attempt.is_sent)
        attempt.order.reply_to(AttemptDone(key, name, lost))

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
        self._fleet.attempt_dropped(
            attempt.searcher,
            attempt.order.route,
            attempt.started,
            self._clock(),
        )
        attempt.connection.waiting_key = None
        attempt.connection.close()

    def _refuse(self, order: SendAttempt, refusal: Refusal) -> None:
        self._count("refused", refusal.name.lower())
        log.info(
            "attempt refused service={} cause={} request={}",
            order.service,
            refusal.name.lower(),
            order.outgoing.request_id.decode("latin-1"),
        )
        order.reply_to(AttemptDone(order.key, None, refusal))

    def _partial_order(
        self, message: SendShards, group: ShardGroup
    ) -> SendPartialQuery:
        attempts = [message.attempts[shard] for shard in group.shards]
        first = attempts[0]
        services = tuple(order.service for order in attempts)
        most = max(self._fleet.searcher_count(name) for name in services)
        return SendPartialQuery(
            key=(first.key, group.data_centre),
            route=first.route,
            data_centre=group.data_centre,
            shards=group.shards,
            services=services,
            top_k=message.top_k,
            has_few_searchers=most <= first.route.max_attempts,
            outgoing=first.outgoing,
            deadline=message.partial_deadline,
            reply_to=message.reply_to,
        )


def _budget_limits(cfg: GatewaySettings) -> BudgetLimits:
    limits = cfg.limits
    return BudgetLimits(
        limits.retry_ratio, limits.retry_slack, limits.retry_window_s
    )

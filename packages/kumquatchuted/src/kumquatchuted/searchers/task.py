"""The task that owns all connections to searchers.

It chooses a searcher for each attempt, applies this node's shares of the
limits that hold for all nodes together, and reports the result to the sender
of the attempt.
"""

import asyncio
from collections.abc import Callable
import random

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.platform import searcher_codec as codec
from kumquatchuted.retries.budget import BudgetLimits
from kumquatchuted.retries.service_budgets import ServiceBudgets
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.searchers.attempts import LingerExpired
from kumquatchuted.searchers.attempts import PendingAttempt
from kumquatchuted.searchers.balancer import LoadBalancer
from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.connection import ConnectionOpened
from kumquatchuted.searchers.connection import Exchange
from kumquatchuted.searchers.connection import ResponseReceived
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
from kumquatchuted.searchers.pool import ConnectionPool

log = Logger("searchers")

CONNECTION_REFUSED = ConnectionRefusedError.__name__


class SearchersTask:
    """Owns connections, loads, retry budgets and attempts."""

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Callable[[], float],
        rng: random.Random,
        count_event: Callable[[str, str], None] = lambda event, label: None,
        post_partial: Callable[[object], None] = lambda message: None,
    ) -> None:
        """Create the task.

        :param clock: monotonic time in seconds
        :param rng: source of the random part of the costs of searchers
        :param count_event: counts an event by its name and a label
        :param post_partial: mailbox of the task of partial queries
        """
        self.mailbox = Mailbox()
        self._clock = clock
        self._count_event = count_event
        self._post_partial = post_partial
        self._balancer = LoadBalancer(cfg, rng)
        self._pool = ConnectionPool(codec.REQUEST_ID_HEADER, self.mailbox.post)
        self._budgets = ServiceBudgets(_budget_limits(cfg), clock)
        self._attempts: dict[object, PendingAttempt] = {}

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            self._handle(await self.mailbox.get())

    def _handle(self, message: object) -> None:
        match message:
            case ResponseReceived():
                self._on_response_received(message)
            case SendAttempt():
                self._start_attempt(message)
            case SendShards():
                self._start_shards(message)
            case ConnectionOpened(connection=connection):
                self._on_connection_opened(connection)
            case ConnectionClosed():
                self._on_connection_closed(message)
            case RequestReceived(services=services):
                for service in services:
                    self._budgets.record_request(service)
            case AbandonAttempt(key=key, linger_s=linger_s):
                self._abandon_attempt(key, linger_s)
            case LingerExpired(key=key):
                self._close_attempt(key)
            case MembersChanged():
                for name in self._balancer.set_members(message, self._clock()):
                    self._pool.close_idle(name)
                self._budgets.set_node_count(self._balancer.node_count())
            case SettingsChanged(cfg=cfg):
                self._balancer.set_settings(cfg)
                self._budgets.set_limits(_budget_limits(cfg))
            case ManifestChanged(manifest=manifest):
                self._balancer.set_manifest(manifest)

    def _start_attempt(self, message: SendAttempt) -> None:
        """Send an attempt to the best searcher with a free connection.

        A connection is free if it is idle or may still be opened. The attempt
        is refused if the retry budget is used up or no searcher has one.
        """
        now = self._clock()
        if message.is_retry and not self._budgets.has_token(message.service):
            self._refuse_attempt(message, Refusal.NO_BUDGET)
            return
        excluded = list(message.exclude)
        refusal = Refusal.NO_SEARCHER
        while True:
            searcher = self._balancer.choose(
                message.route, message.service, excluded, now
            )
            if searcher is None:
                self._refuse_attempt(message, refusal)
                return
            connection = self._get_connection(searcher, message, now)
            if connection is not None:
                self._assign_connection(
                    message, searcher.name, connection, now
                )
                return
            refusal = Refusal.BUSY
            excluded.append(searcher.name)

    def _start_shards(self, message: SendShards) -> None:
        """Send a query to all shards, or to none.

        Nothing is sent if fewer than ``min_usable`` shards have a usable
        searcher. Groups of shards whose searchers are in another data centre
        are delegated to a node there.
        """
        now = self._clock()
        attempts = message.attempts
        chosen = [
            self._balancer.choose(
                attempt.route,
                attempt.service,
                (),
                now,
                may_delegate=bool(message.top_k),
            )
            for attempt in attempts
        ]
        usable = sum(searcher is not None for searcher in chosen)
        if usable < message.min_usable:
            self._count_event("refused", "too_few")
            message.reply_to(ShardsNotSent(usable))
            return
        delegated = set()
        if message.top_k:
            services = tuple(attempt.service for attempt in attempts)
            for shard_group in self._balancer.partial_groups(
                services, chosen, now
            ):
                partial_query = self._build_partial_query(message, shard_group)
                self._post_partial(partial_query)
                delegated.update(shard_group.shards)
        log.info(
            "query sent shards={} usable={} delegated={} request={}",
            len(attempts),
            usable,
            len(delegated),
            attempts[0].outgoing.request_id.decode("latin-1"),
        )
        for shard, attempt in enumerate(attempts):
            if shard not in delegated:
                self._budgets.record_request(attempt.service)
                self._start_attempt(attempt)

    def _get_connection(
        self, searcher: RegisteredSearcher, message: SendAttempt, now: float
    ) -> Connection | None:
        connection = self._pool.take_idle(
            searcher.name, message.at_most_once, now
        )
        if connection is not None:
            return connection
        max_connections = self._balancer.connection_limit(searcher.service)
        connection = self._pool.open(searcher, max_connections)
        if connection is not None:
            self._count_event("connections", searcher.service)
        return connection

    def _assign_connection(
        self,
        message: SendAttempt,
        searcher: str,
        connection: Connection,
        now: float,
    ) -> None:
        if message.is_retry:
            self._budgets.take_token(message.service)
            self._count_event("repeats", message.service)
        if message.is_retry or not message.is_shard_query:
            log.info(
                "attempt sent searcher={} service={} repeat={} {} request={}",
                searcher,
                message.service,
                message.is_retry,
                self._balancer.describe_load(searcher, now),
                message.outgoing.request_id.decode("latin-1"),
            )
        self._balancer.on_attempt_started(searcher, now)
        self._attempts[message.key] = PendingAttempt(
            message, searcher, now, connection, is_sent=False
        )
        hedge_delay_s = self._balancer.latency_of(message.route).hedge_delay_s
        message.reply_to(AttemptAssigned(message.key, searcher, hedge_delay_s))
        if connection.is_open():
            self._write_request(message.key)
        else:
            connection.waiting_key = message.key

    def _write_request(self, key: object) -> None:
        attempt = self._attempts[key]
        message, connection = attempt.message, attempt.connection
        # Only the first request of a connection names the expected searcher;
        # later ones reach the same process.
        expected_searcher = attempt.searcher if connection.is_unused else None
        remaining_s = message.deadline - self._clock()
        self._attempts[key] = PendingAttempt(
            message,
            attempt.searcher,
            attempt.started_at,
            connection,
            is_sent=True,
        )
        expects_body = message.outgoing.method != b"HEAD"
        connection.send(
            Exchange(key, message.outgoing.request_id, expects_body),
            codec.encode_attempt(
                message.outgoing, remaining_s, expected_searcher
            ),
        )

    def _on_connection_opened(self, connection: Connection) -> None:
        key = connection.waiting_key
        if key in self._attempts:
            connection.waiting_key = None
            self._write_request(key)
        else:
            self._pool.add_idle(connection, self._clock())

    def _on_response_received(self, event: ResponseReceived) -> None:
        now = self._clock()
        connection = event.connection
        attempt = self._attempts.pop(event.key, None)
        if event.is_reusable:
            connection.idle_timeout_s = codec.decode_keep_alive_timeout(
                event.response
            )
            self._pool.add_idle(connection, now)
        if attempt is None:
            return
        response = codec.decode_response(event.response)
        self._record_outcome(attempt, response, now)
        if response.wrong_process:
            connection.close()
        else:
            limit_per_s = codec.decode_limit(event.response)
            self._balancer.on_limit_stated(attempt.searcher, limit_per_s, now)
        own_attempts = self._balancer.pending_count(attempt.searcher)
        report = codec.decode_load(event.response, now, own_attempts)
        self._balancer.on_load_reported(attempt.searcher, report)
        attempt.message.reply_to(
            AttemptDone(event.key, attempt.searcher, response)
        )

    def _record_outcome(
        self, attempt: PendingAttempt, response: SearcherResponse, now: float
    ) -> None:
        name, started_at = attempt.searcher, attempt.started_at
        if response.status < 500 and not response.not_executed:
            route = attempt.message.route
            self._balancer.on_attempt_succeeded(name, route, started_at, now)
            return
        self._balancer.on_attempt_failed(name, started_at, now)
        if response.wrong_process:
            self._balancer.on_process_replaced(name, now)
        log.info(
            "attempt failed searcher={} status={} ran={} request={}",
            name,
            response.status,
            not response.not_executed,
            attempt.message.outgoing.request_id.decode("latin-1"),
        )

    def _on_connection_closed(self, event: ConnectionClosed) -> None:
        connection = event.connection
        self._pool.remove(connection)
        key = event.key if event.key is not None else connection.waiting_key
        attempt = self._attempts.get(key)
        name, now = connection.searcher, self._clock()
        if attempt is None or attempt.connection is not connection:
            return
        del self._attempts[key]
        if attempt.is_sent and connection.has_responded:
            self._balancer.on_attempt_failed(name, attempt.started_at, now)
        elif attempt.is_sent:
            self._balancer.on_first_response_lost(
                name, attempt.started_at, now
            )
        else:
            was_refused = event.reason == CONNECTION_REFUSED
            self._balancer.on_connect_failed(
                name, attempt.started_at, was_refused, now
            )
        self._count_event("lost", attempt.message.service)
        log.info(
            "attempt lost searcher={} sent={} cause={} request={}",
            name,
            attempt.is_sent,
            event.reason,
            attempt.message.outgoing.request_id.decode("latin-1"),
        )
        no_response = NoResponse(event.reason, attempt.is_sent)
        attempt.message.reply_to(AttemptDone(key, name, no_response))

    def _abandon_attempt(self, key: object, linger_s: float) -> None:
        if key not in self._attempts:
            return
        if linger_s <= 0:
            self._close_attempt(key)
            return
        asyncio.get_running_loop().call_later(
            linger_s, self.mailbox.post, LingerExpired(key)
        )

    def _close_attempt(self, key: object) -> None:
        """Close the connection of a pending attempt.

        The searcher stops then, and its slot is free.
        """
        attempt = self._attempts.pop(key, None)
        if attempt is None:
            return
        self._balancer.on_attempt_abandoned(
            attempt.searcher,
            attempt.message.route,
            attempt.started_at,
            self._clock(),
        )
        attempt.connection.waiting_key = None
        attempt.connection.close()

    def _refuse_attempt(self, message: SendAttempt, refusal: Refusal) -> None:
        self._count_event("refused", refusal.name.lower())
        log.info(
            "attempt refused service={} cause={} request={}",
            message.service,
            refusal.name.lower(),
            message.outgoing.request_id.decode("latin-1"),
        )
        message.reply_to(AttemptDone(message.key, None, refusal))

    def _build_partial_query(
        self, message: SendShards, shard_group: ShardGroup
    ) -> SendPartialQuery:
        attempts = [message.attempts[shard] for shard in shard_group.shards]
        first = attempts[0]
        services = tuple(attempt.service for attempt in attempts)
        max_searchers = max(
            self._balancer.searcher_count(name) for name in services
        )
        return SendPartialQuery(
            key=(first.key, shard_group.data_centre),
            route=first.route,
            data_centre=shard_group.data_centre,
            shards=shard_group.shards,
            services=services,
            top_k=message.top_k,
            has_few_searchers=max_searchers <= first.route.max_attempts,
            outgoing=first.outgoing,
            deadline=message.partial_deadline,
            reply_to=message.reply_to,
        )


def _budget_limits(cfg: GatewaySettings) -> BudgetLimits:
    limits = cfg.limits
    return BudgetLimits(
        limits.retry_ratio, limits.retry_slack, limits.retry_window_s
    )

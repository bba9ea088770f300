"""The task that owns all connections to searchers.

It chooses a searcher for each attempt, applies this node's shares of the
limits that hold for all nodes together, and reports the result to the sender
of the attempt.
"""

from collections.abc import Callable
from collections.abc import Collection
import random

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import handle_messages
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.memory.shares import plan_shares
from kumquatchuted.notices.messages import ProcessesLeaving
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.platform import searcher_codec as codec
from kumquatchuted.retries.budget import BudgetLimits
from kumquatchuted.retries.service_budgets import ServiceBudgets
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.searchers.attempts import Attempts
from kumquatchuted.searchers.balancer import LoadBalancer
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.searchers.connection import ConnectionOpened
from kumquatchuted.searchers.connection import NoticesReceived
from kumquatchuted.searchers.connection import ResponseReceived
from kumquatchuted.searchers.connection import ResponseSkipped
from kumquatchuted.searchers.connection import UnexpectedBytes
from kumquatchuted.searchers.messages import AbandonAttempt
from kumquatchuted.searchers.messages import RequestReceived
from kumquatchuted.searchers.messages import ResponsesUsed
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.messages import WithdrawAttempt
from kumquatchuted.searchers.pending import LingerExpired
from kumquatchuted.searchers.pending import ReconnectDue
from kumquatchuted.searchers.pool import ConnectionPool
from kumquatchuted.searchers.received import ReceivedBytes
from kumquatchuted.searchers.response_log import ResponseLog
from kumquatchuted.searchers.response_reader import HeadCodec
from kumquatchuted.searchers.response_size import MAX_RECEIVED_BYTES
from kumquatchuted.searchers.shards import build_partial_query
from kumquatchuted.searchers.shards import refuse_uncovered
from kumquatchuted.searchers.waiting import WaitExpired

log = Logger("searchers")

HEAD_CODEC = HeadCodec(
    codec.REQUEST_ID_HEADER, codec.STAMP_HEADER, codec.decode_notices
)


class SearchersTask:
    """Owns connections, loads, retry budgets and attempts."""

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Callable[[], float],
        rng: random.Random,
        count_event: Callable[[str, str], None] = lambda event, label: None,
        post_partial: Callable[[object], None] = lambda message: None,
        max_connections: int | None = None,
    ) -> None:
        """Create the task.

        :param clock: monotonic time in seconds
        :param rng: source of the random part of the costs of searchers
        :param count_event: counts an event by its name and a label
        :param post_partial: mailbox of the task of partial queries
        :param max_connections: how many connections to all searchers together
            may be open; None if there is no limit
        """
        self.mailbox = Mailbox()
        self._clock = clock
        self._count_event = count_event
        self._post_partial = post_partial
        self._balancer = LoadBalancer(cfg, rng)
        max_bytes = plan_shares(cfg.limits.memory_bytes).responses
        self._received = ReceivedBytes(max_bytes)
        self._pool = ConnectionPool(
            HEAD_CODEC,
            self.mailbox.post,
            max_connections,
            self._received.add,
            min(MAX_RECEIVED_BYTES, max_bytes // 2),
        )
        self._budgets = ServiceBudgets(
            _budget_limits(cfg), self._balancer.retry_share, clock
        )
        self._response_log = ResponseLog(count_event)
        self._attempts = Attempts(
            self._balancer,
            self._pool,
            self._received,
            self._budgets,
            self._response_log,
            self.mailbox.post,
            clock,
            count_event,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await handle_messages(self.mailbox, self._handle, self._count_event)

    def kept_bytes(self) -> int:
        """Return how many bytes of searchers' responses are kept."""
        return self._received.total()

    def leaving_processes(
        self, services: Collection[str]
    ) -> tuple[ProcessId, ...]:
        """Return the listed processes of some services that leave."""
        return self._balancer.leaving_processes(services)

    def _handle(self, message: object) -> None:
        match message:
            case ResponseReceived():
                self._attempts.on_response_received(message)
            case SendAttempt():
                self._attempts.start(message)
            case SendShards():
                self._start_shards(message)
            case ConnectionOpened(connection=connection):
                self._attempts.on_connection_opened(connection)
            case ConnectionClosed():
                self._attempts.on_connection_closed(message)
            case NoticesReceived():
                self._on_notices(message)
            case ResponseSkipped():
                self._response_log.on_skipped(message)
            case UnexpectedBytes():
                self._response_log.on_unexpected(message)
            case RequestReceived(services=services):
                for service in services:
                    self._budgets.record_request(service)
            case WithdrawAttempt():
                self._attempts.withdraw(message)
            case AbandonAttempt(key=key, linger_s=linger_s):
                self._attempts.abandon(key, linger_s)
            case ResponsesUsed(keys=keys):
                self._attempts.on_responses_used(keys)
            case LingerExpired(key=key):
                self._attempts.close(key)
            case WaitExpired(key=key):
                self._attempts.on_wait_expired(key)
            case ReconnectDue(key=key):
                self._attempts.on_reconnect_due(key)
            case ProcessesLeaving(processes=processes):
                self._balancer.on_processes_leaving(processes, self._clock())
            case MembersChanged():
                for name in self._balancer.set_members(message, self._clock()):
                    self._pool.close_idle(name)
            case SettingsChanged(cfg=cfg):
                self._balancer.set_settings(cfg)
                self._budgets.set_limits(_budget_limits(cfg))
            case ManifestChanged(manifest=manifest):
                self._balancer.set_manifest(manifest)

    def _on_notices(self, message: NoticesReceived) -> None:
        process = message.connection.process
        self._balancer.on_notices(process, message.notices, self._clock())
        if self._balancer.is_leaving(process.name):
            self._pool.close_idle(process.name)

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
        refusal = refuse_uncovered(message, chosen, self._balancer, now)
        if refusal is not None:
            self._count_event("refused", "too_few")
            message.reply_to(refusal)
            return
        delegated = set()
        if message.top_k:
            services = tuple(attempt.service for attempt in attempts)
            for group in self._balancer.partial_groups(services, chosen, now):
                partial_query = build_partial_query(
                    message, group, self._balancer
                )
                self._post_partial(partial_query)
                delegated.update(group.shards)
        log.info(
            "query sent shards={} usable={} delegated={} request={}",
            len(attempts),
            sum(searcher is not None for searcher in chosen),
            len(delegated),
            attempts[0].outgoing.request_id.decode("latin-1"),
        )
        for shard, attempt in enumerate(attempts):
            if shard not in delegated:
                self._budgets.record_request(attempt.service)
                self._attempts.start(attempt)


def _budget_limits(cfg: GatewaySettings) -> BudgetLimits:
    limits = cfg.limits
    return BudgetLimits(
        limits.retry_ratio, limits.retry_slack, limits.retry_window_s
    )

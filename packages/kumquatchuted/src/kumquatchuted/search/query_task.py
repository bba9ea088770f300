"""Task that runs one query and carries out its actions."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.peers.messages import WithdrawAttempts
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.search.query import Query
from kumquatchuted.search.query_events import Action
from kumquatchuted.search.query_events import CallerGone
from kumquatchuted.search.query_events import Event
from kumquatchuted.search.query_events import Finish
from kumquatchuted.search.query_events import OutcomeArrived
from kumquatchuted.search.query_events import QueryStats
from kumquatchuted.search.query_events import RequestExtras
from kumquatchuted.search.query_events import RequestPlan
from kumquatchuted.search.query_events import Send
from kumquatchuted.search.query_events import Started
from kumquatchuted.search.query_events import TimerFired
from kumquatchuted.search.query_events import WakeAt
from kumquatchuted.search.query_events import Withdraw
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult

log = Logger("search")


@dataclass(frozen=True)
class ExtrasRequested:
    """A query asks the shared budget for extra attempts.

    :param query: identifier of the query
    :param count: attempts wanted
    """

    query: str
    count: int


@dataclass(frozen=True)
class PlanRequested:
    """A query asks for a plan on the newest snapshot.

    :param query: identifier of the query
    """

    query: str
    call: SearchCall


@dataclass(frozen=True)
class AttemptRoutes:
    """Routes of attempts, formatted only if the log line is written."""

    sends: tuple[Send, ...]

    def __format__(self, spec: str) -> str:
        """Return ``shard:searcher@node`` of each attempt."""
        return ",".join(
            f"{send.attempt.shard}:{send.attempt.searcher}@{send.node}"
            for send in self.sends
        )


@dataclass(frozen=True)
class QueryFinished:
    """A query has finished.

    :param query: identifier of the query
    :param latencies: latency of each answered attempt in seconds
    """

    query: str
    call: SearchCall
    result: SearchAnswer | Failure
    stats: QueryStats
    latencies: tuple[float, ...]


class QueryTask:
    """Owns a query and its timers.

    :param name: identifier of the query
    :param message: request that receives the result
    :param dispatch: posts to the dispatch task
    :param parent: posts to the search task
    :param clock: monotonic time in seconds
    """

    def __init__(
        self,
        name: str,
        message: Ask,
        query: Query,
        dispatch: Post,
        parent: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task; nothing is sent until ``run`` is called."""
        self.mailbox = Mailbox()
        self._name = name
        self._message = message
        self._query = query
        self._dispatch = dispatch
        self._parent = parent
        self._clock = clock
        self._sent_at: dict[str, float] = {}
        self._latencies: list[float] = []
        self._timers: list[asyncio.TimerHandle] = []

    async def run(self) -> None:
        """Run the query until it finishes or its caller disconnects."""
        self._message.fut.add_done_callback(self._check_cancelled)
        try:
            finish = self._step(Started())
            while finish is None:
                finish = self._step(_to_event(await self.mailbox.get()))
        finally:
            for timer in self._timers:
                timer.cancel()
        answer(self._message, finish.result)
        self._log_result(finish)
        self._parent(
            QueryFinished(
                self._name,
                self._message.request,
                finish.result,
                finish.stats,
                tuple(self._latencies),
            )
        )

    def _step(self, event: Event) -> Finish | None:
        now = self._clock()
        self._record_latency(event, now)
        actions = self._query.handle(event, now)
        self._log_sends(actions)
        for action in actions:
            match action:
                case Send(node=node, attempt=attempt):
                    self._sent_at[attempt.attempt] = now
                    # Owners first run the attempt that expires first. They
                    # compute the expiry of a remote attempt from its budget.
                    # If local attempts had the later deadline of the query,
                    # they would run after all remote ones.
                    expires_at = now + attempt.budget_ms / 1000
                    self._dispatch(
                        SendAttempt(
                            node, attempt, expires_at, self.mailbox.post
                        )
                    )
                case Withdraw(attempts=attempts):
                    self._dispatch(WithdrawAttempts(attempts))
                case RequestExtras(count=count):
                    self._parent(ExtrasRequested(self._name, count))
                case RequestPlan():
                    self._parent(
                        PlanRequested(self._name, self._message.request)
                    )
                case WakeAt(at=at):
                    self._wake_at(at, now)
                case Finish():
                    return action
        return None

    def _check_cancelled(self, fut: asyncio.Future) -> None:
        if fut.cancelled():
            self.mailbox.post(CallerGone())

    def _record_latency(self, event: Event, now: float) -> None:
        match event:
            case OutcomeArrived(outcome=SearchResult(attempt=attempt)):
                sent_at = self._sent_at.get(attempt)
                if sent_at is not None:
                    self._latencies.append(now - sent_at)

    def _log_sends(self, actions: tuple[Action, ...]) -> None:
        sends = tuple(action for action in actions if isinstance(action, Send))
        first = tuple(send for send in sends if not send.extra)
        extra = tuple(send for send in sends if send.extra)
        if first:
            log.info(
                "first attempts sent query={} routes={}",
                self._name,
                AttemptRoutes(first),
            )
        if extra:
            log.info(
                "extra attempts sent query={} routes={}",
                self._name,
                AttemptRoutes(extra),
            )

    def _wake_at(self, at: float, now: float) -> None:
        loop = asyncio.get_running_loop()
        delay = max(0.0, at - now)
        self._timers.append(
            loop.call_later(delay, self.mailbox.post, TimerFired())
        )

    def _log_result(self, finish: Finish) -> None:
        stats = finish.stats
        match finish.result:
            case Failure(kind=kind, reason=reason):
                log.info(
                    "query failed query={} kind={} cause={}",
                    self._name,
                    kind.value,
                    reason,
                )
            case result:
                log.info(
                    "query answered query={} index_version={} map_version={} "
                    "ticket={} covered={}/{} first_attempts={} "
                    "extra_attempts={}",
                    self._name,
                    result.snapshot.index_version,
                    result.snapshot.map_version,
                    result.snapshot.ticket,
                    result.coverage.documents,
                    result.coverage.total,
                    stats.first_attempts,
                    stats.extra_attempts,
                )


def _to_event(message: object) -> Event:
    match message:
        case SearchResult() | AttemptFailed():
            return OutcomeArrived(message)
    return message

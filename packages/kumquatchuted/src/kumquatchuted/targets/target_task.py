"""The task that owns the connections and the state of one searcher."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
import math
from typing import Any

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.admission import refusal
from kumquatchuted.targets.child_messages import AttemptEnded
from kumquatchuted.targets.child_messages import CancelAccepted
from kumquatchuted.targets.child_messages import HealthReported
from kumquatchuted.targets.child_messages import ReportRead
from kumquatchuted.targets.child_messages import SlotFreed
from kumquatchuted.targets.child_messages import StatusReported
from kumquatchuted.targets.child_messages import TargetReleased
from kumquatchuted.targets.child_messages import Tick
from kumquatchuted.targets.client import Aborted
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import TargetClient
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Unproven
from kumquatchuted.targets import limiter
from kumquatchuted.targets.limiter import AttemptKey
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.state import Action
from kumquatchuted.targets.state import dispatch
from kumquatchuted.targets.state import failed_attempt
from kumquatchuted.targets.state import may_probe
from kumquatchuted.targets.state import status
from kumquatchuted.targets.state import step
from kumquatchuted.targets.state import TargetState
from kumquatchuted.targets.state import with_occupied_slot
from kumquatchuted.targets import warmup

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.25
# The searcher counts the deadline from the arrival of the request, so it may
# run the attempt a little beyond the deadline of this node.
STOP_MARGIN_S = 0.02
# A queued attempt is refused only after the last moment at which it may start,
# so the timer fires this much later.
TIMER_MARGIN_S = 0.001
RECENT_RESPONSE_S = 1.0
# A new owner starts to send at the earliest 1 s after this node stops being
# current. The remaining 0.1 s is for the transit of a request.
TAKEOVER_GRACE_S = 0.9


@dataclass(frozen=True)
class InFlight:
    """An attempt without an outcome yet, and the task that runs it."""

    run: RunAttempt
    task: asyncio.Task


class TargetTask:
    """Owns one searcher's connections and its ``TargetState``."""

    def __init__(
        self,
        searcher: Searcher,
        eligibility: Eligibility,
        connect: Callable[[Searcher], TargetClient],
        post: Post,
        parent: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param connect: makes the client of the searcher, without connecting
        :param post: receives ``AttemptDone``
        :param parent: receives ``HealthReported``, ``StatusReported`` and
            ``TargetReleased``
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._state = TargetState(searcher, eligibility)
        self._client = connect(searcher)
        self._post = post
        self._parent = parent
        self._clock = clock
        self._running: dict[AttemptKey, InFlight] = {}
        self._aborted: set[AttemptKey] = set()
        # Attempts on new connections to a process that is not yet verified.
        self._on_new_conn: set[AttemptKey] = set()
        self._last_response_at = -math.inf
        self._unverified_slots = asyncio.Semaphore(warmup.cold_limit(searcher))
        self._next_report_at = clock()
        self._probe_count = 0
        self._tick_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Process messages until retired and idle."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            while not self._state.is_finished:
                self._schedule_tick()
                self._handle(await self.mailbox.get())
        self._cancel_tick()
        await self._client.close()
        self._refuse_unread()
        self._parent(TargetReleased(self._state.searcher.name))

    def _handle(self, message: Any) -> None:
        now = self._clock()
        match message:
            case Tick():
                self._tick_timer = None
                self._on_tick(now)
            case _:
                self._state, actions = step(self._state, message, now)
                self._perform(actions)
        connected = self._client.is_connected()
        self._state, actions = dispatch(self._state, connected, now)
        self._perform(actions)

    def _perform(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            match action:
                case limiter.Send(run=run):
                    self._send(run)
                case limiter.Abort(key=key):
                    self._abort(key)
                case AttemptDone():
                    self._post(action)
                case HealthReported():
                    self._parent(action)

    def _send(self, run: RunAttempt) -> None:
        key = limiter.key_of(run)
        generation = self._state.warmup.generation
        task = self._group.create_task(self._run_attempt(run, generation))
        self._running[key] = InFlight(run, task)
        task.add_done_callback(
            lambda task: self._on_task_done(task, run, generation)
        )

    def _on_task_done(
        self, task: asyncio.Task, run: RunAttempt, generation: int
    ) -> None:
        key = limiter.key_of(run)
        in_flight = self._running.pop(key, None)
        if in_flight and task.cancelled() and key in self._aborted:
            # Cancelled before its first step, so nothing was sent.
            result = AttemptResult(
                failed_attempt(run, _cancelled_failure()).outcome, NotSent()
            )
            self.mailbox.post(AttemptEnded(run, result, generation, 0.0))
        self._aborted.discard(key)
        if key in self._on_new_conn:
            self._on_new_conn.remove(key)
            self._unverified_slots.release()
        if task.cancelled():
            self.mailbox.post(SlotFreed(key))

    def _abort(self, key: AttemptKey) -> None:
        # A submission is not cancelled, because its outcome must be recorded.
        match self._running.get(key):
            case InFlight(
                run=RunAttempt(attempt=SearchAttempt()), task=task
            ) if key not in self._aborted:
                self._aborted.add(key)
                task.cancel()

    async def _run_attempt(self, run: RunAttempt, generation: int) -> None:
        started_at = self._clock()
        # The attempt must end before a new owner may send its own.
        ends_at = min(
            run.expires_at,
            self._state.eligibility.current_until + TAKEOVER_GRACE_S,
        )
        result = await self._run_client(run, ends_at - started_at)
        elapsed_s = self._clock() - started_at
        del self._running[limiter.key_of(run)]
        may_still_run = _may_still_run(result)
        if isinstance(result.exchange, Completed):
            self._last_response_at = self._clock()
        self.mailbox.post(
            AttemptEnded(run, result, generation, elapsed_s, may_still_run)
        )
        if may_still_run:
            await self._wait_until_stopped(run, ends_at)
            self.mailbox.post(SlotFreed(limiter.key_of(run)))

    async def _run_client(
        self, run: RunAttempt, timeout_s: float
    ) -> AttemptResult:
        try:
            return await self._client.run(
                run.attempt, timeout_s, partial(self._admit, run)
            )
        except asyncio.CancelledError:
            if limiter.key_of(run) not in self._aborted:
                raise
            asyncio.current_task().uncancel()
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, "cancelled")
            return AttemptResult(
                failed_attempt(run, failure).outcome, Aborted()
            )

    async def _admit(
        self, run: RunAttempt, is_on_new_conn: bool
    ) -> Failure | None:
        """Limit the attempts on new connections to an unverified process.

        A new connection may lead to a process that has just replaced the
        known one. Two attempts that find their connections closed at the same
        moment would overload it before any response identifies it. At most as
        many attempts as a cold start allows therefore use new connections at
        a time, unless an open connection shows that the known process still
        runs.
        """
        if is_on_new_conn and not self._is_process_verified():
            await self._unverified_slots.acquire()
            if limiter.key_of(run) not in self._running:
                self._unverified_slots.release()
                return _cancelled_failure()
            self._on_new_conn.add(limiter.key_of(run))
        return refusal(self._state.eligibility, self._clock())

    def _is_process_verified(self) -> bool:
        # If a host vanishes without closing its connections, its replacement
        # takes longer than this to appear.
        is_recent = self._clock() - self._last_response_at < RECENT_RESPONSE_S
        return is_recent and self._client.has_verified_connection()

    async def _wait_until_stopped(
        self, run: RunAttempt, ends_at: float
    ) -> None:
        """Wait until the searcher certainly no longer runs the attempt.

        The attempt occupies its slot until then.

        :param ends_at: monotonic time in seconds of its deadline
        """
        match run.attempt:
            case SearchAttempt(attempt=attempt):
                cancelled = await self._client.cancel(
                    attempt, CANCEL_TIMEOUT_S
                )
                if isinstance(cancelled, Cancelled):
                    self.mailbox.post(CancelAccepted(cancelled.incarnation))
                    return
        remaining_s = ends_at + STOP_MARGIN_S - self._clock()
        await asyncio.sleep(max(0.0, remaining_s))

    def _on_tick(self, now: float) -> None:
        if now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL_S
        self._parent(StatusReported(status(self._state)))
        if may_probe(self._state, now):
            self._probe()

    def _probe(self) -> None:
        self._probe_count += 1
        # No node has an empty name, so no attempt has the same key.
        key = AttemptKey("", f"probe-{self._probe_count}")
        self._state = with_occupied_slot(self._state, key)
        generation = self._state.warmup.generation
        self._group.create_task(self._read_report(key, generation))

    async def _read_report(self, key: AttemptKey, generation: int) -> None:
        report = await self._client.read_report(REPORT_TIMEOUT_S)
        self.mailbox.post(ReportRead(report, generation))
        self.mailbox.post(SlotFreed(key))

    def _schedule_tick(self) -> None:
        now = self._clock()
        wake_at = self._next_report_at
        if self._state.limiter.queue:
            eligibility = self._state.eligibility_at(now)
            expiry = limiter.next_expiry(self._state.limiter, eligibility)
            wake_at = min(wake_at, expiry + TIMER_MARGIN_S)
        loop = asyncio.get_running_loop()
        when = loop.time() + max(0.0, wake_at - now)
        # Keep an earlier timer: a tick that is not due does nothing, while
        # setting a timer for each message took a seventh of the time of an
        # attempt.
        if self._tick_timer is not None and self._tick_timer.when() <= when:
            return
        self._cancel_tick()
        self._tick_timer = loop.call_at(when, self.mailbox.post, Tick())

    def _cancel_tick(self) -> None:
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None

    def _refuse_unread(self) -> None:
        failure = Failure(
            ErrorKind.NOT_OWNER, "the searcher was released", not_run=True
        )
        for message in _unread_messages(self.mailbox):
            match message:
                case RunAttempt() as run:
                    self._post(failed_attempt(run, failure))


def _cancelled_failure() -> Failure:
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "cancelled", not_run=True)


def _may_still_run(result: AttemptResult) -> bool:
    """Return True if the searcher may still be running the attempt."""
    return isinstance(
        result.exchange, TimedOut | Disconnected | Unproven | Aborted
    )


def _unread_messages(mailbox: Mailbox) -> Iterator[Any]:
    with suppress(asyncio.QueueEmpty):
        while True:
            yield mailbox.get_nowait()

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
from kumquatchuted.targets.child_messages import CancelAccepted
from kumquatchuted.targets.child_messages import HealthSeen
from kumquatchuted.targets.child_messages import Replied
from kumquatchuted.targets.child_messages import ReportRead
from kumquatchuted.targets.child_messages import SlotFreed
from kumquatchuted.targets.child_messages import StatusSeen
from kumquatchuted.targets.child_messages import TargetReleased
from kumquatchuted.targets.child_messages import Tick
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import TargetClient
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Withdrawn
from kumquatchuted.targets import limiter
from kumquatchuted.targets.limiter import AttemptKey
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.state import Action
from kumquatchuted.targets.state import dispatch
from kumquatchuted.targets.state import may_probe
from kumquatchuted.targets.state import occupied
from kumquatchuted.targets.state import refused
from kumquatchuted.targets.state import status
from kumquatchuted.targets.state import step
from kumquatchuted.targets.state import TargetState
from kumquatchuted.targets import warmup

REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 0.25
# The searcher counts the deadline from when the request reaches it.
SETTLE_MARGIN_S = 0.02
TIMER_MARGIN_S = 0.001
RECENT_ANSWER_S = 1.0
# A new owner starts at the earliest 1 s after the node stops being current;
# the rest is for the way of the request to the searcher.
TAKEOVER_S = 0.9


@dataclass(frozen=True)
class InFlight:
    """An attempt without an outcome, and the asyncio task that runs it."""

    run: RunAttempt
    task: asyncio.Task


class TargetTask:
    """Owns one searcher's connections and its ``TargetState``."""

    def __init__(
        self,
        searcher: Searcher,
        gate: Eligibility,
        connect: Callable[[Searcher], TargetClient],
        post: Post,
        parent: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param post: receives ``AttemptDone``
        :param parent: receives ``HealthSeen``, ``StatusSeen`` and
            ``TargetReleased``
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._state = TargetState(searcher, gate)
        self._client = connect(searcher)
        self._post = post
        self._parent = parent
        self._clock = clock
        self._running: dict[AttemptKey, InFlight] = {}
        self._aborted: set[AttemptKey] = set()
        # Attempts on connections that have not carried an answer yet.
        self._on_new_conn: set[AttemptKey] = set()
        self._answered_at = -math.inf
        self._unproven = asyncio.Semaphore(warmup.cold_limit(searcher))
        self._report_at = clock()
        self._probes = 0
        self._timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Work until retired and idle."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            while not self._state.is_over:
                self._arm()
                self._handle(await self.mailbox.get())
        self._disarm()
        await self._client.close()
        self._refuse_rest()
        self._parent(TargetReleased(self._state.searcher.name))

    def _handle(self, message: Any) -> None:
        now = self._clock()
        match message:
            case Tick():
                self._timer = None
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
                case HealthSeen():
                    self._parent(action)

    def _send(self, run: RunAttempt) -> None:
        key = limiter.key_of(run)
        era = self._state.warmup.era
        task = self._group.create_task(self._attempt(run, era))
        self._running[key] = InFlight(run, task)
        task.add_done_callback(lambda task: self._ended(task, run, era))

    def _ended(self, task: asyncio.Task, run: RunAttempt, era: int) -> None:
        key = limiter.key_of(run)
        waiting = self._running.pop(key, None)
        if waiting and task.cancelled() and key in self._aborted:
            # Cancelled before its first step, so nothing was sent.
            reply = AttemptResult(refused(run, _given_up()).outcome, NotSent())
            self.mailbox.post(Replied(run, reply, era, 0.0))
        self._aborted.discard(key)
        if key in self._on_new_conn:
            self._on_new_conn.remove(key)
            self._unproven.release()
        if task.cancelled():
            self.mailbox.post(SlotFreed(key))

    def _abort(self, key: AttemptKey) -> None:
        # A submission is not cut off: its outcome has to be recorded.
        match self._running.get(key):
            case InFlight(
                run=RunAttempt(attempt=SearchAttempt()), task=task
            ) if key not in self._aborted:
                self._aborted.add(key)
                task.cancel()

    async def _attempt(self, run: RunAttempt, era: int) -> None:
        started = self._clock()
        # So that it does not run on beside the attempts of a new owner.
        ends_at = min(run.expires, self._state.gate.until + TAKEOVER_S)
        reply = await self._reply(run, ends_at - started)
        took_s = self._clock() - started
        del self._running[limiter.key_of(run)]
        may_run = _may_run(reply)
        if isinstance(reply.exchange, Completed):
            self._answered_at = self._clock()
        self.mailbox.post(Replied(run, reply, era, took_s, may_run))
        if may_run:
            await self._settle(run, ends_at)
            self.mailbox.post(SlotFreed(limiter.key_of(run)))

    async def _reply(self, run: RunAttempt, timeout_s: float) -> AttemptResult:
        try:
            return await self._client.run(
                run.attempt, timeout_s, partial(self._admit, run)
            )
        except asyncio.CancelledError:
            if limiter.key_of(run) not in self._aborted:
                raise
            asyncio.current_task().uncancel()
            failure = Failure(ErrorKind.OUTCOME_UNKNOWN, "cancelled")
            return AttemptResult(refused(run, failure).outcome, Withdrawn())

    async def _admit(
        self, run: RunAttempt, is_on_new_conn: bool
    ) -> Failure | None:
        """Limit the attempts that may reach a process that nobody knows yet.

        A new connection may lead to a process that has just replaced the
        known one. Two attempts that found their connections closed at the
        same moment overloaded it before any answer could tell. So no more
        attempts than a cold start allows are on new connections at a time,
        unless an older connection shows that the process is still there.
        """
        if is_on_new_conn and not self._is_known_process():
            await self._unproven.acquire()
            if limiter.key_of(run) not in self._running:
                self._unproven.release()
                return _given_up()
            self._on_new_conn.add(limiter.key_of(run))
        return refusal(self._state.gate, self._clock())

    def _is_known_process(self) -> bool:
        # A host takes longer than this to be replaced without closing its
        # connections.
        is_recent = self._clock() - self._answered_at < RECENT_ANSWER_S
        return is_recent and self._client.has_verified_connection()

    async def _settle(self, run: RunAttempt, ends_at: float) -> None:
        """Wait until the searcher has certainly stopped the attempt.

        Until then the attempt occupies its slot, because the searcher may
        still be working on it.
        """
        match run.attempt:
            case SearchAttempt(attempt=attempt):
                done = await self._client.cancel(attempt, CANCEL_TIMEOUT_S)
                if isinstance(done, Cancelled):
                    self.mailbox.post(CancelAccepted(done.incarnation))
                    return
        left_s = ends_at + SETTLE_MARGIN_S - self._clock()
        await asyncio.sleep(max(0.0, left_s))

    def _on_tick(self, now: float) -> None:
        if now < self._report_at:
            return
        self._report_at = now + REPORT_INTERVAL_S
        self._parent(StatusSeen(status(self._state)))
        if may_probe(self._state, now):
            self._probe()

    def _probe(self) -> None:
        self._probes += 1
        # No node has an empty name, so the key cannot meet an attempt's.
        key = AttemptKey("", f"probe-{self._probes}")
        self._state = occupied(self._state, key)
        era = self._state.warmup.era
        self._group.create_task(self._read_report(key, era))

    async def _read_report(self, key: AttemptKey, era: int) -> None:
        report = await self._client.read_report(REPORT_TIMEOUT_S)
        self.mailbox.post(ReportRead(report, era))
        self.mailbox.post(SlotFreed(key))

    def _arm(self) -> None:
        now = self._clock()
        at = self._report_at
        if self._state.limiter.queue:
            gate = self._state.gate_at(now)
            expiry = limiter.next_expiry(self._state.limiter, gate)
            at = min(at, expiry + TIMER_MARGIN_S)
        loop = asyncio.get_running_loop()
        when = loop.time() + max(0.0, at - now)
        # A tick that comes early does no harm, while a new timer for each
        # message took a seventh of the time of an attempt.
        if self._timer is not None and self._timer.when() <= when:
            return
        self._disarm()
        self._timer = loop.call_at(when, self.mailbox.post, Tick())

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refuse_rest(self) -> None:
        failure = Failure(
            ErrorKind.NOT_OWNER, "the searcher was released", not_run=True
        )
        for message in _drained(self.mailbox):
            match message:
                case RunAttempt() as run:
                    self._post(refused(run, failure))


def _given_up() -> Failure:
    return Failure(ErrorKind.DEADLINE_EXCEEDED, "cancelled", not_run=True)


def _may_run(reply: AttemptResult) -> bool:
    """Say whether the searcher may still work on the attempt."""
    return isinstance(reply.exchange, TimedOut | Disconnected | Withdrawn)


def _drained(mailbox: Mailbox) -> Iterator[Any]:
    with suppress(asyncio.QueueEmpty):
        while True:
            yield mailbox.get_nowait()

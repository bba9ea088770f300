"""The task that announces the readiness of the node and shuts it down."""

import asyncio
from collections.abc import Callable
from typing import Any

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Settings
from kumquatchuted.drain.decide import Action
from kumquatchuted.drain.decide import decide
from kumquatchuted.drain.decide import DrainState
from kumquatchuted.drain.decide import next_wake
from kumquatchuted.drain.inboxes import DrainInboxes
from kumquatchuted.drain.messages import Close
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import RunStep
from kumquatchuted.drain.messages import Step
from kumquatchuted.drain.messages import StepDone
from kumquatchuted.drain.messages import TimerFired
from kumquatchuted.mailbox import ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.search.messages import StopSearches
from kumquatchuted.submission.messages import StopSubmissions
from kumquatchuted.targets.messages import StopTargets

log = Logger("drain")


class DrainTask:
    """Owns the state of the shutdown and performs its actions."""

    def __init__(
        self,
        cfg: Settings,
        inboxes: DrainInboxes,
        readiness_posts: tuple[Post, ...],
        end_process: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param inboxes: inboxes of the tasks that perform the steps
        :param readiness_posts: receive ``ReadyChanged``
        :param end_process: called once, when the process has to end
        :param clock: monotonic time in seconds
        """
        self._inboxes = inboxes
        self._readiness_posts = readiness_posts
        self._end_process = end_process
        self._clock = clock
        self.mailbox = Mailbox()
        self._state = DrainState(cfg.drain, cfg.node)
        self._step_tasks: set[asyncio.Future] = set()

    async def run(self) -> None:
        """Process messages until cancelled."""
        event: Any = TimerFired()
        try:
            while True:
                now = self._clock()
                self._state, actions = decide(self._state, event, now)
                for action in actions:
                    self._perform(action)
                event = await self._next_event()
        finally:
            for task in self._step_tasks:
                task.cancel()

    async def _next_event(self) -> Any:
        now = self._clock()
        wake_at = next_wake(self._state, now)
        timeout_s = None if wake_at is None else max(0.0, wake_at - now)
        try:
            async with asyncio.timeout(timeout_s):
                return await self.mailbox.get()
        except TimeoutError:
            return TimerFired()

    def _perform(self, action: Action) -> None:
        match action:
            case ReadyChanged(ready=ready, reason=reason):
                log.info(
                    "node ready" if ready else f"node not ready cause={reason}"
                )
                for post in self._readiness_posts:
                    post(action)
            case RunStep(step=step):
                log.info("shutdown step started step={}", step.value)
                task = asyncio.ensure_future(self._run_step(step))
                self._step_tasks.add(task)
                task.add_done_callback(self._step_tasks.discard)
            case Close(complete=True):
                log.info("shutdown complete, process ends")
                self._end_process()
            case Close(reason=reason):
                log.warning(
                    "shutdown incomplete, process ends cause={}", reason
                )
                self._end_process()

    async def _run_step(self, step: Step) -> None:
        result = await self._request_step(step)
        failure = result if isinstance(result, Failure) else None
        if failure is not None:
            log.warning(
                "shutdown step failed step={} cause={}",
                step.value,
                failure.reason,
            )
        self.mailbox.post(StepDone(step, failure))

    async def _request_step(self, step: Step) -> Any:
        match step:
            case Step.SEARCHES:
                return await ask(self._inboxes.searches, StopSearches())
            case Step.SUBMISSIONS:
                return await ask(self._inboxes.submissions, StopSubmissions())
            case Step.MEMBERSHIP:
                return await ask(self._inboxes.placement, LeaveMembership())
            case Step.TARGETS:
                return await ask(self._inboxes.targets, StopTargets())
            case Step.LEASE:
                return await ask(self._inboxes.placement, ReleaseLease())

"""The task that owns the readiness of the node and its graceful shutdown."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from logbook import Logger

from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.messages import RequestFinished
from kumquatchuted.front.messages import RequestStarted
from kumquatchuted.front.messages import StopRequested
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.front.shutdown import plan_shutdown
from kumquatchuted.front.shutdown import ShutdownPlan
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import handle_messages
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.routing.table import build_table

log = Logger("front")

# Minimum time for which a stopping node serves new connections. The external
# load balancer sends them until it removes the node: it checks the readiness
# once a second and removes a node after two failed checks.
BALANCER_DETECTION_S = 2.3
DRAIN_POLL_S = 0.05
# Limits until the first manifest has been read.
DEFAULT_LIMITS = CallerLimits(16_384, 1_048_576, 5.0, 15.0)


class FrontTask:
    """Owns the state that the listeners read."""

    def __init__(
        self,
        grace_s: float,
        close_listeners: Callable[[], None],
        connection_count: Callable[[], int],
        open_requests: OpenRequests,
        stop: Callable[[], None],
        clock: Callable[[], float],
        count_event: Callable[[str, str], None],
    ) -> None:
        """Create the task.

        :param grace_s: time between the stop signal and the kill, in seconds
        :param close_listeners: called when no new callers are expected
        :param connection_count: returns how many connections of callers are
            open
        :param open_requests: the requests that run
        :param stop: called once, when the process is to end
        :param clock: monotonic time in seconds
        :param count_event: counts an event by its name and a label
        """
        self.mailbox = Mailbox()
        self._state = FrontState(None, DEFAULT_LIMITS, False)
        self._pending_requests = 0
        self._grace_s = grace_s
        self._close_listeners = close_listeners
        self._connection_count = connection_count
        self._open_requests = open_requests
        self._stop = stop
        self._clock = clock
        self._count_event = count_event
        self._drain_task: asyncio.Task | None = None

    def state(self) -> FrontState:
        """Return the current routes, limits and readiness."""
        return self._state

    async def run(self) -> None:
        """Handle messages until cancelled."""
        await handle_messages(
            self.mailbox, self._handle_logged, self._count_event
        )

    def _handle_logged(self, message: object) -> None:
        was_ready = self._state.is_ready()
        self._handle(message)
        if self._state.is_ready() != was_ready:
            log.info("readiness changed ready={}", not was_ready)

    def _handle(self, message: object) -> None:
        match message:
            case RequestStarted():
                self._pending_requests += 1
            case RequestFinished():
                self._pending_requests -= 1
            case ManifestChanged(manifest=manifest):
                self._state = replace(
                    self._state,
                    table=build_table(manifest),
                    limits=manifest.limits,
                )
            case MembersChanged(searchers=searchers):
                if searchers:
                    self._state = replace(self._state, has_searchers=True)
            case SettingsChanged(cfg=cfg):
                self._grace_s = cfg.limits.grace_s
            case StopRequested() if not self._state.is_stopping:
                log.info("stop requested open={}", self._pending_requests)
                plan = plan_shutdown(self._clock(), self._grace_s)
                self._state = replace(self._state, shutdown=plan)
                self._open_requests.limit(plan.answer_by)
                self._drain_task = asyncio.ensure_future(self._drain(plan))

    async def _drain(self, plan: ShutdownPlan) -> None:
        """Stop when no new callers are expected and no request is pending.

        A request can be received at the same moment at which the listeners
        close, so pending requests are awaited after that too. The process
        stops at the end of the plan in any case.
        """
        new_callers_until = min(
            self._clock() + BALANCER_DETECTION_S, plan.answer_by
        )
        await self._wait_while(
            lambda: (
                self._pending_requests or self._clock() < new_callers_until
            ),
            plan.answer_by,
        )
        self._close_listeners()
        await asyncio.sleep(DRAIN_POLL_S)
        await self._wait_while(
            lambda: self._pending_requests or self._connection_count(),
            plan.exit_by,
        )
        log.info("stopped open={}", self._pending_requests)
        self._stop()

    async def _wait_while(
        self, condition: Callable[[], object], deadline: float
    ) -> None:
        while self._clock() < deadline and condition():
            await asyncio.sleep(DRAIN_POLL_S)

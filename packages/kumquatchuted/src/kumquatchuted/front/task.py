"""The task that owns the readiness of the node and its graceful shutdown."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from logbook import Logger

from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.messages import RequestFinished
from kumquatchuted.front.messages import RequestStarted
from kumquatchuted.front.messages import StopRequested
from kumquatchuted.gateway.settings import SettingsChanged
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
# The platform kills the process at the end of the grace period. The process
# stops this long before it, so that the last answers are still sent.
KILL_MARGIN_S = 0.4
DRAIN_POLL_S = 0.05
# Limits until the first manifest has been read.
DEFAULT_LIMITS = CallerLimits(16_384, 1_048_576, 5.0, 15.0)


class FrontTask:
    """Owns the state that the listeners read."""

    def __init__(
        self,
        grace_s: float,
        close_listeners: Callable[[], None],
        stop: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param grace_s: time between the stop signal and the kill, in seconds
        :param close_listeners: called at the end of the graceful shutdown
        :param stop: called once, when the process is to end
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._state = FrontState(None, DEFAULT_LIMITS, False, False)
        self._pending_requests = 0
        self._grace_s = grace_s
        self._close_listeners = close_listeners
        self._stop = stop
        self._clock = clock
        self._drain_task: asyncio.Task | None = None

    def state(self) -> FrontState:
        """Return the current routes, limits and readiness."""
        return self._state

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            was_ready = self._state.is_ready()
            self._handle(await self.mailbox.get())
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
                self._state = replace(self._state, is_stopping=True)
                self._drain_task = asyncio.ensure_future(self._drain())

    async def _drain(self) -> None:
        """Stop when no new callers are expected and no request is pending.

        The process stops ``KILL_MARGIN_S`` before the kill in any case.
        """
        started_at = self._clock()
        drain_deadline = started_at + self._grace_s - KILL_MARGIN_S
        while self._clock() < drain_deadline and (
            self._pending_requests
            or self._clock() < started_at + BALANCER_DETECTION_S
        ):
            await asyncio.sleep(DRAIN_POLL_S)
        log.info("stopped open={}", self._pending_requests)
        self._close_listeners()
        # The event loop needs a moment to send the last bytes and to close
        # the connections.
        await asyncio.sleep(DRAIN_POLL_S)
        self._stop()

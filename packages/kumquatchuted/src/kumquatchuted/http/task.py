"""The task that owns the listeners and the state that they report."""

import asyncio
from collections.abc import Callable
import socket

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Settings
from kumquatchuted.http.app import caller_app
from kumquatchuted.http.app import metrics_app
from kumquatchuted.http.auth import Authenticator
from kumquatchuted.http.context import HttpContext
from kumquatchuted.http.errors import FailureResponder
from kumquatchuted.http.messages import RequestInboxes
from kumquatchuted.http.server import bind_socket
from kumquatchuted.http.server import Listener
from kumquatchuted.http.state import apply_message
from kumquatchuted.http.state import HttpState
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.metrics import Metrics

log = Logger("http")


class HttpTask:
    """Serves callers, operators, health checks and monitoring."""

    def __init__(
        self,
        cfg: Settings,
        inboxes: RequestInboxes,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        """Create the task; ``bind`` opens its listeners.

        :param inboxes: inboxes of the tasks that answer requests
        :param clock: monotonic time in seconds
        """
        self._cfg = cfg
        self._clock = clock
        self.mailbox = Mailbox()
        self.post = self.mailbox.post
        self._state = HttpState()
        self._caller_socket: socket.socket | None = None
        self._metrics_socket: socket.socket | None = None
        self._context = HttpContext(
            cfg=cfg,
            inboxes=inboxes,
            metrics=metrics,
            clock=clock,
            state=lambda: self._state,
            auth=Authenticator(cfg.security.tokens),
            responder=FailureResponder(metrics),
        )

    def bind(self) -> Failure | None:
        """Open the listening sockets.

        :returns: why the node cannot start, or None
        """
        sockets = []
        for address in (self._cfg.listen.callers, self._cfg.listen.metrics):
            sock = bind_socket(address)
            if isinstance(sock, Failure):
                for other in sockets:
                    other.close()
                return sock
            sockets.append(sock)
        self._caller_socket, self._metrics_socket = sockets
        return None

    @property
    def caller_port(self) -> int:
        """Return the bound port for callers and operators."""
        return self._caller_socket.getsockname()[1]

    @property
    def metrics_port(self) -> int:
        """Return the bound port for health checks and metrics."""
        return self._metrics_socket.getsockname()[1]

    async def run(self) -> None:
        """Serve until cancelled, then finish the responses in progress."""
        listeners = (
            Listener(caller_app(self._context), self._caller_socket),
            Listener(metrics_app(self._context), self._metrics_socket),
        )
        tasks = [
            asyncio.ensure_future(self._apply_messages()),
            *(
                asyncio.ensure_future(listener.listen())
                for listener in listeners
            ),
        ]
        log.info(
            "listening callers_port={} metrics_port={}",
            self.caller_port,
            self.metrics_port,
        )
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            log.error("listener ended unexpectedly")
        finally:
            tasks[0].cancel()
            for listener in listeners:
                listener.should_exit = True
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _apply_messages(self) -> None:
        while True:
            message = await self.mailbox.get()
            state = apply_message(self._state, message, self._clock())
            if state is None:
                log.error("unknown message type={}", type(message).__name__)
            else:
                self._state = state

"""Listeners: uvicorn's HTTP protocol on sockets that the node binds.

uvicorn's own server wakes ten times a second to update the Date header and
installs signal handlers; the node needs neither.
"""

import asyncio
from collections.abc import Callable

from uvicorn.server import ServerState

from kumquatchute_model.errors import Failure
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.unread import UnreadAnswers
from kumquatchuted.http.disconnect import Application
from kumquatchuted.http.server import bind_socket
from kumquatchuted.http.server import HeaderLimits
from kumquatchuted.http.server import http_config
from kumquatchuted.http.server import LimitedHttpProtocol

# Key in the state of an ASGI scope: whether the request is the first on its
# connection.
FIRST_REQUEST = "first_request"
# The node waits this many times as long as the timeouts that are announced to
# callers, so that it closes no connection while a request is in transit.
TIMEOUT_FACTOR = 1.2
# Bytes that are read from a connection at a time. All connections can be
# readable at once, and what is read is kept until the request's task runs.
MAX_READ_BYTES = 65_536


class ListenerProtocol(LimitedHttpProtocol):
    """HTTP protocol with the limits of the manifest in force."""

    def __init__(
        self,
        state: Callable[[], FrontState],
        unread: UnreadAnswers,
        **options: object,
    ) -> None:
        """Create the protocol of one connection.

        :param state: returns the limits in force
        :param unread: lists the connections whose callers do not read
        :param options: arguments of uvicorn's protocol
        """
        super().__init__(**options)
        self._state = state
        self._unread = unread
        self.timeout_keep_alive = self.header_limits().idle_timeout_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Mark the next request as the first one."""
        self.app_state[FIRST_REQUEST] = True
        transport.max_size = MAX_READ_BYTES
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the list of those that do not read."""
        self._unread.discard(self.transport)
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        """List the connection: its caller does not read."""
        super().pause_writing()
        self._unread.add(self.transport)

    def resume_writing(self) -> None:
        """Remove the connection from the list: its caller has read."""
        self._unread.discard(self.transport)
        super().resume_writing()

    def header_limits(self) -> HeaderLimits:
        """Return the limits in force."""
        limits = self._state().limits
        return HeaderLimits(
            limits.max_header_bytes,
            limits.header_timeout_s * TIMEOUT_FACTOR,
            limits.idle_timeout_s * TIMEOUT_FACTOR,
        )

    def on_response_complete(self) -> None:
        """Apply the idle timeout of the manifest that is now in force."""
        self.app_state[FIRST_REQUEST] = False
        self.timeout_keep_alive = self.header_limits().idle_timeout_s
        super().on_response_complete()


class Listener:
    """Owns a listening socket and its connections."""

    def __init__(
        self,
        app: Application,
        state: Callable[[], FrontState],
        unread: UnreadAnswers,
    ) -> None:
        """Create a listener.

        :param state: returns the limits in force
        :param unread: lists the connections whose callers do not read
        """
        self._unread = unread
        self._config = http_config(app, date_header=False)
        self._config.load()
        self._state = state
        self._server_state = ServerState()
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> Failure | None:
        """Bind the socket and listen.

        :param address: IP address and port
        :returns: None, or why the address cannot be bound
        """
        sock = bind_socket(address)
        if isinstance(sock, Failure):
            return sock
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocol, sock=sock)
        return None

    def close(self) -> None:
        """Stop listening; close each connection after its pending request."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._server_state.connections):
            connection.shutdown()

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server_state.connections)

    def _protocol(self) -> LimitedHttpProtocol:
        return ListenerProtocol(
            self._state,
            self._unread,
            config=self._config,
            server_state=self._server_state,
            app_state={},
        )

"""Listeners: uvicorn's HTTP protocol on sockets of our own.

uvicorn's server would wake ten times a second to update the Date header and
handles signals itself; neither is wanted here.
"""

import asyncio
from collections.abc import Callable

import uvicorn
from uvicorn.server import ServerState

from kumquatchute_model.errors import Failure
from kumquatchuted.front.messages import FrontState
from kumquatchuted.http.disconnect import Application
from kumquatchuted.http.server import bind
from kumquatchuted.http.server import BoundedHttpProtocol

# An idle connection outlives the time that callers are told, so that none
# is closed while a request is on its way.
IDLE_FACTOR = 1.2


class Listener:
    """Owns a listening socket and its connections."""

    def __init__(
        self, app: Application, state: Callable[[], FrontState]
    ) -> None:
        """Create a listener.

        :param state: returns the limits in force
        """
        self._config = uvicorn.Config(
            app,
            http=BoundedHttpProtocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._config.load()
        self._state = state
        self._server_state = ServerState()
        self._server: asyncio.Server | None = None

    async def open(self, address: str) -> Failure | None:
        """Bind and listen.

        :param address: IP address and port
        """
        sock = bind(address)
        if isinstance(sock, Failure):
            return sock
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._protocol, sock=sock)
        return None

    def close(self) -> None:
        """Stop listening and close connections without a request."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._server_state.connections):
            connection.shutdown()

    def _protocol(self) -> BoundedHttpProtocol:
        limits = self._state().limits
        protocol = BoundedHttpProtocol(
            config=self._config,
            server_state=self._server_state,
            app_state={},
        )
        protocol.max_head_bytes = limits.max_header_bytes
        protocol.head_timeout_s = limits.header_timeout_s * IDLE_FACTOR
        protocol.idle_timeout_s = limits.idle_timeout_s * IDLE_FACTOR
        protocol.timeout_keep_alive = limits.idle_timeout_s * IDLE_FACTOR
        return protocol

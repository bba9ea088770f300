"""Opens connections to searchers."""

import asyncio
from collections.abc import Callable
import socket

from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed

# A connection between data centres of a region takes milliseconds; a lost
# opening packet is sent again only after a second.
CONNECT_TIMEOUT_S = 0.4
# Time in milliseconds after which unacknowledged data ends a connection, so
# that one whose path went silent is not used again.
UNACKNOWLEDGED_TIMEOUT_MS = 600


async def connect(
    host: str, port: int, connection: Connection, post: Callable
) -> None:
    """Connect; the protocol posts ``Opened``, or ``Ended`` is posted here.

    :param host: IP address
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, _ = await loop.create_connection(
                lambda: connection, host, port
            )
    except OSError as exc:
        # TimeoutError is an OSError.
        post(ConnectionClosed(connection, None, type(exc).__name__))
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )

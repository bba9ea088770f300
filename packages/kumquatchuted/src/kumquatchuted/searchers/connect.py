"""Opens connections to searchers."""

import asyncio
from collections.abc import Callable
import errno
import socket

from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.connection import ConnectionClosed
from kumquatchuted.timeouts import wait_until_done

# Cause of a connect that failed because this process has no descriptor left.
OUT_OF_DESCRIPTORS = "out of descriptors"
# A connect between data centres of a region takes milliseconds, and TCP sends
# a lost SYN again only after a second.
CONNECT_TIMEOUT_S = 0.4
# TCP closes a connection whose data stays unacknowledged for this long, so
# that one with a broken path is not used again.
UNACKNOWLEDGED_TIMEOUT_MS = 600


async def connect(
    host: str, port: int, connection: Connection, post: Callable
) -> None:
    """Open a connection and post the outcome.

    The protocol posts ``ConnectionOpened``; this function posts
    ``ConnectionClosed`` if the connect fails.

    :param host: IP address
    """
    loop = asyncio.get_running_loop()
    connecting = asyncio.ensure_future(
        loop.create_connection(lambda: connection, host, port)
    )
    try:
        if not await wait_until_done(connecting, CONNECT_TIMEOUT_S):
            raise TimeoutError
        transport, _ = connecting.result()
    except OSError as exc:
        # TimeoutError is an OSError.
        reason = type(exc).__name__
        if exc.errno in (errno.EMFILE, errno.ENFILE):
            reason = OUT_OF_DESCRIPTORS
        post(ConnectionClosed(connection, None, reason))
        return
    finally:
        connecting.cancel()
    if transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
    )

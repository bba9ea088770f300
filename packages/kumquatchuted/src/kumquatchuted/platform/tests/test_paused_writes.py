"""Writes to the store by a process that is paused meanwhile."""

import asyncio
import socket
import threading
import time

import pytest

from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response
from kumquatchuted.platform.transport import Transport

TIMEOUT_S = 0.2
# Time after which the store responds; it is within the pause.
RESPONSE_S = 0.05
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def _answer_one_call(
    listener: socket.socket, received: threading.Event
) -> None:
    conn, _ = listener.accept()
    with conn:
        conn.recv(65_536)
        received.set()
        time.sleep(RESPONSE_S)
        conn.sendall(ANSWER)


async def _call(method: str, port: int, received: threading.Event) -> object:
    """Call the store and pause when it has received the request."""
    transport = Transport()
    url = f"http://127.0.0.1:{port}/objects/a"
    call = asyncio.ensure_future(
        transport.call(Request(method, url, TIMEOUT_S, 0.1, {}, b"{}"))
    )
    while not received.is_set() and not call.done():
        await asyncio.sleep(0.001)
    time.sleep(2 * TIMEOUT_S)
    result = await call
    await transport.close()
    return result


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
def test_answer_to_a_write_that_arrives_during_a_pause_is_used(
    method: str,
) -> None:
    """Guards against writes with a known result that count as unknown.

    The store responded in time, but the process did not run until the timeout
    of the call had passed. Unlike what a read returns, the result of a write
    does not get out of date.
    """
    received = threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=_answer_one_call, args=(listener, received)
        )
        server.start()
        port = listener.getsockname()[1]
        result = asyncio.run(_call(method, port, received))
        server.join()
    assert result == Response(200, b"{}")


def test_write_without_an_answer_ends_at_its_timeout() -> None:
    """Guards against a write that waits for a store that does not respond."""

    async def main(port: int) -> tuple[object, float]:
        transport = Transport()
        url = f"http://127.0.0.1:{port}/objects/a"
        started_at = time.monotonic()
        result = await transport.call(
            Request("PUT", url, TIMEOUT_S, 0.1, {}, b"{}")
        )
        duration_s = time.monotonic() - started_at
        await transport.close()
        return result, duration_s

    with socket.create_server(("127.0.0.1", 0)) as listener:
        result, duration_s = asyncio.run(main(listener.getsockname()[1]))
    assert isinstance(result, NoResponse)
    assert TIMEOUT_S <= duration_s < 5 * TIMEOUT_S

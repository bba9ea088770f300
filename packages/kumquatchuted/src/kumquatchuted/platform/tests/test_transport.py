"""Calls to the store and to other nodes whose process is suspended."""

import asyncio
import socket
import threading
import time

from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Transport

TIMEOUT_S = 0.2
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def _answer_one_call(listener: socket.socket, answered: list[float]) -> None:
    conn, _ = listener.accept()
    with conn:
        conn.recv(65_536)
        conn.sendall(ANSWER)
        answered.append(time.monotonic())


def test_answer_from_before_a_suspension_is_not_used() -> None:
    """Guards against old state that a node takes for current.

    An answer that arrived while the process was suspended was read after the
    timeout of its call, and the state counted as confirmed at that moment.
    """

    async def scenario(port: int) -> object:
        transport = Transport()
        req = Request(
            "GET", f"http://127.0.0.1:{port}/objects/a", TIMEOUT_S, 0.1, {}
        )
        call = asyncio.ensure_future(transport.call(req))
        while not answered:
            # The event loop must not read the answer before it is blocked.
            await asyncio.sleep(0)
            time.sleep(0.001)
        time.sleep(2 * TIMEOUT_S)
        result = await call
        await transport.close()
        return result

    answered: list[float] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=_answer_one_call, args=(listener, answered)
        )
        server.start()
        result = asyncio.run(scenario(listener.getsockname()[1]))
        server.join()
    assert isinstance(result, NoResponse)

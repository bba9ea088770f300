"""Reads from the store and other nodes by a process that is paused."""

import asyncio
import socket
import threading
import time

from kumquatchuted.platform.outcomes import NoResponse
from kumquatchuted.platform.transport import Request
from kumquatchuted.platform.transport import Response
from kumquatchuted.platform.transport import Transport

TIMEOUT_S = 0.4
# Time after which the source responds first; it is within the pause.
RESPONSE_S = 0.05


def _answer_calls(
    listener: socket.socket,
    received: threading.Event,
    answers: tuple[bytes, ...],
) -> None:
    """Answer one call after the other; only the first one is delayed."""
    # Ends the thread if the read is not repeated.
    listener.settimeout(5 * TIMEOUT_S)
    for body in answers:
        try:
            conn, _ = listener.accept()
        except TimeoutError:
            return
        with conn:
            conn.recv(65_536)
            if not received.is_set():
                received.set()
                time.sleep(RESPONSE_S)
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                % (len(body), body)
            )


def read_during_pause(answers: tuple[bytes, ...]) -> tuple[object, float]:
    """Read and pause when the source has received the request.

    :param answers: bodies of the source's responses
    :returns: result and time that it took after the pause, in seconds
    """
    received = threading.Event()

    async def main(port: int) -> tuple[object, float]:
        transport = Transport()
        url = f"http://127.0.0.1:{port}/objects/a"
        call = asyncio.ensure_future(
            transport.call(Request("GET", url, TIMEOUT_S, 0.1, {}))
        )
        while not received.is_set():
            await asyncio.sleep(0.001)
        time.sleep(2 * TIMEOUT_S)
        resumed_at = time.monotonic()
        result = await call
        duration_s = time.monotonic() - resumed_at
        await transport.close()
        return result, duration_s

    with socket.create_server(("127.0.0.1", 0)) as listener:
        server = threading.Thread(
            target=_answer_calls, args=(listener, received, answers)
        )
        server.start()
        outcome = asyncio.run(main(listener.getsockname()[1]))
        server.join()
    return outcome


def test_read_is_repeated_if_its_answer_arrived_during_a_pause() -> None:
    """Guards against sources that a paused node takes for silent.

    The source had responded in time. The followers of all topics left it and
    listed their topics from others.
    """
    result, _ = read_during_pause((b"old", b"new"))
    assert result == Response(200, b"new")


def test_repeated_read_ends_at_its_timeout() -> None:
    """Guards against a read that waits for a source that does not run.

    It has responded during the pause and does not respond again.
    """
    result, duration_s = read_during_pause((b"old",))
    assert isinstance(result, NoResponse)
    assert TIMEOUT_S <= duration_s < 3 * TIMEOUT_S

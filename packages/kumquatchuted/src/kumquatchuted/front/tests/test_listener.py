"""Answers to invalid request headers, over real connections."""

import asyncio

from kumquatchuted.front.listener import FIRST_REQUEST
from kumquatchuted.front.listener import Listener
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.task import DEFAULT_LIMITS
from kumquatchuted.front.unread import UnreadAnswers
from kumquatchuted.http.server import bind_socket

STATE = FrontState(None, DEFAULT_LIMITS, False)
REQUEST_HEADER = b"GET /x/1 HTTP/1.1\r\nhost: a.example\r\n"


async def delayed_app(scope, receive, send):
    """Respond to each request after a delay."""
    await asyncio.sleep(0.05)
    start = {"type": "http.response.start", "status": 200, "headers": []}
    await send({**start, "headers": [(b"content-length", b"2")]})
    await send({"type": "http.response.body", "body": b"ok"})


def exchange(*chunks: bytes) -> bytes:
    """Send chunks on one connection and return all that is received.

    The chunks are sent at intervals, so that they are parsed one by one.
    """

    async def run() -> bytes:
        listener = Listener(
            delayed_app, lambda: STATE, UnreadAnswers(1_000_000)
        )
        sock = bind_socket("127.0.0.1:0")
        address = "127.0.0.1:%d" % sock.getsockname()[1]
        sock.close()
        assert await listener.open(address) is None
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for chunk in chunks:
            writer.write(chunk)
            await asyncio.sleep(0.01)
        try:
            async with asyncio.timeout(1):
                return await reader.read()
        except (ConnectionResetError, TimeoutError):
            return b""
        finally:
            writer.close()
            listener.close()

    return asyncio.run(run())


def oversized_header_line() -> bytes:
    """Return a header line that exceeds the limit in force."""
    return b"x-long: " + b"x" * DEFAULT_LIMITS.max_header_bytes


def test_too_large_header_is_answered_with_431() -> None:
    """Guards against callers that take a closed connection for a node fault.

    They would send the same header to another node. The answer tells them why
    the request cannot succeed.
    """
    received = exchange(REQUEST_HEADER, oversized_header_line())
    assert received.startswith(b"HTTP/1.1 431 ")
    assert b"connection: close" in received
    assert b'"too_large"' in received


def test_too_large_header_does_not_corrupt_a_pending_response() -> None:
    """Guards against an error answer inside the answer to another request.

    The second request arrives on the same connection while the first one is
    still running. The caller would take the 431 for the answer to the first.
    """
    received = exchange(
        REQUEST_HEADER + b"\r\n", REQUEST_HEADER + oversized_header_line()
    )
    assert b"431" not in received


def test_invalid_request_is_answered_with_400() -> None:
    """Guards against callers of another protocol that get no answer.

    A caller that begins a TLS handshake on the plain port would see only a
    closed connection and could not find the cause.
    """
    assert exchange(b"\x16\x03\x01\x02\r\n\r\n").startswith(b"HTTP/1.1 400 ")


def test_only_the_first_request_of_a_connection_is_marked() -> None:
    """Guards against a deadline that counts the connect for each request.

    Callers keep their connections, so most requests open none.
    """
    marks = []

    async def recording_app(scope, receive, send):
        marks.append(scope["state"][FIRST_REQUEST])
        await delayed_app(scope, receive, send)

    async def run() -> None:
        listener = Listener(
            recording_app, lambda: STATE, UnreadAnswers(1_000_000)
        )
        sock = bind_socket("127.0.0.1:0")
        address = "127.0.0.1:%d" % sock.getsockname()[1]
        sock.close()
        assert await listener.open(address) is None
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(3):
            writer.write(REQUEST_HEADER + b"\r\n")
            await reader.readuntil(b"ok")
        writer.close()
        listener.close()

    asyncio.run(run())
    assert marks == [True, False, False]

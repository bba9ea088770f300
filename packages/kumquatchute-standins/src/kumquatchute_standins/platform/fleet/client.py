"""HTTP/1.1 client on a kept connection, with pipelined requests."""

import asyncio
from dataclasses import dataclass

from kumquatchute_standins.platform.fleet.answers import ID_HEADER
from kumquatchute_standins.platform.fleet.manifest import HOST
from kumquatchute_standins.platform.fleet.resets import reset_connection

# Clients that leave inside a body do so after this time.
LEAVE_AFTER_S = 0.05


@dataclass(frozen=True, slots=True)
class Call:
    """A request of a caller.

    :param path: path of its route
    :param may_repeat: whether it may run more than once; otherwise it is a
        POST with a body
    """

    request_id: str
    path: str
    may_repeat: bool

    def encode(self, deadline_ms: int) -> bytes:
        """Return the bytes of the request.

        :param deadline_ms: how long the caller waits, in milliseconds
        """
        body = b"" if self.may_repeat else self.request_id.encode()
        lines = [
            f"{'GET' if self.may_repeat else 'POST'} {self.path} HTTP/1.1",
            f"Host: {HOST}",
            f"{ID_HEADER}: {self.request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a node.

    :param headers: names in lower case, in their order
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def values(self, name: str) -> list[str]:
        """Return the values of a header, split at commas.

        :param name: name in lower case
        """
        return [
            value.strip()
            for key, values in self.headers
            if key == name
            for value in values.split(",")
        ]

    def ends_connection(self) -> bool:
        """Return whether the node closes the connection after it."""
        return "close" in self.values("connection")


async def send_part(
    call: Call, port: int, deadline_ms: int, resets: bool
) -> None:
    """Send a request up to the middle of its body, then leave.

    :param call: a request with a body
    :param resets: whether the connection is reset; otherwise it is closed
    :raises OSError: the node accepts no connections
    """
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    request = call.encode(deadline_ms)
    writer.write(request[: -(len(call.request_id) // 2)])
    # The node reads the head before the connection ends.
    await asyncio.sleep(LEAVE_AFTER_S)
    if resets:
        reset_connection(writer)
    else:
        writer.close()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read the next final response.

    :raises EOFError: the connection ended before the end of the response
    :raises ValueError: the bytes are not a response with a known length
    """
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.rstrip("\r\n").split("\r\n")
        status = int(status_line.split(" ")[1])
        if status >= 200:
            break
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.lower(), value.strip()))
    fields = dict(headers)
    if fields.get("transfer-encoding") == "chunked":
        body = await _read_chunks(reader)
    elif status in (204, 304):
        body = b""
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        raise ValueError("response without a length")
    return Response(status, tuple(headers), body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        # Trailers are not compared.
        pass
    return bytes(body)

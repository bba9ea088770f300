"""Emulated searcher that speaks the searchers' protocol, with faults.

It uses a plain socket, because an HTTP server could not send a second
response, cut a response off or stay silent.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from kumquatchute_standins.platform.searcher_entries import make_searcher_entry

RECORD_BYTES = 16
ENDLESS_CHUNK = b"x" * 65_536
# Number of parallel requests that a searcher announces.
SLOTS = 2


class EndlessPart(Enum):
    """Part of a response that has no end."""

    HEAD_LINE = "head line"
    HEADERS = "headers"
    BODY = "body"
    SMALL_CHUNKS = "small chunks"


@dataclass(frozen=True, slots=True)
class SearcherFaults:
    """Faults of a searcher.

    :param delay_s: additional service time in seconds
    :param second_answer: a second response follows each response
    :param cut_answer: responses end in the middle of the body
    :param silent: requests run and get no response
    :param shed: requests are refused as not executed
    :param retry_after: value of ``Retry-After`` in these refusals, if any
    :param fail: requests run and get a response with status 500
    :param leaving: all responses state that the searcher leaves
    :param endless: responses have no end
    :param body_bytes: length of the bodies; None for records
    """

    delay_s: float = 0.0
    second_answer: bool = False
    cut_answer: bool = False
    silent: bool = False
    shed: bool = False
    retry_after: str | None = None
    fail: bool = False
    leaving: bool = False
    endless: EndlessPart | None = None
    body_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that a searcher runs.

    :param target: path and query of the request
    :param received_at: time of the event loop in seconds
    """

    searcher: str
    service: str
    request_id: str
    target: str
    received_at: float


class EmulatedSearcher:
    """Owns the listener of one searcher."""

    def __init__(
        self,
        name: str,
        service: str,
        data_centre: str,
        port: int,
        on_arrival: Callable[[Arrival], None],
    ) -> None:
        """Create a searcher.

        :param on_arrival: called with each request that runs
        """
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.port = port
        self.faults = SearcherFaults()
        self.service_time_s = 0.003
        # Requests a second that the responses state as the limit, if any.
        self.limit_per_s: float | None = None
        self.started_ms = 1_700_000_000_000
        # Times of the event loop at which requests were refused, in seconds.
        self.refused_at: list[float] = []
        self._on_arrival = on_arrival
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def build_entry(self, state: str = "ready", cold_ms: int = 0) -> dict:
        """Return the entry with which the searcher registers.

        :param cold_ms: how long it stays cold, in milliseconds
        """
        return make_searcher_entry(
            self.service,
            f"127.0.0.1:{self.port}",
            self.data_centre,
            SLOTS,
            self.started_ms,
            state,
            cold_ms,
        )

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    async def stop(self) -> None:
        """Stop listening and reset all connections, as in a crash."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._answer_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            # The client has disconnected.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request and return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            key, _, value = line.partition(":")
            headers[key.lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        expected = headers.get("x-expect-instance", self.name)
        request_id = headers.get("x-request-id", "")
        now = asyncio.get_running_loop().time()
        common_headers = {"Server-Leaving": "1"} if self.faults.leaving else {}
        if expected != self.name:
            await _send_response(
                writer, 421, {"X-Instance-Id": self.name}, b""
            )
            return True
        if self.faults.shed:
            self.refused_at.append(now)
            refusal_headers = {"X-Not-Executed": "1", **common_headers}
            if self.faults.retry_after is not None:
                refusal_headers["Retry-After"] = self.faults.retry_after
            await _send_response(writer, 503, refusal_headers, b"")
            return True
        target = lines[0].split(" ")[1]
        self._on_arrival(
            Arrival(self.name, self.service, request_id, target, now)
        )
        await asyncio.sleep(self.service_time_s + self.faults.delay_s)
        if self.faults.endless is not None:
            await _send_without_end(writer, self.faults.endless)
            return False
        if self.faults.silent:
            await reader.read()
            return False
        status = 500 if self.faults.fail else 200
        response_headers = {
            **common_headers,
            "X-Request-Id": request_id,
            "X-Server-Stamp": build_stamp(self.service, request_id),
            "X-Server-Load": "1,0,2",
        }
        if self.limit_per_s is not None:
            response_headers["Server-Limit"] = str(self.limit_per_s)
        body = build_records(self.service, request_id)
        if self.faults.body_bytes is not None:
            body = b"x" * self.faults.body_bytes
        if self.faults.cut_answer:
            await _send_response(
                writer, status, response_headers, body, cut=True
            )
            return False
        await _send_response(writer, status, response_headers, body)
        if self.faults.second_answer:
            await asyncio.sleep(0.002)
            await _send_response(writer, status, response_headers, body)
        return True


def build_stamp(service: str, request_id: str) -> str:
    """Return the stamp of a service's response to a request.

    It shows callers whether a response belongs to another request.
    """
    return f"{service}.{request_id}"


def build_records(service: str, request_id: str) -> bytes:
    """Return the records of a service, which are the same for all requests."""
    number = int.from_bytes(service.encode()[-4:], "big")
    return b"".join(
        ((number * 7919 + step * 104729) % 2**32).to_bytes(RECORD_BYTES, "big")
        for step in range(8)
    )


async def _send_without_end(
    writer: asyncio.StreamWriter, part: EndlessPart
) -> None:
    """Send bytes as fast as they are read, until the connection closes."""
    head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: endless\r\n"
    match part:
        case EndlessPart.HEAD_LINE:
            start, repeated = head + b"X-Line: ", ENDLESS_CHUNK
        case EndlessPart.HEADERS:
            start, repeated = head, b"a: \r\n" * 10_000
        case EndlessPart.BODY:
            start, repeated = head + b"\r\n", ENDLESS_CHUNK
        case EndlessPart.SMALL_CHUNKS:
            chunked = b"Transfer-Encoding: chunked\r\n\r\n"
            start, repeated = head + chunked, b"1\r\nx\r\n" * 10_000
    writer.write(start)
    while True:
        writer.write(repeated)
        await writer.drain()


async def _send_response(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes,
    cut: bool = False,
) -> None:
    lines = [f"HTTP/1.1 {status} Text", f"Content-Length: {len(body)}"]
    lines += [f"{key}: {value}" for key, value in headers.items()]
    sent_body = body[: len(body) // 2] if cut else body
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + sent_body)
    await writer.drain()

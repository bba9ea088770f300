"""Emulated searcher that speaks the searchers' protocol, with faults.

It uses a plain socket, because an HTTP server could not send a second
response, cut a response off or stay silent.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from kumquatchute_standins.platform.fleet.answer_faults import AnswerDraw
from kumquatchute_standins.platform.fleet.answer_faults import AnswerPlan
from kumquatchute_standins.platform.fleet.answer_faults import BrokenOff
from kumquatchute_standins.platform.fleet.answer_faults import CopyPart
from kumquatchute_standins.platform.fleet.answer_faults import draw_plan
from kumquatchute_standins.platform.fleet.answer_faults import Ending
from kumquatchute_standins.platform.fleet.answer_faults import Failure
from kumquatchute_standins.platform.fleet.answer_faults import Head
from kumquatchute_standins.platform.fleet.answer_faults import OtherId
from kumquatchute_standins.platform.fleet.answer_faults import Refusal
from kumquatchute_standins.platform.fleet.answer_faults import SecondCopy
from kumquatchute_standins.platform.fleet.answer_faults import Success
from kumquatchute_standins.platform.fleet.answer_faults import TwoDigests
from kumquatchute_standins.platform.fleet.answer_faults import UntilClosed
from kumquatchute_standins.platform.fleet.answer_faults import WholeDelivery
from kumquatchute_standins.platform.fleet.answer_faults import WholeHead
from kumquatchute_standins.platform.fleet.answer_faults import WithoutDigest
from kumquatchute_standins.platform.fleet.answer_faults import WithoutId
from kumquatchute_standins.platform.fleet.answer_writer import AnswerWriter
from kumquatchute_standins.platform.fleet.answers import Answer
from kumquatchute_standins.platform.fleet.answers import build_records
from kumquatchute_standins.platform.fleet.answers import build_stamp
from kumquatchute_standins.platform.fleet.answers import ID_HEADER
from kumquatchute_standins.platform.fleet.answers import SentAnswer
from kumquatchute_standins.platform.fleet.answers import STAMP_HEADER
from kumquatchute_standins.platform.searcher_entries import make_searcher_entry

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
    :param answers: draws faults for single answers; it goes before
        ``second_answer``, ``cut_answer`` and ``fail``
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
    answers: AnswerDraw | None = None


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
        on_answer: Callable[[SentAnswer], None],
    ) -> None:
        """Create a searcher.

        :param on_arrival: called with each request that runs
        :param on_answer: called with each answer before it is sent, except
            those to requests for other searchers
        """
        self.name = name
        self.service = service
        self.data_centre = data_centre
        self.port = port
        self._faults = SearcherFaults()
        self._rng = Random(name)
        self._answer_count = 0
        self.service_time_s = 0.003
        # Requests a second that the responses state as the limit, if any.
        self.limit_per_s: float | None = None
        self.started_ms = 1_700_000_000_000
        # Times of the event loop at which requests were refused, in seconds.
        self.refused_at: list[float] = []
        self._on_arrival = on_arrival
        self._on_answer = on_answer
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def faults(self) -> SearcherFaults:
        """Faults that are in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: SearcherFaults) -> None:
        """Set the faults, and start the series of drawn answers anew."""
        self._faults = faults
        if faults.answers is not None:
            self._rng.seed(f"{faults.answers.seed}/{self.name}")

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
        answers = AnswerWriter(writer, self._rng)
        try:
            while await self._answer_request(reader, writer, answers):
                pass
        except (OSError, asyncio.IncompleteReadError):
            # The client has disconnected.
            pass
        finally:
            self._writers.discard(writer)
            answers.close()

    async def _answer_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: AnswerWriter,
    ) -> bool:
        """Answer a request and return whether the connection stays open."""
        target, headers = await _read_request(reader)
        expected = headers.get("x-expect-instance", self.name)
        request_id = headers.get("x-request-id", "")
        if expected != self.name:
            return await answers.send(self._build_mismatch(request_id))
        faults = self.faults
        plan = self._choose_plan(faults, request_id)
        now = asyncio.get_running_loop().time()
        if isinstance(plan.kind, Refusal):
            self.refused_at.append(now)
        else:
            self._on_arrival(
                Arrival(self.name, self.service, request_id, target, now)
            )
            await asyncio.sleep(self.service_time_s + faults.delay_s)
            if faults.endless is not None:
                await _send_without_end(writer, faults.endless)
                return False
            if faults.silent:
                await reader.read()
                return False
        answer = self._build_answer(faults, plan, request_id)
        self._record(answer, plan, request_id)
        return await answers.send(answer, plan.delivery)

    def _choose_plan(
        self, faults: SearcherFaults, request_id: str
    ) -> AnswerPlan:
        """Return how a request is answered; health checks have no id."""
        if faults.shed:
            return AnswerPlan(Refusal())
        if faults.answers is not None and request_id:
            return draw_plan(faults.answers, self._rng)
        delivery = WholeDelivery()
        if faults.cut_answer:
            delivery = BrokenOff()
        elif faults.second_answer:
            delivery = SecondCopy(CopyPart.WHOLE, 0.002, 0.002)
        kind = Failure() if faults.fail else Success()
        return AnswerPlan(kind, WholeHead(), delivery)

    def _build_mismatch(self, request_id: str) -> Answer:
        """Return the answer to a request for another searcher."""
        headers = (
            ("X-Not-Executed", "1"),
            ("X-Instance-Id", self.name),
            (ID_HEADER, request_id),
        )
        return Answer(421, headers, b"")

    def _build_answer(
        self, faults: SearcherFaults, plan: AnswerPlan, request_id: str
    ) -> Answer:
        self._answer_count += 1
        stamp = build_stamp(
            self.service, request_id, self.name, self._answer_count
        )
        body = build_records(stamp)
        if faults.body_bytes is not None:
            body = b"x" * faults.body_bytes
        headers = [("Server-Leaving", "1")] if faults.leaving else []
        match plan.kind:
            case Success():
                status = 200
            case Failure(status=status):
                pass
            case Refusal():
                headers.append(("X-Not-Executed", "1"))
                if faults.retry_after is not None:
                    headers.append(("Retry-After", faults.retry_after))
                headers += _identify(plan.head, request_id, None)
                return Answer(503, tuple(headers), b"")
        headers += _identify(plan.head, request_id, stamp)
        headers.append(("X-Server-Load", "1,0,2"))
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
        return Answer(status, tuple(headers), body)

    def _record(
        self, answer: Answer, plan: AnswerPlan, request_id: str
    ) -> None:
        """Report an answer that is about to be sent."""
        digests = [v for k, v in answer.headers if k == STAMP_HEADER]
        is_whole = plan.delivery != UntilClosed(Ending.RESET) and not (
            isinstance(plan.delivery, BrokenOff)
        )
        self._on_answer(
            SentAnswer(
                self.name,
                self.service,
                request_id,
                answer.status,
                digests[0] if len(digests) == 1 else None,
                answer.body,
                is_good=isinstance(plan.kind, Success)
                and len(digests) == 1
                and plan.head != OtherId()
                and is_whole,
                has_run=not isinstance(plan.kind, Refusal),
                sent_at=asyncio.get_running_loop().time(),
            )
        )


async def _read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Read a request.

    :returns: its target, and its headers with names in lower case
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0].split(" ")[1], headers


def _identify(
    head: Head, request_id: str, stamp: str | None
) -> list[tuple[str, str]]:
    """Return the headers that state whose answer it is.

    :param stamp: digest of the answer, None if it has none
    """
    echo = [(ID_HEADER, request_id)]
    digest = [] if stamp is None else [(STAMP_HEADER, stamp)]
    match head:
        case WholeHead():
            return echo + digest
        case WithoutId():
            return digest
        case OtherId():
            return [(ID_HEADER, f"{request_id}.other"), *digest]
        case WithoutDigest():
            return echo
        case TwoDigests():
            return echo + digest + [(STAMP_HEADER, f"{stamp}.other")]


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

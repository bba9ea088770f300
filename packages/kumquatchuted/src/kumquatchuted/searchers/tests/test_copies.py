"""Searchers that answer twice, the second time late.

A virtual clock plays requests one after the other and beside each other, so
that a copy meets a later request on its connection.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
import random

import pytest

from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network

SERVICE = "quiz"
WORK_S = 0.02
TIME_LIMIT_S = 6.0
BODY = b"the answer to "


@dataclass(frozen=True, slots=True)
class Answer:
    """How a searcher answers a request.

    :param names_request: whether it echoes the request id
    :param has_digest: whether a success has its digest
    :param status: 503 refuses the request, which does not run then
    :param copy_after_s: time from the answer to its copy; None without one
    :param copy_share: share of the copy that is sent, from 0 to 1
    """

    names_request: bool = True
    has_digest: bool = True
    status: int = 200
    copy_after_s: float | None = None
    copy_share: float = 1.0

    def encode(self, req: ReceivedRequest) -> bytes:
        """Return the bytes of the answer."""
        body = BODY + req.request_id
        lines = [b"HTTP/1.1 %d Status" % self.status]
        if self.names_request:
            lines.append(b"X-Request-Id: " + req.request_id)
        if self.status == 503:
            lines.append(b"X-Not-Executed: 1")
        elif self.has_digest:
            lines.append(b"X-Server-Stamp: " + digest(req.request_id))
        lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def replies(self, req: ReceivedRequest) -> tuple[Reply, ...]:
        """Return what is sent, and when."""
        data = self.encode(req)
        if self.copy_after_s is None:
            return (Reply(WORK_S, data),)
        sent_bytes = max(1, int(len(data) * self.copy_share))
        copy = Reply(WORK_S + self.copy_after_s, data[:sent_bytes])
        return (Reply(WORK_S, data), copy)


def digest(request_id: bytes) -> bytes:
    """Return the digest of the answer to a request."""
    return b"d." + request_id


class Play:
    """Owns the requests of one run and what the searchers saw of them."""

    def __init__(
        self, draw: "callable", searchers: int, idempotent: bool
    ) -> None:
        """Create it; nothing runs before ``run``.

        :param draw: returns the ``Answer`` to the next request
        :param searchers: number of searchers of the service
        """
        self.loop = NetworkLoop(self._respond)
        self.results: dict[bytes, ForwardResult] = {}
        self.seconds: dict[bytes, float] = {}
        self.runs: Counter[bytes] = Counter()
        self._draw = draw
        self._searchers = searchers
        self._route = Route(
            "r",
            "h",
            "/",
            idempotent,
            TIME_LIMIT_S,
            0.4,
            0,
            2,
            OneService(SERVICE),
        )
        self._responses: dict[bytes, list[Answer]] = {}

    def play(self, count: int, gap_s: float) -> "Play":
        """Send requests, one each ``gap_s`` seconds; return this object."""
        run_on_network(self._run(count, gap_s), self.loop)
        return self

    async def _run(self, count: int, gap_s: float) -> None:
        searchers = SearchersTask(
            EXAMPLE_SETTINGS, self.loop.time, random.Random(1)
        )
        searchers.mailbox.post(build_members((SERVICE,), self._searchers))
        running = asyncio.ensure_future(searchers.run())
        requests = []
        for number in range(count):
            requests.append(
                asyncio.ensure_future(self._request(number, searchers))
            )
            await asyncio.sleep(gap_s)
        await asyncio.gather(*requests)
        running.cancel()

    async def _request(self, number: int, searchers: SearchersTask) -> None:
        request_id = b"r%d" % number
        head = b"POST / HTTP/1.1\r\nX-Request-Id: %s\r\n" % request_id
        started_at = self.loop.time()
        task = ForwardTask(
            self._route,
            SERVICE,
            OutgoingRequest(request_id, b"POST", head, b""),
            started_at + TIME_LIMIT_S,
            searchers.mailbox.post,
            self.loop.time,
        )
        self.results[request_id] = await task.run()
        self.seconds[request_id] = self.loop.time() - started_at

    def _respond(self, req: ReceivedRequest) -> tuple[Reply, ...]:
        answer = self._draw()
        self._responses.setdefault(req.request_id, []).append(answer)
        if answer.status != 503:
            self.runs[req.request_id] += 1
        return answer.replies(req)

    def check(self, at_most_once: bool) -> None:
        """Check what the callers were told against what ran."""
        for request_id, result in self.results.items():
            if result.response is not None and result.response.status < 300:
                assert result.response.body == BODY + request_id
                assert result.response.stamp == digest(request_id)
            if result.failure is not None and result.failure.not_run:
                assert not self.runs[request_id]
            if at_most_once:
                assert self.runs[request_id] <= 1


def served(play: Play) -> int:
    """Return the number of requests that were answered."""
    return sum(item.response is not None for item in play.results.values())


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("idempotent", [True, False])
def test_late_copy_without_an_id_is_not_the_next_answer(
    idempotent: bool,
) -> None:
    """Guards against the answer to an earlier request.

    Neither the answer nor its copy names a request. The copy arrives while
    the next request awaits its response on the same connection.
    """
    answer = Answer(names_request=False, copy_after_s=0.012)
    play = Play(lambda: answer, 1, idempotent).play(40, WORK_S + 0.01)
    play.check(not idempotent)
    assert served(play) == 40


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("share", [0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 0.95])
@pytest.mark.parametrize("idempotent", [True, False])
def test_part_of_a_late_copy_is_not_joined_with_the_next_answer(
    share: float, idempotent: bool
) -> None:
    """Guards against the status or body of two answers in one.

    The copy breaks off inside its head or body and the connection stays open.
    The answer after it must end the exchange at once, and a request that may
    run once must not be reported as not run.
    """
    statuses = [503, 200, 200, 503, 200]
    answers = [
        Answer(status=statuses[number % 5], copy_after_s=0.012)
        for number in range(40)
    ]
    answers = [
        Answer(status=item.status, copy_after_s=0.012, copy_share=share)
        for item in answers
    ]
    remaining = iter(answers * 3)
    play = Play(lambda: next(remaining), 2, idempotent)
    play.play(40, WORK_S + 0.01).check(not idempotent)
    assert max(play.seconds.values()) < 1.0


def test_unproven_response_does_not_wait_until_the_time_limit() -> None:
    """Guards against a caller that waits although its exchange has ended.

    A searcher that names requests sends one response without an id, on a
    connection that was used before. The request may have run.
    """
    answers = iter([Answer(), Answer(names_request=False)])
    play = Play(lambda: next(answers), 1, False).play(2, 0.1)
    result = play.results[b"r1"]
    assert result.failure is not None and not result.failure.not_run
    assert play.seconds[b"r1"] < 0.1


@pytest.mark.parametrize("idempotent", [True, False])
def test_success_without_a_digest_is_not_relayed(idempotent: bool) -> None:
    """Guards against a success that the caller cannot verify.

    A searcher leaves the digest out of one answer in ten. A request that may
    be repeated is sent to another one.
    """
    answers = [Answer(has_digest=number % 10 != 0) for number in range(90)]
    remaining = iter(answers)
    play = Play(lambda: next(remaining), 3, idempotent)
    play.play(60, 0.05).check(not idempotent)
    assert served(play) == (60 if idempotent else 54)


def test_copy_of_a_refusal_is_not_the_refusal_of_the_retry() -> None:
    """Guards against a request that is refused as not run and runs.

    A searcher refuses the first attempt and sends the refusal a second time.
    The retry, which has the same id, must not meet it.
    """
    rng = random.Random(5)

    def draw() -> Answer:
        if rng.random() < 0.5:
            return Answer(status=503, copy_after_s=rng.uniform(0.0, 0.04))
        return Answer()

    for searchers in (1, 2, 3):
        play = Play(draw, searchers, False).play(200, 0.004)
        play.check(at_most_once=True)


@pytest.mark.parametrize("seed", range(40))
def test_answers_belong_to_their_requests(seed: int) -> None:
    """Guards against answers of other requests, in whatever way they mix."""
    rng = random.Random(seed)

    def draw() -> Answer:
        if rng.random() < 0.6:
            return Answer()
        return Answer(
            names_request=rng.random() < 0.5,
            has_digest=rng.random() < 0.9,
            status=rng.choice([200, 200, 200, 500, 503]),
            copy_after_s=rng.choice([None, 0.0, rng.uniform(0.0, 0.2)]),
            copy_share=rng.choice([1.0, rng.random()]),
        )

    idempotent = seed % 2 == 0
    play = Play(draw, rng.choice([1, 3]), idempotent)
    play.play(200, rng.choice([0.002, 0.01, 0.03])).check(not idempotent)

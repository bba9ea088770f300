"""Second copies of responses on a kept connection to a searcher."""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import replace

import msgspec
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.shards import Searcher
from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.target_http.tests.test_target_client import admit_always
from kumquatchuted.target_http.tests.test_target_client import SEARCH
from kumquatchuted.target_http.tests.test_target_client import SEARCH_RESPONSE
from kumquatchuted.target_http.tests.test_target_client import SUBMIT
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Report
from kumquatchuted.targets.client import Unproven
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SubmitAttempt

FIRST = "first"
SECOND = "second"


@dataclass(frozen=True)
class Reply:
    """Response of the server to one attempt.

    :param delay_s: time until it is sent, in seconds
    :param copy_delay_s: time from then until its second copy, in seconds;
        None sends no copy
    """

    status: int
    document: dict
    delay_s: float = 0.0
    copy_delay_s: float | None = None


def encode_response(reply: Reply) -> bytes:
    """Return an HTTP response."""
    body = msgspec.json.encode(reply.document)
    head = (
        b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n" % reply.status
    )
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def run_attempts(
    attempt: SearchAttempt | SubmitAttempt,
    replies: dict[str, Reply],
    pause_s: float,
) -> tuple[list[AttemptResult], list[str]]:
    """Run one attempt after the other with one client.

    :param replies: response to each attempt, by its name
    :param pause_s: time between two attempts, in seconds
    :returns: the results, and the names of the attempts that arrived
    """
    arrived: list[str] = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().split(b"content-length: ")[1]
                body = await reader.readexactly(int(length.split(b"\r\n")[0]))
                name = msgspec.json.decode(body)["attempt"]
                arrived.append(name)
                reply = replies[name]
                await asyncio.sleep(reply.delay_s)
                writer.write(encode_response(reply))
                if reply.copy_delay_s is not None:
                    loop.call_later(
                        reply.copy_delay_s,
                        writer.write,
                        encode_response(reply),
                    )
        writer.close()

    async def main() -> list[AttemptResult]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        searcher = Searcher("s1", "console", f"{host}:{port}", "h", "north")
        client = HttpTargetClient(searcher)
        results = []
        try:
            for name in replies:
                named = replace(attempt, attempt=name)
                results.append(await client.run(named, 1.0, admit_always))
                await asyncio.sleep(pause_s)
            return results
        finally:
            await client.close()
            server.close()
            await asyncio.sleep(0.01)

    return asyncio.run(main()), arrived


def search_document(name: str, documents: int) -> dict:
    """Return the response to a search, with the number of documents."""
    return SEARCH_RESPONSE | {"attempt": name, "docs": documents}


def submit_document(name: str) -> dict:
    """Return the response to a submission."""
    return {"attempt": name, "result": name}


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("copy_delay_s", [0.0, 0.02])
def test_copy_of_a_search_response_is_not_the_next_result(
    copy_delay_s: float,
) -> None:
    """Guards against hits and coverage of another query."""
    replies = {
        FIRST: Reply(
            200, search_document(FIRST, 666), copy_delay_s=copy_delay_s
        ),
        SECOND: Reply(200, search_document(SECOND, 7)),
    }
    results, _ = run_attempts(SEARCH, replies, copy_delay_s + 0.05)
    assert [result.outcome.documents for result in results] == [666, 7]


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("copy_delay_s", [0.0, 0.02])
def test_copy_of_a_submission_result_is_not_the_next_result(
    copy_delay_s: float,
) -> None:
    """Guards against the result of one submission recorded for another.

    The copy arrives while no request is pending, so the second submission has
    not been sent and gets a connection of its own. It is sent once.
    """
    replies = {
        FIRST: Reply(200, submit_document(FIRST), copy_delay_s=copy_delay_s),
        SECOND: Reply(200, submit_document(SECOND)),
    }
    results, arrived = run_attempts(SUBMIT, replies, copy_delay_s + 0.05)
    assert [result.outcome.result for result in results] == [FIRST, SECOND]
    assert arrived == [FIRST, SECOND]


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("copy_delay_s", [0.0, 0.02])
def test_copy_of_a_refusal_does_not_mark_a_submission_not_run(
    copy_delay_s: float,
) -> None:
    """Guards against a submission that runs and counts as not run.

    Its record would be marked abandoned, so that a repetition runs it again.
    """
    refusal = {"kind": "shed", "attempt": FIRST}
    replies = {
        FIRST: Reply(503, refusal, copy_delay_s=copy_delay_s),
        SECOND: Reply(200, submit_document(SECOND)),
    }
    results, arrived = run_attempts(SUBMIT, replies, copy_delay_s + 0.05)
    assert results[0].outcome.not_run
    assert results[1].outcome.result == SECOND
    assert arrived == [FIRST, SECOND]


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize(
    "status,document",
    [
        (200, submit_document(FIRST)),
        (400, {"reason": "no such quiz", "attempt": FIRST}),
        (503, {"kind": "shed", "attempt": FIRST}),
    ],
)
def test_copy_that_meets_a_pending_submission_leaves_its_outcome_unknown(
    status: int, document: dict
) -> None:
    """Guards against a copy that is the result of the pending submission.

    The submission runs, so that neither the result of another one nor "not
    run" is true. The third one gets a connection without old responses.
    """
    replies = {
        FIRST: Reply(status, document, copy_delay_s=0.05),
        SECOND: Reply(200, submit_document(SECOND), delay_s=0.2),
        "third": Reply(200, submit_document("third")),
    }
    results, arrived = run_attempts(SUBMIT, replies, 0.0)
    outcome = results[1].outcome
    assert isinstance(outcome, AttemptFailed)
    assert outcome.kind is ErrorKind.OUTCOME_UNKNOWN
    assert not outcome.not_run
    assert results[1].exchange == Unproven()
    assert results[2].outcome.result == "third"
    assert arrived == [FIRST, SECOND, "third"]


@pytest.mark.parametrize("attempt", [SEARCH, SUBMIT])
@pytest.mark.parametrize("name", ["", "another"])
@pytest.mark.parametrize("status", [200, 400, 409, 500, 503])
def test_response_that_does_not_name_its_attempt_is_not_its_result(
    attempt: SearchAttempt | SubmitAttempt, name: str, status: int
) -> None:
    """Guards against responses that belong to any request.

    Without the name of its attempt, a response on a connection that was used
    before can be a copy of an earlier one.
    """
    document = SEARCH_RESPONSE | submit_document(name) | {"kind": "shed"}
    if not name:
        del document["attempt"]
    (result,), _ = run_attempts(attempt, {FIRST: Reply(status, document)}, 0.0)
    assert result.exchange == Unproven()
    assert isinstance(result.outcome, AttemptFailed)
    assert not result.outcome.not_run


def test_searcher_that_responds_before_each_request_gets_no_submission() -> (
    None
):
    """Guards against a submission that is sent again and again.

    A response on a new connection before the request is none to it.
    """
    arrived = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal arrived
        arrived += 1
        reply = Reply(200, submit_document("m1"))
        with contextlib.suppress(OSError):
            writer.write(encode_response(reply))
            await reader.read()
        writer.close()

    async def main() -> AttemptResult:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        searcher = Searcher("s1", "console", f"{host}:{port}", "h", "north")
        client = HttpTargetClient(searcher)

        async def admit_late(is_on_new_conn: bool) -> None:
            await asyncio.sleep(0.05)

        try:
            return await client.run(SUBMIT, 1.0, admit_late)
        finally:
            await client.close()
            server.close()
            await asyncio.sleep(0.01)

    result = asyncio.run(main())
    assert result.outcome.kind is ErrorKind.TARGET_FAILED
    assert result.outcome.not_run
    assert result.exchange == Unproven()
    assert arrived == 1


def test_copy_of_a_report_or_cancellation_is_not_the_next_one() -> None:
    """Guards against an old load report and a slot that is freed too early.

    Responses to cancellations and reports share connections with attempts.
    """
    incarnations = iter(("i1", "i2", "i3", "i4", "i5"))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if head.startswith(b"GET"):
                    query = head.split(b"attempt=")[1]
                    name = query.split(b" ")[0].decode()
                else:
                    length = head.lower().split(b"content-length: ")[1]
                    data = await reader.readexactly(
                        int(length.split(b"\r\n")[0])
                    )
                    name = msgspec.json.decode(data)["attempt"]
                document = {
                    "attempt": name,
                    "cancelled": True,
                    "healthy": True,
                    "incarnation": next(incarnations),
                }
                message = encode_response(Reply(200, document))
                writer.write(message)
                loop.call_later(0.01, writer.write, message)
        writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        searcher = Searcher("s1", "console", f"{host}:{port}", "h", "north")
        client = HttpTargetClient(searcher)
        try:
            assert await client.cancel("q1", 1.0) == Cancelled("i1")
            await asyncio.sleep(0.05)
            assert await client.cancel("q2", 1.0) == Cancelled("i2")
            await asyncio.sleep(0.05)
            # The copy of the second response is read in place of a report.
            assert await client.read_report(1.0) is None
            report = await client.read_report(1.0)
            assert report == Report(True, False, "i5")
        finally:
            await client.close()
            server.close()
            await asyncio.sleep(0.01)

    asyncio.run(main())

"""Tests the HTTP client against a server on the loopback interface."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace

from aiohttp import web
import msgspec
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.targets.client import Cancelled
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SubmitAttempt

SEARCH = SearchAttempt("q1", "console", "s1", "0", 3, 4, ("x",), 5, 0)
SUBMIT = SubmitAttempt("m1", "quiz", "s1", "p", 0)
SEARCH_RESPONSE = {
    "attempt": SEARCH.attempt,
    "hits": [],
    "docs": 7,
    "index_version": 3,
    "map_version": 4,
}


class Server:
    """Answers all requests with a function and records their paths."""

    def __init__(self, respond: Callable[[web.Request], Awaitable]) -> None:
        self.paths: list[str] = []
        self._respond = respond

    async def handle(self, req: web.Request) -> web.StreamResponse:
        self.paths.append(req.path)
        return await self._respond(req)


def with_client(
    respond: Callable[[web.Request], Awaitable],
    body: Callable[[HttpTargetClient, Server], Awaitable],
) -> None:
    """Run a test with a server on a free port and a client for it.

    :param respond: returns the response of the server to a request
    :param body: test that gets the client and the server
    """

    async def main() -> None:
        server = Server(respond)
        runner = web.ServerRunner(
            web.Server(server.handle), shutdown_timeout=0.1
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        host, port = runner.addresses[0]
        searcher = Searcher("s1", "console", f"{host}:{port}", "h", "north")
        client = HttpTargetClient(searcher)
        try:
            await body(client, server)
        finally:
            await client.close()
            await runner.cleanup()

    asyncio.run(main())


def json_response(status: int, document: dict) -> web.Response:
    return web.Response(status=status, body=msgspec.json.encode(document))


async def admit_always(is_on_new_conn: bool) -> None:
    return None


def test_search_response_is_decoded_with_versions():
    """Guards against a result without its snapshot or coverage.

    A query could not tell results of another snapshot from its own.
    """

    async def respond(req: web.Request) -> web.Response:
        return json_response(
            200, SEARCH_RESPONSE | {"incarnation": "i1", "cold": True}
        )

    async def body(client: HttpTargetClient, server: Server) -> None:
        result = await client.run(SEARCH, 1.0, admit_always)
        assert result.exchange == Completed("i1", True)
        outcome = result.outcome
        assert (outcome.index_version, outcome.map_version) == (3, 4)
        assert outcome.documents == 7

    with_client(respond, body)


@pytest.mark.parametrize(
    "status,document,kind,not_run",
    [
        (409, {"index_version": 9}, ErrorKind.WRONG_VERSION, False),
        (503, {"kind": "shed"}, ErrorKind.TARGET_SHED, True),
        (503, {"kind": "draining"}, ErrorKind.TARGET_SHED, True),
        (503, {"kind": "failed"}, ErrorKind.TARGET_SHED, False),
        (503, {}, ErrorKind.TARGET_SHED, False),
        (500, {}, ErrorKind.TARGET_FAILED, False),
        (200, {"hits": 1}, ErrorKind.TARGET_FAILED, False),
        (302, {}, ErrorKind.TARGET_FAILED, False),
    ],
)
def test_response_without_result_is_classified(
    status, document, kind, not_run
):
    """Guards against "not run" for an attempt that may have run.

    Only status 503 of kind ``shed`` or ``draining`` states that nothing ran.
    After any other, a retry is extra load and needs a grant.
    """

    async def respond(req: web.Request) -> web.Response:
        return json_response(status, {"attempt": "q1"} | document)

    async def body(client: HttpTargetClient, server: Server) -> None:
        outcome = (await client.run(SEARCH, 1.0, admit_always)).outcome
        assert (outcome.kind, outcome.not_run) == (kind, not_run)
        assert outcome.newer_version == document.get("index_version", 0)

    with_client(respond, body)


@pytest.mark.proves(
    "search: send", "lease expired while its holder was paused"
)
def test_attempt_that_is_not_admitted_sends_no_byte():
    """Guards against attempts sent after the authority to send was lost.

    This can happen while an attempt waits for a connection.
    """

    async def respond(req: web.Request) -> web.Response:
        return json_response(200, SEARCH_RESPONSE)

    async def body(client: HttpTargetClient, server: Server) -> None:
        await client.run(SEARCH, 1.0, admit_always)
        failure = Failure(ErrorKind.NOT_CURRENT, "not current", True)

        async def refuse(is_on_new_conn: bool) -> Failure:
            return failure

        result = await client.run(SEARCH, 1.0, refuse)
        assert result.exchange == NotSent()
        assert result.outcome.kind is ErrorKind.NOT_CURRENT
        await asyncio.sleep(0.05)
        assert server.paths == ["/search"]

    with_client(respond, body)


@pytest.mark.proves("submission: send", "replica lost")
def test_reset_connection_is_never_retried():
    """Guards against a submission that the HTTP library sends twice.

    The searcher may have run it before it resets the connection. Many
    libraries retry if they had used the connection before.
    """

    async def respond(req: web.Request) -> web.Response:
        if len(server_paths(req)) > 1:
            req.transport.abort()
        return json_response(
            200, {"attempt": "m1", "result": "ok", "healthy": True}
        )

    def server_paths(req: web.Request) -> list[str]:
        return servers[0].paths

    servers: list[Server] = []

    async def body(client: HttpTargetClient, server: Server) -> None:
        servers.append(server)
        await client.run(SUBMIT, 1.0, admit_always)
        result = await client.run(SUBMIT, 1.0, admit_always)
        assert result.exchange == Disconnected()
        assert result.outcome.kind is ErrorKind.OUTCOME_UNKNOWN
        assert not result.outcome.not_run
        assert await client.read_report(1.0) == NotConnected()
        assert server.paths == ["/submit", "/submit", "/health"]

    with_client(respond, body)


@pytest.mark.proves("search: merge", "replica lost")
def test_truncated_response_gives_no_result():
    """Guards against a partial response that is taken for a whole one.

    The connection closes early, and what has arrived is valid JSON.
    """

    async def respond(req: web.Request) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"Content-Length": "500"})
        await resp.prepare(req)
        await resp.write(msgspec.json.encode(SEARCH_RESPONSE))
        req.transport.close()
        return resp

    async def body(client: HttpTargetClient, server: Server) -> None:
        result = await client.run(SEARCH, 1.0, admit_always)
        assert result.exchange == Disconnected()
        assert result.outcome.kind is ErrorKind.TARGET_FAILED

    with_client(respond, body)


def test_response_over_the_limit_is_rejected():
    """Guards against responses of unlimited length in memory.

    A faulty searcher could use up the memory of the node.
    """

    async def respond(req: web.Request) -> web.Response:
        return json_response(
            200, SEARCH_RESPONSE | {"padding": " " * (3 << 20)}
        )

    async def body(client: HttpTargetClient, server: Server) -> None:
        outcome = (await client.run(SEARCH, 1.0, admit_always)).outcome
        assert outcome.kind is ErrorKind.TARGET_FAILED

    with_client(respond, body)


@pytest.mark.proves("search: merge", "straggler")
def test_late_response_never_reaches_another_request():
    """Guards against a response that is taken for that of another attempt.

    The searcher responds after the attempt was cancelled or timed out, while
    the client already sends the next one.
    """

    async def respond(req: web.Request) -> web.Response:
        request_body = msgspec.json.decode(await req.read())
        if request_body["attempt"] == "slow":
            await asyncio.sleep(0.1)
            return json_response(200, SEARCH_RESPONSE | {"docs": 666})
        return json_response(200, SEARCH_RESPONSE)

    async def body(client: HttpTargetClient, server: Server) -> None:
        slow = replace(SEARCH, attempt="slow")
        running = asyncio.create_task(client.run(slow, 1.0, admit_always))
        await asyncio.sleep(0.03)
        running.cancel()
        timed_out = await client.run(slow, 0.03, admit_always)
        assert timed_out.exchange == TimedOut()
        assert not timed_out.outcome.not_run
        for _ in range(10):
            result = await client.run(SEARCH, 1.0, admit_always)
            assert result.outcome.documents == 7
            await asyncio.sleep(0.02)

    with_client(respond, body)


def test_closed_idle_connection_is_detected():
    """Guards against full load on a process that restarted while idle.

    The closed connection is the only sign before the next attempt.
    """

    async def respond(req: web.Request) -> web.Response:
        asyncio.get_running_loop().call_later(0.1, req.transport.abort)
        return json_response(200, SEARCH_RESPONSE)

    async def body(client: HttpTargetClient, server: Server) -> None:
        assert not client.is_connected()
        await client.run(SEARCH, 1.0, admit_always)
        assert client.is_connected()
        await asyncio.sleep(0.2)
        assert not client.is_connected()

    with_client(respond, body)


def test_admission_is_told_whether_the_connection_is_new():
    """Guards against many concurrent attempts on an unverified process.

    Behind a new connection there may be a process that just started.
    """

    async def respond(req: web.Request) -> web.Response:
        await asyncio.sleep(0.05)
        return json_response(200, SEARCH_RESPONSE)

    async def body(client: HttpTargetClient, server: Server) -> None:
        new_conn_flags: list[bool] = []

        async def admit(is_on_new_conn: bool) -> None:
            new_conn_flags.append(is_on_new_conn)

        for _ in range(2):
            await asyncio.gather(
                *(client.run(SEARCH, 1.0, admit) for _ in range(2))
            )
        assert new_conn_flags == [True, True, False, False]

    with_client(respond, body)


@pytest.mark.parametrize("cancelled", [True, False])
def test_cancellation_that_the_searcher_accepts_frees_the_slot(cancelled):
    """Guards against a slot that stays occupied for 0.9 s longer.

    Status 200 frees it also if the attempt has already ended, or is still on
    its way: it is not run when it arrives.
    """

    async def respond(req: web.Request) -> web.Response:
        return json_response(
            200,
            {"attempt": "q1", "cancelled": cancelled, "incarnation": "i1"},
        )

    async def body(client: HttpTargetClient, server: Server) -> None:
        assert await client.cancel("q1", 1.0) == Cancelled("i1")

    with_client(respond, body)


@pytest.mark.proves("submission: send", "replica lost")
def test_attempt_at_an_unreachable_searcher_is_not_run():
    """Guards against "outcome unknown" for a refused connection.

    No byte was sent, so nothing of the submission can have run.
    """

    async def body(client: HttpTargetClient, server: Server) -> None:
        searcher = Searcher("s2", "console", "127.0.0.1:1", "h", "north")
        unreachable = HttpTargetClient(searcher)
        result = await unreachable.run(SUBMIT, 1.0, admit_always)
        assert result.exchange == NotConnected()
        assert result.outcome.not_run
        assert await unreachable.cancel("m1", 1.0) == Cancelled()
        await unreachable.close()

    async def respond(req: web.Request) -> web.Response:
        return json_response(200, {})

    with_client(respond, body)


@pytest.mark.parametrize("is_sent", [True, False])
def test_unexpected_error_ends_the_attempt_and_not_the_node(
    monkeypatch, is_sent
):
    """Guards against a library error that ends the node.

    aiohttp raises an error that is no failure of a connection. If it is not
    caught, it ends the node and all running searches.
    """

    async def fail(
        self, method: str, path: str, attempt: str, timeout_s: float, body=None
    ) -> None:
        if body is not None:
            body.is_sent = is_sent
        raise ValueError("a header cannot be parsed")

    monkeypatch.setattr(HttpTargetClient, "_request", fail)

    async def body(client: HttpTargetClient, server: Server) -> None:
        result = await client.run(SEARCH, 1.0, admit_always)
        assert result.exchange == (
            Disconnected() if is_sent else NotConnected()
        )
        assert result.outcome.not_run == (not is_sent)
        assert await client.read_report(1.0) == NotConnected()

    async def respond(req: web.Request) -> web.Response:
        return json_response(200, SEARCH_RESPONSE)

    with_client(respond, body)

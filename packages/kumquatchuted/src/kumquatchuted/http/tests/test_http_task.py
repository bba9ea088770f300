"""Tests the HTTP task with a real listener and fake tasks behind it."""

import asyncio
from contextlib import asynccontextmanager
import hashlib
import io
import json
import random
import time

import aiohttp
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Coverage
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.query import Snapshot
from kumquatchute_model.query import SubmissionOutcome
from kumquatchute_model.settings import ListenSettings
from kumquatchute_model.settings import NodeSettings
from kumquatchute_model.settings import PlatformSettings
from kumquatchute_model.settings import Role
from kumquatchute_model.settings import SecuritySettings
from kumquatchute_model.settings import ServiceSettings
from kumquatchute_model.settings import Settings
from kumquatchute_model.settings import TokenSettings
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.http.messages import RequestInboxes
from kumquatchuted.http.task import HttpTask
from kumquatchuted.logs import LogHandler
from kumquatchuted.mailbox import answer
from kumquatchuted.metrics import Metrics
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.submission.messages import SubmissionCall
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.messages import TargetStatus
from kumquatchuted.tickets.messages import ListTickets
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketAccepted
from kumquatchuted.tickets.messages import TicketShown
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

CALLER_TOKEN, OPERATOR_TOKEN = "SECRET-caller", "SECRET-operator"
SEARCH_PATH = "/v1/services/billing/search"
SUBMIT_PATH = "/v1/services/billing/submissions"
KEY = "01940000-0000-7000-8000-0000000000ab"
TICKET = Ticket(1, "", "amna", (DcState("atl-east", False),))
DRAFT = {"entries": [{"type": "dc", "dc": "atl-east", "in_service": False}]}
MALFORMED = ErrorKind.MALFORMED


def make_token(identity, role, text):
    digest = hashlib.sha256(text.encode()).hexdigest()
    return TokenSettings(identity, role, digest)


SETTINGS = Settings(
    node=NodeSettings("n1", "h1", "atl-east", "atl"),
    listen=ListenSettings("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
    platform=PlatformSettings("http://127.0.0.1:1"),
    dcs=("atl-east",),
    services=(ServiceSettings("billing"),),
    security=SecuritySettings(
        tokens=(
            make_token("site", Role.INTERACTIVE, CALLER_TOKEN),
            make_token("amna", Role.OPERATOR, OPERATOR_TOKEN),
        )
    ),
)


def answer_request(message):
    match message.request:
        case SearchCall(request=request):
            result = SearchAnswer(
                (), Snapshot(7, 8, 9), Coverage(1, 4, ("s2",)), (request.name,)
            )
        case SubmissionCall(key=key):
            result = SubmissionOutcome(key, 200, "done")
        case SubmitTicket():
            result = TicketAccepted(1, TICKET.digest())
        case ShowTicket():
            result = TicketShown(TICKET, ("n1", "n2"), True)
        case ListTickets():
            result = (TICKET,)
    answer(message, result)


class HttpNode:
    """A running HTTP task and a client of its listeners."""

    def __init__(self, task, running_task, client):
        self.task = task
        self.running_task = running_task
        self.client = client

    def url(self, path):
        return f"http://127.0.0.1:{self.task.caller_port}{path}"

    async def send(self, method, path, *, bearer=CALLER_TOKEN, **options):
        headers = {"Authorization": f"Bearer {bearer}"}
        headers.update(options.pop("headers", {}))
        async with self.client.request(
            method, self.url(path), headers=headers, **options
        ) as resp:
            return resp.status, await resp.json()

    async def get_from_metrics(self, path):
        port = self.task.metrics_port
        async with self.client.get(f"http://127.0.0.1:{port}{path}") as resp:
            return resp.status, await resp.text()


@asynccontextmanager
async def running_node(post=answer_request):
    task = HttpTask(
        SETTINGS, RequestInboxes(post, post, post), Metrics(), time.monotonic
    )
    assert task.bind() is None
    running_task = asyncio.create_task(task.run())
    async with aiohttp.ClientSession() as client:
        yield HttpNode(task, running_task, client)
    running_task.cancel()
    await asyncio.gather(running_task, return_exceptions=True)


def run(scenario, post=answer_request):
    async def main():
        async with running_node(post) as node:
            return await scenario(node)

    return asyncio.run(main())


def send_refused(post=None, **request):
    """Send a request that must not reach a task, and return the response."""
    received = []

    async def scenario(node):
        return await node.send(**request)

    status, body = run(scenario, post or received.append)
    assert not received
    return status, body


def test_search_response_states_snapshot_and_coverage():
    """Guards against a response that hides which data it covers.

    The caller would take the hits of one of four documents for all hits.
    """

    async def scenario(node):
        return await node.send("POST", SEARCH_PATH, json={"name": "Nguyen"})

    status, body = run(scenario)
    assert status == 200
    assert body == {
        "hits": [],
        "snapshot": {"index_version": 7, "map_version": 8, "ticket": 9},
        "coverage": {
            "documents": 1,
            "total": 4,
            "fraction": 0.25,
            "missing": ["s2"],
        },
        "names": ["Nguyen"],
    }


@pytest.mark.parametrize(
    "data",
    [
        "",
        "{",
        "[]",
        "\xff",
        "[" * 20_000,
        '{"limit": 1}',
        '{"name": 1}',
        '{"name": "a", "deadline": 5}',
        '{"name": "a", "limit": 0}',
        '{"name": "a", "limit": 1.5}',
        '{"name": "a", "deadline_ms": 0}',
        '{"name": "a", "deadline_ms": 10001}',
        '{"name": " "}',
        json.dumps({"name": "x" * 201}),
    ],
)
def test_malformed_search_is_refused_and_not_run(data):
    """Guards against malformed input that reaches the search task.

    An exception in that task would stop the whole node.
    """
    status, body = send_refused(
        method="POST", path=SEARCH_PATH, data=data.encode("latin-1")
    )
    assert (status, body["kind"], body["not_run"]) == (400, "malformed", True)


@pytest.mark.parametrize(
    ("path", "bearer"),
    [
        (SEARCH_PATH, CALLER_TOKEN),
        (SUBMIT_PATH, CALLER_TOKEN),
        ("/v1/tickets", OPERATOR_TOKEN),
    ],
)
def test_deeply_nested_body_is_refused(path, bearer):
    """Guards against an internal error for a body that cannot be decoded."""
    _, body = send_refused(
        method="POST",
        path=path,
        bearer=bearer,
        data=b"[" * 5_000 + b"]" * 5_000,
        headers={"Idempotency-Key": KEY},
    )
    assert (body["kind"], body["not_run"]) == (MALFORMED.value, True)


@pytest.mark.parametrize(
    ("path", "bearer", "kind"),
    [
        (SEARCH_PATH, "wrong", ErrorKind.UNAUTHENTICATED),
        (SEARCH_PATH, "", ErrorKind.UNAUTHENTICATED),
        (SEARCH_PATH, "gr\u00fcn", ErrorKind.UNAUTHENTICATED),
        (SUBMIT_PATH, OPERATOR_TOKEN, ErrorKind.FORBIDDEN),
        ("/v1/tickets", CALLER_TOKEN, ErrorKind.FORBIDDEN),
        ("/v1/services/x/search", CALLER_TOKEN, ErrorKind.UNKNOWN_SERVICE),
        ("/v1/nothing", CALLER_TOKEN, ErrorKind.NOT_FOUND),
        ("/metrics", CALLER_TOKEN, ErrorKind.NOT_FOUND),
        ("/v1/status", OPERATOR_TOKEN, MALFORMED),
    ],
)
def test_unauthorised_or_unknown_request_is_refused(path, bearer, kind):
    """Guards against work for a sender without the right to request it.

    The token is unknown, its role does not allow the request, or the service
    or path does not exist.
    """
    _, body = send_refused(
        method="POST", path=path, bearer=bearer, json={"name": "a"}
    )
    assert (body["kind"], body["not_run"]) == (kind.value, True)


def chunks(count):
    async def generate():
        for _ in range(count):
            yield b" " * 100_000

    return generate()


@pytest.mark.parametrize("chunked", [False, True])
def test_oversized_body_is_refused(chunked):
    """Guards against unlimited memory use for a body.

    The header states the size, or the body comes in chunks of unknown number.
    """

    async def scenario(node):
        data = chunks(11) if chunked else b" " * 1_000_001
        return await node.send("POST", SEARCH_PATH, data=data)

    status, body = run(scenario, post=None)
    assert (status, body["kind"], body["not_run"]) == (413, "too_large", True)


def test_oversized_ticket_is_refused():
    """Guards against a ticket that is too large to record.

    Its body is within the limit of requests, but not within that of tickets.
    """
    entries = [{"type": "name", "name": "x", "aliases": ["y" * 950_000]}]
    status, body = send_refused(
        method="POST",
        path="/v1/tickets",
        bearer=OPERATOR_TOKEN,
        json={"entries": entries},
    )
    assert (status, body["kind"]) == (413, "too_large")


@pytest.mark.parametrize(
    "key", [None, "x", "6ba7b810-9dad-41d1-80b4-00c04fd430c8"]
)
def test_submission_without_a_uuid_v7_is_refused(key):
    """Guards against a submission that runs twice when it is sent again.

    The key tells a retry from a new submission. It is missing, malformed or a
    UUID of version 4.
    """
    headers = {"Idempotency-Key": key} if key else {}
    status, body = send_refused(
        method="POST", path=SUBMIT_PATH, headers=headers, json={"payload": "p"}
    )
    assert (status, body["kind"], body["not_run"]) == (400, "malformed", True)


def test_spellings_of_a_key_give_the_same_key():
    """Guards against a second run of a submission.

    A retry spells the key in capitals, in braces or without dashes.
    """

    async def scenario(node):
        answers = []
        for key in (KEY, KEY.upper(), "{" + KEY + "}", KEY.replace("-", "")):
            _, body = await node.send(
                "POST",
                SUBMIT_PATH,
                headers={"Idempotency-Key": key},
                json={"payload": "p"},
            )
            answers.append(body["attempt"])
        return answers

    assert set(run(scenario)) == {KEY}


@pytest.mark.proves("search: wait", "straggler")
def test_concurrent_requests_each_get_their_own_answer():
    """Guards against answers that are swapped between requests.

    The task answers 100 concurrent searches in random order.
    """
    rng = random.Random(5)

    def post(message):
        delay = rng.uniform(0, 0.1)
        asyncio.get_running_loop().call_later(delay, answer_request, message)

    async def scenario(node):
        async def search(name):
            _, body = await node.send("POST", SEARCH_PATH, json={"name": name})
            return name, body["names"]

        return await asyncio.gather(*(search(f"name{i}") for i in range(100)))

    assert all(names == [name] for name, names in run(scenario, post))


def test_disconnect_of_the_caller_cancels_its_request():
    """Guards against work for callers that have disconnected.

    The task sees the cancelled future and stops work on the request.
    """
    received = []

    async def scenario(node):
        call = asyncio.ensure_future(
            node.send(
                "POST",
                SEARCH_PATH,
                json={"name": "a", "deadline_ms": 10_000},
            )
        )
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.01)
        call.cancel()
        for _ in range(100):
            if received[0].fut.cancelled():
                return True
            await asyncio.sleep(0.01)
        return False

    assert run(scenario, received.append)


@pytest.mark.parametrize(
    ("path", "body", "kind"),
    [
        (SEARCH_PATH, {"name": "a"}, "deadline_exceeded"),
        (SUBMIT_PATH, {"payload": "p"}, "outcome_unknown"),
    ],
)
def test_missing_answer_times_out_and_is_not_reported_as_not_run(
    path, body, kind
):
    """Guards against an endless wait and a wrong "not run".

    The task never answers. The request may have run, so a caller that is told
    "not run" could run it twice.
    """

    async def scenario(node):
        return await node.send(
            "POST",
            path,
            headers={"Idempotency-Key": KEY},
            json=body | {"deadline_ms": 50},
        )

    status, failure = run(scenario, lambda message: None)
    assert (status, failure["kind"]) == (504, kind)
    assert failure["not_run"] is False


@pytest.mark.parametrize("kind", [ErrorKind.STOPPING, ErrorKind.OVERLOADED])
def test_failure_of_a_task_reaches_the_caller_unchanged(kind):
    """Guards against a lost kind, reason or "not run" of a failure.

    From these the caller decides whether to send the request again.
    """

    def post(message):
        answer(message, Failure(kind, "why", not_run=True))

    async def scenario(node):
        _, body = await node.send("POST", SEARCH_PATH, json={"name": "a"})
        return body, (await node.get_from_metrics("/metrics"))[1]

    body, metrics = run(scenario, post)
    assert body == {"kind": kind.value, "reason": "why", "not_run": True}
    assert f'refusals_total{{kind="{kind.value}"}} 1.0' in metrics


def test_secrets_and_internals_stay_out_of_answers_and_logs():
    """Guards against leaks of tokens, requests and exception texts.

    An exception whose text contains a secret is raised while a request is
    handled; the request itself holds a token and a name.
    """
    stream = io.StringIO()

    def post(message):
        raise RuntimeError("SECRET inside")

    async def scenario(node):
        for bearer in (CALLER_TOKEN, OPERATOR_TOKEN, "SECRET-unknown"):
            sent = await node.send(
                "POST", SEARCH_PATH, bearer=bearer, json={"name": "SECRET"}
            )
            texts.append(json.dumps(sent))
        texts.append(json.dumps(await node.send("GET", "/v1/tickets/SECRET")))
        texts.append((await node.get_from_metrics("/metrics"))[1])

    texts = []
    with LogHandler(time.monotonic, stream).applicationbound():
        run(scenario, post)
    assert '"kind": "internal"' in texts[0]
    assert "RuntimeError at test_http_task.py" in stream.getvalue()
    assert "SECRET" not in stream.getvalue() + "".join(texts)


def test_tickets_are_submitted_shown_and_listed():
    """Guards against fields that are lost between ticket task and operator.

    They are the digest of an accepted ticket, its holders and its entries.
    """

    async def scenario(node):
        accepted = await node.send(
            "POST", "/v1/tickets", bearer=OPERATOR_TOKEN, json=DRAFT
        )
        shown = await node.send("GET", "/v1/tickets/1", bearer=OPERATOR_TOKEN)
        log = await node.send(
            "GET", "/v1/tickets?after=0", bearer=OPERATOR_TOKEN
        )
        bad = await node.send(
            "GET", "/v1/tickets?after=-1", bearer=OPERATOR_TOKEN
        )
        return accepted[1], shown[1], log[1], bad[1]

    accepted, shown, log, bad = run(scenario)
    assert accepted == {"number": 1, "digest": TICKET.digest()}
    assert shown["accepted"] and shown["held_by"] == ["n1", "n2"]
    assert shown["ticket"]["entries"] == DRAFT["entries"]
    assert log["tickets"] == [shown["ticket"]]
    assert bad["kind"] == "malformed"


def test_new_ticket_is_refused_once_the_node_is_stopping():
    """Guards against a new ticket that delays the stop of the node."""

    async def scenario(node):
        node.task.post(ReadyChanged(False, "stopping", stopping=True))
        await asyncio.sleep(0.05)
        return await node.send(
            "POST", "/v1/tickets", bearer=OPERATOR_TOKEN, json=DRAFT
        )

    status, body = run(scenario)
    assert (status, body["kind"], body["not_run"]) == (503, "stopping", True)


def test_readiness_and_status_follow_the_messages():
    """Guards against a stale readiness or status.

    The load balancer would send callers to a node that is not ready, and
    operators would see an older ticket than the node has applied.
    """

    async def scenario(node):
        before = await node.get_from_metrics("/readyz")
        for message in (
            ReadyChanged(True),
            ViewChanged(View(3, "d", dcs_out=frozenset({"atl-south"}))),
            CurrentUntil(time.monotonic() + 60),
            OwnedTargetsStatus(
                (TargetStatus("s1", "console", False, 1, 0, 0),)
            ),
        ):
            node.task.post(message)
        await asyncio.sleep(0.05)
        ready = await node.get_from_metrics("/readyz")
        healthy = await node.get_from_metrics("/healthz")
        _, status = await node.send("GET", "/v1/status", bearer=OPERATOR_TOKEN)
        return before, ready, healthy, status

    before, ready, healthy, status = run(scenario)
    assert (before[0], ready[0], healthy[0]) == (503, 200, 200)
    assert status["ready"] and status["current"]
    assert (status["ticket"], status["dcs_out"]) == (3, ["atl-south"])
    assert status["cold_targets"] == ["s1"]
    assert 0 <= status["confirmation_age_s"] < 5


def test_connections_close_while_the_node_is_not_ready():
    """Guards against a request that arrives as the listener closes.

    A caller with a keep-alive connection would keep using a node that stops.
    """

    async def scenario(node):
        async with node.client.get(node.url("/v1/status")) as resp:
            closing = resp.headers.get("Connection")
        node.task.post(ReadyChanged(True))
        await asyncio.sleep(0.05)
        async with node.client.get(node.url("/v1/status")) as resp:
            return closing, resp.headers.get("Connection")

    assert run(scenario) == ("close", None)


def test_endless_request_header_closes_the_connection():
    """Guards against unlimited memory use for a header that never ends."""

    async def scenario(node):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.task.caller_port
        )
        writer.write(b"GET / HTTP/1.1\r\nX: ")
        try:
            for _ in range(100):
                writer.write(b"x" * 10_000)
                await writer.drain()
            await asyncio.wait_for(reader.read(), 5)
        except ConnectionError:
            pass
        writer.close()
        return True

    assert run(scenario)


def test_incomplete_request_header_closes_the_connection(monkeypatch):
    """Guards against dead connections that stay open forever.

    The caller stops in the middle of a header without closing the connection.
    """
    monkeypatch.setattr("kumquatchuted.http.server.HEADER_TIMEOUT_S", 0.1)

    async def scenario(node):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.task.caller_port
        )
        writer.write(b"GET / HTTP/1.1\r\nX: ")
        try:
            return await asyncio.wait_for(reader.read(), 5)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    assert run(scenario) == b""


def test_bytes_that_are_not_http_get_a_malformed_failure():
    """Guards against an error response without a failure in its body.

    The application does not receive such bytes, so the protocol must answer
    them in the same format.
    """

    async def scenario(node):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", node.task.caller_port
        )
        writer.write(b"\x16\x03\x01 hello\r\n\r\n")
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return data

    head, _, body = run(scenario).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 400 ")
    assert json.loads(body)["kind"] == "malformed"


def test_response_does_not_wait_for_a_delayed_acknowledgement():
    """Guards against 40 ms of added latency without TCP_NODELAY.

    The second write of a response would wait for the acknowledgement of the
    first, which the caller's host delays.
    """

    async def scenario(node):
        node.task.post(ReadyChanged(True))
        times = []
        for _ in range(30):
            start = time.monotonic()
            await node.send("POST", SEARCH_PATH, json={"name": "a"})
            times.append(time.monotonic() - start)
        return sorted(times)

    # On a keep-alive connection the 40 ms delay affects over half of them.
    assert run(scenario)[15] < 0.03


@pytest.mark.proves("start and stop: drain", "straggler")
def test_answer_in_progress_is_finished_when_the_task_is_cancelled():
    """Guards against a planned stop that cuts off a response.

    An idle connection must not delay the stop.
    """

    def post(message):
        asyncio.get_running_loop().call_later(0.3, answer_request, message)

    async def scenario(node):
        node.task.post(ReadyChanged(True))
        _, writer = await asyncio.open_connection(
            "127.0.0.1", node.task.caller_port
        )
        request = asyncio.create_task(
            node.send("POST", SEARCH_PATH, json={"name": "a"})
        )
        await asyncio.sleep(0.1)
        node.running_task.cancel()
        status, _ = await request
        start = time.monotonic()
        await asyncio.wait([node.running_task], timeout=5)
        writer.close()
        return status, node.running_task.done(), time.monotonic() - start

    status, ended, stop_s = run(scenario, post)
    assert (status, ended) == (200, True)
    assert stop_s < 1


def test_binding_a_used_port_fails():
    """Guards against a node that starts without a listener.

    Another process uses the port; the operator must learn of it at the start.
    """

    async def scenario(node):
        port = node.task.caller_port
        listen = ListenSettings(f"127.0.0.1:{port}", "", "127.0.0.1:0")
        cfg = Settings(
            SETTINGS.node,
            listen,
            SETTINGS.platform,
            SETTINGS.dcs,
            SETTINGS.services,
        )
        inboxes = RequestInboxes(
            answer_request, answer_request, answer_request
        )
        return HttpTask(cfg, inboxes, Metrics(), time.monotonic).bind()

    failure = run(scenario)
    assert failure.kind is ErrorKind.UNAVAILABLE
    assert "cannot bind" in failure.reason

"""Answers of the application for callers, without a network."""

import asyncio
from dataclasses import replace

import logbook
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.front.app import caller_app
from kumquatchuted.front.app import CallerSink
from kumquatchuted.front.app import RETRY_AFTER_SHARE
from kumquatchuted.front.messages import FrontState
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.front.router import Router
from kumquatchuted.front.task import DEFAULT_LIMITS
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.platform.callers import CallerRequest
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.table import build_table

EMPTY_TABLE = build_table(Manifest(1, (), {}, DEFAULT_LIMITS))
STATE = FrontState(EMPTY_TABLE, DEFAULT_LIMITS, True)
HEADERS = [
    (b"host", b"a.example"),
    (b"x-request-id", b"r-1"),
    (b"x-deadline-ms", b"800"),
]


class ManualClock:
    """A clock that advances only when a test sets it."""

    def __init__(self) -> None:
        """Create a clock at zero."""
        self.now = 0.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


class RefusingRouter:
    """Refuses each request after a delay on the manual clock."""

    def __init__(self, clock: ManualClock, delay_s: float) -> None:
        """Create a router."""
        self._clock = clock
        self._delay_s = delay_s

    async def run(self, req: CallerRequest) -> Failure:
        """Refuse a request."""
        self._clock.now += self._delay_s
        return Failure(ErrorKind.UNAVAILABLE, "no searcher", not_run=True)


def send_request(router, clock, state=STATE, body=b""):
    """Send a request as the server does; return status and headers."""
    sink = CallerSink(
        router,
        lambda: state,
        lambda message: None,
        ByteBudget(1_000_000),
        lambda *args: None,
        clock,
    )
    scope = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": "POST",
        "scheme": "http",
        "path": "/x/1",
        "raw_path": b"/x/1",
        "query_string": b"",
        "headers": [*HEADERS, (b"content-length", b"%d" % len(body))],
    }
    received = [{"type": "http.request", "body": body, "more_body": False}]
    sent = []

    async def receive():
        if not received:
            await asyncio.Event().wait()
        return received.pop(0)

    async def send(message):
        sent.append(message)

    asyncio.run(caller_app(sink)(scope, receive, send))
    return sent[0]["status"], dict(sent[0]["headers"])


def make_router(state, clock):
    return Router(
        lambda: state,
        lambda message: None,
        lambda message: None,
        OpenRequests(),
        clock,
    )


@pytest.mark.parametrize("delay_s", [0.0, 0.4, 0.9])
def test_retry_after_is_a_share_of_the_time_left(delay_s):
    """Guards against a Retry-After beyond the deadline of the caller.

    It was computed from the time left at the arrival of the request. If the
    request was refused close to its deadline, the caller was told to retry
    after the deadline.
    """
    clock = ManualClock()
    status, headers = send_request(RefusingRouter(clock, delay_s), clock)
    assert status == 503
    remaining_s = max(0.0, 0.8 - delay_s)
    retry_after_s = float(headers[b"retry-after"])
    assert retry_after_s == pytest.approx(
        remaining_s * RETRY_AFTER_SHARE, abs=0.01
    )


@pytest.mark.parametrize(
    ("state", "body", "status", "reason"),
    [
        (replace(STATE, table=None), b"", 503, "no manifest was read yet"),
        (STATE, b"", 404, "no route matches"),
        (STATE, b"x" * 1_048_577, 413, "the body is too long"),
    ],
)
def test_refusal_before_routing_is_logged(state, body, status, reason):
    """Guards against a failed request that no log line explains.

    These requests fail before a route is chosen, so the line that a routed
    request leaves is missing.
    """
    clock = ManualClock()
    router = make_router(state, clock)
    with logbook.TestHandler().applicationbound() as records:
        actual_status, _ = send_request(router, clock, state, body)
    assert actual_status == status
    (line,) = [item for item in records.records if item.channel == "request"]
    assert line.message.startswith("id=r-1 route=None ")
    assert line.message.endswith(reason)

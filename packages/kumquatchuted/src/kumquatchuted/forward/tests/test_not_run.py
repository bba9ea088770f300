"""Refused requests and their attempts, in all orders of events.

A virtual clock plays requests to one searcher of a service while the process
is suspended, callers leave, the node stops, and searchers refuse, close the
connection or stay silent. Callbacks that are ready at the same time run in an
order that the test draws.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import ManifestChanged
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import ServiceSpec
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network

SERVICE = "quiz"
WORK_S = 0.108
OBJECTIVE_S = 0.458


@dataclass(frozen=True)
class Disturbances:
    """What happens while requests wait; times in seconds after the first.

    :param requests: number of requests that arrive one after the other
    :param gap_s: time between two of them
    :param time_limit_s: time limit of each request
    :param connect_s: time until a connection is open
    :param suspended_at: when the process is suspended
    :param suspended_s: for how long
    :param stopped_at: when the node is told to stop, and all requests have
        0.1 s left; None if it is not
    :param caller_leaves_at: when each third caller leaves; None if none does
    """

    requests: int
    gap_s: float
    time_limit_s: float
    connect_s: float
    suspended_at: float
    suspended_s: float
    stopped_at: float | None
    caller_leaves_at: float | None


TIMES = st.floats(0.0, 1.0)
DISTURBANCES = st.builds(
    Disturbances,
    requests=st.integers(1, 40),
    gap_s=st.sampled_from([0.0, 0.001, 0.01]),
    time_limit_s=st.sampled_from([0.1, 0.3, 0.6]),
    connect_s=st.sampled_from([0.0, 0.002, 0.1, 0.35]),
    suspended_at=TIMES,
    suspended_s=st.sampled_from([0.0, 0.1, 0.5, 2.0]),
    stopped_at=st.none() | TIMES,
    caller_leaves_at=st.none() | TIMES,
)


class Play:
    """Owns the requests of one run and what the searchers saw of them."""

    def __init__(self, case: Disturbances, rng: random.Random) -> None:
        """Create it; nothing runs before ``run``."""
        self.case = case
        self.loop = NetworkLoop(self._respond, case.connect_s, rng)
        self.results: dict[bytes, ForwardResult] = {}
        self.ended_at: dict[bytes, float] = {}
        self.runs: list[ReceivedRequest] = []
        self.kept_bytes: int | None = None
        self._rng = rng
        self._tasks: list[ForwardTask] = []

    async def run(self) -> None:
        """Play the case until everything has ended."""
        case, loop = self.case, self.loop
        searchers = SearchersTask(EXAMPLE_SETTINGS, loop.time, self._rng)
        searchers.mailbox.post(build_members((SERVICE,), 3))
        searchers.mailbox.post(ManifestChanged(_manifest()))
        running = asyncio.ensure_future(searchers.run())
        start = loop.time()
        loop.call_at(start + case.suspended_at, loop.pause, case.suspended_s)
        if case.stopped_at is not None:
            loop.call_at(start + case.stopped_at, self._stop)
        requests = []
        for number in range(case.requests):
            requests.append(
                asyncio.ensure_future(self._request(number, searchers))
            )
            await asyncio.sleep(case.gap_s)
        if case.caller_leaves_at is not None:
            for request in requests[::3]:
                loop.call_at(start + case.caller_leaves_at, request.cancel)
        await asyncio.gather(*requests, return_exceptions=True)
        await asyncio.sleep(5.0)
        running.cancel()
        self.kept_bytes = searchers.kept_bytes()

    async def _request(self, number: int, searchers: SearchersTask) -> None:
        request_id = b"r%d" % number
        head = b"POST / HTTP/1.1\r\nX-Request-Id: %s\r\n" % request_id
        task = ForwardTask(
            _route(),
            SERVICE,
            OutgoingRequest(request_id, b"POST", head, b""),
            self.loop.time() + self.case.time_limit_s,
            searchers.mailbox.post,
            self.loop.time,
        )
        self._tasks.append(task)
        try:
            self.results[request_id] = await task.run()
        finally:
            self.ended_at[request_id] = self.loop.time()

    def _stop(self) -> None:
        for task in self._tasks:
            task.mailbox.post(DeadlineMoved(self.loop.time() + 0.1))

    def _respond(self, req: ReceivedRequest) -> Reply | None:
        kind = self._rng.randrange(10)
        if kind == 0:
            not_run = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
            return Reply(0.001, not_run + b"Content-Length: 0\r\n\r\n")
        self.runs.append(req)
        if kind == 1:
            return None
        return Reply(WORK_S, encode_response(200, req, b"stamp", b"done"))


def _route() -> Route:
    return Route(
        "r", "h", "/", False, 1.5, OBJECTIVE_S, 2, 2, OneService(SERVICE)
    )


def _manifest() -> Manifest:
    spec = ServiceSpec(SERVICE, 4, 3.0, 0.0)
    limits = CallerLimits(16_384, 1_048_576, 5.0, 15.0)
    return Manifest(7, (_route(),), {SERVICE: spec}, limits)


def check_promises(case: Disturbances, seed: int) -> Counter:
    """Play a case and check what its callers were told.

    :returns: how many requests were refused, and how many ran
    """
    play = Play(case, random.Random(seed))
    run_on_network(play.run(), play.loop)
    run_counts = Counter(run.request_id for run in play.runs)
    refused = {
        request_id
        for request_id, result in play.results.items()
        if result.failure is not None and result.failure.not_run
    }
    assert not refused & set(run_counts)
    assert all(count == 1 for count in run_counts.values())
    for req in play.loop.received:
        assert req.received_at <= play.ended_at[req.request_id]
    assert len(play.ended_at) == case.requests
    assert play.kept_bytes == 0
    return Counter(refused=len(refused), ran=len(run_counts))


@pytest.mark.parametrize("seed", range(20))
def test_refused_request_does_not_run_after_a_suspension(seed: int) -> None:
    """Guards against a request that is refused as not run and runs.

    After a suspension, responses that arrived meanwhile free connections in
    the same turn of the event loop in which the time limits of the waiting
    requests pass. 30 of 960 requests were answered 503 and sent.
    """
    case = Disturbances(
        requests=60,
        gap_s=0.0,
        time_limit_s=1.5,
        connect_s=0.001,
        suspended_at=0.02 + 0.005 * seed,
        suspended_s=1.7,
        stopped_at=None,
        caller_leaves_at=None,
    )
    outcomes = check_promises(case, seed)
    assert outcomes["refused"] and outcomes["ran"]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(DISTURBANCES, st.integers(0, 2**32))
def test_refused_request_does_not_run_in_any_order_of_events(
    case: Disturbances, seed: int
) -> None:
    """Guards against a request that is refused as not run and runs.

    The time limit, a free or opened connection, a stop and a caller that
    leaves can be handled in any order.
    """
    check_promises(case, seed)

"""Refused partial queries and what reached searchers, in all orders of events.

A virtual clock plays partial queries while the process is suspended, the node
stops, and searchers refuse queries or fail.
"""

import asyncio
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from kumquatchute_model.errors import Failure
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.serving import serve_partial_query
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network

SERVICES = ("s0", "s1", "s2", "s3")
QUERIES = 8


def partial_query(number: int) -> PartialQueryRequest:
    """Return a partial query over all services."""
    request_id = b"r%d" % number
    head = b"GET / HTTP/1.1\r\nX-Request-Id: %s\r\n" % request_id
    return PartialQueryRequest(
        "r", 118.0, 2, SERVICES, 5, request_id, b"GET", head, b"", 100.0, 300.0
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    connect_s=st.sampled_from([0.0, 0.01, 0.12, 0.35]),
    refused_share=st.sampled_from([0.2, 0.8, 1.0]),
    suspended_at=st.floats(0.0, 0.4),
    suspended_s=st.sampled_from([0.0, 0.2, 2.0]),
    stopped_at=st.none() | st.floats(0.0, 0.4),
    seed=st.integers(0, 2**32),
)
def test_partial_query_refused_as_not_run_reaches_no_searcher_later(
    connect_s: float,
    refused_share: float,
    suspended_at: float,
    suspended_s: float,
    stopped_at: float | None,
    seed: int,
) -> None:
    """Guards against a query that runs on more searchers than allowed.

    If a node refuses a partial query, the other node sends it again by itself,
    so that no searcher may run the first one any more.
    """
    rng = random.Random(seed)
    ran: set[bytes] = set()
    refused: set[bytes] = set()

    def respond(req: ReceivedRequest) -> Reply:
        if rng.random() < refused_share:
            head = b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
            return Reply(0.001, head + b"Content-Length: 0\r\n\r\n")
        ran.add(req.request_id)
        status = rng.choice([200, 404, 500])
        data = encode_response(status, req, b"stamp", b"r" * 16)
        return Reply(0.011, data)

    loop = NetworkLoop(respond, connect_s, rng)

    async def main() -> None:
        open_requests = OpenRequests()
        searchers = SearchersTask(EXAMPLE_SETTINGS, loop.time, rng)
        searchers.mailbox.post(build_members(SERVICES, 2))
        running = asyncio.ensure_future(searchers.run())
        loop.call_later(suspended_at, loop.pause, suspended_s)
        if stopped_at is not None:
            loop.call_later(
                stopped_at, lambda: open_requests.limit(loop.time() + 0.05)
            )

        async def serve(number: int) -> PartialQueryResponse | Failure:
            response = await serve_partial_query(
                partial_query(number),
                searchers.mailbox.post,
                lambda services: (),
                open_requests,
                loop.time,
            )
            if isinstance(response, Failure):
                refused.add(b"r%d" % number)

        await asyncio.gather(*map(serve, range(QUERIES)))
        await asyncio.sleep(5.0)
        running.cancel()
        assert searchers.kept_bytes() == 0

    run_on_network(main(), loop)
    assert not refused & ran

"""Connections that close as soon as they are open."""

import asyncio
import random

from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network

ROUTE = Route("r", "h", "/", False, 1.5, 0.4, 1, 2, OneService("s"))


def test_request_is_sent_again_if_its_connection_closes_at_once() -> None:
    """Guards against a request that is lost with a connection.

    It was written to a connection that had closed in the same turn of the
    event loop, and waited for a response until its time limit.
    """
    loop = NetworkLoop(
        lambda req: Reply(0.01, encode_response(200, req, b"stamp"))
    )
    loop.closed_connections = 1

    async def main() -> ForwardResult:
        searchers = SearchersTask(
            EXAMPLE_SETTINGS, loop.time, random.Random(1)
        )
        searchers.mailbox.post(build_members(("s",), 2))
        running = asyncio.ensure_future(searchers.run())
        head = b"POST / HTTP/1.1\r\nX-Request-Id: r1\r\n"
        task = ForwardTask(
            ROUTE,
            "s",
            OutgoingRequest(b"r1", b"POST", head, b""),
            loop.time() + ROUTE.timeout_s,
            searchers.mailbox.post,
            loop.time,
        )
        result = await task.run()
        running.cancel()
        return result

    result = run_on_network(main(), loop)
    assert result.failure is None
    assert result.response.status == 200
    assert len(loop.received) == 1

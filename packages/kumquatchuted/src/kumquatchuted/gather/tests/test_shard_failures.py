"""Queries while a searcher of one shard responds with failures."""

import asyncio
from collections.abc import Callable
import random

import pytest

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.gather.messages import Finish
from kumquatchuted.gather.task import GatherTask
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network

SHARDS = ("s0", "s1", "s2", "s3")
RECORDS = b"0123456789abcdef"
FAILURE = b"the index of this shard is being rebuilt, ask again later"
RESPONSE_S = 0.011
# The searchers of the first shard.
FIRST_SHARD_PORTS = (1, 2)


async def run_query(searchers: SearchersTask, number: int) -> Finish:
    """Run a query over all shards through the tasks of a node."""
    shards = AllShards(SHARDS, 5, 0.75)
    route = Route("r", "h", "/", True, 0.8, 0.118, 0, 2, shards)
    request_id = b"r%d" % number
    head = b"GET / HTTP/1.1\r\nX-Request-Id: %s\r\n" % request_id
    clock = asyncio.get_running_loop().time
    task = GatherTask(
        route,
        shards,
        OutgoingRequest(request_id, b"GET", head, b""),
        clock() + 0.1,
        clock() + 0.8,
        searchers.mailbox.post,
        clock,
    )
    return await task.run()


def run_queries(
    respond: Callable[[ReceivedRequest], Reply], count: int
) -> tuple[list[Finish], NetworkLoop]:
    """Run queries one after the other on a node that has just started."""
    loop = NetworkLoop(respond)

    async def main() -> list[Finish]:
        searchers = SearchersTask(
            EXAMPLE_SETTINGS, loop.time, random.Random(1)
        )
        searchers.mailbox.post(build_members(SHARDS, 2))
        running = asyncio.ensure_future(searchers.run())
        finishes = []
        for number in range(count):
            finishes.append(await run_query(searchers, number))
            await asyncio.sleep(0.1)
        running.cancel()
        return finishes

    return run_on_network(main(), loop), loop


@pytest.mark.parametrize("has_stamp", [True, False])
def test_failed_shard_is_not_merged_but_queried_again(
    has_stamp: bool,
) -> None:
    """Guards against an answer that merges the failure of a shard as a part.

    A searcher that failed with 404 or 429 and a digest counted as covered, and
    bytes of its error text became records.
    """
    for status in range(100, 600):
        failed: list[int] = []

        def respond(
            req: ReceivedRequest,
            status: int = status,
            failed: list[int] = failed,
        ) -> Reply:
            if req.port not in FIRST_SHARD_PORTS or failed:
                stamp = b"%d.%s" % (req.port, req.request_id)
                data = encode_response(200, req, stamp, RECORDS)
                return Reply(RESPONSE_S, data)
            failed.append(req.port)
            stamp = b"failed" if has_stamp else b""
            data = encode_response(status, req, stamp, FAILURE)
            return Reply(RESPONSE_S, data)

        finishes, _ = run_queries(respond, 1)
        assert failed, status
        is_part = has_stamp and 200 <= status < 300
        for finish in finishes:
            assert finish.failure is None, status
            assert finish.missing == 0, status
            stamps = [response.stamp for response in finish.responses]
            assert (b"failed" in stamps) == is_part, status


def test_failing_searcher_does_not_attract_queries() -> None:
    """Guards against a searcher that is preferred because it fails quickly.

    Its failures counted as fast responses, so most queries were sent to it
    first and used up the retry budget.
    """

    def respond(req: ReceivedRequest) -> Reply:
        stamp = b"%d.%s" % (req.port, req.request_id)
        if req.port == FIRST_SHARD_PORTS[0]:
            return Reply(0.001, encode_response(404, req, stamp, FAILURE))
        return Reply(RESPONSE_S, encode_response(200, req, stamp, RECORDS))

    finishes, loop = run_queries(respond, 40)
    assert all(finish.missing == 0 for finish in finishes)
    failed = [req for req in loop.received if req.port == FIRST_SHARD_PORTS[0]]
    assert len(failed) <= 10

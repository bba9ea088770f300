"""Errors that the task of partial queries does not expect."""

import asyncio
import random
import time

import pytest

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.partials.messages import PartialQueryAssigned
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.partials.task import PartialsTask
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest

SHARDS = AllShards(("s0",), 1, 1.0)
ROUTE = Route("r", "h", "/", True, 1.0, 0.1, 0, 1, SHARDS)
NODE = Node("other", "127.0.0.1:1", "b")
TIMEOUT_S = 0.3


def build_query(key: int, reply_to) -> SendPartialQuery:
    """Return a partial query over one shard."""
    now = time.monotonic()
    return SendPartialQuery(
        key=key,
        route=ROUTE,
        data_centre="b",
        shards=(0,),
        services=SHARDS.shards,
        top_k=1,
        has_few_searchers=True,
        outgoing=OutgoingRequest(b"r1", b"GET", b"GET / HTTP/1.1", b""),
        min_coverage=1.0,
        deadline=now + 0.1,
        latest_deadline=now + 0.1,
        leaving=(),
        reply_to=reply_to,
    )


def run_queries(*reply_to) -> tuple[bool, list[tuple[str, str]]]:
    """Run a task that gets one query for each receiver of results.

    :returns: whether the task still runs, and the counted events
    """
    events = []

    async def main() -> bool:
        task = PartialsTask(
            EXAMPLE_SETTINGS,
            time.monotonic,
            random.Random(1),
            lambda *event: events.append(event),
            lambda message: None,
            ByteBudget(1_000_000),
        )
        task.mailbox.post(
            MembersChanged({}, {}, frozenset(), {NODE.name: NODE})
        )
        running = asyncio.ensure_future(task.run())
        for key, receive in enumerate(reply_to):
            task.mailbox.post(build_query(key, receive))
        await asyncio.sleep(TIMEOUT_S)
        is_running = not running.done()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        await task.close()
        return is_running

    return asyncio.run(main()), events


@pytest.mark.report("one message ends a process")
def test_query_that_fails_unexpectedly_still_gets_a_result(
    monkeypatch,
) -> None:
    """Guards against a query that waits for its shards until its deadline.

    The error ends the task of the partial query. The other node may have
    queried the searchers.
    """

    async def fail(self, node: Node, query: SendPartialQuery) -> None:
        raise ValueError("unexpected")

    monkeypatch.setattr(PartialsTask, "_request_partial", fail)
    replies: list = []
    is_running, events = run_queries(replies.append)
    assert [type(reply) for reply in replies] == [
        PartialQueryAssigned,
        PartialQueryDone,
    ]
    assert replies[1].failure.was_sent
    assert replies[1].responses == ()
    assert ("partials", "lost") in events
    assert is_running


@pytest.mark.report("one message ends a process")
def test_unexpected_error_does_not_end_the_task() -> None:
    """Guards against one message that ends the process of the node."""

    def fail(message: object) -> None:
        raise ValueError("unexpected")

    replies: list = []
    is_running, events = run_queries(fail, replies.append)
    assert is_running
    assert isinstance(replies[-1], PartialQueryDone)
    assert ("unhandled", "SendPartialQuery") in events

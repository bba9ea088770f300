"""Order in which the parts of a query leave a node."""

import asyncio
from dataclasses import replace
import random

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.task import ATTEMPTS_PER_TURN
from kumquatchuted.searchers.task import SearchersTask
from kumquatchuted.searchers.tests.test_shards import query

LOCAL_SHARDS = 15


def members() -> MembersChanged:
    """Return searchers of which three quarters are in this data centre."""
    searchers = {
        f"i-{number}": RegisteredSearcher(
            f"i-{number}",
            f"s{number}",
            "127.0.0.1",
            1,
            "a" if number < LOCAL_SHARDS else "b",
            SearcherState.READY,
            2,
            0.0,
            None,
        )
        for number in range(20)
    }
    nodes = {"n2": Node("n2", "127.0.0.1:1", "b")}
    return MembersChanged(searchers, {}, frozenset(), nodes)


def test_partial_queries_do_not_wait_for_all_attempts_of_the_node() -> None:
    """Guards against parts of a query that start late because they come last.

    On quiet-1 of the large Peachline site, a node sent 35 requests to
    searchers, which takes several milliseconds, before the partial queries
    over the other 52 shards left.
    """
    events: list[object] = []
    partial_sent = asyncio.Event()

    async def send_partials(posted: asyncio.Queue) -> None:
        await posted.get()
        events.append("partial")
        partial_sent.set()

    async def run() -> None:
        posted: asyncio.Queue = asyncio.Queue()
        loop = asyncio.get_running_loop()
        task = SearchersTask(
            EXAMPLE_SETTINGS,
            loop.time,
            random.Random(1),
            post_partial=posted.put_nowait,
        )
        running = asyncio.ensure_future(task.run())
        sending = asyncio.ensure_future(send_partials(posted))
        task.mailbox.post(members())
        message = query()

        def on_reply(reply: object) -> None:
            if not isinstance(reply, AttemptDone):
                events.append("attempt")

        attempts = tuple(
            replace(
                item,
                deadline=loop.time() + 1,
                reply_to=on_reply,
            )
            for item in message.attempts
        )
        task.mailbox.post(
            SendShards(attempts, 18, 5, loop.time() + 0.1, on_reply)
        )
        await asyncio.wait_for(partial_sent.wait(), 1)
        await asyncio.sleep(0.05)
        running.cancel()
        sending.cancel()

    asyncio.run(run())
    assert events.index("partial") <= ATTEMPTS_PER_TURN
    assert events.count("attempt") >= LOCAL_SHARDS

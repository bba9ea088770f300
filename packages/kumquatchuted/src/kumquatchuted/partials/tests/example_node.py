"""A node that knows one other node and sends it partial queries."""

import asyncio
import random
import time

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.partials.task import PartialsTask
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest

SHARDS = AllShards(("s0",), 1, 1.0)
ROUTE = Route("r", "h", "/", True, 1.0, 0.1, 0, 1, SHARDS)
# Time until the deadline of a query, in seconds.
DEADLINE_S = 0.5


def build_query(number: int, replies: asyncio.Queue) -> SendPartialQuery:
    """Return a partial query over one shard."""
    now = time.monotonic()
    request_id = b"r%d" % number
    return SendPartialQuery(
        key=number,
        route=ROUTE,
        data_centre="b",
        shards=(0,),
        services=SHARDS.shards,
        top_k=1,
        has_few_searchers=True,
        outgoing=OutgoingRequest(request_id, b"GET", b"GET / HTTP/1.1", b""),
        min_coverage=1.0,
        deadline=now + DEADLINE_S,
        latest_deadline=now + DEADLINE_S,
        leaving=(),
        reply_to=replies.put_nowait,
    )


def create_task(host: str, port: int) -> PartialsTask:
    """Return a task that knows the node at an address."""
    task = PartialsTask(
        EXAMPLE_SETTINGS,
        time.monotonic,
        random.Random(1),
        lambda *event: None,
        lambda message: None,
        ByteBudget(1_000_000),
    )
    node = Node("other", f"{host}:{port}", "b")
    task.mailbox.post(MembersChanged({}, {}, frozenset(), {node.name: node}))
    return task


async def run_query(task: PartialsTask, number: int) -> PartialQueryDone:
    """Send a partial query and return its result."""
    replies: asyncio.Queue = asyncio.Queue()
    task.mailbox.post(build_query(number, replies))
    while True:
        match await replies.get():
            case PartialQueryDone() as done:
                return done

"""Responses of other nodes that are sent twice."""

import asyncio
import contextlib
import random
import time

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.partials.task import PartialsTask
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest

SHARDS = AllShards(("s0",), 1, 1.0)
ROUTE = Route("r", "h", "/", True, 1.0, 0.1, 0, 1, SHARDS)
COPY_DELAY_S = 0.02
NUMBER_FIELD = b"x-partial-query: "


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
        deadline=now + 0.5,
        latest_deadline=now + 0.5,
        leaving=(),
        reply_to=replies.put_nowait,
    )


def test_copy_of_a_partial_response_is_not_the_next_response() -> None:
    """Guards against digests and records of another query.

    A node responds twice on a connection that is used again.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().split(b"content-length: ")[1]
                data = await reader.readexactly(int(length.split(b"\r\n")[0]))
                req = decode_partial_request(data)
                body = encode_partial(
                    PartialQueryResponse((0,), (req.request_id,), b"")
                )
                number = head.lower().split(NUMBER_FIELD)[1].split(b"\r\n")[0]
                message = (
                    b"HTTP/1.1 200 OK\r\n%s%s\r\nContent-Length: %d\r\n\r\n%s"
                ) % (NUMBER_FIELD, number, len(body), body)
                writer.write(message)
                loop.call_later(COPY_DELAY_S, writer.write, message)
        writer.close()

    async def main() -> list[PartialQueryDone]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        task = PartialsTask(
            EXAMPLE_SETTINGS,
            time.monotonic,
            random.Random(1),
            lambda *event: None,
            lambda message: None,
            ByteBudget(1_000_000),
        )
        node = Node("other", f"{host}:{port}", "b")
        task.mailbox.post(
            MembersChanged({}, {}, frozenset(), {node.name: node})
        )
        running = asyncio.ensure_future(task.run())
        results = []
        for number in range(3):
            replies: asyncio.Queue = asyncio.Queue()
            task.mailbox.post(build_query(number, replies))
            done = await replies.get()
            while not isinstance(done, PartialQueryDone):
                done = await replies.get()
            results.append(done)
            await asyncio.sleep(2 * COPY_DELAY_S)
        running.cancel()
        await task.close()
        server.close()
        await asyncio.sleep(0.01)
        return results

    results = asyncio.run(main())
    assert results[0].failure is None
    for done in results:
        for _, response in done.responses:
            assert response.stamp == b"r%d" % done.key

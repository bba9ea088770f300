"""Responses of other nodes that are sent twice."""

import asyncio
import contextlib

from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.tests.example_node import create_task
from kumquatchuted.partials.tests.example_node import run_query

COPY_DELAY_S = 0.02
NUMBER_FIELD = b"x-partial-query: "


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
        task = create_task(host, port)
        running = asyncio.ensure_future(task.run())
        results = []
        for number in range(3):
            results.append(await run_query(task, number))
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

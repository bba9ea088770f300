"""Memory of a real node whose callers and other nodes send or read badly."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.manifest import HOST
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

# The smallest memory and the largest number of descriptors of any site.
SHAPE = Shape(nodes=("a",), shards=1, descriptors=12_300, memory_mb=160)
REQUESTS_PER_S = 40.0
DURATION_S = 2.0
# The longest body that the manifest of the site allows.
BODY_BYTES = 262_144


async def open_request(port: int, data: bytes) -> asyncio.StreamWriter:
    """Connect to a node and send bytes as fast as it reads them."""
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    return writer


async def assert_serves_within_memory(
    site: FleetSite, session: aiohttp.ClientSession, method: str
) -> None:
    """Check that sound requests are served and the memory suffices."""
    node = site.nodes[0]

    async def send() -> CallResult:
        path = "/submit/1" if method == "POST" else "/fetch/1"
        return await send_request(session, node.front_port, path, (), method)

    results = await send_at_rate(send, REQUESTS_PER_S, DURATION_S)
    served = [result for result in results if result.status == 200]
    assert site.peak_memory_mb(node) < SHAPE.memory_mb
    assert len(served) >= 0.9 * len(results)


def request_head(method: str, path: str, length: int, number: int) -> bytes:
    """Return the head of a request."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Request-Id: slow{number}\r\nX-Deadline-Ms: 2000\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def test_unfinished_bodies_do_not_use_up_the_memory(tmp_path: Path) -> None:
    """Guards against callers whose bodies take all memory of a node.

    1,000 callers send all but the last byte of a body of the allowed length.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        port = site.nodes[0].front_port
        body = b"x" * (BODY_BYTES - 1)
        writers = [
            await open_request(
                port,
                request_head("POST", "/submit/1", BODY_BYTES, number) + body,
            )
            for number in range(1_000)
        ]
        await assert_serves_within_memory(site, session, "POST")
        for writer in writers:
            writer.close()

    run_on_site(tmp_path, scenario, SHAPE)


def test_long_messages_of_nodes_do_not_use_up_the_memory(
    tmp_path: Path,
) -> None:
    """Guards against messages of another node that have no end."""

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        port = site.nodes[0].peer_port

        async def send_without_end(number: int) -> None:
            head = request_head("POST", "/partials", 2**40, number)
            writer = await open_request(port, head)
            try:
                while True:
                    writer.write(b"x" * 65_536)
                    await writer.drain()
            except OSError:
                # The node has closed the connection.
                pass

        senders = [
            asyncio.ensure_future(send_without_end(number))
            for number in range(40)
        ]
        await assert_serves_within_memory(site, session, "GET")
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)

    run_on_site(tmp_path, scenario, SHAPE)


@pytest.mark.parametrize("body_bytes", [6_000_000, 400_000])
def test_answers_that_are_not_read_do_not_use_up_the_memory(
    tmp_path: Path, body_bytes: int
) -> None:
    """Guards against callers that take all memory by not reading.

    Each of them gets a long answer and reads nothing of it.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        port = site.nodes[0].front_port
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(body_bytes=body_bytes)
        writers = []
        for number in range(300):
            head = request_head("GET", "/fetch/1", 0, number)
            writer = await open_request(port, head)
            writer.transport.pause_reading()
            writers.append(writer)
            await asyncio.sleep(0.01)
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults()
        await asyncio.sleep(0.5)
        await assert_serves_within_memory(site, session, "GET")
        for writer in writers:
            writer.transport.abort()

    run_on_site(tmp_path, scenario, SHAPE)

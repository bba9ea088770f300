"""Processor time of the HTTP client of searchers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from kumquatchute_bench.cpu import async_cpu_point
from kumquatchute_bench.fit import fit
from kumquatchute_bench.fit import Slope
from kumquatchute_bench import samples
from kumquatchute_model.shards import Searcher
from kumquatchute_standins.ports import allocate_ports
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.config import ServiceTimeDistribution
from kumquatchute_standins.searcher.config import ShardData
from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.targets.client import Completed

ATTEMPTS = (200, 400, 800, 1600)
AT_ONCE = 4

StartSearcher = Callable[[SearcherConfig, IndexData], Awaitable[None]]


async def client_slope(start_searcher: StartSearcher) -> Slope:
    """Measure attempts on a searcher in another process."""
    address = f"127.0.0.1:{allocate_ports(1)[0]}"
    await start_searcher(*_searcher(address))
    client = HttpTargetClient(
        Searcher("console-0", samples.SERVICE, address, "h", "d")
    )

    async def run(size: int) -> None:
        for first in range(0, size, AT_ONCE):
            numbers = range(first, first + AT_ONCE)
            await asyncio.gather(*(_attempt(client, n) for n in numbers))

    try:
        points = [
            await async_cpu_point(size, partial(run, size), 1)
            for size in ATTEMPTS
        ]
    finally:
        await client.close()
    return fit(
        "owner: aiohttp client",
        "attempts",
        "us",
        points,
        f"{AT_ONCE} at once, kept connections, answers without hits",
    )


def _searcher(address: str) -> tuple[SearcherConfig, IndexData]:
    profile = SearcherConfig(
        "console-0",
        samples.SERVICE,
        address,
        slots=64,
        starts_warm=True,
        times=ServiceTimeDistribution(0.05, 0.1, 0.0),
    )
    shard = ShardData("s0", ("console-0",), count=1000)
    return profile, IndexData(samples.SERVICE, shards=(shard,))


async def _attempt(client: HttpTargetClient, number: int) -> None:
    attempt = replace(samples.sub_query(number), shard="s0")
    reply = await client.run(attempt, 1.0, _admit)
    if not isinstance(reply.exchange, Completed):
        raise AssertionError(f"no answer: {reply.outcome}")


async def _admit(is_on_new_conn: bool) -> None:
    return None

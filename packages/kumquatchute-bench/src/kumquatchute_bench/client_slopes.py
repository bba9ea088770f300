"""Processor time of the HTTP client that calls searchers."""

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

ATTEMPT_COUNTS = (200, 400, 800, 1600)
CONCURRENT_ATTEMPTS = 4

StartSearcher = Callable[[SearcherConfig, IndexData], Awaitable[None]]


async def client_slope(start_searcher: StartSearcher) -> Slope:
    """Measure attempts at a searcher in another process.

    :param start_searcher: starts a searcher in a process of its own
    """
    address = f"127.0.0.1:{allocate_ports(1)[0]}"
    await start_searcher(*_configure_searcher(address))
    client = HttpTargetClient(
        Searcher("console-0", samples.SERVICE, address, "h", "d")
    )

    async def run(size: int) -> None:
        for first in range(0, size, CONCURRENT_ATTEMPTS):
            numbers = range(first, first + CONCURRENT_ATTEMPTS)
            await asyncio.gather(
                *(_run_attempt(client, number) for number in numbers)
            )

    try:
        points = [
            await async_cpu_point(size, partial(run, size), 1)
            for size in ATTEMPT_COUNTS
        ]
    finally:
        await client.close()
    return fit(
        "owner: aiohttp client",
        "attempts",
        "us",
        points,
        f"{CONCURRENT_ATTEMPTS} at once, kept connections, "
        "answers without hits",
    )


def _configure_searcher(address: str) -> tuple[SearcherConfig, IndexData]:
    cfg = SearcherConfig(
        "console-0",
        samples.SERVICE,
        address,
        slots=64,
        starts_warm=True,
        times=ServiceTimeDistribution(0.05, 0.1, 0.0),
    )
    shard = ShardData("s0", ("console-0",), count=1000)
    return cfg, IndexData(samples.SERVICE, shards=(shard,))


async def _run_attempt(client: HttpTargetClient, number: int) -> None:
    attempt = replace(samples.search_attempt(number), shard="s0")
    result = await client.run(attempt, 1.0, _admit_always)
    if not isinstance(result.exchange, Completed):
        raise AssertionError(f"attempt not completed: {result.outcome}")


async def _admit_always(is_on_new_conn: bool) -> None:
    return None

"""Runs scenarios of tests on a site of real nodes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

import aiohttp

from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape


def run_on_site(
    folder: Path,
    scenario: Callable[[FleetSite, aiohttp.ClientSession], Awaitable],
    shape: Shape | None = None,
) -> None:
    """Run a scenario on a site of real nodes."""

    async def run() -> None:
        async with FleetSite(shape or Shape(), folder) as site:
            async with aiohttp.ClientSession() as session:
                await scenario(site, session)

    asyncio.run(run())


def query_sender(
    site: FleetSite, session: aiohttp.ClientSession, node: int = 0
) -> Callable[[], Awaitable[CallResult]]:
    """Return a function that sends a query over all shards."""
    port = site.nodes[node].front_port
    return lambda: send_request(session, port, "/notes/1", site.shard_names)

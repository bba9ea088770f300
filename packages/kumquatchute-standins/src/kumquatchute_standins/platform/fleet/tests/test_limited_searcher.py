"""Tests of real nodes and a searcher that states a limit in its responses."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.limits import allowed_count
from kumquatchute_standins.platform.fleet.limits import peak_count
from kumquatchute_standins.platform.fleet.limits import REACTION_S
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

QUERIES_PER_S = 25.0


@pytest.mark.parametrize("limit_per_s", [8.0, 0.5])
def test_searcher_gets_no_more_than_the_limit_that_it_states(
    tmp_path: Path, limit_per_s: float
) -> None:
    """Guards against a searcher in need that gets its full load.

    Three nodes send to it, one of them from another data centre; the queries
    are answered by the other searcher of its shard.
    """
    shape = Shape(nodes=("a", "a", "b"), shards=4)

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        limited = site.searchers_of("sh00")[0]
        limited.limit_per_s = limit_per_s
        stated_at = asyncio.get_running_loop().time()
        answers = await asyncio.gather(
            *(
                send_at_rate(
                    query_sender(site, session, node), QUERIES_PER_S, 10
                )
                for node in range(len(shape.nodes))
            )
        )
        times = [
            arrival.received_at
            for arrival in site.arrivals_after(
                limited.name, stated_at + REACTION_S
            )
        ]
        assert 0 < peak_count(times) <= allowed_count(limit_per_s)
        failed = [
            answer
            for of_node in answers
            for answer in of_node
            if answer.status != 200 or answer.coverage != 1.0
        ]
        assert not failed, failed[:3]

    run_on_site(tmp_path, scenario, shape)

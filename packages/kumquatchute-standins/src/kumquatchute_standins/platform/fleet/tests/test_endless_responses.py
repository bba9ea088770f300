"""Memory of a real node while searchers send bytes without end."""

import asyncio
from pathlib import Path

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import EndlessPart
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

# The smallest memory and the largest number of descriptors of any site.
MEMORY_MB = 160
DESCRIPTORS = 12_300
FAULTY_REQUESTS = 120
SOUND_REQUESTS_PER_S = 40.0
DURATION_S = 3.0


@pytest.mark.parametrize("part", EndlessPart)
def test_endless_responses_do_not_use_up_the_memory_of_a_node(
    tmp_path: Path, part: EndlessPart
) -> None:
    """Guards against a node that runs out of memory.

    All searchers of the shards send without end. 120 requests at one node took
    753 MB, more than its settings allow, and requests to other searchers would
    have been lost with it.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        for searcher in site.searchers:
            if searcher.service != "single":
                searcher.faults = SearcherFaults(endless=part)
        node = site.nodes[0]
        port = node.front_port
        faulty = [
            asyncio.ensure_future(query_sender(site, session)())
            for _ in range(FAULTY_REQUESTS)
        ]
        results = await send_at_rate(
            lambda: send_request(session, port, "/fetch/1", ()),
            SOUND_REQUESTS_PER_S,
            DURATION_S,
        )
        await asyncio.gather(*faulty)
        served = [
            result
            for result in results
            if result.status == 200 and result.error is None
        ]
        assert site.peak_memory_mb(node) < MEMORY_MB
        assert len(served) >= 0.9 * len(results)

    shape = Shape(
        nodes=("a",),
        shards=8,
        replicas=("a", "a"),
        singles=("a", "a"),
        descriptors=DESCRIPTORS,
        memory_mb=MEMORY_MB,
    )
    run_on_site(tmp_path, scenario, shape)

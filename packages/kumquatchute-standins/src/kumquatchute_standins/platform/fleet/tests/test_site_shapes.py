"""Tests of sites whose size or layout differs from the default shape."""

import asyncio
from pathlib import Path
import signal

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

REQUESTS_PER_S = 15.0
# With 60 shards, REQUESTS_PER_S at two nodes is 1,800 parts a second. All
# searchers of a site run in the process of the test, which cannot answer so
# many on a busy machine. Nodes then answer in time with the parts that have
# arrived, as their route allows.
SIXTY_SHARDS_REQUESTS_PER_S = 3.0
# A query that is answered sooner has not run out of time: the target latency
# of the manifest is 0.3 s, of which a node reserves a tenth for the transfer
# of the answer.
WAIT_LIMIT_S = 0.25
MIN_COVERAGE = 0.5
# Number of nodes that callers use; more would only load the machine.
USED_NODES = 3

SHAPES = {
    "one-node-one-searcher-a-shard": Shape(
        nodes=("a",), shards=3, replicas=("a",), singles=("a",)
    ),
    "six-data-centres-searchers-in-three": Shape(
        nodes=tuple("abcdef"), shards=12, replicas=tuple("ace"), singles=("b",)
    ),
    "twelve-nodes-few-shards": Shape(
        nodes=tuple("abcabcabcabc"), shards=3, replicas=("a", "b")
    ),
    "sixty-shards": Shape(nodes=("a", "b"), shards=60, replicas=("a", "b")),
    "no-searcher-near-any-caller": Shape(
        nodes=("c", "d"), shards=6, replicas=("a", "b"), singles=("a",)
    ),
    "one-service-no-queries": Shape(
        nodes=("a", "b"), shards=0, replicas=(), singles=("a", "a", "b")
    ),
    "few-descriptors": Shape(
        nodes=("a", "b"), shards=30, replicas=("a", "b"), descriptors=96
    ),
}

each_shape = pytest.mark.parametrize(
    "shape", list(SHAPES.values()), ids=list(SHAPES)
)


async def send_load(
    site: FleetSite, session: aiohttp.ClientSession, duration_s: float
) -> list[CallResult]:
    """Send requests to some nodes and return their results."""
    paths = [("/fetch/1", ())]
    if site.shard_names:
        paths.append(("/notes/1", site.shard_names))
    senders = [
        send_at_rate(
            lambda port=node.front_port, path=path, shards=shards: (
                send_request(session, port, path, shards)
            ),
            REQUESTS_PER_S
            if site.shape.shards < 60
            else SIXTY_SHARDS_REQUESTS_PER_S,
            duration_s,
        )
        for node in site.nodes[:USED_NODES]
        for path, shards in paths
    ]
    return [
        result
        for results in await asyncio.gather(*senders)
        for result in results
    ]


def assert_all_correct(results: list[CallResult]) -> None:
    """Check that each answer is correct and covers enough shards.

    A node waits for all parts until shortly before the target latency of the
    route. After that, the minimum coverage of the route is enough.
    """
    wrong = [
        result
        for result in results
        if result.status != 200
        or result.error
        or result.coverage
        < (1.0 if result.latency_s < WAIT_LIMIT_S else MIN_COVERAGE)
    ]
    assert not wrong, wrong[:3]


@each_shape
def test_site_answers_whole_and_right(tmp_path: Path, shape: Shape) -> None:
    """Guards against constants that only fit the size of one site.

    Requests fail or lack shards on sites with more or fewer nodes, shards,
    searchers or descriptors.
    """

    async def run() -> None:
        async with FleetSite(shape, tmp_path) as site:
            async with aiohttp.ClientSession() as session:
                assert_all_correct(await send_load(site, session, 1.5))

    asyncio.run(run())


@each_shape
def test_site_serves_on_after_a_planned_stop_and_a_restart(
    tmp_path: Path, shape: Shape
) -> None:
    """Guards against nodes that depend on another node of their site.

    Requests fail while one node is stopped, or after it has started again.
    """

    async def run() -> None:
        async with FleetSite(shape, tmp_path) as site:
            last = site.nodes[-1]
            site.send_signal(last, signal.SIGTERM)
            assert await site.wait_for_exit(last) == 0
            async with aiohttp.ClientSession() as session:
                if len(site.nodes) > USED_NODES:
                    assert_all_correct(await send_load(site, session, 1.0))
                await site.start_node(last)
                await site.wait_until_ready(last)
                assert_all_correct(await send_load(site, session, 1.0))

    asyncio.run(run())

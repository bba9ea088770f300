"""Tests of real nodes that are stopped while callers go on sending."""

import asyncio
from collections import Counter
from pathlib import Path
import signal

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

REQUESTS_PER_S = 30.0
# Time between the stop signal and the kill, as in the settings of the nodes.
GRACE_S = 6.0
# A node that has closed its listener refuses connections.
NOT_CONNECTED = "no answer: ClientConnectorError"


def assert_none_cut(
    site: FleetSite,
    results: list[CallResult],
    statuses: tuple[int, ...] = (200, 503),
) -> None:
    """Check that each request that a node has read got a true answer.

    All searchers work, so a node has no cause for another failure. A status
    of 500 means that the request was cancelled.

    :param statuses: allowed statuses of the answers
    """
    cut = [
        result
        for result in results
        if result.status not in statuses and result.error != NOT_CONNECTED
    ]
    assert not cut, cut[:3]
    run_counts = Counter(arrival.request_id for arrival in site.arrivals)
    refused_ids = {
        result.request_id for result in results if result.status == 503
    }
    assert not refused_ids & run_counts.keys()


@pytest.mark.report("late in the grace cut")
@pytest.mark.parametrize(
    ("path", "method", "statuses", "delay_s"),
    [
        ("/submit/1", "POST", (200, 503), 1.2),
        # Longer than four latency objectives.
        ("/submit/1", "POST", (200, 503), 1.5),
        # An idempotent request may be given up at the end, with a timeout.
        ("/fetch/1", "GET", (200, 503, 504), 1.2),
    ],
)
def test_request_late_in_the_grace_is_not_cut(
    tmp_path: Path,
    path: str,
    method: str,
    statuses: tuple[int, ...],
    delay_s: float,
) -> None:
    """Guards against requests that are passed on and never answered.

    Callers send until the process is gone, and searchers need more than a
    second. A node that accepts requests until its end cuts the last ones off.
    A second stop signal changes nothing.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        node = site.nodes[0]
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(delay_s=delay_s)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        async with aiohttp.ClientSession(connector=connector) as callers:
            sending = asyncio.ensure_future(
                send_at_rate(
                    lambda: send_request(
                        callers, node.front_port, path, (), method
                    ),
                    REQUESTS_PER_S,
                    GRACE_S + 0.5,
                )
            )
            await asyncio.sleep(0.2)
            site.send_signal(node, signal.SIGTERM)
            await asyncio.sleep(1)
            site.send_signal(node, signal.SIGTERM)
            exit_status = await asyncio.wait_for(
                site.wait_for_exit(node), GRACE_S - 1
            )
            results = await sending
        assert exit_status == 0
        assert_none_cut(site, results, statuses)
        if method == "POST":
            run_counts = Counter(item.request_id for item in site.arrivals)
            assert set(run_counts.values()) == {1}

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))


@pytest.mark.report("planned stop under load")
def test_stop_cuts_no_query_on_kept_connections(tmp_path: Path) -> None:
    """Guards against queries that are cut off when a node closes.

    Callers keep their connections and send without a pause while the node
    stops; a query can arrive at the moment at which the node closes.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        node = site.nodes[0]
        sending = asyncio.ensure_future(
            send_at_rate(
                query_sender(site, session, 0), REQUESTS_PER_S, GRACE_S
            )
        )
        await asyncio.sleep(0.5)
        site.send_signal(node, signal.SIGTERM)
        assert await site.wait_for_exit(node) == 0
        assert_none_cut(site, await sending)

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=4))


@pytest.mark.report("planned stop under load")
def test_stop_of_a_node_costs_no_query_of_others(tmp_path: Path) -> None:
    """Guards against delegated shards that are lost with a stopping node.

    A node without local searchers delegates its queries to one that stops.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        sending = asyncio.ensure_future(
            send_at_rate(query_sender(site, session, 1), REQUESTS_PER_S / 2, 5)
        )
        await asyncio.sleep(1)
        site.send_signal(site.nodes[0], signal.SIGTERM)
        results = await sending
        assert all(
            result.status == 200 and result.coverage == 1.0
            for result in results
        )

    run_on_site(
        tmp_path,
        scenario,
        Shape(nodes=("a", "c"), shards=6, replicas=("a", "a")),
    )

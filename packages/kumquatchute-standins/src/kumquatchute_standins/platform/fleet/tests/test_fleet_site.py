"""Real nodes against stand-ins of the users' platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
from pathlib import Path
import signal

import aiohttp
import pytest

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet.callers import call
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import steady
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape

PER_S = 25.0
# Time in which a change of the store is in force on every node.
APPLY_S = 3.0


def on_site(
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


def queries(
    site: FleetSite, session: aiohttp.ClientSession, node: int = 0
) -> Callable[[], Awaitable[CallResult]]:
    """Return a function that sends a query over all shards."""
    port = site.nodes[node].front
    return lambda: call(session, port, "/notes/1", site.shard_names)


def faults(seen: list[CallResult]) -> Counter:
    """Count what was wrong with the answers."""
    return Counter(item.error for item in seen if item.error)


def share_served(seen: list[CallResult]) -> float:
    """Return the share of requests with a right answer."""
    good = sum(item.status == 200 and not item.error for item in seen)
    return good / len(seen)


def test_calm_site_answers_whole_and_right(tmp_path: Path) -> None:
    """Guards against a path that does not serve from end to end."""

    async def scenario(site: FleetSite, session: object) -> None:
        seen = await steady(queries(site, session), PER_S, 2)
        assert not faults(seen)
        assert share_served(seen) == 1.0
        assert all(item.coverage == 1.0 for item in seen)
        port = site.nodes[1].front
        single = await call(session, port, "/fetch/7?x=%2F", ())
        assert (single.status, single.error) == (200, None)
        assert site.arrivals[-1].target == "/fetch/7?x=%2F"
        none = await call(session, port, "/unknown/7", ())
        assert none.status == 404
        assert await site.store.list_names("querynodes") == {"n0", "n1"}
        url = f"http://127.0.0.1:{site.nodes[0].metrics}/metrics"
        async with session.get(url) as response:
            measures = await response.text()
        assert 'kumquatchute_request_seconds_count{kind="query"} 50.0' in (
            measures
        )

    on_site(tmp_path, scenario)


@pytest.mark.parametrize(
    "fault",
    [
        SearcherFaults(second_answer=True),
        SearcherFaults(cut_answer=True),
        SearcherFaults(fail=True),
        SearcherFaults(shed=True),
        SearcherFaults(silent=True),
    ],
    ids=["second-answer", "cut", "fail", "shed", "silent"],
)
def test_faulty_searcher_spoils_no_answer(
    tmp_path: Path, fault: SearcherFaults
) -> None:
    """Guards against answers of other requests and against lost queries."""

    async def scenario(site: FleetSite, session: object) -> None:
        site.searchers_of("sh00")[0].faults = fault
        seen = await steady(queries(site, session), PER_S, 3)
        assert not faults(seen)
        assert share_served(seen) == 1.0

    on_site(tmp_path, scenario)


def test_request_that_may_have_run_is_not_run_again(tmp_path: Path) -> None:
    """Guards against a submission that runs twice."""

    async def scenario(site: FleetSite, session: object) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(cut_answer=True)
        port = site.nodes[0].front
        seen = await call(session, port, "/submit/1", (), "POST")
        assert seen.status == 502
        runs = Counter(item.request_id for item in site.arrivals)
        assert runs[seen.request_id] == 1

    on_site(tmp_path, scenario)


def test_refusal_says_when_to_come_back(tmp_path: Path) -> None:
    """Guards against a caller that is refused without a time."""

    async def scenario(site: FleetSite, session: object) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(shed=True)
        port = site.nodes[0].front
        seen = await call(session, port, "/submit/1", (), "POST")
        assert seen.status == 503
        assert seen.retry_after_s > 0
        assert seen.latency_s < 0.5
        assert not site.arrivals

    on_site(tmp_path, scenario)


def test_leaving_searcher_receives_nothing_new(tmp_path: Path) -> None:
    """Guards against requests to a searcher that drains."""

    async def scenario(site: FleetSite, session: object) -> None:
        leaving = site.searchers_of("sh00")[0]
        entry = leaving.entry(state="draining")
        site.store.put("servers", leaving.name, entry)
        told = asyncio.get_running_loop().time()
        seen = await steady(queries(site, session), PER_S, 4)
        assert share_served(seen) == 1.0
        assert not site.arrivals_at(leaving.name, told + APPLY_S)

    on_site(tmp_path, scenario)


def test_evacuated_data_centre_receives_nothing_new(tmp_path: Path) -> None:
    """Guards against work for a data centre that operators took out."""

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.put("evacuations", "a", {})
        told = asyncio.get_running_loop().time()
        seen = await steady(queries(site, session), PER_S, 4)
        assert share_served(seen) == 1.0
        for searcher in site.searchers:
            if searcher.data_centre == "a":
                assert not site.arrivals_at(searcher.name, told + APPLY_S)

    on_site(tmp_path, scenario)


def test_cold_searcher_receives_what_it_can_bear(tmp_path: Path) -> None:
    """Guards against a cold searcher that all nodes overload together."""

    async def scenario(site: FleetSite, session: object) -> None:
        cold = site.searchers_of("sh00")[0]
        cold.started += 1
        site.store.put("servers", cold.name, cold.entry(cold_ms=3000))
        await asyncio.sleep(1.0)
        told = asyncio.get_running_loop().time()
        await asyncio.gather(
            steady(queries(site, session, 0), PER_S, 1.5),
            steady(queries(site, session, 1), PER_S, 1.5),
        )
        times = [
            item.received_at for item in site.arrivals_at(cold.name, told)
        ]
        most = max(
            (sum(at <= other < at + 1 for other in times) for at in times),
            default=0,
        )
        assert most <= 5

    on_site(tmp_path, scenario)


def test_store_outage_and_silent_watches_do_not_stop_service(
    tmp_path: Path,
) -> None:
    """Guards against a node that fails with the store or stays blind."""

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.disturb(SetDown())
        seen = await steady(queries(site, session), PER_S, 3)
        assert share_served(seen) == 1.0
        site.store.disturb(ClearFaults())
        site.store.disturb(SilenceWatches())
        await asyncio.sleep(1.5)
        site.store.disturb(DropHistory())
        site.publish(site.shard_names[:2])
        site.store.disturb(ClearFaults())
        await asyncio.sleep(4.0)
        port = site.nodes[0].front
        seen = await call(session, port, "/notes/1", site.shard_names[:2])
        assert (seen.status, seen.error) == (200, None)

    on_site(tmp_path, scenario)


def test_node_restarted_in_an_outage_serves_from_its_peers(
    tmp_path: Path,
) -> None:
    """Guards against a restart that leaves a node without knowledge."""

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.disturb(SetDown())
        await asyncio.sleep(4.0)
        site.signal(site.nodes[0], signal.SIGKILL)
        await site.wait_ended(site.nodes[0])
        await site.start_node(site.nodes[0])
        await site.wait_ready(site.nodes[0])
        seen = await steady(queries(site, session), PER_S, 1)
        assert share_served(seen) == 1.0

    on_site(tmp_path, scenario)


def test_planned_stop_loses_no_request(tmp_path: Path) -> None:
    """Guards against requests that a stop cuts off."""

    async def scenario(site: FleetSite, session: object) -> None:
        running = asyncio.ensure_future(
            steady(queries(site, session), PER_S, 2)
        )
        await asyncio.sleep(0.5)
        site.signal(site.nodes[0], signal.SIGTERM)
        seen = await running
        assert share_served(seen) == 1.0
        assert await site.wait_ended(site.nodes[0]) == 0

    on_site(tmp_path, scenario)


def test_node_without_searchers_near_lets_another_one_gather(
    tmp_path: Path,
) -> None:
    """Guards against parts that are lost or mixed by a partial query."""
    shape = Shape(nodes=("c", "a"), shards=8, replicas=("a", "b"))

    async def scenario(site: FleetSite, session: object) -> None:
        seen = await steady(queries(site, session), PER_S, 2)
        assert not faults(seen)
        assert share_served(seen) == 1.0
        site.signal(site.nodes[1], signal.SIGKILL)
        seen = await steady(queries(site, session), PER_S, 2)
        assert not faults(seen)
        assert share_served(seen) >= 0.95
        assert [item.status for item in seen[-20:]] == [200] * 20

    on_site(tmp_path, scenario, shape)

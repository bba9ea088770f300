"""Tests of searches under pairs of faults and repeated faults.

They run real processes; the checks use the results of callers and the records
of searchers.
"""

import asyncio
import signal
import time

import aiohttp
import pytest

from kumquatchute_standins.demo.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import SERVICE
from kumquatchute_standins.demo.tests.site_harness import change_index
from kumquatchute_standins.demo.tests.site_harness import cold_peaks
from kumquatchute_standins.demo.tests.site_harness import COLD_SLOTS
from kumquatchute_standins.demo.tests.site_harness import COLD_TARGET
from kumquatchute_standins.demo.tests.site_harness import LEASE_S
from kumquatchute_standins.demo.tests.site_harness import make_documents
from kumquatchute_standins.demo.tests.site_harness import NODE_KILLED
from kumquatchute_standins.demo.tests.site_harness import OWNERSHIP_CHANGE_S
from kumquatchute_standins.demo.tests.site_harness import REPARTITION
from kumquatchute_standins.demo.tests.site_harness import running_site
from kumquatchute_standins.demo.tests.site_harness import running_traffic
from kumquatchute_standins.demo.tests.site_harness import search_arrivals
from kumquatchute_standins.demo.tests.site_harness import SEARCHED_NAME
from kumquatchute_standins.demo.tests.site_harness import SHARD_COUNT
from kumquatchute_standins.demo.tests.site_harness import SILENT_CONNECTION
from kumquatchute_standins.demo.tests.site_harness import STORE_FAULTS

pytestmark = pytest.mark.timeout(150)


async def search_all_hits(session, node) -> tuple[int, dict]:
    """Send a search with a limit above the number of hits."""
    url = f"http://{node.callers}/v1/services/{SERVICE}/search"
    headers = {"Authorization": f"Bearer {CALLER_TOKEN}"}
    body = {"name": SEARCHED_NAME, "limit": 100, "deadline_ms": 1000}
    async with session.post(url, json=body, headers=headers) as resp:
        return resp.status, await resp.json()


def expected_hits(body: dict) -> set[str]:
    """Return the hits of all shards that the answer reports as covered."""
    version = body["snapshot"]["index_version"]
    covered = {f"s{i}" for i in range(SHARD_COUNT)}
    covered -= set(body["coverage"]["missing"])
    return {
        document["doc"]
        for shard in range(SHARD_COUNT)
        if f"s{shard}" in covered
        for document in make_documents(version, shard)
        if document["name"] == SEARCHED_NAME
    }


def store_fault_cases():
    """Return a case for each store fault, with the cells that it proves."""
    steps = ("search: plan", "search: send", "search: wait")
    return [
        pytest.param(
            name, marks=[pytest.mark.proves(step, name) for step in steps]
        )
        for name in STORE_FAULTS
    ]


@pytest.mark.proves("search: wait", SILENT_CONNECTION)
@pytest.mark.proves("search: merge", SILENT_CONNECTION)
@pytest.mark.proves("search: send", SILENT_CONNECTION, SILENT_CONNECTION)
@pytest.mark.proves("search: wait", SILENT_CONNECTION, SILENT_CONNECTION)
def test_searchers_recover_from_silent_connections(tmp_path):
    """Guards against continued use of connections without responses.

    They stay open, so only the missing responses show the fault to a node.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                start_s = traffic.elapsed_s()
                for _ in range(2):
                    await processes.control_searchers(do="hang_connections")
                    await asyncio.sleep(4)
                after = traffic.results_since(traffic.elapsed_s() - 2)
                results = traffic.results_since(start_s)
            peaks = await cold_peaks(processes)
        assert after and all(r.coverage == 1.0 for r in after), after[:5]
        assert all(r.status in (200, 504) for r in results)
        assert not [r for r in results if r.status == 504 and r.not_run]
        assert max(peaks.values()) <= COLD_SLOTS, peaks

    asyncio.run(scenario())


@pytest.mark.proves("search: merge", "straggler", REPARTITION)
@pytest.mark.proves("search: wait", "straggler", REPARTITION)
@pytest.mark.proves("search: merge", REPARTITION, REPARTITION)
def test_index_changes_with_stragglers_keep_answers_consistent(tmp_path):
    """Guards against hedges that mix snapshots or count a shard twice.

    A slow searcher and that of the hedge both respond for a shard, one of them
    from another version of the index.
    """
    slow_searchers = [
        f"{SERVICE}-{i}{'ab'[i % 2]}" for i in range(SHARD_COUNT)
    ]

    async def scenario():
        answers = []
        async with running_site(tmp_path) as processes:
            await change_index(processes, 2)
            await processes.control_searchers(
                do="set_slow", factor=40, searchers=slow_searchers
            )
            await asyncio.sleep(2)
            async with aiohttp.ClientSession() as session:
                for version in (3, 4):
                    change = asyncio.create_task(
                        change_index(processes, version)
                    )
                    for i in range(40):
                        node = processes.site.nodes[i % 4]
                        answers.append(await search_all_hits(session, node))
                    await change
                    await asyncio.sleep(1)
                answers.append(
                    await search_all_hits(session, processes.site.nodes[0])
                )
        versions = set()
        for status, body in answers:
            assert status == 200, body
            versions.add(body["snapshot"]["index_version"])
            coverage = body["coverage"]
            documents = 20 * (SHARD_COUNT - len(coverage["missing"]))
            assert coverage["documents"] == documents, coverage
            docs = [hit["doc"] for hit in body["hits"]]
            assert len(docs) == len(set(docs))
            assert set(docs) == expected_hits(body)
        assert {2, 4} <= versions or {3, 4} <= versions, versions

    asyncio.run(scenario())


@pytest.mark.proves("search: send", COLD_TARGET, COLD_TARGET)
@pytest.mark.proves("search: send", COLD_TARGET, NODE_KILLED)
@pytest.mark.proves("start and stop: hand over", COLD_TARGET, NODE_KILLED)
def test_cold_searchers_are_not_overloaded_after_restarts_and_a_killed_node(
    tmp_path,
):
    """Guards against two owners or a warm limit after repeated restarts.

    Either sends a cold searcher more than its cold slots.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes, 40.0) as traffic:
                await asyncio.sleep(4)
                for _ in range(2):
                    await processes.control_searchers(do="restart")
                    await asyncio.sleep(0.7)
                processes.send_signal("n1", signal.SIGKILL)
                await asyncio.sleep(OWNERSHIP_CHANGE_S)
                await processes.control_searchers(do="restart")
                await asyncio.sleep(4)
                after = traffic.results_since(traffic.elapsed_s() - 2)
                peaks = await cold_peaks(processes)
        assert max(peaks.values()) <= COLD_SLOTS, peaks
        assert after and all(result.status == 200 for result in after)

    asyncio.run(scenario())


@pytest.mark.proves("search: plan", "target leaving")
@pytest.mark.proves("search: send", "target leaving")
def test_draining_searchers_get_no_new_requests_and_coverage_stays_full(
    tmp_path,
):
    """Guards against new searches sent to a searcher that drains.

    It refuses their attempts, so they lack a shard or need a second attempt.
    """
    leaving = [f"{SERVICE}-{i}a" for i in range(3)]

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                await processes.control_searchers(
                    do="set_draining", searchers=leaving
                )
                start_s = traffic.elapsed_s()
                drained_at = time.monotonic()
                await asyncio.sleep(8)
                results = traffic.results_since(start_s)
                leaving_arrivals = await search_arrivals(processes, leaving)
        late = [
            at - drained_at for at in leaving_arrivals if at > drained_at + 3
        ]
        assert leaving_arrivals and not late, late
        assert all(r.status == 200 and r.coverage == 1.0 for r in results)

    asyncio.run(scenario())


@pytest.mark.proves("search: send", "replica lost")
@pytest.mark.proves("search: wait", "replica lost")
def test_lost_replicas_leave_coverage_full(tmp_path):
    """Guards against a shard reported missing while a replica holds it.

    A node goes on sending to the replica that no longer listens.
    """
    lost = [f"{SERVICE}-{i}a" for i in range(SHARD_COUNT)]

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                start_s = traffic.elapsed_s()
                await processes.control_searchers(
                    do="set_up", up=False, searchers=lost
                )
                await asyncio.sleep(4)
                results = traffic.results_since(start_s)
        assert all(r.status == 200 for r in results)
        partial = [r for r in results if r.coverage < 1.0]
        assert not [r for r in partial if r.sent_at_s > start_s + 2], partial

    asyncio.run(scenario())


@pytest.mark.parametrize("fault", store_fault_cases())
def test_searches_keep_full_coverage_during_store_faults(tmp_path, fault):
    """Guards against searches that depend on an answer from the store.

    For two periods of a lease, it is down, slow or answers an older state.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                await processes.control_platform(**STORE_FAULTS[fault])
                start_s = traffic.elapsed_s()
                await asyncio.sleep(2 * LEASE_S)
                results = traffic.results_since(start_s)
        assert len(results) > 100
        partial = [r for r in results if r.coverage < 1.0]
        assert not partial, partial[:5]

    asyncio.run(scenario())

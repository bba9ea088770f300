"""Tests of a site of real processes under faults and restarts.

The checks use the results of callers and the records of searchers, never the
counters of the nodes.
"""

import asyncio
import hashlib
import json
import signal
import time

import aiohttp
import pytest

from kumquatchute_standins.demo.callers import search
from kumquatchute_standins.demo.site import CALLER_TOKEN
from kumquatchute_standins.demo.site import DOCUMENT_NAMES
from kumquatchute_standins.demo.site import SERVICE
from kumquatchute_standins.demo.tests.site_harness import cold_peaks
from kumquatchute_standins.demo.tests.site_harness import COLD_SLOTS
from kumquatchute_standins.demo.tests.site_harness import executed_attempts
from kumquatchute_standins.demo.tests.site_harness import OWNERSHIP_CHANGE_S
from kumquatchute_standins.demo.tests.site_harness import running_site
from kumquatchute_standins.demo.tests.site_harness import running_traffic
from kumquatchute_standins.demo.tests.site_harness import submit
from kumquatchute_standins.demo.tests.site_harness import uuid7

pytestmark = pytest.mark.timeout(150)

LEASE_EXPIRY_WAIT_S = 9.0
"""A lease lasts 6 s, and a renewal in flight may extend it."""
DOCUMENT_COUNT = 120


@pytest.mark.proves("search: send", "store down", "node killed")
@pytest.mark.proves("ticket: record", "store down", "node killed")
@pytest.mark.proves("start and stop: hand over", "node killed")
def test_searches_survive_a_store_outage_and_a_killed_node(tmp_path):
    """Guards against searches that fail while the store is down.

    All leases expire and a node is killed. Nor may a node accept a ticket that
    it cannot record.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                await processes.control_platform(do="set_down")
                await asyncio.sleep(LEASE_EXPIRY_WAIT_S)
                processes.send_signal("n3", signal.SIGKILL)
                await asyncio.sleep(LEASE_EXPIRY_WAIT_S)
                start_s = traffic.elapsed_s()
                status, output = await processes.run_command(
                    "dc", "out", "atl-east", "--output", "json"
                )
                await asyncio.sleep(4)
                during = traffic.results_since(start_s)
                await processes.control_platform(do="clear_faults")
                await asyncio.sleep(OWNERSHIP_CHANGE_S)
                after = traffic.results_since(traffic.elapsed_s() - 2)
            return status, output, during, after

    status, output, during, after = asyncio.run(scenario())
    assert status != 0
    assert "unavailable" in output
    assert during and after
    assert all(result.status == 200 for result in during)
    assert all(result.coverage == 1.0 for result in after)


@pytest.mark.proves(
    "search: send", "lease expired while its holder was paused"
)
@pytest.mark.proves("search: send", "node paused and resumed")
@pytest.mark.proves(
    "search: send", "target cold without warning", "node paused and resumed"
)
def test_paused_node_sends_nothing_on_an_expired_lease(tmp_path):
    """Guards against a resumed node that overloads cold searchers.

    Its lease has expired during the pause, and other nodes own its searchers.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes):
                await asyncio.sleep(3)
                processes.send_signal("n1", signal.SIGSTOP)
                await asyncio.sleep(OWNERSHIP_CHANGE_S)
                await processes.control_searchers(do="restart")
                processes.send_signal("n1", signal.SIGCONT)
                await asyncio.sleep(6)
                peaks = await cold_peaks(processes)
            node = processes.site.nodes[0]
            await processes.wait_ready(node)
            return peaks

    peaks = asyncio.run(scenario())
    assert max(peaks.values()) <= COLD_SLOTS, peaks


def test_rolling_restart_under_load_loses_no_request(tmp_path):
    """Guards against planned stops that fail requests.

    Nor may a cold searcher be overloaded while ownership moves from a stopped
    node and back.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                start_s = traffic.elapsed_s()
                for node in processes.site.nodes:
                    processes.send_signal(node.name, signal.SIGTERM)
                    assert await processes.wait_stopped(node.name) == 0
                    await processes.start_node(node)
                    await processes.wait_ready(node)
                    await asyncio.sleep(1)
                results = traffic.results_since(start_s)
            return results, await cold_peaks(processes)

    results, peaks = asyncio.run(scenario())
    failed = [result for result in results if result.status != 200]
    assert not failed, failed[:5]
    assert max(peaks.values()) <= COLD_SLOTS, peaks


def test_submission_through_all_nodes_at_once_runs_once(tmp_path):
    """Guards against two nodes that both claim one idempotency key.

    A caller repeats a submission through all nodes at the same time.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            await asyncio.sleep(1)
            keys = [uuid7(time.time()) for _ in range(5)]
            async with aiohttp.ClientSession() as session:
                calls = [
                    submit(session, node, key)
                    for key in keys
                    for node in processes.site.nodes
                ]
                answers = await asyncio.gather(*calls)
                repeats = [
                    await submit(session, processes.site.nodes[2], key)
                    for key in keys
                ]
            return answers, repeats, await executed_attempts(processes)

    answers, repeats, executed = asyncio.run(scenario())
    assert len(executed) == len(set(executed)) == 5
    assert {status for status, _ in answers} <= {200, 504}
    assert all(status == 200 for status, _ in repeats), repeats


@pytest.mark.proves("submission: claim", "store answer lost after the write")
@pytest.mark.proves(
    "submission: claim",
    "store answer lost after the write",
    "store answer lost after the write",
)
@pytest.mark.proves("submission: record", "store answer lost after the write")
@pytest.mark.proves("submission: repeat", "store answer lost after the write")
def test_submission_with_lost_store_answers_runs_at_most_once(tmp_path):
    """Guards against a second run, and against "not run" after a run.

    The store makes the next one to three writes, but their answers are lost.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            await asyncio.sleep(1)
            outcomes = []
            async with aiohttp.ClientSession() as session:
                for i in range(6):
                    key = uuid7(time.time())
                    before = len(await executed_attempts(processes))
                    await processes.control_platform(
                        do="lose_answers", count=1 + i % 3
                    )
                    first = await submit(
                        session, processes.site.nodes[i % 4], key
                    )
                    again = await submit(
                        session, processes.site.nodes[(i + 1) % 4], key
                    )
                    after = len(await executed_attempts(processes))
                    outcomes.append((first, again, after - before))
            return outcomes

    for first, again, runs in asyncio.run(scenario()):
        assert runs <= 1, (first, again)
        for status, body in (first, again):
            if status == 200:
                assert runs == 1
        if first[1].get("not_run") and again[1].get("not_run"):
            assert runs == 0


@pytest.mark.proves("ticket: record", "operators racing")
@pytest.mark.proves("ticket: apply", "operators racing")
def test_one_of_two_racing_tickets_is_accepted(tmp_path):
    """Guards against two accepted tickets with the same number.

    Two operators submit them at the same time, and nodes apply one each.
    """
    ticket = tmp_path / "ticket.json"
    entries = [{"type": "name", "name": "Maria Gonzalez", "aliases": ["MG"]}]
    ticket.write_text(json.dumps({"number": 1, "entries": entries}))
    other_ticket = tmp_path / "other.json"
    entries = [{"type": "name", "name": "Maria Gonzalez", "aliases": ["M"]}]
    other_ticket.write_text(json.dumps({"number": 1, "entries": entries}))

    async def scenario():
        async with running_site(tmp_path) as processes:
            results = await asyncio.gather(
                processes.run_command("ticket", "submit", str(ticket)),
                processes.run_command("ticket", "submit", str(other_ticket)),
            )
            await asyncio.sleep(3)
            applied = set()
            async with aiohttp.ClientSession() as session:
                for node in processes.site.nodes:
                    _, body = await search(session, node, "Maria Gonzalez")
                    applied.add((body["snapshot"]["ticket"], *body["names"]))
            return results, applied

    results, applied = asyncio.run(scenario())
    assert sorted(status for status, _ in results)[0] == 0
    assert sorted(status for status, _ in results)[1] != 0, results
    assert len(applied) == 1


@pytest.mark.proves("search: plan", "repartition during a query")
@pytest.mark.proves("search: merge", "repartition during a query")
@pytest.mark.proves(
    "search: merge", "repartition during a query", "repartition during a query"
)
def test_index_change_under_load_never_mixes_snapshots(tmp_path):
    """Guards against answers that mix hits of two index versions.

    Searchers load a version one after the other while searches run.
    """

    def index_data(version: int) -> dict:
        shards = [
            {
                "shard": f"s{i}",
                "replicas": [f"{SERVICE}-{i}a", f"{SERVICE}-{i}b"],
                "documents": [
                    {
                        "doc": f"v{version}-{i}-{d}",
                        "name": DOCUMENT_NAMES[d % len(DOCUMENT_NAMES)],
                    }
                    for d in range(20)
                ],
            }
            for i in range(6)
        ]
        return {"shards": shards}

    async def scenario():
        answers = []
        async with running_site(tmp_path) as processes:
            async with aiohttp.ClientSession() as session:
                for number in (2, 3):
                    change = asyncio.create_task(
                        processes.control_searchers(
                            do="set_index",
                            index_version=number,
                            map_version=number,
                            keep_previous=True,
                            **index_data(number),
                        )
                    )
                    for i in range(60):
                        node = processes.site.nodes[i % 4]
                        answers.append(
                            await search(session, node, DOCUMENT_NAMES[0])
                        )
                        await asyncio.sleep(0.02)
                    await change
        return answers

    answers = asyncio.run(scenario())
    versions = set()
    for status, body in answers:
        assert status == 200, body
        index = body["snapshot"]["index_version"]
        versions.add(index)
        prefix = "doc-" if index == 1 else f"v{index}-"
        assert all(hit["doc"].startswith(prefix) for hit in body["hits"])
        assert body["coverage"]["total"] == DOCUMENT_COUNT
    assert 3 in versions


def test_tokens_never_appear_in_logs(tmp_path):
    """Guards against a token or its digest in the log of a node.

    A log line contains the headers of a request or the settings.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with aiohttp.ClientSession() as session:
                for node in processes.site.nodes:
                    await search(session, node, DOCUMENT_NAMES[0])
            return [
                processes.read_log(node.name) for node in processes.site.nodes
            ]

    digest = hashlib.sha256(CALLER_TOKEN.encode()).hexdigest()
    for text in asyncio.run(scenario()):
        assert CALLER_TOKEN not in text
        assert digest not in text

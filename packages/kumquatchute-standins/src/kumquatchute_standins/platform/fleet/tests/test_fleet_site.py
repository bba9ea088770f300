"""Tests of real nodes against the emulated platform."""

import asyncio
from collections import Counter
from pathlib import Path
import signal

import pytest

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

QUERIES_PER_S = 25.0
# Time in which every node applies a change in the store.
APPLY_S = 3.0


def count_errors(results: list[CallResult]) -> Counter:
    """Count the errors of the answers."""
    return Counter(result.error for result in results if result.error)


def served_fraction(results: list[CallResult]) -> float:
    """Return the fraction of requests with a correct answer."""
    served = sum(
        result.status == 200 and not result.error for result in results
    )
    return served / len(results)


def test_undisturbed_site_answers_completely_and_correctly(
    tmp_path: Path,
) -> None:
    """Guards against a request path that does not work from end to end.

    A query lacks shards, or a searcher receives another path than the caller
    sent.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 2
        )
        assert not count_errors(results)
        assert served_fraction(results) == 1.0
        assert all(result.coverage == 1.0 for result in results)
        port = site.nodes[1].front_port
        single = await send_request(session, port, "/fetch/7?x=%2F", ())
        assert (single.status, single.error) == (200, None)
        assert site.arrivals[-1].target == "/fetch/7?x=%2F"
        unknown = await send_request(session, port, "/unknown/7", ())
        assert unknown.status == 404
        assert await site.store.list_names("querynodes") == {"n0", "n1"}
        url = f"http://127.0.0.1:{site.nodes[0].metrics_port}/metrics"
        async with session.get(url) as response:
            metrics_text = await response.text()
        assert 'kumquatchute_request_seconds_count{kind="query"} 50.0' in (
            metrics_text
        )

    run_on_site(tmp_path, scenario)


@pytest.mark.report("late copy of an answer")
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
def test_faulty_searcher_causes_no_wrong_answer(
    tmp_path: Path, fault: SearcherFaults
) -> None:
    """Guards against queries that fail or get wrong records.

    One searcher of a shard responds twice, cuts responses off, fails, sheds or
    stays silent; the other one works.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        site.searchers_of("sh00")[0].faults = fault
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 3
        )
        assert not count_errors(results)
        assert served_fraction(results) == 1.0

    run_on_site(tmp_path, scenario)


@pytest.mark.report("lost answer run again")
def test_submission_that_may_have_run_is_not_retried(tmp_path: Path) -> None:
    """Guards against a submission that runs twice.

    The searcher runs it, but the connection ends before the response is
    complete.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(cut_answer=True)
        port = site.nodes[0].front_port
        result = await send_request(session, port, "/submit/1", (), "POST")
        assert result.status == 502
        run_counts = Counter(arrival.request_id for arrival in site.arrivals)
        assert run_counts[result.request_id] == 1

    run_on_site(tmp_path, scenario)


def test_refusal_says_when_to_retry(tmp_path: Path) -> None:
    """Guards against a refusal that comes late or without ``Retry-After``.

    All searchers shed, so that a retry at once would be refused too.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(shed=True)
        port = site.nodes[0].front_port
        result = await send_request(session, port, "/submit/1", (), "POST")
        assert result.status == 503
        assert result.retry_after_s > 0
        assert result.latency_s < 0.5
        assert not site.arrivals

    run_on_site(tmp_path, scenario)


def test_draining_searcher_receives_no_new_requests(tmp_path: Path) -> None:
    """Guards against requests to a searcher that has announced its drain.

    A node does not apply the new entry and goes on sending, so requests fail
    when the searcher stops.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        leaving = site.searchers_of("sh00")[0]
        entry = leaving.build_entry(state="draining")
        site.store.put("servers", leaving.name, entry)
        announced_at = asyncio.get_running_loop().time()
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 4
        )
        assert served_fraction(results) == 1.0
        assert not site.arrivals_after(leaving.name, announced_at + APPLY_S)

    run_on_site(tmp_path, scenario)


def test_evacuated_data_centre_receives_no_new_requests(
    tmp_path: Path,
) -> None:
    """Guards against requests to a data centre that is out of service.

    A node does not apply the evacuation and goes on sending to its searchers.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.put("evacuations", "a", {})
        announced_at = asyncio.get_running_loop().time()
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 4
        )
        assert served_fraction(results) == 1.0
        for searcher in site.searchers:
            if searcher.data_centre == "a":
                assert not site.arrivals_after(
                    searcher.name, announced_at + APPLY_S
                )

    run_on_site(tmp_path, scenario)


def test_cold_searcher_receives_few_requests_a_second(tmp_path: Path) -> None:
    """Guards against nodes that together overload a cold searcher.

    Each node sends it what is allowed for all nodes in total.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        cold = site.searchers_of("sh00")[0]
        cold.started_ms += 1
        site.store.put("servers", cold.name, cold.build_entry(cold_ms=3000))
        await asyncio.sleep(1.0)
        counted_from = asyncio.get_running_loop().time()
        await asyncio.gather(
            send_at_rate(query_sender(site, session, 0), QUERIES_PER_S, 1.5),
            send_at_rate(query_sender(site, session, 1), QUERIES_PER_S, 1.5),
        )
        times = [
            arrival.received_at
            for arrival in site.arrivals_after(cold.name, counted_from)
        ]
        peak_per_s = max(
            (
                sum(start <= other < start + 1 for other in times)
                for start in times
            ),
            default=0,
        )
        assert peak_per_s <= 5

    run_on_site(tmp_path, scenario)


def test_store_outage_and_silent_watches_do_not_stop_service(
    tmp_path: Path,
) -> None:
    """Guards against a node that fails with the store or misses changes.

    The manifest changes while watches are silent and the history is dropped.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.post_control(SetDown())
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 3
        )
        assert served_fraction(results) == 1.0
        site.store.post_control(ClearFaults())
        site.store.post_control(SilenceWatches())
        await asyncio.sleep(1.5)
        site.store.post_control(DropHistory())
        site.publish_manifest(site.shard_names[:2])
        site.store.post_control(ClearFaults())
        await asyncio.sleep(4.0)
        port = site.nodes[0].front_port
        result = await send_request(
            session, port, "/notes/1", site.shard_names[:2]
        )
        assert (result.status, result.error) == (200, None)

    run_on_site(tmp_path, scenario)


def test_node_restarted_in_an_outage_serves_from_its_peers(
    tmp_path: Path,
) -> None:
    """Guards against a restarted node without manifest and searchers.

    It cannot read them from the store, which is down, and must ask its peers.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        site.store.post_control(SetDown())
        await asyncio.sleep(4.0)
        site.send_signal(site.nodes[0], signal.SIGKILL)
        await site.wait_for_exit(site.nodes[0])
        await site.start_node(site.nodes[0])
        await site.wait_until_ready(site.nodes[0])
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 1
        )
        assert served_fraction(results) == 1.0

    run_on_site(tmp_path, scenario)


def test_planned_stop_loses_no_request(tmp_path: Path) -> None:
    """Guards against requests that are cut off when a node stops.

    Callers still send to the node after it has received the stop signal.
    """

    async def scenario(site: FleetSite, session: object) -> None:
        pending = asyncio.ensure_future(
            send_at_rate(query_sender(site, session), QUERIES_PER_S, 2)
        )
        await asyncio.sleep(0.5)
        site.send_signal(site.nodes[0], signal.SIGTERM)
        results = await pending
        assert served_fraction(results) == 1.0
        assert await site.wait_for_exit(site.nodes[0]) == 0

    run_on_site(tmp_path, scenario)


def test_node_without_searchers_near_lets_another_one_gather(
    tmp_path: Path,
) -> None:
    """Guards against partial queries that lose or mix up parts.

    The node without a searcher in its data centre delegates queries to the
    other node, which is then killed.
    """
    shape = Shape(nodes=("c", "a"), shards=8, replicas=("a", "b"))

    async def scenario(site: FleetSite, session: object) -> None:
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 2
        )
        assert not count_errors(results)
        assert served_fraction(results) == 1.0
        site.send_signal(site.nodes[1], signal.SIGKILL)
        results = await send_at_rate(
            query_sender(site, session), QUERIES_PER_S, 2
        )
        assert not count_errors(results)
        assert served_fraction(results) >= 0.95
        assert [result.status for result in results[-20:]] == [200] * 20

    run_on_site(tmp_path, scenario, shape)

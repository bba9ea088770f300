"""Failures that operators of similar systems reported, on real nodes."""

import asyncio
from collections import Counter
from pathlib import Path
import signal

import aiohttp
import pytest

from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

REQUESTS_PER_S = 25.0
# Time after which a node has read a change in the store.
APPLY_S = 1.5
# Time for which a searcher works on a request: long enough to disturb it
# meanwhile, and within the deadline of the caller.
WORK_S = 1.2


def now() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


@pytest.mark.report("withdrawn used after a restart")
@pytest.mark.parametrize("left", ["draining", "gone"])
def test_restarted_node_does_not_use_a_searcher_that_has_left(
    tmp_path: Path, left: str
) -> None:
    """Guards against a searcher that is used again after a restart.

    The store is down, so that the new process learns from the other node
    which searchers exist.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        leaving = site.searchers_of("single")[0]
        if left == "draining":
            site.register_searcher(leaving, "draining")
        else:
            site.store.remove("servers", leaving.name)
        await asyncio.sleep(APPLY_S)
        site.store.post_control(SetDown())
        node = site.nodes[0]
        site.send_signal(node, signal.SIGKILL)
        await site.wait_for_exit(node)
        restarted_at = now()
        await site.start_node(node)
        await site.wait_until_ready(node)
        results = await send_at_rate(
            lambda: send_request(session, node.front_port, "/fetch/1", ()),
            REQUESTS_PER_S,
            1.5,
        )
        assert all(result.status == 200 for result in results)
        assert not site.arrivals_after(leaving.name, restarted_at)

    run_on_site(tmp_path, scenario, Shape(nodes=("a", "a"), shards=1))


@pytest.mark.report("silent host given up")
def test_submission_survives_the_silence_of_its_searcher(
    tmp_path: Path,
) -> None:
    """Guards against running work that is given up or started elsewhere.

    The entry of the searcher lapses while it works, and a new one follows.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(delay_s=WORK_S)
        port = site.nodes[0].front_port
        sent = asyncio.ensure_future(
            send_request(session, port, "/submit/1", (), "POST")
        )
        await asyncio.sleep(0.2)
        for searcher in site.searchers_of("single"):
            site.store.remove("servers", searcher.name)
        await asyncio.sleep(0.5)
        for searcher in site.searchers_of("single"):
            site.register_searcher(searcher)
        result = await sent
        assert (result.status, result.error) == (200, None)
        run_counts = Counter(item.request_id for item in site.arrivals)
        assert run_counts[result.request_id] == 1

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))


@pytest.mark.report("silent host given up")
def test_submission_survives_a_pause_of_its_node(tmp_path: Path) -> None:
    """Guards against work that runs again after its node was paused."""

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(delay_s=WORK_S / 4)
        node = site.nodes[0]
        sent = asyncio.ensure_future(
            send_request(session, node.front_port, "/submit/1", (), "POST")
        )
        await asyncio.sleep(0.1)
        site.send_signal(node, signal.SIGSTOP)
        await asyncio.sleep(WORK_S)
        site.send_signal(node, signal.SIGCONT)
        result = await sent
        assert (result.status, result.error) == (200, None)
        run_counts = Counter(item.request_id for item in site.arrivals)
        assert run_counts[result.request_id] == 1

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))


@pytest.mark.report("lost answer run again")
@pytest.mark.parametrize(
    ("fault", "status"),
    [
        (SearcherFaults(cut_answer=True), 502),
        (SearcherFaults(silent=True), 504),
        (SearcherFaults(fail=True), 500),
    ],
    ids=["cut", "silent", "failed"],
)
def test_submission_without_an_answer_is_not_called_unrun(
    tmp_path: Path, fault: SearcherFaults, status: int
) -> None:
    """Guards against a refusal of a submission that has run."""

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = fault
        port = site.nodes[0].front_port
        result = await send_request(session, port, "/submit/1", (), "POST")
        assert result.status == status
        run_counts = Counter(item.request_id for item in site.arrivals)
        assert run_counts[result.request_id] == 1

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))


@pytest.mark.report("one message ends a process")
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff" * 64,
        b"\x80",
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xdd\xff\xff\xff\xff",
    ],
    ids=["empty", "bytes", "empty-map", "http", "huge-list"],
)
def test_malformed_partial_query_is_rejected(
    tmp_path: Path, data: bytes
) -> None:
    """Guards against a message of another node that ends the process."""

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        node = site.nodes[0]
        url = f"http://127.0.0.1:{node.peer_port}/partials"
        async with session.post(url, data=data) as response:
            assert response.status == 400
        result = await send_request(session, node.front_port, "/fetch/1", ())
        assert result.status == 200

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))

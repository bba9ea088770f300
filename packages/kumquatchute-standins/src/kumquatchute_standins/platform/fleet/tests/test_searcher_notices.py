"""Tests of real nodes and searchers that leave or refuse for some time."""

import asyncio
from pathlib import Path
import signal

import aiohttp
import pytest

from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.callers import send_request
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.site import Shape
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

REQUESTS_PER_S = 25.0
# Time after which a node has read a change in the store.
APPLY_S = 1.5
# The users count requests that reach a refusing searcher from this time after
# the refusal on, and allow two of them from each node.
REACTION_S = 0.5
ALLOWED_REQUESTS = 2


def now() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()


def test_leaving_searcher_gets_nothing_more(tmp_path: Path) -> None:
    """Guards against a searcher that leaves and gets further requests.

    The store still lists it as ready. A new process under the same name is
    used again.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        leaving = site.searchers_of("single")[0]
        leaving.faults = SearcherFaults(leaving=True)
        port = site.nodes[0].front_port

        def send() -> object:
            return send_request(session, port, "/fetch/1", ())

        await send_at_rate(send, REQUESTS_PER_S, 1)
        assert site.arrivals_after(leaving.name, 0.0)
        heard_at = now()
        # The listing changes, but is still of the same process.
        site.register_searcher(leaving, cold_ms=1)
        await asyncio.sleep(APPLY_S)
        results = await send_at_rate(send, REQUESTS_PER_S, 1)
        assert all(result.status == 200 for result in results)
        assert not site.arrivals_after(leaving.name, heard_at)
        leaving.faults = SearcherFaults()
        leaving.started_ms += 1
        site.register_searcher(leaving)
        await asyncio.sleep(APPLY_S)
        await send_at_rate(send, REQUESTS_PER_S, 1)
        assert site.arrivals_after(leaving.name, heard_at)

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))


def test_nodes_share_what_they_know_of_leaving_searchers(
    tmp_path: Path,
) -> None:
    """Guards against a leaving searcher that another node keeps using.

    A node without local searchers delegates its queries. The answer of the
    other node tells it which searchers leave.
    """
    shape = Shape(nodes=("a", "c"), shards=6, replicas=("a", "a"))

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        leaving = site.searchers_of("sh00")[0]
        leaving.faults = SearcherFaults(leaving=True)
        await send_at_rate(query_sender(site, session, 1), REQUESTS_PER_S, 1)
        assert site.arrivals_after(leaving.name, 0.0)
        heard_at = now()
        # Without the other node, this one queries the searchers itself.
        site.send_signal(site.nodes[0], signal.SIGKILL)
        results = await send_at_rate(
            query_sender(site, session, 1), REQUESTS_PER_S, 1.5
        )
        assert results[-1].coverage == 1.0
        assert not site.arrivals_after(leaving.name, heard_at)

    run_on_site(tmp_path, scenario, shape)


@pytest.mark.parametrize("retry_after", ["2", "1.5"])
def test_refusing_searcher_gets_nothing_for_the_stated_time(
    tmp_path: Path, retry_after: str
) -> None:
    """Guards against requests to a searcher that asked for a pause.

    It is the only searcher of its service. Callers are refused at once, and
    it is used again after the pause.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        (refusing,) = site.searchers_of("single")
        refusing.faults = SearcherFaults(shed=True, retry_after=retry_after)
        port = site.nodes[0].front_port
        results = await send_at_rate(
            lambda: send_request(session, port, "/fetch/1", ()),
            REQUESTS_PER_S,
            5,
        )
        assert {result.status for result in results} == {503}
        assert max(result.latency_s for result in results) < 0.2
        refused_at = refusing.refused_at
        end = refused_at[0] + float(retry_after)
        counted = [
            at for at in refused_at if refused_at[0] + REACTION_S <= at < end
        ]
        assert len(counted) <= ALLOWED_REQUESTS
        assert refused_at[-1] >= end
        refusing.faults = SearcherFaults()
        await asyncio.sleep(float(retry_after) + REACTION_S)
        result = await send_request(session, port, "/fetch/1", ())
        assert result.status == 200

    run_on_site(
        tmp_path, scenario, Shape(nodes=("a",), shards=1, singles=("a",))
    )


def test_refusal_of_all_searchers_is_passed_on_at_once(
    tmp_path: Path,
) -> None:
    """Guards against callers that wait, or retry while no searcher accepts.

    All searchers of a service refuse for half a second. The caller is told so
    at once, with the time that is left.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        for searcher in site.searchers_of("single"):
            searcher.faults = SearcherFaults(shed=True, retry_after="0.5")
        port = site.nodes[0].front_port
        await send_request(session, port, "/submit/1", (), "POST")
        result = await send_request(session, port, "/submit/1", (), "POST")
        assert result.status == 503
        assert result.latency_s < 0.1
        assert 0.3 < result.retry_after_s <= 0.5
        assert not site.arrivals

    run_on_site(tmp_path, scenario, Shape(nodes=("a",), shards=1))

"""Tests of real nodes whose watches of the store go silent for a time."""

import asyncio
from pathlib import Path

import aiohttp

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.fleet.callers import send_at_rate
from kumquatchute_standins.platform.fleet.site import FleetSite
from kumquatchute_standins.platform.fleet.tests.scenarios import query_sender
from kumquatchute_standins.platform.fleet.tests.scenarios import run_on_site

QUERIES_PER_S = 25.0
# Bounds of the users: a node is in touch when the store has been stable for
# the first time; then a draining searcher and an evacuated data centre get no
# request later than the other two after the store has accepted the change.
STABLE_S = 4.0
DRAIN_S = 3.0
EVACUATE_S = 5.0
# Longer than the watch that fails first and restarts the others, so that
# these begin while the store is still silent.
SILENCE_S = 3.5


def test_drain_is_read_after_an_outage_that_swallowed_a_watch(
    tmp_path: Path,
) -> None:
    """Guards against requests to a searcher that left after an outage.

    A watch that begins while the store accepts calls and answers none stays
    silent after the outage, and nothing else shows that it does.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        site.store.post_control(SetDown(DownMode.HANG))
        await asyncio.sleep(SILENCE_S)
        site.store.post_control(ClearFaults())
        await asyncio.sleep(STABLE_S)
        leaving = site.searchers_of("sh00")[0]
        site.register_searcher(leaving, "draining")
        announced_at = asyncio.get_running_loop().time()
        await asyncio.gather(
            send_at_rate(query_sender(site, session, 0), QUERIES_PER_S, 4.5),
            send_at_rate(query_sender(site, session, 1), QUERIES_PER_S, 4.5),
        )
        assert not site.arrivals_after(leaving.name, announced_at + DRAIN_S)

    run_on_site(tmp_path, scenario)


def test_evacuation_is_read_though_its_watch_went_silent(
    tmp_path: Path,
) -> None:
    """Guards against requests to an evacuated data centre.

    The store tells the watch of the evacuations nothing and drops its history,
    while the watch of the manifest works.
    """

    async def scenario(
        site: FleetSite, session: aiohttp.ClientSession
    ) -> None:
        site.store.post_control(SilenceWatches("evacuations"))
        site.evacuate("a")
        announced_at = asyncio.get_running_loop().time()
        site.store.post_control(DropHistory())
        site.store.post_control(ClearFaults())
        await asyncio.gather(
            send_at_rate(query_sender(site, session, 0), QUERIES_PER_S, 6.5),
            send_at_rate(query_sender(site, session, 1), QUERIES_PER_S, 6.5),
        )
        for searcher in site.searchers:
            if searcher.data_centre == "a":
                assert not site.arrivals_after(
                    searcher.name, announced_at + EVACUATE_S
                )

    run_on_site(tmp_path, scenario)

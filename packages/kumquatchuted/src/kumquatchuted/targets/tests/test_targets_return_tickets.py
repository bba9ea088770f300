"""Tests that a data centre returns although the owner's store is faulty."""

import asyncio
from dataclasses import replace

import pytest

from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.tests.fakes_targets import FakeNode
from kumquatchuted.targets.tests.fakes_targets import FakeTarget
from kumquatchuted.targets.tests.fakes_targets import SEARCHER
from kumquatchuted.tickets.messages import ViewChanged
from kumquatchuted.tickets.tests.cluster import NODES
from kumquatchuted.tickets.tests.cluster import RETURN_DC
from kumquatchuted.tickets.tests.cluster import run_cluster
from kumquatchuted.tickets.tests.cluster import TAKE_DC_OUT
from kumquatchuted.tickets.tests.cluster import wait_until
from kumquatchuted.tickets.tests.fake_store import FakeStore

OWNER = NODES[-1]


async def run_attempt(
    node: FakeNode, name: str
) -> SearchResult | AttemptFailed:
    node.post_search_attempt(name)
    await wait_until(lambda: name in node.outcomes())
    (outcome,) = node.outcomes()[name]
    return outcome


def take_store_down(store: FakeStore) -> None:
    store.down = True


def delay_store(store: FakeStore) -> None:
    store.delay_s = 30.0


def serve_stale_objects(store: FakeStore) -> None:
    store.stale_objects = dict(store.objects)


@pytest.mark.parametrize(
    "disturb_store",
    [
        pytest.param(
            disturb_store,
            marks=pytest.mark.proves("out of service: return", fault),
        )
        for fault, disturb_store in (
            ("store down", take_store_down),
            ("store slow", delay_store),
            ("store answers older state", serve_stale_objects),
        )
    ],
)
def test_returned_data_centre_works_although_its_owner_cannot_read(
    disturb_store,
):
    """Guards against a data centre that stays out or is taken out again.

    The owner receives the ticket of the return only from its peers.
    """

    async def scenario() -> None:
        peer_store, owner_store = FakeStore(), FakeStore(stalled_watches=True)
        owner_store.objects = peer_store.objects
        async with run_cluster(peer_store, NODES[:-1]) as cluster:
            cluster.start(OWNER, owner_store)
            await asyncio.sleep(0.05)
            node = FakeNode("a", FakeTarget())
            node.list_searchers(replace(SEARCHER, dc="atl-east"))
            node.set_placement(1, "a", "b")
            node.stay_current(60.0)

            def is_applied(number: int) -> bool:
                """Post the newest view, as the ticket task does."""
                view = cluster.view(OWNER)
                if view is not None:
                    node.post(ViewChanged(view))
                return view is not None and view.number == number

            await cluster.submit("n1", TAKE_DC_OUT)
            await wait_until(lambda: is_applied(1))
            assert (await run_attempt(node, "out")).not_run
            owner_store.objects = dict(peer_store.objects)
            disturb_store(owner_store)
            await cluster.submit("n1", RETURN_DC)
            await wait_until(lambda: is_applied(2))
            # Longer than 2 s, the interval at which the store is read.
            for number in range(25):
                outcome = await run_attempt(node, f"back-{number}")
                assert isinstance(outcome, SearchResult)
                await asyncio.sleep(0.1)
                assert is_applied(2)
            node.running.cancel()
            await asyncio.gather(node.running, return_exceptions=True)

    asyncio.run(scenario())

"""Guards the return of a data centre at a node whose store has trouble."""

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


async def run(node: FakeNode, name: str) -> SearchResult | AttemptFailed:
    node.run_query(name)
    await wait_until(lambda: name in node.outcomes())
    (outcome,) = node.outcomes()[name]
    return outcome


def fail(store: FakeStore) -> None:
    store.down = True


def hold(store: FakeStore) -> None:
    store.delay_s = 30.0


def go_back(store: FakeStore) -> None:
    store.stale_objects = dict(store.objects)


@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param(
            trouble, marks=pytest.mark.proves("out of service: return", fault)
        )
        for fault, trouble in (
            ("store down", fail),
            ("store slow", hold),
            ("store answers older state", go_back),
        )
    ],
)
def test_returned_data_centre_works_although_its_owner_cannot_read(trouble):
    """Guards against a data centre that stays out, or goes out again.

    The owner learns of the return from its peers only.
    """

    async def scenario() -> None:
        good, own = FakeStore(), FakeStore(silent_watches=True)
        own.objects = good.objects
        async with run_cluster(good, NODES[:-1]) as made:
            made.start(OWNER, own)
            await asyncio.sleep(0.05)
            node = FakeNode("a", FakeTarget())
            node.list_searchers(replace(SEARCHER, dc="atl-east"))
            node.set_placement(1, "a", "b")
            node.stay_current(60.0)

            def in_force(number: int) -> bool:
                """Pass on the newest view, like the ticket task."""
                view = made.view(OWNER)
                if view is not None:
                    node.post(ViewChanged(view))
                return view is not None and view.number == number

            await made.submit("n1", TAKE_DC_OUT)
            await wait_until(lambda: in_force(1))
            assert (await run(node, "out")).not_run
            own.objects = dict(good.objects)
            trouble(own)
            await made.submit("n1", RETURN_DC)
            await wait_until(lambda: in_force(2))
            # Longer than the interval of reads of the store, 2 s.
            for number in range(25):
                outcome = await run(node, f"back-{number}")
                assert isinstance(outcome, SearchResult)
                await asyncio.sleep(0.1)
                assert in_force(2)
            node.running.cancel()
            await asyncio.gather(node.running, return_exceptions=True)

    asyncio.run(scenario())

"""Guards a searcher that goes out of service and comes back under faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from itertools import product

import pytest

from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.tests.fakes_targets import FakeNode
from kumquatchuted.targets.tests.fakes_targets import FakeTarget
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

LEASE_S = 6.0
BUDGET_S = 30.0
OUT = frozenset({"north"})

Fault = Callable[[FakeNode], Awaitable[None]]


async def straggle(node: FakeNode) -> None:
    node.target.work_s = 2.5
    node.run_query("slow", BUDGET_S)
    await asyncio.sleep(0.1)


async def restart(node: FakeNode) -> None:
    node.target.restart()


async def lose(node: FakeNode) -> None:
    node.target.restart(is_up=False)


async def pause(node: FakeNode) -> None:
    node.loop.pause(1.0)


async def pause_beyond_lease(node: FakeNode) -> None:
    node.loop.pause(LEASE_S + 2.0)


async def contradict(node: FakeNode) -> None:
    change(node, 2, OUT)
    change(node, 3, frozenset())


FAULTS = {
    "straggler": straggle,
    "target cold without warning": restart,
    "replica lost": lose,
    "node paused and resumed": pause,
    "lease expired while its holder was paused": pause_beyond_lease,
    "operators racing": contradict,
}


def proofs(step: str, pairs: bool = False):
    """Return a case for each fault, marked with what it proves."""
    cases = [(name,) for name in FAULTS]
    cases += product(FAULTS, repeat=2) if pairs else ()
    return [
        pytest.param(names, marks=pytest.mark.proves(step, *names))
        for names in cases
    ]


def change(node: FakeNode, number: int, dcs_out: frozenset[str]) -> None:
    node.post(ViewChanged(View(number, dcs_out=dcs_out)))


def with_warm_node(body: Callable[[FakeNode], Awaitable[None]]) -> None:
    """Run a test body beside the owner of a searcher at its full limit."""

    async def main() -> None:
        node = FakeNode("a", FakeTarget())
        node.set_placement(1, "a", "b")
        node.stay_current(LEASE_S)
        for number in range(30):
            node.run_query(f"warm-{number}")
            await asyncio.sleep(0.05)
            node.stay_current(LEASE_S)
        try:
            await body(node)
        finally:
            node.running.cancel()
            await asyncio.gather(node.running, return_exceptions=True)

    run_in_virtual_time(main())


def check_refusals(node: FakeNode, names: list[str]) -> None:
    started = node.target.started_attempts()
    for name in names:
        for outcome in node.outcomes().get(name, []):
            match outcome:
                case AttemptFailed(not_run=True):
                    assert name not in started, "ran after a not-run refusal"


async def load(node: FakeNode, names: list[str]) -> None:
    for name in names:
        node.run_query(name, BUDGET_S)
    await asyncio.sleep(0)


@pytest.mark.parametrize("names", proofs("out of service: queued work", True))
def test_queued_work_is_dropped_when_the_data_centre_goes_out(names):
    """Guards against queued work that is sent although it is out."""

    async def body(node: FakeNode) -> None:
        node.target.work_s = 0.5
        queued = [f"q{number}" for number in range(20)]
        await load(node, queued)
        await asyncio.sleep(0.01)
        for name in names:
            await FAULTS[name](node)
        change(node, 9, OUT)
        node.stay_current(LEASE_S)
        await asyncio.sleep(0.01)
        started = len(node.target.started)
        for _ in range(5):
            node.stay_current(LEASE_S)
            await asyncio.sleep(3)
        assert len(node.target.started) == started
        outcomes = node.outcomes()
        assert all(len(outcomes[name]) == 1 for name in queued)
        check_refusals(node, queued)
        assert node.target.overloads == []

    with_warm_node(body)


@pytest.mark.parametrize("names", proofs("out of service: return", True))
def test_returned_searcher_is_not_overloaded_and_works_again(names):
    """Guards against the limit from before on a searcher that restarted."""

    async def body(node: FakeNode) -> None:
        change(node, 8, OUT)
        await asyncio.sleep(1)
        for name in names:
            await FAULTS[name](node)
        change(node, 9, frozenset())
        node.target.is_up = True
        node.target.work_s = 0.1
        back = [f"back-{number}" for number in range(60)]
        for name in back:
            node.stay_current(LEASE_S)
            node.run_query(name, BUDGET_S)
            await asyncio.sleep(0.05)
        for _ in range(4):
            node.stay_current(LEASE_S)
            await asyncio.sleep(3)
        assert node.target.overloads == []
        outcomes = node.outcomes()
        check_refusals(node, back)
        assert all(len(outcomes[name]) == 1 for name in back)
        assert isinstance(outcomes[back[-1]][0], SearchResult)

    with_warm_node(body)


@pytest.mark.parametrize("names", proofs("out of service: apply"))
def test_nothing_new_is_sent_while_the_data_centre_is_out(names):
    """Guards against new work that a fault lets through while it is out."""

    async def body(node: FakeNode) -> None:
        change(node, 1, OUT)
        await asyncio.sleep(0.01)
        started = len(node.target.started)
        for name in names:
            await FAULTS[name](node)
        change(node, 9, OUT)
        new = [f"new-{number}" for number in range(20)]
        for name in new:
            node.stay_current(LEASE_S)
            node.run_query(name)
            await asyncio.sleep(0.1)
        assert len(node.target.started) == started
        for name in new:
            (refused,) = node.outcomes()[name]
            assert refused.not_run

    with_warm_node(body)

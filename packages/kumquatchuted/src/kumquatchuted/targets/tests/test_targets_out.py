"""Tests a searcher that goes out of service and returns during faults."""

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
NORTH_OUT = frozenset({"north"})

Fault = Callable[[FakeNode], Awaitable[None]]


async def slow_down(node: FakeNode) -> None:
    node.target.work_s = 2.5
    node.post_search_attempt("slow", BUDGET_S)
    await asyncio.sleep(0.1)


async def restart(node: FakeNode) -> None:
    node.target.restart()


async def stop_searcher(node: FakeNode) -> None:
    node.target.restart(is_up=False)


async def pause_process(node: FakeNode) -> None:
    node.loop.pause(1.0)


async def pause_process_beyond_lease(node: FakeNode) -> None:
    node.loop.pause(LEASE_S + 2.0)


async def post_conflicting_views(node: FakeNode) -> None:
    set_dcs_out(node, 2, NORTH_OUT)
    set_dcs_out(node, 3, frozenset())


FAULTS = {
    "straggler": slow_down,
    "target cold without warning": restart,
    "replica lost": stop_searcher,
    "node paused and resumed": pause_process,
    "lease expired while its holder was paused": pause_process_beyond_lease,
    "operators racing": post_conflicting_views,
}


def fault_cases(step: str, pairs: bool = False):
    """Return a test case for each fault, and each pair if asked for."""
    cases = [(name,) for name in FAULTS]
    cases += product(FAULTS, repeat=2) if pairs else ()
    return [
        pytest.param(names, marks=pytest.mark.proves(step, *names))
        for names in cases
    ]


def set_dcs_out(node: FakeNode, number: int, dcs_out: frozenset[str]) -> None:
    node.post(ViewChanged(View(number, dcs_out=dcs_out)))


def with_warm_node(body: Callable[[FakeNode], Awaitable[None]]) -> None:
    """Run a test body with the owner of a searcher at its full limit."""

    async def main() -> None:
        node = FakeNode("a", FakeTarget())
        node.set_placement(1, "a", "b")
        node.stay_current(LEASE_S)
        for number in range(30):
            node.post_search_attempt(f"warm-{number}")
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


async def queue_attempts(node: FakeNode, names: list[str]) -> None:
    for name in names:
        node.post_search_attempt(name, BUDGET_S)
    await asyncio.sleep(0)


@pytest.mark.parametrize(
    "names", fault_cases("out of service: queued work", True)
)
def test_queued_work_is_dropped_when_the_data_centre_goes_out(names):
    """Guards against sending queued attempts to a searcher out of service.

    Its data centre goes out of service while attempts are queued, after one
    fault or two.
    """

    async def body(node: FakeNode) -> None:
        node.target.work_s = 0.5
        queued = [f"q{number}" for number in range(20)]
        await queue_attempts(node, queued)
        await asyncio.sleep(0.01)
        for name in names:
            await FAULTS[name](node)
        set_dcs_out(node, 9, NORTH_OUT)
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


@pytest.mark.parametrize("names", fault_cases("out of service: return", True))
def test_returned_searcher_is_not_overloaded_and_works_again(names):
    """Guards against full load on a searcher that restarted meanwhile.

    One fault or two occur while its data centre is out of service. After its
    return it must get attempts again, within the limit of its warm-up.
    """

    async def body(node: FakeNode) -> None:
        set_dcs_out(node, 8, NORTH_OUT)
        await asyncio.sleep(1)
        for name in names:
            await FAULTS[name](node)
        set_dcs_out(node, 9, frozenset())
        node.target.is_up = True
        node.target.work_s = 0.1
        returned = [f"back-{number}" for number in range(60)]
        for name in returned:
            node.stay_current(LEASE_S)
            node.post_search_attempt(name, BUDGET_S)
            await asyncio.sleep(0.05)
        for _ in range(4):
            node.stay_current(LEASE_S)
            await asyncio.sleep(3)
        assert node.target.overloads == []
        outcomes = node.outcomes()
        check_refusals(node, returned)
        assert all(len(outcomes[name]) == 1 for name in returned)
        assert isinstance(outcomes[returned[-1]][0], SearchResult)

    with_warm_node(body)


@pytest.mark.parametrize("names", fault_cases("out of service: apply"))
def test_nothing_new_is_sent_while_the_data_centre_is_out(names):
    """Guards against sending new attempts to a searcher out of service.

    A fault occurs while its data centre is out of service, and attempts arrive
    after it.
    """

    async def body(node: FakeNode) -> None:
        set_dcs_out(node, 1, NORTH_OUT)
        await asyncio.sleep(0.01)
        started = len(node.target.started)
        for name in names:
            await FAULTS[name](node)
        set_dcs_out(node, 9, NORTH_OUT)
        new = [f"new-{number}" for number in range(20)]
        for name in new:
            node.stay_current(LEASE_S)
            node.post_search_attempt(name)
            await asyncio.sleep(0.1)
        assert len(node.target.started) == started
        for name in new:
            (refused,) = node.outcomes()[name]
            assert refused.not_run

    with_warm_node(body)

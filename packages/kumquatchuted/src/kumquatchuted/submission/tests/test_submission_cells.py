"""Guards submissions against faults that strike at one of their steps."""

import asyncio
from bisect import bisect
from collections.abc import Callable
from itertools import product
from types import MappingProxyType
from typing import Any

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.query import SubmissionOutcome
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.submission.tests.fakes_submission import Fault
from kumquatchuted.submission.tests.fakes_submission import Objects
from kumquatchuted.submission.tests.test_submission import check
from kumquatchuted.submission.tests.test_submission import key_at
from kumquatchuted.submission.tests.test_submission import Node
from kumquatchuted.submission.tests.test_submission import WALL_S
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

DEADLINE_S = 10.0
CLAIM_UNDER_WAY_S = 0.002
RECORD_UNDER_WAY_S = 0.027
"""The claim takes 5 ms, the attempt 20 ms."""

CLAIM, RECORD, REPEAT = (
    f"submission: {step}" for step in ("claim", "record", "repeat")
)
MOMENTS = {
    CLAIM: (0, CLAIM_UNDER_WAY_S),
    RECORD: (0, RECORD_UNDER_WAY_S),
    REPEAT: (1, CLAIM_UNDER_WAY_S),
}
"""Which of the nodes the fault strikes, and when after its call."""


def leave(node: Node) -> None:
    gone = Searcher("s1", "quiz", "", "h1", "north", leaving=True)
    listed = MappingProxyType({gone.name: gone})
    node.send(CatalogChanged(Catalog(searchers=listed)))


def race(node: Node) -> None:
    for number in range(1, 4):
        out = frozenset({"north", "south"}) if number % 2 else frozenset()
        node.send(ViewChanged(View(number, dcs_out=out)))


def lapse(node: Node) -> None:
    node.send(CurrentUntil(node.loop.time() + 1.0))
    node.loop.pause(5.0)


def pause(node: Node) -> None:
    node.loop.pause(DEADLINE_S + 5.0)


STRIKES: dict[str, Callable[[Node], None]] = {
    "target leaving": leave,
    "operators racing": race,
    "lease expired while its holder was paused": lapse,
}
PAUSED = "node paused and resumed"


def requests(
    faults: dict[int, tuple[Fault, ...]],
    strike: Callable[[Node], None] = lambda node: None,
    moment: tuple[int, float] = (0, 0.0),
) -> tuple[list[Any], list[str], Objects]:
    """Return results of one request and two repeats, runs and the store.

    :param faults: of the store, for each node
    :param moment: node and seconds after its call
    """

    async def main() -> tuple[list[Any], list[str], Objects]:
        objects, runs, results = Objects(), [], []
        nodes = [
            Node(number, objects, runs, list(faults.get(number, ())), [])
            for number in range(3)
        ]
        key = key_at(WALL_S + nodes[0].loop.time())
        for number, node in enumerate(nodes):
            calling = asyncio.create_task(node.call(key, DEADLINE_S))
            await asyncio.sleep(moment[1])
            if moment[0] == number:
                strike(node)
            # An answer after the deadline is of no use to the caller.
            results.append(await asyncio.wait_for(calling, DEADLINE_S + 0.1))
            await asyncio.sleep(40.0)
        for node in nodes:
            node.running.cancel()
        await asyncio.gather(
            *(n.running for n in nodes), return_exceptions=True
        )
        check(results, runs, nodes)
        return results, runs, objects

    return run_in_virtual_time(main())


@pytest.mark.parametrize(
    "step, fault",
    [
        pytest.param(*case, marks=pytest.mark.proves(*case))
        for case in (*product(MOMENTS, STRIKES), (RECORD, PAUSED))
    ],
)
def test_fault_at_a_step_causes_no_second_run_and_loses_no_outcome(
    step, fault
):
    """Guards against an attempt under lost authority, and a lost outcome.

    Before the attempt the claim is given up, so that a repeat can run. An
    outcome is recorded and read without authority over any searcher.
    """
    strike = pause if fault == PAUSED else STRIKES[fault]
    results, runs, _ = requests({}, strike, MOMENTS[step])
    if step == CLAIM:
        assert results.pop(0).kind in (
            ErrorKind.TARGET_OUT,
            ErrorKind.NOT_CURRENT,
        )
    assert isinstance(results[-1], SubmissionOutcome)
    assert set(results) == {results[-1]}
    assert runs == [results[-1].attempt]


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(
            Fault.DOWN,
            marks=pytest.mark.proves("submission: send", "store down"),
        ),
        pytest.param(
            Fault.LATE_RESPONSE,
            marks=pytest.mark.proves("submission: send", "store slow"),
        ),
        pytest.param(
            Fault.SILENT,
            marks=pytest.mark.proves(RECORD, "connection silent for good"),
        ),
    ],
)
def test_store_trouble_after_the_claim_loses_no_outcome(fault):
    """Guards against a known outcome that neither caller nor repeat gets."""
    results, runs, _ = requests({0: (Fault.NONE, fault, fault)})
    assert runs == [results[0].attempt]
    assert results == [results[0]] * 3


OLDER = "store answers older state"
STALE = (Fault.OLDER_STATE,) * 30
BLIND = (Fault.DOWN,) * 15
FOUND_LATE = (Fault.NONE, Fault.RESPONSE_LOST)
CALLS_PER_S = 12
"""A write and a read for each of the waits 0.05, 0.1, 0.2 and 0.4 s; two more
before them, because the first conflict is looked at without a wait."""


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(
            {0: (Fault.RESPONSE_LOST, *STALE)},
            marks=pytest.mark.proves(CLAIM, OLDER),
        ),
        # The claim is found after the deadline and marked as abandoned.
        pytest.param(
            {0: (Fault.RESPONSE_LOST, *BLIND, *FOUND_LATE, *STALE)},
            marks=pytest.mark.proves(CLAIM, OLDER),
        ),
        pytest.param(
            {0: (Fault.NONE, Fault.DOWN, *STALE[:2])},
            marks=pytest.mark.proves(RECORD, OLDER),
        ),
        pytest.param(
            {0: (Fault.NONE, Fault.RESPONSE_LOST, *STALE)},
            marks=pytest.mark.proves(RECORD, OLDER),
        ),
        pytest.param(
            {1: STALE},
            marks=pytest.mark.proves(REPEAT, OLDER),
        ),
    ],
)
def test_older_state_causes_no_second_run_and_no_load_on_the_store(faults):
    """Guards against a loop of refused writes, and a lost outcome."""
    results, runs, objects = requests(faults)
    called = objects.called
    busiest = max(
        bisect(called, at + 1.0) - number for number, at in enumerate(called)
    )
    assert busiest <= CALLS_PER_S
    assert len(runs) <= 1
    assert isinstance(results[2], SubmissionOutcome)
    assert results[2].attempt == runs[0]

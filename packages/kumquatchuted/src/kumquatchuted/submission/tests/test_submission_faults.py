"""Tests submissions with a fault during one of their steps."""

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
from kumquatchuted.submission.tests.fakes_submission import PlatformObjects
from kumquatchuted.submission.tests.fakes_submission import StoreFault
from kumquatchuted.submission.tests.test_submission import check_results
from kumquatchuted.submission.tests.test_submission import key_at
from kumquatchuted.submission.tests.test_submission import SimulatedNode
from kumquatchuted.submission.tests.test_submission import WALL_S
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

DEADLINE_S = 10.0
DURING_CLAIM_S = 0.002
DURING_RECORD_S = 0.027
"""The claim takes 5 ms, the attempt 20 ms."""

CLAIM, RECORD, REPEAT = (
    f"submission: {step}" for step in ("claim", "record", "repeat")
)
FAULT_TIMES = {
    CLAIM: (0, DURING_CLAIM_S),
    RECORD: (0, DURING_RECORD_S),
    REPEAT: (1, DURING_CLAIM_S),
}
"""Number of the faulty node and seconds after its call."""


def list_as_leaving(node: SimulatedNode) -> None:
    searcher = Searcher("s1", "quiz", "", "h1", "north", leaving=True)
    listed = MappingProxyType({searcher.name: searcher})
    node.send(CatalogChanged(Catalog(searchers=listed)))


def alternate_service_state(node: SimulatedNode) -> None:
    for number in range(1, 4):
        out = frozenset({"north", "south"}) if number % 2 else frozenset()
        node.send(ViewChanged(View(number, dcs_out=out)))


def expire_lease(node: SimulatedNode) -> None:
    node.send(CurrentUntil(node.loop.time() + 1.0))
    node.loop.pause(5.0)


def pause_node(node: SimulatedNode) -> None:
    node.loop.pause(DEADLINE_S + 5.0)


NODE_FAULTS: dict[str, Callable[[SimulatedNode], None]] = {
    "target leaving": list_as_leaving,
    "operators racing": alternate_service_state,
    "lease expired while its holder was paused": expire_lease,
}
NODE_PAUSED = "node paused and resumed"


def run_requests(
    faults: dict[int, tuple[StoreFault, ...]],
    inject: Callable[[SimulatedNode], None] = lambda node: None,
    fault_time: tuple[int, float] = (0, 0.0),
) -> tuple[list[Any], list[str], PlatformObjects]:
    """Send one request and two repeats, each to a node of its own.

    :param faults: store faults of each node
    :param inject: injects a fault into a node
    :param fault_time: number of that node and seconds after its call
    :returns: results, attempts that ran, and the objects in the store
    """

    async def main() -> tuple[list[Any], list[str], PlatformObjects]:
        objects, runs, results = PlatformObjects(), [], []
        nodes = [
            SimulatedNode(
                number, objects, runs, list(faults.get(number, ())), []
            )
            for number in range(3)
        ]
        key = key_at(WALL_S + nodes[0].loop.time())
        for number, node in enumerate(nodes):
            call_task = asyncio.create_task(node.call(key, DEADLINE_S))
            await asyncio.sleep(fault_time[1])
            if fault_time[0] == number:
                inject(node)
            # The caller cannot use an answer that arrives after its deadline.
            results.append(await asyncio.wait_for(call_task, DEADLINE_S + 0.1))
            await asyncio.sleep(40.0)
        for node in nodes:
            node.running.cancel()
        await asyncio.gather(
            *(n.running for n in nodes), return_exceptions=True
        )
        check_results(results, runs, nodes)
        return results, runs, objects

    return run_in_virtual_time(main())


@pytest.mark.parametrize(
    "step, fault",
    [
        pytest.param(*case, marks=pytest.mark.proves(*case))
        for case in (*product(FAULT_TIMES, NODE_FAULTS), (RECORD, NODE_PAUSED))
    ],
)
def test_fault_at_a_step_causes_no_second_run_and_loses_no_outcome(
    step, fault
):
    """Guards against attempts that must not be sent, and lost outcomes.

    A node that is not current sends nothing, and a searcher that is leaving
    or out of service gets nothing. A fault during the claim abandons it, so
    that a repeat can run. Outcomes are recorded and read even by a node that
    is not current.
    """
    inject = pause_node if fault == NODE_PAUSED else NODE_FAULTS[fault]
    results, runs, _ = run_requests({}, inject, FAULT_TIMES[step])
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
            StoreFault.DOWN,
            marks=pytest.mark.proves("submission: send", "store down"),
        ),
        pytest.param(
            StoreFault.LATE_RESPONSE,
            marks=pytest.mark.proves("submission: send", "store slow"),
        ),
        pytest.param(
            StoreFault.CONNECTION_SILENT,
            marks=pytest.mark.proves(RECORD, "connection silent for good"),
        ),
    ],
)
def test_store_fault_after_the_claim_loses_no_outcome(fault):
    """Guards against an outcome that neither the caller nor a repeat gets."""
    results, runs, _ = run_requests({0: (StoreFault.NONE, fault, fault)})
    assert runs == [results[0].attempt]
    assert results == [results[0]] * 3


OLDER_STATE = "store answers older state"
STALE_READS = (StoreFault.STALE_READ,) * 30
STORE_OUTAGE = (StoreFault.DOWN,) * 15
FOUND_AFTER_DEADLINE = (StoreFault.NONE, StoreFault.RESPONSE_LOST)
MAX_CALLS_PER_S = 12
"""One write and one read for each of the delays 0.05, 0.1, 0.2 and 0.4 s, and
two of each before them, because the first conflict is read back at once."""


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(
            {0: (StoreFault.RESPONSE_LOST, *STALE_READS)},
            marks=pytest.mark.proves(CLAIM, OLDER_STATE),
        ),
        # The claim is found after the deadline and marked as abandoned.
        pytest.param(
            {
                0: (
                    StoreFault.RESPONSE_LOST,
                    *STORE_OUTAGE,
                    *FOUND_AFTER_DEADLINE,
                    *STALE_READS,
                )
            },
            marks=pytest.mark.proves(CLAIM, OLDER_STATE),
        ),
        pytest.param(
            {0: (StoreFault.NONE, StoreFault.DOWN, *STALE_READS[:2])},
            marks=pytest.mark.proves(RECORD, OLDER_STATE),
        ),
        pytest.param(
            {0: (StoreFault.NONE, StoreFault.RESPONSE_LOST, *STALE_READS)},
            marks=pytest.mark.proves(RECORD, OLDER_STATE),
        ),
        pytest.param(
            {1: STALE_READS},
            marks=pytest.mark.proves(REPEAT, OLDER_STATE),
        ),
    ],
)
def test_stale_reads_cause_no_second_run_and_no_store_overload(faults):
    """Guards against a tight loop of refused writes, and lost outcomes.

    A write based on a stale read is refused, and reading again at once
    returns the same stale state.
    """
    results, runs, objects = run_requests(faults)
    call_times = objects.call_times
    max_calls = max(
        bisect(call_times, start + 1.0) - number
        for number, start in enumerate(call_times)
    )
    assert max_calls <= MAX_CALLS_PER_S
    assert len(runs) <= 1
    assert isinstance(results[2], SubmissionOutcome)
    assert results[2].attempt == runs[0]

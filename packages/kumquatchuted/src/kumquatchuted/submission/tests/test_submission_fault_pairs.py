"""Tests submissions with faults between steps and pairs of faults."""

import asyncio
from typing import Any

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.submission.tests.fakes_submission import AttemptBehaviour
from kumquatchuted.submission.tests.fakes_submission import PlatformObjects
from kumquatchuted.submission.tests.fakes_submission import StoreFault
from kumquatchuted.submission.tests.test_submission import check_results
from kumquatchuted.submission.tests.test_submission import key_at
from kumquatchuted.submission.tests.test_submission import RequestPlan
from kumquatchuted.submission.tests.test_submission import run_plans
from kumquatchuted.submission.tests.test_submission import SimulatedNode
from kumquatchuted.submission.tests.test_submission import WALL_S
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

DURING_CLAIM_S = 0.002
DEADLINE_S = 10.0


def interrupt_claim(inject: Any) -> tuple[Any, Any, list[str]]:
    """Inject a fault during the claim, then repeat at another node."""

    async def main() -> tuple[Any, Any, list[str]]:
        objects, runs = PlatformObjects(), []
        nodes = [SimulatedNode(i, objects, runs, [], []) for i in range(2)]
        key = key_at(WALL_S + nodes[0].loop.time())
        call_task = asyncio.create_task(nodes[0].call(key, DEADLINE_S))
        await asyncio.sleep(DURING_CLAIM_S)
        inject(nodes[0])
        first = await call_task
        repeat = await nodes[1].call(key, DEADLINE_S)
        await asyncio.sleep(30)
        for node in nodes:
            node.running.cancel()
        await asyncio.gather(
            *(n.running for n in nodes), return_exceptions=True
        )
        return first, repeat, runs

    return run_in_virtual_time(main())


@pytest.mark.proves(
    "submission: send", "lease expired while its holder was paused"
)
def test_node_whose_lease_expired_in_a_pause_after_the_claim_sends_nothing():
    """Guards against an attempt sent after the lease has expired.

    The node was paused and does not know what changed meanwhile.
    """

    def inject(node: SimulatedNode) -> None:
        node.send(CurrentUntil(node.loop.time() + 1.0))
        node.loop.pause(5.0)

    first, repeat, runs = interrupt_claim(inject)
    assert (first.kind, first.not_run) == (ErrorKind.NOT_CURRENT, True)
    assert isinstance(repeat, SubmissionOutcome)
    assert runs == [repeat.attempt]


@pytest.mark.proves("submission: send", "node paused and resumed")
def test_node_paused_beyond_the_deadline_after_the_claim_sends_nothing():
    """Guards against a run after the caller has stopped waiting."""
    first, repeat, runs = interrupt_claim(lambda node: node.loop.pause(15.0))
    assert first.not_run
    assert isinstance(repeat, SubmissionOutcome)
    assert runs == [repeat.attempt]


@pytest.mark.proves("submission: send", "target leaving")
@pytest.mark.proves("submission: send", "operators racing")
def test_attempt_is_not_sent_to_searchers_taken_out_after_the_claim():
    """Guards against new work for a data centre out of service.

    It was in service when the request was checked, before the claim.
    """

    def inject(node: SimulatedNode) -> None:
        for number in range(1, 4):
            out = frozenset({"north", "south"}) if number % 2 else frozenset()
            node.send(ViewChanged(View(number, dcs_out=out)))

    first, repeat, runs = interrupt_claim(inject)
    assert (first.kind, first.not_run) == (ErrorKind.TARGET_OUT, True)
    assert isinstance(repeat, SubmissionOutcome)
    assert runs == [repeat.attempt]


def run_with_repeats(
    first: RequestPlan, *repeats: RequestPlan
) -> tuple[list[Any], list[str]]:
    async def main() -> tuple[list[Any], list[str]]:
        results, runs, nodes = await run_plans([first, *repeats])
        check_results(results, runs, nodes)
        return results, runs

    return run_in_virtual_time(main())


REPEAT = RequestPlan(5.0, (), (), None)


@pytest.mark.proves(
    "submission: send", "store down", "connection silent for good"
)
@pytest.mark.proves("submission: repeat", "connection silent for good")
def test_unresponsive_connection_with_the_store_down_is_an_unknown_outcome():
    """Guards against "not run" for an attempt that may have run.

    No response arrives, and nothing can be recorded while the store is down.
    """
    plan = RequestPlan(
        0.0,
        (StoreFault.NONE,) + (StoreFault.DOWN,) * 3,
        (AttemptBehaviour.REQUEST_LOST,),
        None,
    )
    results, runs = run_with_repeats(plan, REPEAT)
    assert runs == []
    for result in results:
        assert isinstance(result, Failure)
        assert (result.kind, result.not_run) == (
            ErrorKind.OUTCOME_UNKNOWN,
            False,
        )


@pytest.mark.proves("submission: record", "replica lost")
@pytest.mark.proves("submission: repeat", "replica lost")
@pytest.mark.proves("submission: record", "replica lost", "store down")
def test_searcher_lost_after_the_run_leaves_an_unknown_outcome():
    """Guards against a second run by a repeat while nothing is recorded."""
    for faults in ((), (StoreFault.NONE, StoreFault.DOWN, StoreFault.DOWN)):
        plan = RequestPlan(
            0.0, faults, (AttemptBehaviour.RESPONSE_LOST,), None
        )
        results, runs = run_with_repeats(plan, REPEAT, REPEAT)
        assert len(runs) == 1
        for result in results:
            assert isinstance(result, Failure) and not result.not_run


@pytest.mark.proves(
    "submission: record",
    "store answer lost after the write",
    "store answer lost after the write",
)
def test_outcome_is_kept_when_two_record_responses_are_lost():
    """Guards against a second run of a request that was answered."""
    faults = (
        StoreFault.NONE,
        StoreFault.RESPONSE_LOST,
        StoreFault.RESPONSE_LOST,
    )
    results, runs = run_with_repeats(
        RequestPlan(0.0, faults, (), None), REPEAT
    )
    assert len(runs) == 1
    assert isinstance(results[1], SubmissionOutcome)
    assert results[1].attempt == runs[0]


@pytest.mark.proves("submission: repeat", "node killed", "store down")
def test_repeat_after_a_kill_in_an_outage_never_runs_a_second_time():
    """Guards against a repeat that takes over the claim of a killed node."""
    for kill_step in range(1, 10):
        first = RequestPlan(0.0, (), (), kill_step)
        during_outage = RequestPlan(2.0, (StoreFault.DOWN,) * 20, (), None)
        _, runs = run_with_repeats(first, during_outage, REPEAT)
        assert len(runs) <= 1

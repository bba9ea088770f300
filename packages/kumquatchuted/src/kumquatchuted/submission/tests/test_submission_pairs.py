"""Guards submissions against faults between their steps, and pairs."""

import asyncio
from typing import Any

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.submission.tests.fakes_submission import Ending
from kumquatchuted.submission.tests.fakes_submission import Fault
from kumquatchuted.submission.tests.fakes_submission import Objects
from kumquatchuted.submission.tests.test_submission import check
from kumquatchuted.submission.tests.test_submission import key_at
from kumquatchuted.submission.tests.test_submission import Node
from kumquatchuted.submission.tests.test_submission import Plan
from kumquatchuted.submission.tests.test_submission import play
from kumquatchuted.submission.tests.test_submission import WALL_S
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

CLAIM_UNDER_WAY_S = 0.002
DEADLINE_S = 10.0


def interrupted(act: Any) -> tuple[Any, Any, list[str]]:
    """Act while the claim is under way, then repeat at another node."""

    async def main() -> tuple[Any, Any, list[str]]:
        objects, runs = Objects(), []
        nodes = [Node(i, objects, runs, [], []) for i in range(2)]
        key = key_at(WALL_S + nodes[0].loop.time())
        calling = asyncio.create_task(nodes[0].call(key, DEADLINE_S))
        await asyncio.sleep(CLAIM_UNDER_WAY_S)
        act(nodes[0])
        first = await calling
        again = await nodes[1].call(key, DEADLINE_S)
        await asyncio.sleep(30)
        for node in nodes:
            node.running.cancel()
        await asyncio.gather(
            *(n.running for n in nodes), return_exceptions=True
        )
        return first, again, runs

    return run_in_virtual_time(main())


@pytest.mark.proves(
    "submission: send", "lease expired while its holder was paused"
)
def test_node_whose_lease_expired_in_a_pause_after_the_claim_sends_nothing():
    """Guards against an attempt sent under expired authority."""

    def act(node: Node) -> None:
        node.send(CurrentUntil(node.loop.time() + 1.0))
        node.loop.pause(5.0)

    first, again, runs = interrupted(act)
    assert (first.kind, first.not_run) == (ErrorKind.NOT_CURRENT, True)
    assert isinstance(again, SubmissionOutcome)
    assert runs == [again.attempt]


@pytest.mark.proves("submission: send", "node paused and resumed")
def test_node_paused_beyond_the_deadline_after_the_claim_sends_nothing():
    """Guards against a run after the caller has stopped waiting."""
    first, again, runs = interrupted(lambda node: node.loop.pause(15.0))
    assert first.not_run
    assert isinstance(again, SubmissionOutcome)
    assert runs == [again.attempt]


@pytest.mark.proves("submission: send", "target leaving")
@pytest.mark.proves("submission: send", "operators racing")
def test_attempt_is_not_sent_to_what_went_out_after_the_claim():
    """Guards against new work for a data centre that is out."""

    def act(node: Node) -> None:
        for number in range(1, 4):
            out = frozenset({"north", "south"}) if number % 2 else frozenset()
            node.send(ViewChanged(View(number, dcs_out=out)))

    first, again, runs = interrupted(act)
    assert (first.kind, first.not_run) == (ErrorKind.TARGET_OUT, True)
    assert isinstance(again, SubmissionOutcome)
    assert runs == [again.attempt]


def repeated(first: Plan, *later: Plan) -> tuple[list[Any], list[str]]:
    async def main() -> tuple[list[Any], list[str]]:
        results, runs, nodes = await play([first, *later])
        check(results, runs, nodes)
        return results, runs

    return run_in_virtual_time(main())


REPEAT = Plan(5.0, (), (), None)


@pytest.mark.proves(
    "submission: send", "store down", "connection silent for good"
)
@pytest.mark.proves("submission: repeat", "connection silent for good")
def test_silent_connection_with_the_store_down_is_an_unknown_outcome():
    """Guards against "not run" for an attempt that nobody answered."""
    plan = Plan(0.0, (Fault.NONE,) + (Fault.DOWN,) * 3, (Ending.LOST,), None)
    results, runs = repeated(plan, REPEAT)
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
    for faults in ((), (Fault.NONE, Fault.DOWN, Fault.DOWN)):
        plan = Plan(0.0, faults, (Ending.ANSWER_LOST,), None)
        results, runs = repeated(plan, REPEAT, REPEAT)
        assert len(runs) == 1
        for result in results:
            assert isinstance(result, Failure) and not result.not_run


@pytest.mark.proves(
    "submission: record",
    "store answer lost after the write",
    "store answer lost after the write",
)
def test_outcome_whose_record_is_answered_never_twice_is_kept():
    """Guards against an answered request that runs again for a repeat."""
    faults = (Fault.NONE, Fault.RESPONSE_LOST, Fault.RESPONSE_LOST)
    results, runs = repeated(Plan(0.0, faults, (), None), REPEAT)
    assert len(runs) == 1
    assert isinstance(results[1], SubmissionOutcome)
    assert results[1].attempt == runs[0]


@pytest.mark.proves("submission: repeat", "node killed", "store down")
def test_repeat_after_a_kill_in_an_outage_never_runs_a_second_time():
    """Guards against a repeat that takes a dead node's claim for its own."""
    for kill_step in range(1, 10):
        first = Plan(0.0, (), (), kill_step)
        blind = Plan(2.0, (Fault.DOWN,) * 20, (), None)
        _, runs = repeated(first, blind, REPEAT)
        assert len(runs) <= 1

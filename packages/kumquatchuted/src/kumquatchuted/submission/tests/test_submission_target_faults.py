"""Tests submissions through a real targets task with target faults."""

import asyncio
from dataclasses import replace
from itertools import product
from types import MappingProxyType
from typing import Any

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.submission.tests.fakes_submission import PlatformObjects
from kumquatchuted.submission.tests.test_submission import key_at
from kumquatchuted.submission.tests.test_submission import SimulatedNode
from kumquatchuted.submission.tests.test_submission import WALL_S
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.tests.fakes_targets import FakeNode
from kumquatchuted.targets.tests.fakes_targets import FakeTarget
from kumquatchuted.targets.tests.fakes_targets import SEARCHER
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time

QUIZ = replace(SEARCHER, service="quiz")
WORK_S = 0.02


class OwnerNode(FakeNode):
    """Node that owns the target, in place of its dispatch task."""

    def __init__(self, target: FakeTarget) -> None:
        self.replies: dict[str, Any] = {}
        self.payloads: dict[str, str] = {}
        super().__init__("a", target)
        self.list_searchers(QUIZ)
        self.set_placement(1, "a", "b")
        self.stay_current(1e5)

    def send(self, message: SendAttempt) -> None:
        self.replies[message.attempt.attempt] = message.reply
        self.payloads[message.attempt.attempt] = message.attempt.payload
        self.post(RunAttempt("n", message.attempt, message.expires_at))

    def _record(self, message: Any) -> None:
        super()._record(message)
        match message:
            case AttemptDone(outcome=outcome) if (
                outcome.attempt in self.replies
            ):
                self.replies[outcome.attempt](outcome)


class AttemptForwarder:
    """Passes the attempts of a submission node to the owner."""

    def __init__(self, owner: OwnerNode) -> None:
        self.post = owner.send


def restart_target(owner: OwnerNode, nodes: list[SimulatedNode]) -> None:
    owner.target.restart()


def mark_leaving(owner: OwnerNode, nodes: list[SimulatedNode]) -> None:
    set_leaving(owner, nodes, True)


def set_leaving(
    owner: OwnerNode, nodes: list[SimulatedNode], leaving: bool
) -> None:
    searcher = replace(QUIZ, leaving=leaving)
    owner.list_searchers(searcher)
    listed = MappingProxyType({searcher.name: searcher})
    for node in nodes:
        node.send(CatalogChanged(Catalog(searchers=listed)))


FAULTS = {
    "target cold without warning": restart_target,
    "target leaving": mark_leaving,
}
FAULT_TIMES_S = {
    "submission: claim": 0.002,
    "submission: send": 0.012,
    "submission: record": 0.0295,
    "submission: repeat": 1.0,
}
"""Seconds after the call: the claim takes 5 ms, the attempt 22 ms."""
FAULT_CASES = [
    pytest.param(*case, marks=pytest.mark.proves(*case))
    for case in product(FAULT_TIMES_S, FAULTS)
    if case != ("submission: claim", "target cold without warning")
]


@pytest.mark.parametrize("step, fault", FAULT_CASES)
def test_target_turning_cold_or_leaving_runs_each_submission_once(step, fault):
    """Guards against a second run, a lost outcome and target overload.

    Six other submissions are sent right after the fault.
    """

    async def main() -> None:
        owner = OwnerNode(FakeTarget())
        for number in range(8 * QUIZ.slots):
            owner.post_search_attempt(f"warm-{number}")
            await asyncio.sleep(0.05)
        owner.target.work_s = WORK_S
        objects = PlatformObjects()
        nodes = [
            SimulatedNode(number, objects, [], [], []) for number in range(2)
        ]
        for node in nodes:
            node.searchers = AttemptForwarder(owner)
        set_leaving(owner, nodes, False)
        wall_s = WALL_S + owner.loop.time()
        key, *others = (key_at(wall_s, number) for number in range(7))
        call_task = asyncio.create_task(nodes[0].call(key, payload=key))
        await asyncio.sleep(FAULT_TIMES_S[step])
        fault_at = owner.loop.time()
        FAULTS[fault](owner, nodes)
        burst = [nodes[0].call(other, payload=other) for other in others]
        results = [await call_task, await nodes[1].call(key, payload=key)]
        results += await asyncio.gather(*burst)
        returned_at = owner.loop.time() + 10.0
        await asyncio.sleep(10.0)
        set_leaving(owner, nodes, False)
        last = await nodes[1].call(key, payload=key)
        check_runs(owner, results[0], last)
        if fault == "target leaving":
            start_times = [at for at, _ in owner.target.started]
            assert not [
                at for at in start_times if fault_at < at < returned_at
            ]
        for task in (owner, *nodes):
            task.running.cancel()
        await asyncio.gather(
            *(task.running for task in (owner, *nodes)),
            return_exceptions=True,
        )

    run_in_virtual_time(main())


def check_runs(owner: OwnerNode, first: Any, last: Any) -> None:
    started = owner.target.started_attempts()
    assert owner.target.overloads == []
    runs = [key for name, key in owner.payloads.items() if name in started]
    assert len(runs) == len(set(runs)), "a submission ran twice"
    for name, outcomes in owner.outcomes().items():
        for outcome in outcomes:
            match outcome:
                case AttemptFailed(not_run=True):
                    assert name not in started, "ran after a not-run refusal"
    match first:
        case SubmissionOutcome():
            assert last == first
        case Failure(not_run=True):
            assert isinstance(last, SubmissionOutcome)
        case Failure():
            assert last.kind is ErrorKind.OUTCOME_UNKNOWN

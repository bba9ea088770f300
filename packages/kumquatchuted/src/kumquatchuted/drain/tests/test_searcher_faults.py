"""Tests of searchers that fail while their owner hands over or restarts."""

import asyncio
from dataclasses import replace

import pytest

from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.tests.fakes_targets import FakeNode
from kumquatchuted.targets.tests.fakes_targets import FakeTarget
from kumquatchuted.targets.tests.fakes_targets import SEARCHER
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time

LEASE_S = 1e5
BUDGET_S = 1.0
NORMAL_WORK_S = 0.01
BUSY_WORK_S = 0.3


class Site:
    """Two consecutive owners of one searcher."""

    def __init__(self):
        self.target = FakeTarget()
        self.all_targets = [self.target]
        self.searcher = SEARCHER
        self.former = self.start("a")
        self.former.may_send = True
        self.former.set_placement(1, "a", "b")
        self.successor = None
        self.attempt_count = 0
        # Attempts that still ran when the successor was allowed to send.
        self.left_running = None

    def start(self, name):
        node = FakeNode(name, self.target)
        node.may_send = False
        node.list_searchers(self.searcher)
        node.stay_current(LEASE_S)
        return node

    def nodes(self):
        return [node for node in (self.former, self.successor) if node]

    def post_attempt(self, node):
        self.attempt_count += 1
        node.post_search_attempt(f"q{self.attempt_count}", BUDGET_S)

    def list_searcher(self, **changes):
        self.searcher = replace(SEARCHER, **changes)
        for node in self.nodes():
            node.target = self.target
            node.list_searchers(self.searcher)

    def running_attempts(self):
        return [n for t in self.all_targets for n in t.running]

    def let_successor_start(self, epoch=2):
        """Allow the successor to send."""
        self.left_running = self.running_attempts()
        self.successor.may_send = True
        self.successor.set_placement(epoch, "b", "a")

    def check(self):
        """Assert that no target was overloaded and no attempt ended twice."""
        assert not any(target.overloads for target in self.all_targets)
        for node in self.nodes():
            assert all(len(found) == 1 for found in node.outcomes().values())
            node.running.cancel()


async def hand_over(site):
    site.successor = site.start("b")
    site.successor.set_placement(2, "b", "a")
    site.former.on_released = lambda epoch: (
        epoch == 2 and site.let_successor_start()
    )
    site.former.set_placement(2, "b", "a")


async def restart_node(site):
    site.former.running.cancel()
    # A restart takes longer than the budget of any attempt in flight.
    await asyncio.sleep(BUDGET_S)
    site.successor, site.former = site.start("b"), None
    site.let_successor_start()


def slow_down(site):
    site.target.work_s = 2 * BUDGET_S


def stop_searcher(site):
    site.target.restart(is_up=False)


def move_searcher(site):
    site.target = FakeTarget(work_s=BUSY_WORK_S)
    site.all_targets.append(site.target)
    site.list_searcher(address="127.0.0.1:2")


def restart_searcher(site):
    site.target.restart()


def list_as_leaving(site):
    site.list_searcher(leaving=True)


FAULTS = {
    "straggler": slow_down,
    "replica lost": stop_searcher,
    "repartition during a query": move_searcher,
    "target cold without warning": restart_searcher,
    "target leaving": list_as_leaving,
}
STEPS = {"hand over": hand_over, "restart": restart_node}
CASES = [
    pytest.param(
        step,
        fault,
        fault_first,
        marks=pytest.mark.proves(f"start and stop: {name}", fault_name),
        id=f"{name}, {fault_name}, {fault_first}",
    )
    for name, step in STEPS.items()
    for fault_name, fault in FAULTS.items()
    for fault_first in (True, False)
]


async def post_attempts(site, duration_s):
    """Send more queries at once than a cold searcher may run."""
    for _ in range(round(duration_s / 0.05)):
        for node in site.nodes() * SEARCHER.slots:
            site.post_attempt(node)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("step, fault, fault_first", CASES)
def test_next_owner_starts_after_the_last_attempt_and_cold(
    step, fault, fault_first
):
    """Guards against a new owner that starts too early or at full load.

    The searcher fails before or after its owner hands over or restarts, so
    that the new owner does not know its state.
    """

    async def scenario():
        site = Site()
        await post_attempts(site, 2.0)
        site.target.work_s = BUSY_WORK_S
        await post_attempts(site, 0.2)
        assert len(site.target.running) == SEARCHER.slots
        if fault_first:
            fault(site)
        await step(site)
        if not fault_first:
            await post_attempts(site, 0.1)
            fault(site)
        started = len(site.target.started)
        await post_attempts(site, 4.0)
        assert site.left_running == []
        if site.former:
            assert EpochReleased(2) in site.former.posted
        if fault is list_as_leaving:
            assert len(site.target.started) == started
        site.target.is_up, site.target.work_s = True, NORMAL_WORK_S
        await post_attempts(site, 8.0)
        if fault is not list_as_leaving:
            assert site.target.started
            (status,) = site.successor.recorded(OwnedTargetsStatus)[-1].targets
            assert (status.warm, status.limit) == (True, SEARCHER.slots)
        await asyncio.sleep(2 * BUDGET_S)
        site.check()

    run_in_virtual_time(scenario())

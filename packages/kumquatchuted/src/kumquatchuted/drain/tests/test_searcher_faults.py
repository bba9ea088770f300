"""Guards searchers that fail while their owner hands over or restarts."""

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
USUAL_S = 0.01
BUSY_S = 0.3


class Site:
    """Two owners of one searcher, one after the other."""

    def __init__(self):
        self.target = FakeTarget()
        self.targets = [self.target]
        self.listed = SEARCHER
        self.old = self.start("a")
        self.old.may_send = True
        self.old.set_placement(1, "a", "b")
        self.new = None
        self.asked = 0
        # Attempts of the old owner that run when the new one may start.
        self.left = None

    def start(self, name):
        node = FakeNode(name, self.target)
        node.may_send = False
        node.list_searchers(self.listed)
        node.stay_current(LEASE_S)
        return node

    def nodes(self):
        return [node for node in (self.old, self.new) if node]

    def ask(self, node):
        self.asked += 1
        node.run_query(f"q{self.asked}", BUDGET_S)

    def list_searcher(self, **changes):
        self.listed = replace(SEARCHER, **changes)
        for node in self.nodes():
            node.target = self.target
            node.list_searchers(self.listed)

    def running(self):
        return [n for t in self.targets for n in t.running]

    def take_over(self, epoch=2):
        """The new owner may start from now on."""
        self.left = self.running()
        self.new.may_send = True
        self.new.set_placement(epoch, "b", "a")

    def check(self):
        """Check the cold limit, and that each attempt has one outcome."""
        assert not any(target.overloads for target in self.targets)
        for node in self.nodes():
            assert all(len(found) == 1 for found in node.outcomes().values())
            node.running.cancel()


async def hand_over(site):
    site.new = site.start("b")
    site.new.set_placement(2, "b", "a")
    site.old.on_released = lambda epoch: epoch == 2 and site.take_over()
    site.old.set_placement(2, "b", "a")


async def restart(site):
    site.old.running.cancel()
    # No attempt outlives its budget, and no restart is that fast.
    await asyncio.sleep(BUDGET_S)
    site.new, site.old = site.start("b"), None
    site.take_over()


def slow(site):
    site.target.work_s = 2 * BUDGET_S


def lose(site):
    site.target.restart(is_up=False)


def move(site):
    site.target = FakeTarget(work_s=BUSY_S)
    site.targets.append(site.target)
    site.list_searcher(address="127.0.0.1:2")


def turn_cold(site):
    site.target.restart()


def leave(site):
    site.list_searcher(leaving=True)


FAULTS = {
    "straggler": slow,
    "replica lost": lose,
    "repartition during a query": move,
    "target cold without warning": turn_cold,
    "target leaving": leave,
}
STEPS = {"hand over": hand_over, "restart": restart}
CASES = [
    pytest.param(
        step,
        fault,
        before,
        marks=pytest.mark.proves(f"start and stop: {name}", column),
        id=f"{name}, {column}, {before}",
    )
    for name, step in STEPS.items()
    for column, fault in FAULTS.items()
    for before in (True, False)
]


async def load(site, seconds):
    """Ask for more at once than a cold searcher may run."""
    for _ in range(round(seconds / 0.05)):
        for node in site.nodes() * SEARCHER.slots:
            site.ask(node)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("step, fault, before", CASES)
def test_next_owner_starts_after_the_last_attempt_and_cold(
    step, fault, before
):
    """Guards against a new owner beside running attempts, or too fast."""

    async def scenario():
        site = Site()
        await load(site, 2.0)
        site.target.work_s = BUSY_S
        await load(site, 0.2)
        assert len(site.target.running) == SEARCHER.slots
        if before:
            fault(site)
        await step(site)
        if not before:
            await load(site, 0.1)
            fault(site)
        started = len(site.target.started)
        await load(site, 4.0)
        assert site.left == []
        if site.old:
            assert EpochReleased(2) in site.old.posted
        if fault is leave:
            assert len(site.target.started) == started
        site.target.is_up, site.target.work_s = True, USUAL_S
        await load(site, 8.0)
        if fault is not leave:
            assert site.target.started
            (status,) = site.new.messages_of(OwnedTargetsStatus)[-1].targets
            assert (status.warm, status.limit) == (True, SEARCHER.slots)
        await asyncio.sleep(2 * BUDGET_S)
        site.check()

    run_in_virtual_time(scenario())

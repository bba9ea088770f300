"""Tests a searcher that goes out of service and returns while others fail.

The faults: the owner is killed, the shards move, connections become
unresponsive or the searcher is listed as leaving.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from types import MappingProxyType

import pytest

from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.tests.fakes_targets import FakeNode
from kumquatchuted.targets.tests.fakes_targets import SEARCHER
from kumquatchuted.targets.tests.test_targets_out import BUDGET_S
from kumquatchuted.targets.tests.test_targets_out import check_refusals
from kumquatchuted.targets.tests.test_targets_out import LEASE_S
from kumquatchuted.targets.tests.test_targets_out import NORTH_OUT
from kumquatchuted.targets.tests.test_targets_out import queue_attempts
from kumquatchuted.targets.tests.test_targets_out import set_dcs_out
from kumquatchuted.targets.tests.test_targets_out import with_warm_node

APPLY, QUEUED, RETURN = (
    f"out of service: {step}" for step in ("apply", "queued work", "return")
)
NONE_OUT = frozenset()
CONNECTION_SILENT = "connection silent for good"
TARGET_LEAVING = "target leaving"


async def repartition(node: FakeNode, dcs_out: frozenset[str]) -> FakeNode:
    shards = (Shard("0", 5, (SEARCHER.name,)), Shard("1", 5, ("s2",)))
    maps = {SEARCHER.service: ShardMap(SEARCHER.service, 2, 2, shards)}
    searchers = {s.name: s for s in (SEARCHER, replace(SEARCHER, name="s2"))}
    node.post(
        CatalogChanged(
            Catalog(MappingProxyType(maps), MappingProxyType(searchers))
        )
    )
    return node


async def leave_attempts_unanswered(
    node: FakeNode, dcs_out: frozenset[str]
) -> FakeNode:
    """Leave the running attempts without a response, but not later ones."""
    node.target.accepts_cancels = False
    for number in range(SEARCHER.slots):
        # The searcher never finishes by itself.
        node.target.work_s = 1e6
        node.post_search_attempt(f"silent-{number}", 1.0)
    await asyncio.sleep(0.01)
    node.target.work_s = 0.1
    return node


async def list_as_leaving(node: FakeNode, dcs_out: frozenset[str]) -> FakeNode:
    node.list_searchers(replace(SEARCHER, leaving=True))
    return node


async def replace_killed_node(
    node: FakeNode, dcs_out: frozenset[str]
) -> FakeNode:
    """Kill the owner; another node takes over when its lease has expired."""
    node.running.cancel()
    successor = FakeNode("b", node.target)
    set_dcs_out(successor, 1, dcs_out)
    await asyncio.sleep(LEASE_S + 1.0)
    successor.set_placement(2, "b")
    successor.stay_current(LEASE_S)
    return successor


FAULTS: dict[
    str, Callable[[FakeNode, frozenset[str]], Awaitable[FakeNode]]
] = {
    "repartition during a query": repartition,
    CONNECTION_SILENT: leave_attempts_unanswered,
    TARGET_LEAVING: list_as_leaving,
    "node killed": replace_killed_node,
}


def fault_cases(step: str) -> list:
    return [
        pytest.param(name, marks=pytest.mark.proves(step, name))
        for name in FAULTS
        if (step, name) != (QUEUED, TARGET_LEAVING)
    ]


@pytest.mark.parametrize("name", fault_cases(APPLY))
def test_nothing_new_is_sent_after_a_fault_while_the_data_centre_is_out(name):
    """Guards against ignoring the view after a change of owner or catalog.

    The data centre of a searcher is out of service when the searcher gets a
    new owner, is listed anew, or leaves attempts unanswered.
    """

    async def body(node: FakeNode) -> None:
        target = node.target
        if name == CONNECTION_SILENT:
            await leave_attempts_unanswered(node, NONE_OUT)
        set_dcs_out(node, 1, NORTH_OUT)
        await asyncio.sleep(0.01)
        started = len(target.started)
        if name != CONNECTION_SILENT:
            node = await FAULTS[name](node, NORTH_OUT)
        new = [f"new-{number}" for number in range(20)]
        for attempt in new:
            node.stay_current(LEASE_S)
            node.post_search_attempt(attempt)
            await asyncio.sleep(0.1)
        node.list_searchers(SEARCHER)
        node.post_search_attempt("listed again")
        await asyncio.sleep(0.1)
        assert len(target.started) == started
        for attempt in (*new, "listed again"):
            (refused,) = node.outcomes()[attempt]
            assert refused.not_run

    with_warm_node(body)


@pytest.mark.parametrize("name", fault_cases(QUEUED))
def test_queued_work_after_a_fault_is_dropped_when_the_data_centre_goes_out(
    name,
):
    """Guards against sending queued attempts to a searcher out of service.

    Attempts are queued after the fault. Then the data centre of the searcher
    goes out of service.
    """

    async def body(node: FakeNode) -> None:
        node.target.work_s = 0.5
        await queue_attempts(node, [f"lost-{number}" for number in range(20)])
        await asyncio.sleep(0.01)
        node = await FAULTS[name](node, NONE_OUT)
        queued = [f"q{number}" for number in range(20)]
        await queue_attempts(node, queued)
        set_dcs_out(node, 9, NORTH_OUT)
        await asyncio.sleep(0.01)
        started = len(node.target.started)
        await asyncio.sleep(3)
        assert len(node.target.started) == started
        for _ in range(4):
            node.stay_current(LEASE_S)
            await asyncio.sleep(3)
        assert len(node.target.started) == started
        assert all(len(node.outcomes()[name]) == 1 for name in queued)
        check_refusals(node, queued)
        assert node.target.overloads == []

    with_warm_node(body)


@pytest.mark.parametrize("name", fault_cases(RETURN))
def test_return_after_a_fault_brings_work_back_within_the_limit(name):
    """Guards against a searcher that stays out or is overloaded.

    Its owner, the catalog or its connections change while its data centre is
    out of service.
    """

    async def body(node: FakeNode) -> None:
        if name == CONNECTION_SILENT:
            await leave_attempts_unanswered(node, NONE_OUT)
        set_dcs_out(node, 1, NORTH_OUT)
        await asyncio.sleep(0.1)
        if name != CONNECTION_SILENT:
            node = await FAULTS[name](node, NORTH_OUT)
        set_dcs_out(node, 9, NONE_OUT)
        node.target.work_s = 0.1
        returned = [f"back-{number}" for number in range(60)]
        for attempt in returned:
            node.stay_current(LEASE_S)
            node.post_search_attempt(attempt, BUDGET_S)
            await asyncio.sleep(0.05)
            if name == TARGET_LEAVING:
                assert attempt not in node.target.started_attempts()
        node.list_searchers(SEARCHER)
        node.post_search_attempt("listed", BUDGET_S)
        for _ in range(4):
            node.stay_current(LEASE_S)
            await asyncio.sleep(3)
        assert node.target.overloads == []
        check_refusals(node, returned)
        assert all(len(node.outcomes()[name]) == 1 for name in returned)
        assert isinstance(node.outcomes()["listed"][0], SearchResult)

    with_warm_node(body)

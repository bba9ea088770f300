"""Tests the search task with a fault injected at a step of a search."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Any

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.query import SearchRequest
from kumquatchute_model.settings import Preference
from kumquatchute_model.settings import ServiceSettings
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import ask
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.search.messages import SearchCall
from kumquatchuted.search.task import SearchTask
from kumquatchuted.search.tests.test_query import DOCUMENTS_PER_SHARD
from kumquatchuted.search.tests.test_query import SHARD_COUNT
from kumquatchuted.search.tests.test_query import shard_map
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time

INDEX_VERSION = 2
DEADLINE_S = 10.0
FAST_LATENCY_S = 0.005
FAULT_AFTER_S = 0.01
SLOW_LATENCY_S = 0.2
"""Longer than the hedge delay."""
ALL_SHARDS = frozenset(f"s{number}" for number in range(SHARD_COUNT))


def find_owner(placement: Placement, searcher: str) -> Member | None:
    """Return the member named by a searcher's first letter, or any other."""
    members = placement.membership.members
    choices = [m for m in members if m.node == searcher[0]] or list(members)
    return choices[0] if choices else None


class SearchTaskHarness:
    """Runs a search task as node ``n``; ``a`` and ``b`` own searchers."""

    def __init__(self, b_latency_s: float) -> None:
        self.latency_s = {"a": SLOW_LATENCY_S, "b": b_latency_s}
        self.loop = asyncio.get_running_loop()
        self.sent: list[tuple[float, SendAttempt]] = []
        # First letters of the searchers that give no result.
        self.unresponsive: set[str] = set()
        # Index version of results of later attempts, 0 for no result.
        self.retry_version = INDEX_VERSION
        self.task = SearchTask(
            "n",
            "1",
            (ServiceSettings("console", prefer=Preference.COVERAGE),),
            find_owner,
            self._dispatch,
            (),
            self.loop.time,
            Random(1),
        )
        self.send = self.task.mailbox.post
        self.set_searchers()
        self.set_members("a", "b")
        self.send(CurrentUntil(self.loop.time() + 1e5))
        self.running = asyncio.create_task(self.task.run())

    def set_searchers(self, without: str = "", leaving: str = "") -> None:
        listed = {
            name: Searcher(
                name, "console", "", "", "", leaving=name in leaving
            )
            for shard in shard_map().shards
            for name in shard.replicas
            if name not in without
        }
        maps = {"console": shard_map(INDEX_VERSION)}
        self.send(
            CatalogChanged(
                Catalog(MappingProxyType(maps), MappingProxyType(listed))
            )
        )

    def set_members(self, *nodes: str) -> None:
        members = tuple(Member(node, "1", "", "") for node in nodes)
        # Epoch 1 has both nodes and epoch 2 one of them.
        membership = Membership(3 - len(nodes), members)
        self.send(PlacementChanged(Placement("n", "1", membership)))

    def _dispatch(self, message: Any) -> None:
        match message:
            case SendAttempt():
                is_first = len(self.sent) < SHARD_COUNT
                version = INDEX_VERSION if is_first else self.retry_version
                self.sent.append((self.loop.time(), message))
                latency_s = self.latency_s[message.node]
                self.loop.call_later(latency_s, self._answer, message, version)

    def _answer(self, message: SendAttempt, version: int) -> None:
        attempt = message.attempt
        if attempt.searcher[0] in self.unresponsive or not version:
            return
        hits = (Hit(attempt.shard, "Nguyen", 1.0),)
        message.reply(
            SearchResult(
                attempt.attempt,
                attempt.searcher,
                version,
                1,
                DOCUMENTS_PER_SHARD,
                hits,
            )
        )

    def fail_attempts_of_a(self, kind: ErrorKind, not_run: bool) -> None:
        """Fail all attempts sent to node ``a`` so far."""
        for _, message in self.sent:
            if message.node == "a":
                name = message.attempt.attempt
                message.reply(AttemptFailed(name, kind, "fake", not_run))

    def shards_at(self, node: str) -> frozenset[str]:
        """Return the shards whose first attempt went to a node."""
        first = [message for _, message in self.sent[:SHARD_COUNT]]
        return frozenset(m.attempt.shard for m in first if m.node == node)

    def search(self) -> Awaitable[Any]:
        call = SearchCall(
            "c",
            False,
            "console",
            SearchRequest("Nguyen", deadline_ms=int(DEADLINE_S * 1000)),
            self.loop.time(),
        )
        return ask(self.send, call)


Fault = Callable[[SearchTaskHarness], None]


def search_with_fault(
    fault: Fault, after_s: float, b_latency_s: float = FAST_LATENCY_S
) -> tuple[SearchTaskHarness, Any]:
    """Search, with a fault injected some time after the call.

    :param after_s: delay of the fault in seconds; at 0 it comes first
    :param b_latency_s: duration of attempts at node ``b`` in seconds
    """

    async def main() -> tuple[SearchTaskHarness, Any]:
        harness = SearchTaskHarness(b_latency_s)
        await asyncio.sleep(0.01)
        call = harness.search()
        if not after_s:
            fault(harness)
        searching = asyncio.create_task(call)
        if after_s:
            await asyncio.sleep(after_s)
            fault(harness)
        result = await searching
        await asyncio.sleep(1.0)
        harness.running.cancel()
        await asyncio.gather(harness.running, return_exceptions=True)
        return harness, result

    return run_in_virtual_time(main())


def check_answer(result: Any, covered: frozenset[str]) -> None:
    assert isinstance(result, SearchAnswer)
    assert result.snapshot.index_version == INDEX_VERSION
    assert sorted(hit.doc for hit in result.hits) == sorted(covered)
    assert result.coverage.documents == DOCUMENTS_PER_SHARD * len(covered)
    assert set(result.coverage.missing) == ALL_SHARDS - covered


A_SEARCHERS = " ".join(f"a{number}" for number in range(SHARD_COUNT))
LEASE_EXPIRED = "lease expired while its holder was paused"


def lose_replicas(harness: SearchTaskHarness) -> None:
    harness.set_searchers(without=f"{A_SEARCHERS} b0")


def remove_node_a(harness: SearchTaskHarness) -> None:
    harness.set_members("b")


@pytest.mark.parametrize(
    "fault, covered",
    [
        pytest.param(
            lose_replicas,
            ALL_SHARDS - {"s0"},
            marks=pytest.mark.proves("search: plan", "replica lost"),
        ),
        pytest.param(
            remove_node_a,
            ALL_SHARDS,
            marks=pytest.mark.proves("search: plan", "node killed"),
        ),
    ],
)
def test_plan_uses_only_available_searchers_and_nodes(fault, covered):
    """Guards against attempts on lost replicas, and wrong coverage.

    Replicas or a node are lost just before a call, so that its plan is the
    first one without them.
    """
    harness, result = search_with_fault(fault, 0.0)
    assert {message.node for _, message in harness.sent} == {"b"}
    check_answer(result, covered)


def expire_authority(harness: SearchTaskHarness) -> None:
    harness.send(CurrentUntil(harness.loop.time() + 1.0))
    harness.loop.pause(5.0)


@pytest.mark.parametrize(
    "fault, kind",
    [
        pytest.param(
            expire_authority,
            ErrorKind.NOT_CURRENT,
            marks=pytest.mark.proves("search: plan", LEASE_EXPIRED),
        ),
        pytest.param(
            lambda harness: harness.loop.pause(DEADLINE_S + 5.0),
            ErrorKind.DEADLINE_EXCEEDED,
            marks=pytest.mark.proves(
                "search: plan", "node paused and resumed"
            ),
        ),
    ],
)
def test_plan_after_a_pause_sends_nothing(fault, kind):
    """Guards against attempts sent without authority or after the deadline.

    The node is paused after a call has arrived. When it resumes, it is no
    longer current, or the deadline has passed.
    """
    harness, result = search_with_fault(fault, 0.0)
    assert harness.sent == []
    assert (result.kind, result.not_run) == (kind, True)


@dataclass(frozen=True)
class FaultCase:
    """A fault while some shards wait for node ``a``.

    :param covers_a: True if the answer covers the shards that were first
        sent to node ``a``
    :param b_latency_s: duration of attempts at node ``b`` in seconds
    """

    fault: Fault
    covers_a: bool
    b_latency_s: float = FAST_LATENCY_S


def mark_leaving(harness: SearchTaskHarness) -> None:
    harness.set_searchers(leaving=A_SEARCHERS)
    harness.retry_version = 0


def expire_authority_at_owner(harness: SearchTaskHarness) -> None:
    expire_authority(harness)
    harness.fail_attempts_of_a(ErrorKind.NOT_CURRENT, not_run=True)


def restart_on_older_index(harness: SearchTaskHarness) -> None:
    harness.retry_version = INDEX_VERSION - 1
    harness.fail_attempts_of_a(ErrorKind.TARGET_FAILED, not_run=False)


def make_node_a_unresponsive(harness: SearchTaskHarness) -> None:
    harness.unresponsive = {"a"}
    harness.retry_version = 0


def kill_node_a(harness: SearchTaskHarness) -> None:
    harness.set_members("b")
    harness.retry_version = 0
    harness.fail_attempts_of_a(ErrorKind.OUTCOME_UNKNOWN, not_run=False)


def pause_past_deadline(harness: SearchTaskHarness) -> None:
    harness.loop.pause(DEADLINE_S + 5.0)


WAIT, MERGE = "search: wait", "search: merge"
CASES = {
    (WAIT, "target leaving"): FaultCase(mark_leaving, True, SLOW_LATENCY_S),
    (MERGE, "target leaving"): FaultCase(mark_leaving, True),
    (WAIT, LEASE_EXPIRED): FaultCase(expire_authority_at_owner, True),
    (MERGE, "target cold without warning"): FaultCase(
        restart_on_older_index, False
    ),
    (MERGE, "connection silent for good"): FaultCase(
        make_node_a_unresponsive, False
    ),
    (MERGE, "node killed"): FaultCase(kill_node_a, False),
    (MERGE, "node paused and resumed"): FaultCase(pause_past_deadline, False),
}


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, marks=pytest.mark.proves(*cell), id=" ".join(cell))
        for cell, case in CASES.items()
    ],
)
def test_answer_after_a_fault_covers_exactly_what_was_answered(case):
    """Guards against lost, duplicate or mixed results and wrong coverage.

    The fault occurs while the shards sent to node ``a`` are pending.
    """
    harness, result = search_with_fault(
        case.fault, FAULT_AFTER_S, case.b_latency_s
    )
    at_a = harness.shards_at("a")
    assert 0 < len(at_a) < SHARD_COUNT
    check_answer(result, ALL_SHARDS if case.covers_a else ALL_SHARDS - at_a)
    later = [message for _, message in harness.sent[SHARD_COUNT:]]
    if case.fault is mark_leaving:
        assert not [m for m in later if m.attempt.searcher[0] == "a"]
    if case.fault is kill_node_a:
        assert not [m for m in later if m.node == "a"]

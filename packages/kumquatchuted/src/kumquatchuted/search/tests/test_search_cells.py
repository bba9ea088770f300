"""Guards searches of the real task against faults that strike at a step."""

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
from kumquatchuted.search.tests.test_search_query import DOCUMENTS
from kumquatchuted.search.tests.test_search_query import shard_map
from kumquatchuted.search.tests.test_search_query import SHARDS
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time

VERSION = 2
DEADLINE_S = 10.0
QUICK_S = 0.005
STRIKE_S = 0.01
SLOW_S = 0.2
"""Longer than the delay of hedges."""
ALL = frozenset(f"s{number}" for number in range(SHARDS))


def owner(placement: Placement, searcher: str) -> Member | None:
    """Let the node with the letter of a searcher own it, or any other."""
    members = placement.membership.members
    choices = [m for m in members if m.node == searcher[0]] or list(members)
    return choices[0] if choices else None


class Site:
    """A search task at node ``n``; nodes ``a`` and ``b`` own searchers."""

    def __init__(self, b_work_s: float) -> None:
        self.work_s = {"a": SLOW_S, "b": b_work_s}
        self.loop = asyncio.get_running_loop()
        self.sent: list[tuple[float, SendAttempt]] = []
        self.silent: set[str] = set()
        self.retries_answer = VERSION
        self.task = SearchTask(
            "n",
            "1",
            (ServiceSettings("console", prefer=Preference.COVERAGE),),
            owner,
            self._dispatch,
            (),
            self.loop.time,
            Random(1),
        )
        self.send = self.task.mailbox.post
        self.list_searchers()
        self.place("a", "b")
        self.send(CurrentUntil(self.loop.time() + 1e5))
        self.running = asyncio.create_task(self.task.run())

    def list_searchers(self, without: str = "", leaving: str = "") -> None:
        listed = {
            name: Searcher(
                name, "console", "", "", "", leaving=name in leaving
            )
            for shard in shard_map().shards
            for name in shard.replicas
            if name not in without
        }
        maps = {"console": shard_map(VERSION)}
        self.send(
            CatalogChanged(
                Catalog(MappingProxyType(maps), MappingProxyType(listed))
            )
        )

    def place(self, *nodes: str) -> None:
        members = tuple(Member(node, "1", "", "") for node in nodes)
        membership = Membership(3 - len(nodes), members)
        self.send(PlacementChanged(Placement("n", "1", membership)))

    def _dispatch(self, message: Any) -> None:
        match message:
            case SendAttempt():
                is_first = len(self.sent) < SHARDS
                version = VERSION if is_first else self.retries_answer
                self.sent.append((self.loop.time(), message))
                work_s = self.work_s[message.node]
                self.loop.call_later(work_s, self._answer, message, version)

    def _answer(self, message: SendAttempt, version: int) -> None:
        attempt = message.attempt
        if attempt.searcher[0] in self.silent or not version:
            return
        hits = (Hit(attempt.shard, "Nguyen", 1.0),)
        message.reply(
            SearchResult(
                attempt.attempt, attempt.searcher, version, 1, DOCUMENTS, hits
            )
        )

    def refuse(self, kind: ErrorKind, not_run: bool) -> None:
        """Refuse all attempts that node ``a`` has so far."""
        for _, message in self.sent:
            if message.node == "a":
                name = message.attempt.attempt
                message.reply(AttemptFailed(name, kind, "fake", not_run))

    def shards_at(self, node: str) -> frozenset[str]:
        """Return the shards whose first attempt went to a node."""
        first = [message for _, message in self.sent[:SHARDS]]
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


Strike = Callable[[Site], None]


def struck(
    strike: Strike, after_s: float, b_work_s: float = QUICK_S
) -> tuple[Site, Any]:
    """Search, and let a fault strike some time after the call."""

    async def main() -> tuple[Site, Any]:
        site = Site(b_work_s)
        await asyncio.sleep(0.01)
        call = site.search()
        if not after_s:
            strike(site)
        searching = asyncio.create_task(call)
        if after_s:
            await asyncio.sleep(after_s)
            strike(site)
        result = await searching
        await asyncio.sleep(1.0)
        site.running.cancel()
        await asyncio.gather(site.running, return_exceptions=True)
        return site, result

    return run_in_virtual_time(main())


def check(result: Any, covered: frozenset[str]) -> None:
    assert isinstance(result, SearchAnswer)
    assert result.snapshot.index_version == VERSION
    assert sorted(hit.doc for hit in result.hits) == sorted(covered)
    assert result.coverage.documents == DOCUMENTS * len(covered)
    assert set(result.coverage.missing) == ALL - covered


A_SEARCHERS = " ".join(f"a{number}" for number in range(SHARDS))
LEASE = "lease expired while its holder was paused"


def lose_replicas(site: Site) -> None:
    site.list_searchers(without=f"{A_SEARCHERS} b0")


def kill_before(site: Site) -> None:
    site.place("b")


@pytest.mark.parametrize(
    "strike, covered",
    [
        pytest.param(
            lose_replicas,
            ALL - {"s0"},
            marks=pytest.mark.proves("search: plan", "replica lost"),
        ),
        pytest.param(
            kill_before,
            ALL,
            marks=pytest.mark.proves("search: plan", "node killed"),
        ),
    ],
)
def test_plan_uses_only_what_is_left(strike, covered):
    """Guards against attempts at what is gone, and untrue coverage."""
    site, result = struck(strike, 0.0)
    assert {message.node for _, message in site.sent} == {"b"}
    check(result, covered)


def lapse(site: Site) -> None:
    site.send(CurrentUntil(site.loop.time() + 1.0))
    site.loop.pause(5.0)


@pytest.mark.parametrize(
    "strike, kind",
    [
        pytest.param(
            lapse,
            ErrorKind.NOT_CURRENT,
            marks=pytest.mark.proves("search: plan", LEASE),
        ),
        pytest.param(
            lambda site: site.loop.pause(DEADLINE_S + 5.0),
            ErrorKind.DEADLINE_EXCEEDED,
            marks=pytest.mark.proves(
                "search: plan", "node paused and resumed"
            ),
        ),
    ],
)
def test_plan_after_a_pause_sends_nothing(strike, kind):
    """Guards against work under expired authority or for nobody."""
    site, result = struck(strike, 0.0)
    assert site.sent == []
    assert (result.kind, result.not_run) == (kind, True)


@dataclass(frozen=True)
class Case:
    """A fault while some shards wait for node ``a``.

    :param covers_a: the answer covers the shards that were first sent there
    :param b_work_s: time of attempts at node ``b`` in seconds
    """

    strike: Strike
    covers_a: bool
    b_work_s: float = QUICK_S


def leave(site: Site) -> None:
    site.list_searchers(leaving=A_SEARCHERS)
    site.retries_answer = 0


def lapse_at_owner(site: Site) -> None:
    lapse(site)
    site.refuse(ErrorKind.NOT_CURRENT, not_run=True)


def restart_on_older_index(site: Site) -> None:
    site.retries_answer = VERSION - 1
    site.refuse(ErrorKind.TARGET_FAILED, not_run=False)


def silence(site: Site) -> None:
    site.silent = {"a"}
    site.retries_answer = 0


def kill(site: Site) -> None:
    site.place("b")
    site.retries_answer = 0
    site.refuse(ErrorKind.OUTCOME_UNKNOWN, not_run=False)


def pause(site: Site) -> None:
    site.loop.pause(DEADLINE_S + 5.0)


WAIT, MERGE = "search: wait", "search: merge"
CASES = {
    (WAIT, "target leaving"): Case(leave, True, SLOW_S),
    (MERGE, "target leaving"): Case(leave, True),
    (WAIT, LEASE): Case(lapse_at_owner, True),
    (MERGE, "target cold without warning"): Case(
        restart_on_older_index, False
    ),
    (MERGE, "connection silent for good"): Case(silence, False),
    (MERGE, "node killed"): Case(kill, False),
    (MERGE, "node paused and resumed"): Case(pause, False),
}


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, marks=pytest.mark.proves(*cell), id=" ".join(cell))
        for cell, case in CASES.items()
    ],
)
def test_answer_after_a_fault_covers_exactly_what_was_answered(case):
    """Guards against a dropped, doubled or mixed answer, and lost shards."""
    site, result = struck(case.strike, STRIKE_S, case.b_work_s)
    at_a = site.shards_at("a")
    assert 0 < len(at_a) < SHARDS
    check(result, ALL if case.covers_a else ALL - at_a)
    later = [message for _, message in site.sent[SHARDS:]]
    if case.strike is leave:
        assert not [m for m in later if m.attempt.searcher[0] == "a"]
    if case.strike is kill:
        assert not [m for m in later if m.node == "a"]

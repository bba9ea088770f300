"""Shard maps and searchers in use after correct, stale and faulty lists."""

from dataclasses import replace

import pytest

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.events import EntriesListed
from kumquatchuted.catalog.events import EntryRemoved
from kumquatchuted.catalog.events import EntryUpdated
from kumquatchuted.catalog.events import RemovalApplied
from kumquatchuted.catalog.events import RemovalDeferred
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.catalog.events import SearcherLeaving
from kumquatchuted.catalog.events import ShardMapIgnored
from kumquatchuted.catalog.events import ShardMapRead
from kumquatchuted.catalog.state import apply_events
from kumquatchuted.catalog.state import CatalogState
from kumquatchuted.catalog.state import next_deadline


def make_entry(name, started=1_790_000_000_000, **fields):
    searcher = Searcher(name, "console", "127.0.0.1:1", "h1", "atl-north")
    return SearcherEntry(replace(searcher, **fields), started)


def make_shard_map(index_version, map_version, documents=10):
    shards = (Shard("s0", documents, ("a",)),)
    return ShardMap("console", index_version, map_version, shards)


def apply_steps(*steps):
    """Return the state and the last decisions after (time, event) steps.

    Without an event only time passes.
    """
    state, decisions = CatalogState(), ()
    for now, event in steps:
        step = apply_events(state, (event,) if event else (), now)
        state, decisions = step.state, step.decisions
    return state, decisions


def list_entries(*searcher_names):
    return EntriesListed(tuple(make_entry(name) for name in searcher_names))


def searcher_names(state):
    return sorted(state.catalog.searchers)


@pytest.mark.proves("search: plan", "store answers older state")
def test_shard_map_version_never_decreases():
    """Guards against a stale list that reverts the shard map.

    Searches would use shards or replicas that no longer exist. A new index
    version may begin again with a lower map version.
    """
    state, decisions = apply_steps(
        (0, ShardMapRead(make_shard_map(2, 5))),
        (1, ShardMapRead(make_shard_map(2, 4))),
    )
    assert state.catalog.maps["console"] == make_shard_map(2, 5)
    assert decisions == (ShardMapIgnored(make_shard_map(2, 4), (2, 5)),)
    state, _ = apply_steps(
        (0, ShardMapRead(make_shard_map(2, 5))),
        (1, ShardMapRead(make_shard_map(3, 1))),
    )
    assert state.catalog.maps["console"].version == (3, 1)


def test_other_content_under_a_known_version_is_ignored():
    """Guards against coverage computed from two maps of one version.

    A faulty publisher changed the map without a new version. Nodes that read
    it would otherwise compute another coverage than those that did not.
    """
    state, _ = apply_steps(
        (0, ShardMapRead(make_shard_map(1, 1, 10))),
        (1, ShardMapRead(make_shard_map(1, 1, 99))),
    )
    assert state.catalog.maps["console"].total_documents == 10


@pytest.mark.proves(
    "search: plan", "target leaving", "store answers older state"
)
def test_leaving_is_flagged_and_survives_an_older_list():
    """Guards against new work for a leaving searcher after a stale read.

    The older list shows the searcher as it was before it began to leave.
    """
    state, decisions = apply_steps(
        (0, EntryUpdated(make_entry("a"))),
        (1, EntryUpdated(make_entry("a", leaving=True))),
    )
    assert state.catalog.searchers["a"].leaving
    assert decisions == (SearcherLeaving(state.catalog.searchers["a"]),)
    stale = apply_events(state, (EntriesListed((make_entry("a"),)),), 2).state
    assert stale.catalog.searchers["a"].leaving
    gone = apply_events(stale, (EntryRemoved("a"),), 3).state
    assert searcher_names(gone) == []
    again = apply_events(gone, (EntryUpdated(make_entry("a")),), 4).state
    assert again.catalog.searchers["a"].leaving


def test_restarted_searcher_is_no_longer_leaving():
    """Guards against a searcher that stays unusable after its restart.

    The new process has the same name but another start time.
    """
    state, _ = apply_steps(
        (0, EntryUpdated(make_entry("a", leaving=True))),
        (1, EntryUpdated(make_entry("a", started=1_790_000_000_001))),
    )
    assert not state.catalog.searchers["a"].leaving


def test_empty_list_removes_searchers_only_after_a_delay():
    """Guards against a faulty list that removes a whole service.

    The platform responds with an empty list although all searchers run.
    """
    state, decisions = apply_steps(
        (0, list_entries("a", "b", "c")), (5, list_entries())
    )
    assert searcher_names(state) == ["a", "b", "c"]
    assert decisions == (RemovalDeferred("console", 3, 0),)
    assert next_deadline(state) == 35
    assert searcher_names(apply_events(state, (), 34.9).state) == [
        "a",
        "b",
        "c",
    ]
    step = apply_events(state, (), 35)
    assert searcher_names(step.state) == []
    assert step.decisions == (RemovalApplied("console", 3),)


def test_complete_list_cancels_a_deferred_removal():
    """Guards against searchers that are removed 30 s after a faulty list.

    The next list is complete again, so none of them is missing any more.
    """
    state, _ = apply_steps(
        (0, list_entries("a", "b", "c")),
        (5, list_entries()),
        (9, list_entries("a", "b", "c")),
    )
    assert next_deadline(state) is None
    assert searcher_names(apply_events(state, (), 40).state) == ["a", "b", "c"]


def test_removals_in_single_events_count_together():
    """Guards against a faulty watch that deletes one entry after another.

    Each removal alone is less than half of the searchers, and would be applied
    at once until none is left.
    """
    state, _ = apply_steps(
        (0, list_entries("a", "b", "c", "d")),
        (1, EntryRemoved("a")),
        (1.1, EntryRemoved("b")),
    )
    assert searcher_names(state) == ["c", "d"]
    step = apply_events(state, (EntryRemoved("c"),), 1.2)
    assert searcher_names(step.state) == ["a", "b", "c", "d"]
    assert step.decisions == (RemovalDeferred("console", 3, 1),)


def test_small_losses_and_leaving_searchers_are_removed_at_once():
    """Guards against work for searchers that have ended.

    Half of the searchers or fewer may end at once, and leaving searchers are
    expected to end; neither is taken for a faulty list.
    """
    state, _ = apply_steps((0, list_entries("a", "b")), (1, list_entries("a")))
    assert searcher_names(state) == ["a"]
    leaving = EntriesListed(tuple(make_entry(n, leaving=True) for n in "ab"))
    state, _ = apply_steps(
        (0, list_entries("a", "b")), (1, leaving), (2, list_entries())
    )
    assert searcher_names(state) == []


def test_removals_are_counted_per_service():
    """Guards against a small service that a faulty list removes.

    If missing searchers were counted over all services, the only searcher of a
    small one would be less than half of them.
    """
    quiz = make_entry("q", service="quiz")
    both = EntriesListed((*list_entries("a", "b", "c").entries, quiz))
    state, decisions = apply_steps((0, both), (1, list_entries("a", "b", "c")))
    assert searcher_names(state) == ["a", "b", "c", "q"]
    assert decisions == (RemovalDeferred("quiz", 1, 0),)


def test_leaving_state_without_a_start_time_is_not_kept():
    """Guards against a searcher that stays unusable after its restart.

    Without a start time the new process cannot be told from the one that was
    leaving.
    """
    state, _ = apply_steps(
        (0, EntryUpdated(make_entry("a", started=None, leaving=True))),
        (1, EntryUpdated(make_entry("a", started=None))),
    )
    assert not state.catalog.searchers["a"].leaving

"""Which shard maps and searchers are in use, whatever the platform lists."""

from dataclasses import replace

import pytest

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.events import EntriesListed
from kumquatchuted.catalog.events import EntryGone
from kumquatchuted.catalog.events import EntrySeen
from kumquatchuted.catalog.events import LossApplied
from kumquatchuted.catalog.events import LossDeferred
from kumquatchuted.catalog.events import MapIgnored
from kumquatchuted.catalog.events import MapSeen
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.catalog.events import SearcherLeaving
from kumquatchuted.catalog.state import apply
from kumquatchuted.catalog.state import CatalogState
from kumquatchuted.catalog.state import next_deadline


def entry_of(name, started=1_790_000_000_000, **fields):
    searcher = Searcher(name, "console", "127.0.0.1:1", "h1", "atl-north")
    return SearcherEntry(replace(searcher, **fields), started)


def shard_map(index_version, map_version, documents=10):
    shards = (Shard("s0", documents, ("a",)),)
    return ShardMap("console", index_version, map_version, shards)


def after(*steps):
    """Return state and notes after steps of (time, event)."""
    state, notes = CatalogState(), ()
    for now, event in steps:
        step = apply(state, (event,) if event else (), now)
        state, notes = step.state, step.notes
    return state, notes


def listed(*names):
    return EntriesListed(tuple(entry_of(name) for name in names))


def names(state):
    return sorted(state.catalog.searchers)


@pytest.mark.proves("search: plan", "store answers older state")
def test_shard_map_never_goes_back():
    """Guards against an old list that reverts the shard map."""
    state, notes = after(
        (0, MapSeen(shard_map(2, 5))), (1, MapSeen(shard_map(2, 4)))
    )
    assert state.catalog.maps["console"] == shard_map(2, 5)
    assert notes == (MapIgnored(shard_map(2, 4), (2, 5)),)
    state, _ = after(
        (0, MapSeen(shard_map(2, 5))), (1, MapSeen(shard_map(3, 1)))
    )
    assert state.catalog.maps["console"].version == (3, 1)


def test_other_content_under_a_known_version_is_ignored():
    """Guards against coverage that is counted by two maps of one version."""
    state, _ = after(
        (0, MapSeen(shard_map(1, 1, 10))), (1, MapSeen(shard_map(1, 1, 99)))
    )
    assert state.catalog.maps["console"].total_documents == 10


@pytest.mark.proves(
    "search: plan", "target leaving", "store answers older state"
)
def test_leaving_is_flagged_and_survives_an_older_list():
    """Guards against new work for a leaving searcher after a stale read."""
    state, notes = after(
        (0, EntrySeen(entry_of("a"))),
        (1, EntrySeen(entry_of("a", leaving=True))),
    )
    assert state.catalog.searchers["a"].leaving
    assert notes == (SearcherLeaving(state.catalog.searchers["a"]),)
    stale = apply(state, (EntriesListed((entry_of("a"),)),), 2).state
    assert stale.catalog.searchers["a"].leaving
    gone = apply(stale, (EntryGone("a"),), 3).state
    assert names(gone) == []
    again = apply(gone, (EntrySeen(entry_of("a")),), 4).state
    assert again.catalog.searchers["a"].leaving


def test_restarted_searcher_is_no_longer_leaving():
    """Guards against a name that stays unusable after a restart."""
    state, _ = after(
        (0, EntrySeen(entry_of("a", leaving=True))),
        (1, EntrySeen(entry_of("a", started=1_790_000_000_001))),
    )
    assert not state.catalog.searchers["a"].leaving


def test_empty_list_is_disbelieved_for_a_time():
    """Guards against a faulty list that takes a whole service away."""
    state, notes = after((0, listed("a", "b", "c")), (5, listed()))
    assert names(state) == ["a", "b", "c"]
    assert notes == (LossDeferred("console", 3, 0),)
    assert next_deadline(state) == 35
    assert names(apply(state, (), 34.9).state) == ["a", "b", "c"]
    step = apply(state, (), 35)
    assert names(step.state) == []
    assert step.notes == (LossApplied("console", 3),)


def test_list_that_returns_ends_the_disbelief():
    """Guards against searchers dropped 30 s after a list that was wrong."""
    state, _ = after(
        (0, listed("a", "b", "c")), (5, listed()), (9, listed("a", "b", "c"))
    )
    assert next_deadline(state) is None
    assert names(apply(state, (), 40).state) == ["a", "b", "c"]


def test_loss_in_single_events_counts_together():
    """Guards against a faulty watch that deletes one entry after another."""
    state, _ = after(
        (0, listed("a", "b", "c", "d")),
        (1, EntryGone("a")),
        (1.1, EntryGone("b")),
    )
    assert names(state) == ["c", "d"]
    step = apply(state, (EntryGone("c"),), 1.2)
    assert names(step.state) == ["a", "b", "c", "d"]
    assert step.notes == (LossDeferred("console", 3, 1),)


def test_smaller_loss_and_leavers_are_believed_at_once():
    """Guards against work for searchers that are gone."""
    state, _ = after((0, listed("a", "b")), (1, listed("a")))
    assert names(state) == ["a"]
    leaving = EntriesListed(tuple(entry_of(n, leaving=True) for n in "ab"))
    state, _ = after((0, listed("a", "b")), (1, leaving), (2, listed()))
    assert names(state) == []


def test_services_are_judged_one_by_one():
    """Guards against a small service whose loss is hidden by a large one."""
    quiz = entry_of("q", service="quiz")
    both = EntriesListed((*listed("a", "b", "c").entries, quiz))
    state, notes = after((0, both), (1, listed("a", "b", "c")))
    assert names(state) == ["a", "b", "c", "q"]
    assert notes == (LossDeferred("quiz", 1, 0),)


def test_leaver_without_a_known_start_is_not_remembered():
    """Guards against a name that stays unusable for want of a start."""
    state, _ = after(
        (0, EntrySeen(entry_of("a", started=None, leaving=True))),
        (1, EntrySeen(entry_of("a", started=None))),
    )
    assert not state.catalog.searchers["a"].leaving

"""Searchers that are kept during and after outages of the store."""

from dataclasses import replace

import pytest

from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.membership import registry as reg


def entry(name: str, started: int | None = None) -> DecodedObject:
    """Return the entry of a ready searcher."""
    searcher = RegisteredSearcher(
        name, "s", "10.0.0.1", 80, "dc", SearcherState.READY, 2, 0.0, started
    )
    return DecodedObject(name, searcher)


def listed(*names: str) -> reg.Registry:
    """Return a registry with searchers that were listed at time 0."""
    return reg.replace_searchers(
        reg.EMPTY_REGISTRY, tuple(entry(name) for name in names), 0.0
    )


def test_removed_entry_is_dropped_at_once_while_the_store_is_up() -> None:
    """Guards against requests to a searcher that has deregistered.

    A searcher removes its entry when it ends, and requests to it would fail.
    """
    registry = reg.update_searchers(listed("a", "b"), (), ("a",), 5.0)
    assert set(registry.searchers) == {"b"}


def test_entry_missing_after_an_outage_is_kept_for_the_restore_time() -> None:
    """Guards against an outage of the store that removes all searchers.

    Entries expire during the outage although the searchers run, and reappear
    only some time after the recovery.
    """
    registry = reg.mark_store_recovered(
        reg.mark_store_unavailable(listed("a", "b")), 10.0
    )
    registry = reg.replace_searchers(registry, (entry("b"),), 10.1)
    assert set(registry.searchers) == {"a", "b"}
    registry = reg.expire(registry, 10.0 + reg.ENTRY_RESTORE_S - 0.1)
    assert set(registry.searchers) == {"a", "b"}
    registry = reg.expire(registry, 10.0 + reg.ENTRY_RESTORE_S)
    assert set(registry.searchers) == {"b"}


def test_entry_restored_in_time_stays() -> None:
    """Guards against the expiry of a searcher whose entry reappeared.

    Its planned removal must be cancelled.
    """
    registry = reg.mark_store_recovered(
        reg.mark_store_unavailable(listed("a")), 10.0
    )
    registry = reg.replace_searchers(registry, (), 10.1)
    registry = reg.update_searchers(registry, (entry("a"),), (), 11.0)
    assert set(reg.expire(registry, 60.0).searchers) == {"a"}


def test_nothing_expires_while_the_store_is_unavailable() -> None:
    """Guards against searchers that are removed in a second outage.

    It begins within the restore time of the first one, so that the missing
    entries cannot reappear in time.
    """
    registry = reg.mark_store_recovered(
        reg.mark_store_unavailable(listed("a")), 10.0
    )
    registry = reg.replace_searchers(registry, (), 10.1)
    registry = reg.mark_store_unavailable(registry)
    assert reg.next_expiry(registry) is None
    assert set(reg.expire(registry, 60.0).searchers) == {"a"}
    registry = reg.mark_store_recovered(registry, 60.0)
    assert reg.next_expiry(registry) == 60.0 + reg.ENTRY_RESTORE_S


def test_unreadable_entry_removes_its_searcher() -> None:
    """Guards against requests to an address that another writer set.

    The writer of the malformed entry may have replaced the searcher, so the
    former address cannot be trusted either.
    """
    registry = reg.update_searchers(
        listed("a"), (DecodedObject("a", None),), (), 1.0
    )
    assert not registry.searchers


@pytest.mark.parametrize(("revision", "seen_at"), [(7, 0.0), (8, 2.0)])
def test_entry_that_is_read_again_is_as_old_as_before(
    revision: int, seen_at: float
) -> None:
    """Guards against searchers that stay cold for as long as they are listed.

    On day scale-1 of grown Peachline, nodes that changed their source listed
    the entries of new shards again and refused queries over them, because the
    warm-up time of each entry began anew. An entry that was written again
    counts from then.
    """
    first = replace(entry("a"), revision=7)
    registry = reg.replace_searchers(reg.EMPTY_REGISTRY, (first,), 0.0)
    again = replace(first, revision=revision)
    registry = reg.replace_searchers(registry, (again,), 2.0)
    assert registry.seen_at["a"] == seen_at

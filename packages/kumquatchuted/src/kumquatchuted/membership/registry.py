"""Decides which searchers exist, from listings and changes of the store.

During an outage of the store, entries expire although their searchers run,
and they reappear within two seconds of its recovery. A searcher whose entry
was removed during an outage or within that time after it is therefore kept
until the time is over.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState

# The store restores entries within about two seconds of its recovery; the
# rest covers the delay of the watch.
ENTRY_RESTORE_S = 2.4


@dataclass(frozen=True, slots=True)
class Registry:
    """Known searchers by name. Times are monotonic, in seconds.

    :param seen_at: when the entry of each searcher was first seen as it is
    :param revisions: revision of each of these entries
    :param expires_at: time at which a searcher without an entry is removed,
        unless the entry reappears
    :param is_store_unavailable: whether the store cannot be read at present
    :param recovered_at: time of the store's last recovery; None if there was
        no outage
    """

    searchers: Mapping[str, RegisteredSearcher]
    seen_at: Mapping[str, float]
    revisions: Mapping[str, int]
    expires_at: Mapping[str, float]
    is_store_unavailable: bool = False
    recovered_at: float | None = None


EMPTY_REGISTRY = Registry({}, {}, {}, {})


def mark_store_unavailable(registry: Registry) -> Registry:
    """Return the registry for an outage, during which no searcher expires."""
    return replace(registry, is_store_unavailable=True)


def mark_store_recovered(registry: Registry, now: float) -> Registry:
    """Return the registry after the recovery of the store.

    Searchers without an entry are kept for another ``ENTRY_RESTORE_S``.

    :param now: monotonic time in seconds
    """
    if not registry.is_store_unavailable:
        return registry
    expires_at = {name: now + ENTRY_RESTORE_S for name in registry.expires_at}
    return replace(
        registry,
        is_store_unavailable=False,
        recovered_at=now,
        expires_at=expires_at,
    )


def replace_searchers(
    registry: Registry, objects: tuple[DecodedObject, ...], now: float
) -> Registry:
    """Return the registry after a complete listing.

    Entries that are not listed count as removed.

    :param now: monotonic time in seconds
    """
    listed = {item.name for item in objects}
    removed = tuple(name for name in registry.searchers if name not in listed)
    return update_searchers(registry, objects, removed, now)


def update_searchers(
    registry: Registry,
    written: tuple[DecodedObject, ...],
    removed: tuple[str, ...],
    now: float,
) -> Registry:
    """Return the registry after changes of entries.

    A malformed entry removes its searcher at once, even during an outage. An
    entry that is read again, for example in a listing, says nothing new about
    the time for which its searcher stays cold.

    :param removed: names of the removed entries
    :param now: monotonic time in seconds
    """
    searchers = dict(registry.searchers)
    seen_at = dict(registry.seen_at)
    revisions = dict(registry.revisions)
    expires_at = dict(registry.expires_at)
    for item in written:
        expires_at.pop(item.name, None)
        if not isinstance(item.value, RegisteredSearcher):
            searchers.pop(item.name, None)
            seen_at.pop(item.name, None)
            revisions.pop(item.name, None)
        elif revisions.get(item.name) != item.revision or not item.revision:
            searchers[item.name] = item.value
            seen_at[item.name] = now
            revisions[item.name] = item.revision
    keep_until = _keep_until(registry, now)
    for name in removed:
        if name not in searchers:
            continue
        if keep_until is None:
            del searchers[name], seen_at[name], revisions[name]
            expires_at.pop(name, None)
        else:
            expires_at.setdefault(name, keep_until)
    return replace(
        registry,
        searchers=searchers,
        seen_at=seen_at,
        revisions=revisions,
        expires_at=expires_at,
    )


def expire(registry: Registry, now: float) -> Registry:
    """Return the registry without searchers whose entries did not reappear.

    :param now: monotonic time in seconds
    """
    expired = [
        name
        for name, until in registry.expires_at.items()
        if until <= now and not registry.is_store_unavailable
    ]
    if not expired:
        return registry
    return replace(
        registry,
        searchers=_without(registry.searchers, expired),
        seen_at=_without(registry.seen_at, expired),
        revisions=_without(registry.revisions, expired),
        expires_at=_without(registry.expires_at, expired),
    )


def next_expiry(registry: Registry) -> float | None:
    """Return when ``expire`` removes the next searcher.

    :returns: monotonic time in seconds; None if no entry is missing or the
        store is unavailable
    """
    if registry.is_store_unavailable or not registry.expires_at:
        return None
    return min(registry.expires_at.values())


def _keep_until(registry: Registry, now: float) -> float | None:
    """Return until when a searcher is kept whose entry is removed now.

    :returns: monotonic time in seconds; None if it is not kept
    """
    if registry.is_store_unavailable:
        return now + ENTRY_RESTORE_S
    if registry.recovered_at is None:
        return None
    until = registry.recovered_at + ENTRY_RESTORE_S
    return until if until > now else None


def _without(items: Mapping, names: list[str]) -> dict:
    return {key: item for key, item in items.items() if key not in names}


def warm_times(registry: Registry) -> dict[str, float]:
    """Return when the first ready searcher of each service is warm.

    :returns: monotonic times in seconds by service
    """
    times: dict[str, float] = {}
    for name, searcher in registry.searchers.items():
        if searcher.state is not SearcherState.READY:
            continue
        warm_at = registry.seen_at[name] + searcher.cold_left_s
        times[searcher.service] = min(
            times.get(searcher.service, warm_at), warm_at
        )
    return times

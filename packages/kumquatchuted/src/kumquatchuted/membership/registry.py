"""Decides which searchers exist, from listings and changes of the store.

Entries expire while the store is away although their searchers live, and
come back within two seconds of its return. A searcher whose entry vanished
around an outage is therefore kept until that time is over.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState

# The store restores entries within about two seconds of its return; the
# rest covers the delay of the watch.
RESTORE_S = 2.4


@dataclass(frozen=True, slots=True)
class Registry:
    """Searchers by name.

    :param seen_at: monotonic time of the last report, in seconds
    :param missing_until: when a vanished searcher is given up
    :param away: whether the store cannot be read at present
    :param returned_at: when the store could be read again, in seconds
    """

    searchers: Mapping[str, RegisteredSearcher]
    seen_at: Mapping[str, float]
    missing_until: Mapping[str, float]
    away: bool = False
    returned_at: float | None = None


EMPTY = Registry({}, {}, {})


def store_lost(registry: Registry) -> Registry:
    """Return the state while the store cannot be read."""
    return replace(registry, away=True)


def store_regained(registry: Registry, now: float) -> Registry:
    """Return the state after the return of the store.

    :param now: monotonic time in seconds
    """
    if not registry.away:
        return registry
    missing = {name: now + RESTORE_S for name in registry.missing_until}
    return replace(
        registry, away=False, returned_at=now, missing_until=missing
    )


def list_searchers(
    registry: Registry, objects: tuple[DecodedObject, ...], now: float
) -> Registry:
    """Replace all entries by a complete listing."""
    listed = {item.name for item in objects}
    removed = tuple(name for name in registry.searchers if name not in listed)
    return change_searchers(registry, objects, removed, now)


def change_searchers(
    registry: Registry,
    written: tuple[DecodedObject, ...],
    removed: tuple[str, ...],
    now: float,
) -> Registry:
    """Apply changes; an entry that cannot be used counts as removed."""
    searchers = dict(registry.searchers)
    seen_at = dict(registry.seen_at)
    missing = dict(registry.missing_until)
    for item in written:
        missing.pop(item.name, None)
        if isinstance(item.value, RegisteredSearcher):
            searchers[item.name] = item.value
            seen_at[item.name] = now
        else:
            searchers.pop(item.name, None)
            seen_at.pop(item.name, None)
    held_until = _held_until(registry, now)
    for name in removed:
        if name not in searchers:
            continue
        if held_until is None:
            del searchers[name], seen_at[name]
            missing.pop(name, None)
        else:
            missing.setdefault(name, held_until)
    return replace(
        registry,
        searchers=searchers,
        seen_at=seen_at,
        missing_until=missing,
    )


def expire(registry: Registry, now: float) -> Registry:
    """Remove the searchers that did not come back in time."""
    gone = [
        name
        for name, until in registry.missing_until.items()
        if until <= now and not registry.away
    ]
    if not gone:
        return registry
    return replace(
        registry,
        searchers=_without(registry.searchers, gone),
        seen_at=_without(registry.seen_at, gone),
        missing_until=_without(registry.missing_until, gone),
    )


def next_expiry(registry: Registry) -> float | None:
    """Return when ``expire`` has something to do, in monotonic seconds."""
    if registry.away or not registry.missing_until:
        return None
    return min(registry.missing_until.values())


def _held_until(registry: Registry, now: float) -> float | None:
    if registry.away:
        return now + RESTORE_S
    if registry.returned_at is None:
        return None
    until = registry.returned_at + RESTORE_S
    return until if until > now else None


def _without(items: Mapping, names: list[str]) -> dict:
    return {key: item for key, item in items.items() if key not in names}


def warm_times(registry: Registry) -> dict[str, float]:
    """Return when the first searcher of each service is warm, in seconds."""
    times: dict[str, float] = {}
    for name, searcher in registry.searchers.items():
        if searcher.state is not SearcherState.READY:
            continue
        at = registry.seen_at[name] + searcher.cold_left_s
        times[searcher.service] = min(times.get(searcher.service, at), at)
    return times

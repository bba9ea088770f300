"""Decides which shard maps and searchers are in use."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from types import MappingProxyType

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.events import CatalogEvent
from kumquatchuted.catalog.events import Decision
from kumquatchuted.catalog.events import EntriesListed
from kumquatchuted.catalog.events import EntryRemoved
from kumquatchuted.catalog.events import EntryUpdated
from kumquatchuted.catalog.events import RemovalApplied
from kumquatchuted.catalog.events import RemovalDeferred
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.catalog.events import SearcherLeaving
from kumquatchuted.catalog.events import ShardMapAccepted
from kumquatchuted.catalog.events import ShardMapIgnored
from kumquatchuted.catalog.events import ShardMapRead
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import EMPTY_MAPPING

# If more than half of the searchers of a service are missing, they stay in use
# for this long, because a faulty list must not remove a whole service. If so
# many searchers really end, failed attempts show it long before the delay is
# over.
REMOVAL_DELAY_S = 30.0
# Time for which a leaving searcher is remembered after it was last listed,
# because a stale list can show it as usable again. Lists lag by seconds; the
# margin covers a platform that serves stale state for minutes.
LEAVING_RETENTION_S = 600.0


@dataclass(frozen=True)
class MissingSearcher:
    """A searcher that was not leaving and is no longer listed.

    :param since: monotonic time at which it was found missing, in seconds
    """

    searcher: Searcher
    since: float


@dataclass(frozen=True)
class CatalogState:
    """Entries that the platform listed, and the catalog derived from them.

    :param entries: newest entries by name of the searcher
    :param listed: searchers in ``entries`` by name, with their leaving flags
    :param missing: searchers that are no longer listed, by name
    :param seen_leaving: instances that were listed as leaving, with the
        monotonic time at which they were last listed at all, in seconds
    :param deferred: services whose missing searchers stay in the catalog
    :param catalog: what other tasks use
    """

    entries: Mapping[str, SearcherEntry] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    listed: Mapping[str, Searcher] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    missing: Mapping[str, MissingSearcher] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    seen_leaving: Mapping[tuple[str, int], float] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    deferred: frozenset[str] = frozenset()
    catalog: Catalog = Catalog()


@dataclass(frozen=True)
class Step:
    """New state and the decisions to log."""

    state: CatalogState
    decisions: tuple[Decision, ...]


def apply_events(
    state: CatalogState, events: Iterable[CatalogEvent], now: float
) -> Step:
    """Apply events in order, then remove what has expired.

    :param now: monotonic time in seconds
    """
    maps = dict(state.catalog.maps)
    entries = dict(state.entries)
    decisions: list[Decision] = []
    for event in events:
        match event:
            case ShardMapRead(shard_map=shard_map):
                decisions.extend(_apply_shard_map(maps, shard_map))
            case EntriesListed(entries=listed):
                entries = {entry.searcher.name: entry for entry in listed}
            case EntryUpdated(entry=entry):
                entries[entry.searcher.name] = entry
            case EntryRemoved(name=name):
                entries.pop(name, None)
    state = replace(
        state,
        entries=MappingProxyType(entries),
        catalog=replace(state.catalog, maps=MappingProxyType(maps)),
    )
    step = _apply_entries(state, now)
    return Step(step.state, (*decisions, *step.decisions))


def next_deadline(state: CatalogState) -> float | None:
    """Return when the catalog may change without a further event.

    That is the end of the delay of the searcher that is missing longest.

    :returns: monotonic time in seconds; None if no searcher is missing
    """
    times = [missing.since for missing in state.missing.values()]
    return min(times) + REMOVAL_DELAY_S if times else None


def _apply_shard_map(
    maps: dict[str, ShardMap], shard_map: ShardMap
) -> tuple[Decision, ...]:
    """Add a shard map to ``maps`` if it is newer than the one there."""
    current = maps.get(shard_map.service)
    if current == shard_map:
        return ()
    if current is not None and shard_map.version <= current.version:
        return (ShardMapIgnored(shard_map, current.version),)
    maps[shard_map.service] = shard_map
    return (ShardMapAccepted(shard_map),)


def _apply_entries(state: CatalogState, now: float) -> Step:
    entries = state.entries
    seen_leaving = _update_seen_leaving(
        state.seen_leaving, entries.values(), now
    )
    listed = {
        name: _mark_leaving(entry, seen_leaving)
        for name, entry in entries.items()
    }
    missing = _find_missing(state, listed, now)
    deferred = _deferred_services(listed, missing)
    retained = {
        name: entry.searcher
        for name, entry in missing.items()
        if entry.searcher.service in deferred
    }
    searchers = MappingProxyType(retained | listed)
    updated = replace(
        state,
        listed=MappingProxyType(listed),
        missing=MappingProxyType(missing),
        seen_leaving=MappingProxyType(seen_leaving),
        deferred=deferred,
        catalog=replace(state.catalog, searchers=searchers),
    )
    return Step(
        updated,
        (
            *_removal_decisions(state, updated),
            *_leaving_decisions(state, updated),
        ),
    )


def _update_seen_leaving(
    seen_leaving: Mapping[tuple[str, int], float],
    entries: Iterable[SearcherEntry],
    now: float,
) -> dict[tuple[str, int], float]:
    recent = {
        instance: seen_at
        for instance, seen_at in seen_leaving.items()
        if now - seen_at < LEAVING_RETENTION_S
    }
    for entry in entries:
        was_leaving = entry.instance in recent
        if entry.started_ms is not None and (
            entry.searcher.leaving or was_leaving
        ):
            recent[entry.instance] = now
    return recent


def _mark_leaving(
    entry: SearcherEntry, seen_leaving: Mapping[tuple[str, int], float]
) -> Searcher:
    searcher = entry.searcher
    if entry.instance in seen_leaving and not searcher.leaving:
        return replace(searcher, leaving=True)
    return searcher


def _find_missing(
    state: CatalogState, listed: Mapping[str, Searcher], now: float
) -> dict[str, MissingSearcher]:
    missing = {
        name: entry
        for name, entry in state.missing.items()
        if name not in listed and now - entry.since < REMOVAL_DELAY_S
    }
    for name, searcher in state.listed.items():
        if name not in listed and not searcher.leaving:
            missing[name] = MissingSearcher(searcher, now)
    return missing


def _deferred_services(
    listed: Mapping[str, Searcher], missing: Mapping[str, MissingSearcher]
) -> frozenset[str]:
    listed_counts = Counter(searcher.service for searcher in listed.values())
    missing_counts = Counter(
        entry.searcher.service for entry in missing.values()
    )
    return frozenset(
        service
        for service in missing_counts
        if missing_counts[service] > listed_counts[service]
    )


def _removal_decisions(old: CatalogState, new: CatalogState) -> list[Decision]:
    decisions: list[Decision] = []
    listed_counts = Counter(
        searcher.service for searcher in new.listed.values()
    )
    missing_counts = Counter(
        entry.searcher.service for entry in new.missing.values()
    )
    for service in sorted(new.deferred - old.deferred):
        decisions.append(
            RemovalDeferred(
                service, missing_counts[service], listed_counts[service]
            )
        )
    removed = Counter(
        searcher.service
        for name, searcher in old.catalog.searchers.items()
        if name not in new.catalog.searchers and not searcher.leaving
    )
    for service in sorted(removed):
        decisions.append(RemovalApplied(service, removed[service]))
    return decisions


def _leaving_decisions(old: CatalogState, new: CatalogState) -> list[Decision]:
    return [
        SearcherLeaving(searcher)
        for name, searcher in new.listed.items()
        if searcher.leaving
        and not (name in old.listed and old.listed[name].leaving)
    ]

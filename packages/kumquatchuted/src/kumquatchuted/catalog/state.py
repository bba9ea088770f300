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
from kumquatchuted.catalog.events import EntriesListed
from kumquatchuted.catalog.events import EntryGone
from kumquatchuted.catalog.events import EntrySeen
from kumquatchuted.catalog.events import Event
from kumquatchuted.catalog.events import LossApplied
from kumquatchuted.catalog.events import LossDeferred
from kumquatchuted.catalog.events import MapAccepted
from kumquatchuted.catalog.events import MapIgnored
from kumquatchuted.catalog.events import MapSeen
from kumquatchuted.catalog.events import Note
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.catalog.events import SearcherLeaving
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import EMPTY_MAPPING

# A faulty list must not take a service away, and a true loss of this size
# shows in failed attempts long before this time is over.
LOSS_DEFERRAL_S = 30.0
# An older list can show a searcher again that was seen leaving. Lists lag by
# seconds; the margin covers a platform that serves old state for minutes.
LEAVING_RETENTION_S = 600.0


@dataclass(frozen=True)
class MissingSearcher:
    """A searcher that is no longer listed and was not leaving.

    :param since: monotonic time in seconds
    """

    searcher: Searcher
    since: float


@dataclass(frozen=True)
class CatalogState:
    """What the platform listed, and the catalog that follows from it.

    :param entries: newest entries by name of the searcher
    :param listed: searchers in ``entries`` by name
    :param missing: searchers that are no longer listed, by name
    :param seen_leaving: starts listed as leaving, with the last such time
    :param deferred: services whose missing searchers stay in the catalog
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
    """New state and what is worth a log line."""

    state: CatalogState
    notes: tuple[Note, ...]


def apply(state: CatalogState, events: Iterable[Event], now: float) -> Step:
    """Apply events in order, or only the passing of time if there are none.

    :param now: monotonic time in seconds
    """
    maps = dict(state.catalog.maps)
    entries = dict(state.entries)
    notes: list[Note] = []
    for event in events:
        match event:
            case MapSeen(shard_map=shard_map):
                notes.extend(_apply_map(maps, shard_map))
            case EntriesListed(entries=listed):
                entries = {entry.searcher.name: entry for entry in listed}
            case EntrySeen(entry=entry):
                entries[entry.searcher.name] = entry
            case EntryGone(name=name):
                entries.pop(name, None)
    state = replace(
        state,
        entries=MappingProxyType(entries),
        catalog=replace(state.catalog, maps=MappingProxyType(maps)),
    )
    step = _apply_entries(state, now)
    return Step(step.state, (*notes, *step.notes))


def next_deadline(state: CatalogState) -> float | None:
    """Return when time alone changes the catalog.

    :returns: monotonic time in seconds, None if it never does
    """
    times = [missing.since for missing in state.missing.values()]
    return min(times) + LOSS_DEFERRAL_S if times else None


def _apply_map(
    maps: dict[str, ShardMap], shard_map: ShardMap
) -> tuple[Note, ...]:
    known = maps.get(shard_map.service)
    if known == shard_map:
        return ()
    if known is not None and shard_map.version <= known.version:
        return (MapIgnored(shard_map, known.version),)
    maps[shard_map.service] = shard_map
    return (MapAccepted(shard_map),)


def _apply_entries(state: CatalogState, now: float) -> Step:
    entries = state.entries
    seen_leaving = _seen_leaving(state.seen_leaving, entries.values(), now)
    listed = {
        name: _mark_leaving(entry, seen_leaving)
        for name, entry in entries.items()
    }
    missing = _missing(state, listed, now)
    deferred = _deferred_services(listed, missing)
    kept = {
        name: entry.searcher
        for name, entry in missing.items()
        if entry.searcher.service in deferred
    }
    searchers = MappingProxyType(kept | listed)
    fresh = replace(
        state,
        listed=MappingProxyType(listed),
        missing=MappingProxyType(missing),
        seen_leaving=MappingProxyType(seen_leaving),
        deferred=deferred,
        catalog=replace(state.catalog, searchers=searchers),
    )
    return Step(fresh, (*_losses(state, fresh), *_leavers(state, fresh)))


def _seen_leaving(
    seen_leaving: Mapping[tuple[str, int], float],
    entries: Iterable[SearcherEntry],
    now: float,
) -> dict[tuple[str, int], float]:
    recent = {
        start: at
        for start, at in seen_leaving.items()
        if now - at < LEAVING_RETENTION_S
    }
    for entry in entries:
        known = entry.start in recent
        if entry.started is not None and (entry.searcher.leaving or known):
            recent[entry.start] = now
    return recent


def _mark_leaving(
    entry: SearcherEntry, seen_leaving: Mapping[tuple[str, int], float]
) -> Searcher:
    searcher = entry.searcher
    if entry.start in seen_leaving and not searcher.leaving:
        return replace(searcher, leaving=True)
    return searcher


def _missing(
    state: CatalogState, listed: Mapping[str, Searcher], now: float
) -> dict[str, MissingSearcher]:
    missing = {
        name: entry
        for name, entry in state.missing.items()
        if name not in listed and now - entry.since < LOSS_DEFERRAL_S
    }
    for name, searcher in state.listed.items():
        if name not in listed and not searcher.leaving:
            missing[name] = MissingSearcher(searcher, now)
    return missing


def _deferred_services(
    listed: Mapping[str, Searcher], missing: Mapping[str, MissingSearcher]
) -> frozenset[str]:
    present = Counter(searcher.service for searcher in listed.values())
    absent = Counter(entry.searcher.service for entry in missing.values())
    return frozenset(
        service for service in absent if absent[service] > present[service]
    )


def _losses(old: CatalogState, new: CatalogState) -> list[Note]:
    notes: list[Note] = []
    present = Counter(searcher.service for searcher in new.listed.values())
    absent = Counter(entry.searcher.service for entry in new.missing.values())
    for service in sorted(new.deferred - old.deferred):
        notes.append(LossDeferred(service, absent[service], present[service]))
    dropped = Counter(
        searcher.service
        for name, searcher in old.catalog.searchers.items()
        if name not in new.catalog.searchers and not searcher.leaving
    )
    for service in sorted(dropped):
        notes.append(LossApplied(service, dropped[service]))
    return notes


def _leavers(old: CatalogState, new: CatalogState) -> list[Note]:
    return [
        SearcherLeaving(searcher)
        for name, searcher in new.listed.items()
        if searcher.leaving
        and not (name in old.listed and old.listed[name].leaving)
    ]

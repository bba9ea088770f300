"""Events about shard maps and searchers, and decisions for the log."""

from dataclasses import dataclass

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import ShardMap


@dataclass(frozen=True)
class SearcherEntry:
    """A searcher as its entry in the store describes it.

    :param started_ms: Unix time of its start in milliseconds; None if unknown
    """

    searcher: Searcher
    started_ms: int | None = None

    @property
    def instance(self) -> tuple[str, int | None]:
        """Return the name and start time, which identify the process."""
        return self.searcher.name, self.started_ms


@dataclass(frozen=True)
class ShardMapRead:
    """A shard map was listed, created or changed."""

    shard_map: ShardMap


@dataclass(frozen=True)
class EntriesListed:
    """All entries of searchers, as one list returned them."""

    entries: tuple[SearcherEntry, ...]


@dataclass(frozen=True)
class EntryUpdated:
    """An entry was created or changed."""

    entry: SearcherEntry


@dataclass(frozen=True)
class EntryRemoved:
    """An entry was deleted."""

    name: str


CatalogEvent = ShardMapRead | EntriesListed | EntryUpdated | EntryRemoved


@dataclass(frozen=True)
class ShardMapAccepted:
    """A newer shard map has come into use."""

    shard_map: ShardMap


@dataclass(frozen=True)
class ShardMapIgnored:
    """A shard map differs from the one in use but is not newer; it is ignored.

    :param current_version: version of the shard map in use
    """

    shard_map: ShardMap
    current_version: tuple[int, int]


@dataclass(frozen=True)
class RemovalDeferred:
    """More than half of a service's searchers are missing; they are kept.

    :param missing: number of missing searchers
    :param listed: number of listed searchers
    """

    service: str
    missing: int
    listed: int


@dataclass(frozen=True)
class RemovalApplied:
    """Searchers that are no longer listed were removed.

    :param missing: number of removed searchers
    """

    service: str
    missing: int


@dataclass(frozen=True)
class SearcherLeaving:
    """A searcher counts as leaving from now on, so it gets no new work."""

    searcher: Searcher


Decision = (
    ShardMapAccepted
    | ShardMapIgnored
    | RemovalDeferred
    | RemovalApplied
    | SearcherLeaving
)

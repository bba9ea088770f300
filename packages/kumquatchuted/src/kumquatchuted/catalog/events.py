"""What the platform says about maps and searchers, and what was decided."""

from dataclasses import dataclass

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import ShardMap


@dataclass(frozen=True)
class SearcherEntry:
    """A searcher as its entry in the store describes it.

    :param started: Unix time of its start in milliseconds, None if unknown
    """

    searcher: Searcher
    started: int | None = None

    @property
    def instance(self) -> tuple[str, int | None]:
        """Return what names this start of the searcher."""
        return self.searcher.name, self.started


@dataclass(frozen=True)
class ShardMapRead:
    """A shard map was listed or changed."""

    shard_map: ShardMap


@dataclass(frozen=True)
class EntriesListed:
    """All entries, as a list shows them."""

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
    """A newer shard map is in use."""

    shard_map: ShardMap


@dataclass(frozen=True)
class ShardMapIgnored:
    """A shard map is older than the known one, or differs at its version."""

    shard_map: ShardMap
    known_version: tuple[int, int]


@dataclass(frozen=True)
class RemovalDeferred:
    """More than half of a service's searchers are missing; they are kept."""

    service: str
    missing: int
    listed: int


@dataclass(frozen=True)
class RemovalApplied:
    """Searchers that are no longer listed are dropped."""

    service: str
    missing: int


@dataclass(frozen=True)
class SearcherLeaving:
    """A searcher is flagged as leaving from now on."""

    searcher: Searcher


Decision = (
    ShardMapAccepted
    | ShardMapIgnored
    | RemovalDeferred
    | RemovalApplied
    | SearcherLeaving
)

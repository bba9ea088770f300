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
    def start(self) -> tuple[str, int | None]:
        """Return what names this start of the searcher."""
        return self.searcher.name, self.started


@dataclass(frozen=True)
class MapSeen:
    """A shard map was listed or changed."""

    shard_map: ShardMap


@dataclass(frozen=True)
class EntriesListed:
    """All entries, as a list shows them."""

    entries: tuple[SearcherEntry, ...]


@dataclass(frozen=True)
class EntrySeen:
    """An entry was created or changed."""

    entry: SearcherEntry


@dataclass(frozen=True)
class EntryGone:
    """An entry was deleted."""

    name: str


Event = MapSeen | EntriesListed | EntrySeen | EntryGone


@dataclass(frozen=True)
class MapAccepted:
    """A newer shard map is in use."""

    shard_map: ShardMap


@dataclass(frozen=True)
class MapIgnored:
    """A shard map is older than the known one, or differs at its version."""

    shard_map: ShardMap
    known: tuple[int, int]


@dataclass(frozen=True)
class LossDeferred:
    """More than half of a service's searchers are missing; they are kept."""

    service: str
    missing: int
    listed: int


@dataclass(frozen=True)
class LossApplied:
    """Searchers that are no longer listed are dropped."""

    service: str
    missing: int


@dataclass(frozen=True)
class SearcherLeaving:
    """A searcher is flagged as leaving from now on."""

    searcher: Searcher


Note = MapAccepted | MapIgnored | LossDeferred | LossApplied | SearcherLeaving

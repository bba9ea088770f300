"""The catalog and the message that distributes it."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import ShardMap

EMPTY_MAPPING: Mapping = MappingProxyType({})


@dataclass(frozen=True)
class Catalog:
    """Shard maps in use by service, and searchers in use by name."""

    maps: Mapping[str, ShardMap] = field(default_factory=lambda: EMPTY_MAPPING)
    searchers: Mapping[str, Searcher] = field(
        default_factory=lambda: EMPTY_MAPPING
    )


@dataclass(frozen=True)
class CatalogChanged:
    """The catalog has changed; sent to every task that uses it."""

    catalog: Catalog

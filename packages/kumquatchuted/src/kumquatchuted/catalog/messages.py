"""Messages of the catalog slice."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import ShardMap

EMPTY_MAPPING: Mapping = MappingProxyType({})


@dataclass(frozen=True)
class Catalog:
    """Shard maps by service and searchers by name, newest known."""

    maps: Mapping[str, ShardMap] = field(default_factory=lambda: EMPTY_MAPPING)
    searchers: Mapping[str, Searcher] = field(
        default_factory=lambda: EMPTY_MAPPING
    )


@dataclass(frozen=True)
class CatalogChanged:
    """Sent to every task that works with the catalog."""

    catalog: Catalog

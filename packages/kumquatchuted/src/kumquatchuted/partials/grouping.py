"""Decides which shards of a query a node of another data centre gathers.

The answers of many shards are merged to one short list. Merging them where
the searchers are leaves one answer to cross between data centres in place of
one for each shard.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

# Fewer shards than this cost less when they are asked directly.
MIN_GROUP = 4


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards, by their position, that one data centre serves."""

    data_centre: str
    shards: tuple[int, ...]


def group_remote_shards(
    reachable: Mapping[int, Collection[str]],
    own: str,
    with_nodes: Collection[str],
) -> tuple[ShardGroup, ...]:
    """Return groups of the shards that have no usable searcher here.

    The data centre that serves most of them comes first, so that there are
    few groups.

    :param reachable: data centres with a usable searcher, for each shard
    :param own: data centre of this node
    :param with_nodes: data centres with another node
    """
    left = {
        shard: set(data_centres) & set(with_nodes)
        for shard, data_centres in reachable.items()
        if data_centres and own not in data_centres
    }
    groups = []
    while True:
        counts: dict[str, int] = {}
        for data_centres in left.values():
            for name in data_centres:
                counts[name] = counts.get(name, 0) + 1
        if not counts:
            return tuple(groups)
        best = max(sorted(counts), key=counts.__getitem__)
        if counts[best] < MIN_GROUP:
            return tuple(groups)
        shards = tuple(shard for shard, names in left.items() if best in names)
        groups.append(ShardGroup(best, shards))
        for shard in shards:
            del left[shard]

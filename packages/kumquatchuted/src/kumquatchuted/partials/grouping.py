"""Decides which shards of a query a node of another data centre gathers.

The answers of many shards are merged to one short list. Merging them where
the searchers are leaves one answer to cross between data centres in place of
one for each shard.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

# Fewer shards than this cost less when they are asked directly.
MIN_GROUP_SHARDS = 4


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards, by their position, that one data centre serves."""

    data_centre: str
    shards: tuple[int, ...]


def group_remote_shards(
    reachable: Mapping[int, Collection[str]],
    local_dc: str,
    dcs_with_nodes: Collection[str],
) -> tuple[ShardGroup, ...]:
    """Return groups of the shards that have no usable searcher here.

    The data centre that serves most of them comes first, so that there are
    few groups.

    :param reachable: data centres with a usable searcher, for each shard
    :param own: data centre of this node
    :param with_nodes: data centres with another node
    """
    remaining = {
        shard: set(data_centres) & set(dcs_with_nodes)
        for shard, data_centres in reachable.items()
        if data_centres and local_dc not in data_centres
    }
    groups = []
    while True:
        counts: dict[str, int] = {}
        for data_centres in remaining.values():
            for data_centre in data_centres:
                counts[data_centre] = counts.get(data_centre, 0) + 1
        if not counts:
            return tuple(groups)
        largest = max(sorted(counts), key=counts.__getitem__)
        if counts[largest] < MIN_GROUP_SHARDS:
            return tuple(groups)
        shards = tuple(
            shard
            for shard, data_centres in remaining.items()
            if largest in data_centres
        )
        groups.append(ShardGroup(largest, shards))
        for shard in shards:
            del remaining[shard]

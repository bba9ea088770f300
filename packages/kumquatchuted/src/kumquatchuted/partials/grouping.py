"""Decides which shards of a query are delegated to another data centre.

The records of many shards are merged into one short list. If a node in the
data centre of the searchers merges them, one response crosses between data
centres instead of one for each shard.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

# The shards of a smaller group cost less if this node queries them itself.
MIN_GROUP_SHARDS = 4


@dataclass(frozen=True, slots=True)
class ShardGroup:
    """Shards that a node of one data centre is to query.

    :param shards: positions of the shards in the query
    """

    data_centre: str
    shards: tuple[int, ...]


def group_remote_shards(
    reachable: Mapping[int, Collection[str]],
    local_dc: str,
    dcs_with_nodes: Collection[str],
) -> tuple[ShardGroup, ...]:
    """Return groups of the shards that have no usable searcher locally.

    The data centre that serves the largest number of them gets its group
    first, which keeps the number of groups small. Shards that would form a
    group of fewer than ``MIN_GROUP_SHARDS`` are left out.

    :param reachable: data centres with a usable searcher, by the position of
        the shard
    :param local_dc: data centre of this node
    :param dcs_with_nodes: data centres with another node
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

"""Decides which shards of a query are delegated to other nodes.

The records of many shards are merged into one short list. If a node in the
data centre of the searchers merges them, one response crosses between data
centres instead of one for each shard. A query over many shards is also divided
among several nodes, because one process needs tens of milliseconds to send and
read that many requests.
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass
import math

# The shards of a smaller group cost less if this node queries them itself.
MIN_GROUP_SHARDS = 4
# A node queries at most this many shards of a query. Sending a request to a
# searcher and reading its response takes about half a millisecond.
MAX_SHARDS_PER_NODE = 24


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
    group of fewer than ``MIN_GROUP_SHARDS`` are left out. Shards that need
    more than one group anyway are shared by all data centres that serve them.

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
    if len(remaining) > MAX_SHARDS_PER_NODE:
        remaining = _balance(remaining)
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
        groups += divide(largest, shards)
        for shard in shards:
            del remaining[shard]


def split_local_shards(
    shards: Sequence[int], local_dc: str, dcs_with_nodes: Collection[str]
) -> tuple[ShardGroup, ...]:
    """Return groups of shards to delegate to nodes of the same data centre.

    This node keeps a part that is as large as each group.

    :param shards: positions of the shards with a usable searcher locally
    :param local_dc: data centre of this node
    :param dcs_with_nodes: data centres with another node
    """
    if local_dc not in dcs_with_nodes:
        return ()
    return divide(local_dc, shards)[1:]


def divide(data_centre: str, shards: Sequence[int]) -> tuple[ShardGroup, ...]:
    """Return groups of about equal size, none above the limit of a node."""
    count = math.ceil(len(shards) / MAX_SHARDS_PER_NODE)
    return tuple(
        ShardGroup(data_centre, tuple(shards[start::count]))
        for start in range(count)
    )


def _balance(
    reachable: Mapping[int, Collection[str]],
) -> dict[int, Collection[str]]:
    """Return one data centre for each shard, so that all get equally many."""
    counts: Counter[str] = Counter()
    balanced: dict[int, Collection[str]] = {}
    for shard, data_centres in reachable.items():
        if data_centres:
            least = min(sorted(data_centres), key=counts.__getitem__)
            counts[least] += 1
            balanced[shard] = {least}
    return balanced

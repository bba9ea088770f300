"""Decides which shards of a query are delegated to other nodes.

The records of many shards are merged into one short list. If a node in the
data centre of the searchers merges them, one response crosses between data
centres instead of one for each shard. A query over many shards is also divided
among several nodes, because one process needs tens of milliseconds to send and
read that many requests.
"""

from collections.abc import Callable
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
    rotation: int = 0,
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
    :param rotation: varies from query to query which of several data centres
        gets which shards
    """
    remaining = {
        shard: set(data_centres) & set(dcs_with_nodes)
        for shard, data_centres in reachable.items()
        if data_centres and local_dc not in data_centres
    }
    if len(remaining) > MAX_SHARDS_PER_NODE:
        remaining = _balance(remaining, rotation)
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
    shards: Sequence[int],
    local_dc: str,
    dcs_with_nodes: Collection[str],
    is_owned: Callable[[ShardGroup], bool],
) -> tuple[ShardGroup, ...]:
    """Return groups of shards to delegate to nodes of the same data centre.

    This node keeps one group that it owns, or the only group.

    :param shards: positions of the shards with a usable searcher locally
    :param local_dc: data centre of this node
    :param dcs_with_nodes: data centres with another node
    :param is_owned: returns whether this node owns a group
    """
    if local_dc not in dcs_with_nodes or not shards:
        return ()
    groups = divide(local_dc, shards)
    if len(groups) == 1:
        return ()
    kept = next((group for group in groups if is_owned(group)), None)
    return tuple(group for group in groups if group is not kept)


def find_affinities(services: Sequence[str]) -> dict[str, str]:
    """Return the first service of the group of each service of a query.

    It names the group for the choice of its owners. The groups of a data
    centre that has a searcher of each shard are the same.

    :returns: nothing if the query is not divided
    """
    count = math.ceil(len(services) / MAX_SHARDS_PER_NODE)
    if count <= 1:
        return {}
    return {
        service: services[position % count]
        for position, service in enumerate(services)
    }


def divide(data_centre: str, shards: Sequence[int]) -> tuple[ShardGroup, ...]:
    """Return groups of about equal size, none above the limit of a node."""
    count = math.ceil(len(shards) / MAX_SHARDS_PER_NODE)
    return tuple(
        ShardGroup(data_centre, tuple(shards[start::count]))
        for start in range(count)
    )


def _balance(
    reachable: Mapping[int, Collection[str]], rotation: int
) -> dict[int, Collection[str]]:
    """Return one data centre for each shard, so that all get equally many."""
    counts: Counter[str] = Counter()
    balanced: dict[int, Collection[str]] = {}
    for shard, data_centres in reachable.items():
        if data_centres:
            names = sorted(data_centres)
            start = rotation % len(names)
            least = min(names[start:] + names[:start], key=counts.__getitem__)
            counts[least] += 1
            balanced[shard] = {least}
    return balanced

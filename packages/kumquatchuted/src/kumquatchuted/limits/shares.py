"""This node's share of limits that hold for all nodes together.

Nodes do not coordinate before they send. Each node derives its share from the
list of nodes, so that the limit holds through pauses, partitions and restarts.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash

# Share of a limit that is distributed. The rest covers nodes that have not yet
# seen a change of the list of nodes.
ALLOCATED_SHARE = 0.8
# Part of a limit for the nodes in the data centres of the searchers.
NEAR_SHARE = 0.9


def cold_rate_share(
    node: str, nodes: Iterable[str], searcher: str, fleet_limit: float
) -> int:
    """Return how many requests per second this node may send.

    Every node gets an equal integer share. Rendezvous hashing assigns the
    remainder, one request per second to a node, so that a limit below the
    number of nodes is not lost to rounding. The allocated sum is rounded down:
    with a limit below 1.25 requests per second no node gets a share.

    :param nodes: names of all known nodes, with or without this one
    :param searcher: name of the cold searcher
    :param fleet_limit: requests per second from all nodes together
    """
    requests_per_s = math.floor(fleet_limit * ALLOCATED_SHARE)
    node_names = set(nodes) | {node}
    base, remainder = divmod(requests_per_s, len(node_names))
    if not remainder:
        return base
    ranked = sorted(
        node_names,
        key=lambda name: xxhash.xxh64_intdigest(f"{searcher}/{name}".encode()),
    )
    return base + (node in ranked[:remainder])


def sender_share(
    node: str, node_dcs: Mapping[str, str], target_dcs: Collection[str]
) -> float:
    """Return a node's share of a limit on what all nodes send to a service.

    A query is sent by a node in a data centre of the searchers; the other
    nodes delegate it. They only need a small part, for when they cannot.

    :param node: name of a node that ``node_dcs`` contains
    :param node_dcs: data centre of each node by name
    :param target_dcs: data centres with a searcher of the service
    :returns: a share from 0 to 1; the shares of all nodes add up to 1
    """
    near = sum(dc in target_dcs for dc in node_dcs.values())
    far = len(node_dcs) - near
    if not near or not far:
        return 1 / len(node_dcs)
    if node_dcs[node] in target_dcs:
        return NEAR_SHARE / near
    return (1 - NEAR_SHARE) / far


def connection_share(nodes: Iterable[str], fleet_limit: int) -> int:
    """Return how many connections to one searcher this node may hold.

    It is at least one, so the shares together exceed a limit that is lower
    than the number of nodes.

    :param nodes: names of all known nodes
    :param fleet_limit: maximum number of connections that the searcher accepts
    """
    node_count = max(1, len(set(nodes)))
    return max(1, math.floor(fleet_limit * ALLOCATED_SHARE / node_count))

"""This node's share of limits that hold for all nodes together.

Nodes do not coordinate before they send. Each node derives its share from the
list of nodes, so that the limit holds through pauses, partitions and restarts.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math

import xxhash

# Share of a limit that is distributed. The rest covers nodes that have not yet
# seen a change of the list of nodes.
ALLOCATED_SHARE = 0.8
# Part of a limit for the nodes that send nearly all requests.
SENDER_SHARE = 0.9


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
    node: str, nodes: Collection[str], senders: Collection[str]
) -> float:
    """Return a node's share of a limit on what all nodes send to a service.

    Some nodes send nearly all requests, because the others delegate theirs to
    them. Those only need a small part, for when they cannot.

    :param node: name of a node that ``nodes`` contains
    :param nodes: names of all nodes
    :param senders: names of those that send
    :returns: a share from 0 to 1; the shares of all nodes add up to 1
    """
    sender_count = len(senders)
    other_count = len(nodes) - sender_count
    if not sender_count or not other_count:
        return 1 / len(nodes)
    if node in senders:
        return SENDER_SHARE / sender_count
    return (1 - SENDER_SHARE) / other_count


def connection_share(nodes: Iterable[str], fleet_limit: int) -> int:
    """Return how many connections to one searcher this node may hold.

    It is at least one, so the shares together exceed a limit that is lower
    than the number of nodes.

    :param nodes: names of all known nodes
    :param fleet_limit: maximum number of connections that the searcher accepts
    """
    node_count = max(1, len(set(nodes)))
    return max(1, math.floor(fleet_limit * ALLOCATED_SHARE / node_count))

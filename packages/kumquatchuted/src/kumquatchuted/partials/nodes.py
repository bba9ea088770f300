"""Choice of the node for a partial query."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import math

import xxhash

from kumquatchuted.membership.messages import Node

# Exponential backoff before a node that did not respond is used again; it
# doubles with each consecutive failure. A restarted node responds again after
# about a second.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
# Part of the nodes of a data centre that own a group of shards, and how many
# at least. A node that gets many queries over the same shards reuses its
# connections and learns sooner which searchers are slow.
OWNER_SHARE = 0.3
MIN_OWNERS = 2


@dataclass(frozen=True, slots=True)
class NodeState:
    """State of another node as observed by this one.

    :param pending: number of partial queries without a result
    :param failures: number of consecutive partial queries without a response
    :param avoided_until: end of the backoff, in monotonic seconds
    """

    pending: int = 0
    failures: int = 0
    avoided_until: float = 0.0


def record_failure(state: NodeState, now: float) -> NodeState:
    """Return the state after a partial query without a response.

    :param now: monotonic time in seconds
    """
    failures = state.failures + 1
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures - 1, 5))
    return NodeState(state.pending, failures, now + backoff_s)


def choose_node(
    nodes: Iterable[tuple[Node, NodeState]],
    data_centre: str,
    affinity: str,
    now: float,
    random_fraction: Callable[[], float],
) -> Node | None:
    """Return the usable node with the fewest pending queries, or None.

    Only the owners of the shards are candidates, as long as one is usable.

    :param nodes: the other nodes
    :param data_centre: data centre in which the node must be
    :param affinity: service of the first of the shards
    :param now: monotonic time in seconds
    :param random_fraction: returns a random number from 0 to 1 that decides
        between equal nodes
    """
    local = {
        node.name: (node, state)
        for node, state in nodes
        if node.data_centre == data_centre
    }
    owners = select_owners(affinity, local)
    for names in (owners, local.keys() - owners):
        candidates = [
            (local[name][1].pending, random_fraction(), name)
            for name in names
            if local[name][1].avoided_until <= now
        ]
        if candidates:
            return local[min(candidates)[-1]][0]
    return None


def select_owners(affinity: str, names: Iterable[str]) -> frozenset[str]:
    """Return the nodes that own a group of shards.

    Rendezvous hashing gives all nodes the same result without coordination.

    :param affinity: service of the first of the shards
    :param names: names of the nodes of a data centre
    """
    ranked = sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{affinity}/{name}".encode()),
    )
    count = max(MIN_OWNERS, math.ceil(len(ranked) * OWNER_SHARE))
    return frozenset(ranked[:count])

"""Choice of the node for a partial query."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import math

from kumquatchuted.membership.messages import Node

# Exponential backoff before a node that did not respond is used again; it
# doubles with each consecutive failure. A restarted node responds again after
# about a second.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


@dataclass(frozen=True, slots=True)
class NodeState:
    """State of another node as observed by this one.

    :param pending: number of partial queries without a result
    :param failures: number of consecutive partial queries without a response
    :param avoided_until: end of the backoff, in monotonic seconds
    :param failed_at: when the last failure was counted, in monotonic seconds
    """

    pending: int = 0
    failures: int = 0
    avoided_until: float = 0.0
    failed_at: float = -math.inf


def record_failure(
    state: NodeState, started_at: float, now: float
) -> NodeState:
    """Return the state after a partial query without a response.

    Queries that were pending at the same time are lost together, by one fault.
    Those that started before the last failure was counted do not count again,
    because the backoff would otherwise grow with the load.

    :param started_at: when the query was sent, in monotonic seconds
    :param now: monotonic time in seconds
    """
    if started_at <= state.failed_at:
        return state
    failures = state.failures + 1
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures - 1, 5))
    return NodeState(state.pending, failures, now + backoff_s, now)


def choose_node(
    nodes: Iterable[tuple[Node, NodeState]],
    data_centre: str,
    now: float,
    random_fraction: Callable[[], float],
) -> Node | None:
    """Return the usable node with the fewest pending queries, or None.

    :param nodes: the other nodes
    :param data_centre: data centre in which the node must be
    :param now: monotonic time in seconds
    :param random_fraction: returns a random number from 0 to 1 that decides
        between equal nodes
    """
    candidates = [
        (state.pending, random_fraction(), node.name, node)
        for node, state in nodes
        if node.data_centre == data_centre and state.avoided_until <= now
    ]
    return min(candidates)[-1] if candidates else None

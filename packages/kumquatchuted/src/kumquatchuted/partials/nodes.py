"""Choice of the node that gathers a part of a query."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.membership.messages import Node

# A node that did not answer is avoided for this time, in seconds; it doubles
# with each further failure up to the longest one. A node that was restarted
# is back after about a second.
FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


@dataclass(frozen=True, slots=True)
class NodeState:
    """What this node knows of another one.

    :param pending: orders under way
    :param failures: failed orders in succession
    :param avoided_until: monotonic time in seconds
    """

    pending: int = 0
    failures: int = 0
    avoided_until: float = 0.0


def record_failure(state: NodeState, now: float) -> NodeState:
    """Return the state after an order that got no answer."""
    failures = state.failures + 1
    backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(failures - 1, 5))
    return NodeState(state.pending, failures, now + backoff_s)


def choose_node(
    nodes: Iterable[tuple[Node, NodeState]],
    data_centre: str,
    now: float,
    random_fraction: Callable[[], float],
) -> Node | None:
    """Return the node of a data centre with the fewest orders under way."""
    candidates = [
        (state.pending, random_fraction(), node.name, node)
        for node, state in nodes
        if node.data_centre == data_centre and state.avoided_until <= now
    ]
    return min(candidates)[-1] if candidates else None

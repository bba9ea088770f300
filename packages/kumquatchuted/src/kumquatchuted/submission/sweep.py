"""Decides which expired records a node deletes, and when."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.placement.messages import Placement
from kumquatchuted.submission.keys import last_expired_minute

# Minutes before the newest expired one that are checked after a restart or a
# change of members, to find records that a stopped node did not delete.
LOOKBACK_MINUTES = 120


@dataclass(frozen=True)
class SweepState:
    """Progress through the minutes of expired keys.

    :param nodes: names of the nodes that share the work, sorted
    :param next_minute: oldest minute not yet done, None at the start
    """

    nodes: tuple[str, ...] = ()
    next_minute: int | None = None


def apply_placement(state: SweepState, placement: Placement) -> SweepState:
    """Return the state for a placement; a change of nodes starts over."""
    nodes = tuple(
        sorted(member.node for member in placement.membership.members)
    )
    if nodes == state.nodes:
        return state
    return SweepState(nodes)


def due_minutes(
    state: SweepState, node: str, wall_now: float
) -> tuple[int, ...]:
    """Return the minutes whose records this node deletes now.

    The nodes take the minutes in turn.

    :param wall_now: seconds since 1970
    """
    if node not in state.nodes:
        return ()
    last = last_expired_minute(wall_now)
    first = last - LOOKBACK_MINUTES
    if state.next_minute is not None:
        first = max(first, state.next_minute)
    node_count = len(state.nodes)
    return tuple(
        minute
        for minute in range(first, last + 1)
        if state.nodes[minute % node_count] == node
    )


def mark_done(state: SweepState, minute: int) -> SweepState:
    """Return the state after the records of a minute were deleted."""
    return replace(state, next_minute=minute + 1)

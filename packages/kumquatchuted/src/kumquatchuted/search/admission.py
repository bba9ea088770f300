"""Adaptive limit on the number of queries that run at the same time."""

from dataclasses import dataclass
from dataclasses import replace

MIN_LIMIT = 1.0
"""With a soft deadline of 80 ms, a query at a time is up to 12 a second.

A floor of 4 let 50 a second in, more than a node of a small site gets at all,
so that overload could not be shed.
"""

MAX_LIMIT = 512.0
BATCH_FRACTION = 0.5
"""Part of the limit up to which callers of the batch class are admitted."""

DECREASE_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.1
"""At most one decrease in this time, so that one burst counts once."""

OVERLOAD_FRACTION = 0.1
"""A query with more shards than this shed or late counts as overloaded."""


@dataclass(frozen=True)
class Admission:
    """Limit by additive increase and multiplicative decrease.

    :param limit: queries that may run at the same time
    :param running: queries that run now
    :param decreased_at: monotonic time of the last decrease in seconds
    """

    limit: float = 64.0
    running: int = 0
    decreased_at: float = 0.0


def admit(state: Admission, batch: bool) -> Admission | None:
    """Admit a query.

    :param batch: True for a caller of the batch class
    :returns: the new state, or None if the query is refused
    """
    limit = state.limit * (BATCH_FRACTION if batch else 1.0)
    if state.running >= limit:
        return None
    return replace(state, running=state.running + 1)


def release(
    state: Admission, overloaded_fraction: float, now: float
) -> Admission:
    """Adapt the limit to how a query went.

    :param overloaded: fraction of its shards that were shed or late
    :param now: monotonic time in seconds
    """
    running = state.running - 1
    if overloaded_fraction <= OVERLOAD_FRACTION:
        increased = state.limit
        if state.running >= state.limit / 2:
            increased = min(MAX_LIMIT, state.limit + 1 / state.limit)
        return replace(state, running=running, limit=increased)
    if now - state.decreased_at < DECREASE_INTERVAL_S:
        return replace(state, running=running)
    limit = max(MIN_LIMIT, state.limit * DECREASE_FACTOR)
    return replace(state, running=running, limit=limit, decreased_at=now)

"""Adaptive limit on the number of concurrent queries."""

from dataclasses import dataclass
from dataclasses import replace

MIN_LIMIT = 1.0
"""Low enough for a node of a small site to shed overload.

With a soft deadline of 80 ms, one query at a time allows up to 12 queries
per second. A minimum of 4 would allow 50, more than such a node receives.
"""

MAX_LIMIT = 512.0
BATCH_FRACTION = 0.5
"""Fraction of the limit that callers of the batch class may use."""

DECREASE_FACTOR = 0.9
DECREASE_INTERVAL_S = 0.1
"""Minimum time between decreases, so that one burst counts once."""

OVERLOAD_FRACTION = 0.1
"""Fraction of overloaded shards above which a query lowers the limit."""


@dataclass(frozen=True)
class Admission:
    """State of the limit on concurrent queries.

    Additive increase and multiplicative decrease adapt it to overload.

    :param limit: maximum number of concurrent queries
    :param running: number of running queries
    :param decreased_at: monotonic time in seconds of the last decrease
    """

    limit: float = 64.0
    running: int = 0
    decreased_at: float = 0.0


def admit(state: Admission, batch: bool) -> Admission | None:
    """Admit a query if the limit allows it.

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
    """Remove a finished query and adapt the limit to its overload.

    The limit rises only while at least half of it is in use.

    :param overloaded_fraction: fraction of its shards that are missing because
        of overload
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

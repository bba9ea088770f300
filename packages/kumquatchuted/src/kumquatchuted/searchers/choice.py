"""Choice of the searcher for an attempt by expected completion."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.searchers.load import expected_completion
from kumquatchuted.searchers.load import Load

# Cost added for a searcher in another data centre: a multiple of the median
# latency plus a fixed time. The path between data centres is slower and has
# little capacity.
REMOTE_COST_FACTOR = 0.6
REMOTE_COST_S = 0.004
# Largest random increase of the cost, as a share of it. Without it, nodes that
# observe the same loads would all choose the same searcher.
MAX_JITTER = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A searcher that may be sent an attempt.

    :param capacity: requests that it runs at a time
    :param is_local: whether it is in the data centre of this node
    """

    name: str
    capacity: int
    is_local: bool
    load: Load


def choose_searcher(
    candidates: Iterable[Candidate],
    median_s: float,
    now: float,
    random_fraction: Callable[[], float],
) -> Candidate | None:
    """Return the candidate with the lowest expected cost, or None.

    A searcher whose connection failed is skipped during its backoff. After
    that its cost is higher until its next usable response.

    :param median_s: median latency of the route in seconds
    :param now: monotonic time in seconds
    :param random_fraction: returns a random number from 0 to 1
    :returns: None if there is no candidate or all are in their backoff
    """
    best = None
    best_cost_s = float("inf")
    for candidate in candidates:
        if candidate.load.avoided_until > now:
            continue
        cost_s = expected_completion(
            candidate.load, candidate.capacity, median_s, now
        )
        if not candidate.is_local:
            cost_s += REMOTE_COST_S + median_s * REMOTE_COST_FACTOR
        cost_s *= 1 + MAX_JITTER * random_fraction()
        if candidate.load.connection_failures:
            cost_s += median_s
        if cost_s < best_cost_s:
            best, best_cost_s = candidate, cost_s
    return best

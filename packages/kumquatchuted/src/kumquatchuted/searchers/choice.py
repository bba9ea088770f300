"""Choice of the searcher for an attempt by expected completion."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.searchers.load import expected_completion
from kumquatchuted.searchers.load import Load

# Added cost of a searcher in another data centre, as a multiple of the median
# latency and as a fixed time: the path between data centres is slower and
# has little capacity.
REMOTE_COST_FACTOR = 0.6
REMOTE_COST_S = 0.004
# Random part of the cost, so that nodes with the same view do not all choose
# the same searcher.
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

    A searcher whose connections fail is skipped during its backoff and has a
    higher cost until its next response.

    :param median_s: median latency of the route in seconds
    :param random_fraction: returns a random number from 0 to 1
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

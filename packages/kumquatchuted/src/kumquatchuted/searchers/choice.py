"""Choice of the searcher for an attempt, by expected completion."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.searchers.load import expected_completion
from kumquatchuted.searchers.load import Load

# A searcher in another data centre must be this part of the expected time,
# plus a fixed time in seconds, faster to be chosen: traffic between data
# centres takes longer and is scarce.
REMOTE_COST_FACTOR = 0.6
REMOTE_COST_S = 0.004
# Equal searchers get their work by chance, so that nodes which see the same
# state do not all choose the same one.
MAX_JITTER = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A searcher that may be sent an attempt.

    :param is_near: whether it is in the data centre of this node
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
    """Return the candidate that is expected to answer first.

    A searcher whose connections failed is used only if no other is left and
    its pause is over.

    :param draw: returns a random number from 0 to 1
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

"""Choice of the searcher for an attempt, by expected completion."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from kumquatchuted.searchers.load import expected_completion
from kumquatchuted.searchers.load import Load

# A searcher in another data centre must be this part of the expected time,
# plus a fixed time in seconds, faster to be chosen: traffic between data
# centres takes longer and is scarce.
FAR_FACTOR = 0.6
FAR_S = 0.004
# Equal searchers get their work by chance, so that nodes which see the same
# state do not all choose the same one.
JITTER = 0.1


@dataclass(frozen=True, slots=True)
class Candidate:
    """A searcher that may be sent an attempt.

    :param is_near: whether it is in the data centre of this node
    """

    name: str
    capacity: int
    is_near: bool
    load: Load


def choose(
    candidates: Iterable[Candidate],
    expected_s: float,
    now: float,
    draw: Callable[[], float],
) -> Candidate | None:
    """Return the candidate that is expected to answer first.

    A searcher whose connections failed is used only if no other is left and
    its pause is over.

    :param draw: returns a random number from 0 to 1
    """
    best = None
    best_cost = float("inf")
    for candidate in candidates:
        if candidate.load.closed_until > now:
            continue
        cost = expected_completion(
            candidate.load, candidate.capacity, expected_s, now
        )
        if not candidate.is_near:
            cost += FAR_S + expected_s * FAR_FACTOR
        cost *= 1 + JITTER * draw()
        if candidate.load.failures:
            cost += expected_s
        if cost < best_cost:
            best, best_cost = candidate, cost
    return best

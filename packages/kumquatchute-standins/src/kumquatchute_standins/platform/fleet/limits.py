"""What the users allow a searcher to get that states a limit."""

from collections.abc import Collection

# One and a half times the limit and 5 requests in any 4 s, from 4 s after the
# first response that stated it.
WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_SLACK = 5.0
# Time until the nodes that have received such a response must apply it.
REACTION_S = 0.5


def allowed_count(limit_per_s: float) -> float:
    """Return how many requests are allowed within ``WINDOW_S``."""
    return ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_SLACK


def peak_count(times: Collection[float]) -> int:
    """Return the largest number of arrivals within ``WINDOW_S``.

    :param times: times of the arrivals in seconds
    """
    return max(
        (
            sum(start <= other < start + WINDOW_S for other in times)
            for start in times
        ),
        default=0,
    )

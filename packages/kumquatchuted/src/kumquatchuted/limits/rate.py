"""Rate limit for the requests of this node to one searcher."""

from dataclasses import dataclass

# The limit holds for the requests that arrive in any second. Requests take
# different times on their way, so the window of the sends is a bit longer.
RATE_WINDOW_S = 1.15


@dataclass(frozen=True, slots=True)
class RecentSends:
    """Sends to one searcher within the window.

    :param sent_at: monotonic times in seconds
    """

    sent_at: tuple[float, ...] = ()


def may_send(recent: RecentSends, limit: int, now: float) -> bool:
    """Return whether one more send stays within the limit.

    :param limit: maximum number of sends within the window
    """
    count = sum(1 for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return count < limit


def record_send(recent: RecentSends, now: float) -> RecentSends:
    """Return the state after a send."""
    kept = tuple(at for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return RecentSends((*kept, now))

"""Rate limit for the requests of this node to one searcher."""

from dataclasses import dataclass

# The limit holds for the requests that arrive at the searcher in any second.
# Because transit times differ, requests that were sent over a longer time can
# arrive within one second. The window of the sends is therefore longer.
RATE_WINDOW_S = 1.15


@dataclass(frozen=True, slots=True)
class RecentSends:
    """Sends of this node to one searcher within the window.

    :param sent_at: monotonic times in seconds
    """

    sent_at: tuple[float, ...] = ()


def may_send(recent: RecentSends, limit: int, now: float) -> bool:
    """Return whether one more send stays within the limit.

    :param limit: maximum number of sends within the window
    :param now: monotonic time in seconds
    """
    count = sum(1 for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return count < limit


def record_send(recent: RecentSends, now: float) -> RecentSends:
    """Return the state after a send, without sends before the window."""
    kept = tuple(at for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return RecentSends((*kept, now))

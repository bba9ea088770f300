"""Limit on the requests of any second to one searcher."""

from dataclasses import dataclass

# The limit holds for requests that arrive in a second. A request can take
# longer on its way than the next one, so that the window is a bit longer.
RATE_WINDOW_S = 1.15


@dataclass(frozen=True, slots=True)
class RecentSends:
    """Monotonic times of the sends within the window, in seconds."""

    sent_at: tuple[float, ...] = ()


def may_send(recent: RecentSends, limit: int, now: float) -> bool:
    """Return whether one more send keeps the limit.

    :param limit: sends in any window
    """
    count = sum(1 for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return count < limit


def record_send(recent: RecentSends, now: float) -> RecentSends:
    """Return the state after a send."""
    kept = tuple(at for at in recent.sent_at if at > now - RATE_WINDOW_S)
    return RecentSends((*kept, now))

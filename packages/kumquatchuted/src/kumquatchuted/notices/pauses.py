"""Pauses that searchers request from this node when they refuse a request."""

from dataclasses import dataclass

# A faulty searcher may state hours, and would stay unused until it restarts.
MAX_PAUSE_S = 60.0
# Many nodes learn of the same pause. They return at random times within this
# share of it, so that the searcher is not refused all of them again at once.
SPREAD_SHARE = 0.2
MAX_SPREAD_S = 0.5


@dataclass(frozen=True, slots=True)
class Pause:
    """A pause that a searcher requested; times are monotonic seconds.

    :param ends_at: end of the time that the searcher stated
    :param resumes_at: when this node sends it the next request
    """

    ends_at: float
    resumes_at: float


def start_pause(
    former: Pause | None, delay_s: float, now: float, random_fraction: float
) -> Pause:
    """Return the pause after a refusal; it never shortens a former one.

    :param delay_s: the stated time in seconds
    :param now: monotonic time in seconds
    :param random_fraction: random number from 0 to 1
    """
    bounded_s = min(delay_s, MAX_PAUSE_S)
    spread_s = min(bounded_s * SPREAD_SHARE, MAX_SPREAD_S)
    ends_at = now + bounded_s
    resumes_at = ends_at + spread_s * random_fraction
    if former is not None:
        ends_at = max(ends_at, former.ends_at)
        resumes_at = max(resumes_at, former.resumes_at)
    return Pause(ends_at, resumes_at)


def may_send(pause: Pause, pending: int, now: float) -> bool:
    """Return whether a request may be sent.

    After the pause, requests are sent one at a time until one succeeds.

    :param pending: number of pending attempts on the searcher
    :param now: monotonic time in seconds
    """
    return now >= pause.resumes_at and pending == 0


def remaining_s(pause: Pause, now: float) -> float:
    """Return the time until the end of a pause in seconds.

    :param now: monotonic time in seconds
    """
    return max(0.0, pause.ends_at - now)

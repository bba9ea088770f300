"""Delay before a collection of the platform is listed again."""

from dataclasses import dataclass
from dataclasses import replace

FIRST_DELAY_S = 0.5
MAX_DELAY_S = 10.0
# A watch that ran this long ends a series of failures.
STABLE_WATCH_S = 30.0


@dataclass(frozen=True)
class Backoff:
    """Number of consecutive failures, which determines the delay."""

    failures: int = 0


def after_failure(
    backoff: Backoff, duration_s: float, jitter: float
) -> tuple[Backoff, float]:
    """Return the new state and the delay in seconds.

    The delay doubles with each failure. Jitter spreads the list calls of the
    nodes when the platform recovers. Without it all nodes would list at once
    and exceed the rate limit.

    :param duration_s: how long the list and watch ran before the failure, in
        seconds
    :param jitter: random number from 0 to 1
    """
    if duration_s >= STABLE_WATCH_S:
        backoff = Backoff()
    ceiling_s = min(FIRST_DELAY_S * 2**backoff.failures, MAX_DELAY_S)
    delay_s = ceiling_s * (0.5 + jitter / 2)
    # The limit keeps the power of two small during a long outage.
    failures = min(backoff.failures + 1, 10)
    return replace(backoff, failures=failures), delay_s

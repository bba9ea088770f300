"""Estimate of the current latency of attempts at a searcher."""

from dataclasses import dataclass
from statistics import median

MAX_SAMPLES = 9
# Samples expire after this time. Otherwise, if the latencies were so long that
# every attempt was refused for lack of time, no newer one would replace them.
MAX_AGE_S = 1.0
TIMEOUT_FACTOR = 2


@dataclass(frozen=True)
class LatencyEstimate:
    """The most recent latencies.

    :param samples_s: latencies in seconds
    :param updated_at: monotonic time in seconds of the newest sample
    """

    samples_s: tuple[float, ...] = ()
    updated_at: float = 0.0


def observe(
    estimate: LatencyEstimate, latency_s: float, now: float
) -> LatencyEstimate:
    """Return the estimate with one more latency.

    :param latency_s: latency of a completed attempt in seconds
    :param now: monotonic time in seconds
    """
    samples = estimate.samples_s if _is_fresh(estimate, now) else ()
    return LatencyEstimate((*samples, latency_s)[-MAX_SAMPLES:], now)


def observe_timeout(
    estimate: LatencyEstimate, waited_s: float, now: float
) -> LatencyEstimate:
    """Return the estimate after an attempt that timed out.

    The estimate changes only if it has no fresh latency. It becomes twice the
    time waited, so that the limiter refuses attempts that cannot finish.
    Otherwise the queue, which sends the earliest deadline first, would keep
    sending attempts that time out, and a cold searcher would never have the
    successes that raise its limit.

    :param waited_s: time until the timeout in seconds
    :param now: monotonic time in seconds
    """
    if estimate.samples_s and _is_fresh(estimate, now):
        return estimate
    return LatencyEstimate((TIMEOUT_FACTOR * waited_s,), now)


def expected_s(
    estimate: LatencyEstimate, configured_s: float, now: float
) -> float:
    """Return the time that an attempt is expected to take, in seconds.

    :param configured_s: value from the settings in seconds, used as the
        minimum
    :param now: monotonic time in seconds
    """
    if not estimate.samples_s or not _is_fresh(estimate, now):
        return configured_s
    return max(configured_s, median(estimate.samples_s))


def _is_fresh(estimate: LatencyEstimate, now: float) -> bool:
    return now - estimate.updated_at <= MAX_AGE_S

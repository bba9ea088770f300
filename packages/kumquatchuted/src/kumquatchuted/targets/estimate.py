"""How long an attempt takes at a searcher at present."""

from dataclasses import dataclass
from statistics import median

MAX_SAMPLES = 9
# Older latencies are forgotten: if they were so long that all work was
# dropped, no newer ones could come in.
MAX_AGE_S = 1.0
TIMEOUT_FACTOR = 2


@dataclass(frozen=True)
class LatencyEstimate:
    """Newest latencies.

    :param samples_s: in seconds
    :param at: monotonic time of the newest in seconds
    """

    samples_s: tuple[float, ...] = ()
    updated_at: float = 0.0


def observe(
    estimate: LatencyEstimate, latency_s: float, now: float
) -> LatencyEstimate:
    """Return the estimate with one more latency."""
    samples = estimate.samples_s if _is_fresh(estimate, now) else ()
    return LatencyEstimate((*samples, latency_s)[-MAX_SAMPLES:], now)


def observe_timeout(
    estimate: LatencyEstimate, waited_s: float, now: float
) -> LatencyEstimate:
    """Return the estimate after an attempt that had too little time.

    Without a newer latency nothing else tells how long an attempt takes. The
    doubled time leaves work that cannot finish unsent. Otherwise a busy queue,
    which runs the earliest deadline first, goes on with attempts that time
    out, and a searcher in a cold start has no success that warms it up.
    """
    if estimate.samples_s and _is_fresh(estimate, now):
        return estimate
    return LatencyEstimate((TIMEOUT_FACTOR * waited_s,), now)


def expected_s(
    estimate: LatencyEstimate, configured_s: float, now: float
) -> float:
    """Return the time that an attempt usually takes.

    :param least_s: what the settings say, in seconds
    """
    if not estimate.samples_s or not _is_fresh(estimate, now):
        return configured_s
    return max(configured_s, median(estimate.samples_s))


def _is_fresh(estimate: LatencyEstimate, now: float) -> bool:
    return now - estimate.updated_at <= MAX_AGE_S

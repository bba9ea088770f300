"""Delay after which an unanswered shard is hedged."""

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_SAMPLES = 5000
MIN_SAMPLES = 100
UPDATE_SAMPLES = 500
"""Number of samples between updates of the delay.

An update takes about 2 ms.
"""

HEDGE_PERCENTILE = 95.0
DEFAULT_DELAY_S = 0.05
MIN_DELAY_S = 0.002


class LatencyWindow:
    """Latency of recent answers of a service.

    A histogram takes ``WINDOW_SAMPLES`` latencies and is then kept until the
    next one is full, so that a latency is dropped after two windows at most.
    """

    def __init__(self) -> None:
        """Create an empty window."""
        self._current = _histogram()
        self._previous = _histogram()
        self._delay_s = DEFAULT_DELAY_S

    def record(self, latency_s: float) -> None:
        """Record the latency of an answered attempt in seconds."""
        latency_us = max(1, min(MAX_LATENCY_US, int(latency_s * 1e6)))
        self._current.record_value(latency_us)
        if self._current.total_count % UPDATE_SAMPLES == 0:
            self._update_delay()
        if self._current.total_count >= WINDOW_SAMPLES:
            self._previous = self._current
            self._current = _histogram()

    def hedge_delay(self) -> float:
        """Return the hedge delay in seconds.

        It is the 95th percentile at the last update, but at least
        ``MIN_DELAY_S``. Until the first update, it is ``DEFAULT_DELAY_S``.
        """
        return self._delay_s

    def _update_delay(self) -> None:
        """Compute the percentile, which takes about 2 ms.

        The previous histogram is used while the current one has fewer than
        ``MIN_SAMPLES``.
        """
        source = self._current
        if source.total_count < MIN_SAMPLES:
            source = self._previous
        if source.total_count >= MIN_SAMPLES:
            latency_us = source.get_value_at_percentile(HEDGE_PERCENTILE)
            self._delay_s = max(MIN_DELAY_S, latency_us / 1e6)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

"""Metrics of the node in the text format of Prometheus.

Labels are services, which the settings list, and error kinds, which are a
fixed set. No label names a searcher or a caller, so the number of time series
is bounded.
"""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client import Histogram

from kumquatchute_model.errors import ErrorKind

LATENCY_BUCKETS_S = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.03,
    0.04,
    0.05,
    0.065,
    0.083,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
COVERAGE_BUCKETS = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """All metrics of a node.

    Tasks only record values; no decision of the node depends on a metric.
    """

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self._registry = CollectorRegistry()
        self._latency = Histogram(
            "kumquatchute_search_latency_seconds",
            "Time from receipt of a search to its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._coverage = Histogram(
            "kumquatchute_search_coverage_ratio",
            "Covered part of the documents of the snapshot.",
            ["service"],
            buckets=COVERAGE_BUCKETS,
            registry=self._registry,
        )
        self._attempts = Counter(
            "kumquatchute_attempts",
            "Attempts sent to targets, with hedges and retries.",
            ["service"],
            registry=self._registry,
        )
        self._first_attempts = Counter(
            "kumquatchute_first_attempts",
            "First attempts sent to targets.",
            ["service"],
            registry=self._registry,
        )
        self._cold_peak = Gauge(
            "kumquatchute_cold_target_in_flight_peak",
            "Most requests in flight on one cold target since the start.",
            ["service"],
            registry=self._registry,
        )
        self._refusals = Counter(
            "kumquatchute_refusals",
            "Requests of callers and operators that failed, by kind.",
            ["kind"],
            registry=self._registry,
        )
        self._events = Counter(
            "kumquatchute_events",
            "Unexpected events, by event and label.",
            ["event", "label"],
            registry=self._registry,
        )
        self._cold_peaks: dict[str, int] = {}

    def add_latency(self, service: str, latency_s: float) -> None:
        """Record the latency of an admitted search, whatever its result."""
        self._latency.labels(service).observe(latency_s)

    def add_coverage(self, service: str, fraction: float) -> None:
        """Record the coverage of an answer, from 0 to 1."""
        self._coverage.labels(service).observe(fraction)

    def add_first_attempts(self, service: str, count: int = 1) -> None:
        """Count first attempts, which are part of all attempts."""
        self._first_attempts.labels(service).inc(count)
        self._attempts.labels(service).inc(count)

    def add_extra_attempts(self, service: str, count: int = 1) -> None:
        """Count hedges or retries."""
        self._attempts.labels(service).inc(count)

    def update_cold_peak(self, service: str, in_flight: int) -> None:
        """Update the peak of the requests in flight on one cold target."""
        if in_flight > self._cold_peaks.get(service, 0):
            self._cold_peaks[service] = in_flight
            self._cold_peak.labels(service).set(in_flight)

    def add_refusal(self, kind: ErrorKind) -> None:
        """Count a failed request."""
        self._refusals.labels(kind.value).inc()

    def count(self, event: str, label: str) -> None:
        """Count an event.

        :param label: type of a message or the like; the number of different
            labels must be bounded
        """
        self._events.labels(event, label).inc()

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

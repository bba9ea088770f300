"""Metrics of a node on the users' platform."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client import Histogram

# Bucket bounds: from a short request within a data centre to the longest
# timeouts of the users' routes.
BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.15,
    0.25,
    0.5,
    1.0,
    2.5,
    6.0,
)


class GatewayMetrics:
    """Owns the metrics of a node; no decision depends on them."""

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self._registry = CollectorRegistry()
        self._events = Counter(
            "kumquatchute_events",
            "Decisions and results, by event and label.",
            ["event", "label"],
            registry=self._registry,
        )
        self._topic_ages = Gauge(
            "kumquatchute_topic_age_seconds",
            "Time since a source last confirmed the state of a topic.",
            ["topic"],
            registry=self._registry,
        )
        self._kept_bytes = Gauge(
            "kumquatchute_kept_bytes",
            "Bytes that the node keeps for others, by what they are.",
            ["data"],
            registry=self._registry,
        )
        self._durations = Histogram(
            "kumquatchute_request_seconds",
            "Time from the receipt of a request to its end.",
            ["kind"],
            buckets=BUCKETS_S,
            registry=self._registry,
        )

    def observe(self, kind: str, seconds: float) -> None:
        """Record the duration of a request in seconds.

        :param kind: ``query`` for a query over shards, ``single`` for a
            request to one searcher
        """
        self._durations.labels(kind).observe(seconds)

    def count(self, event: str, label: str) -> None:
        """Count an event.

        :param label: service, status, error kind or the like; the number of
            different labels must be bounded
        """
        self._events.labels(event, label).inc()

    def report_topic_age(self, topic: str, age_s: Callable[[], float]) -> None:
        """Render the age of a topic's state, in seconds, as a gauge.

        :param age_s: returns the age at each rendering
        """
        self._topic_ages.labels(topic).set_function(age_s)

    def report_kept_bytes(self, data: str, count: Callable[[], int]) -> None:
        """Render the number of bytes that are kept as a gauge.

        :param data: what the bytes are
        :param count: returns the number at each rendering
        """
        self._kept_bytes.labels(data).set_function(count)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

"""Measures of a node on the users' platform."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import generate_latest


class GatewayMetrics:
    """Counters by name of the event; nothing in the node decides by them."""

    def __init__(self) -> None:
        """Register all measures in a registry of their own."""
        self._registry = CollectorRegistry()
        self._events = Counter(
            "kumquatchute_events",
            "Decisions and results, by event and label.",
            ["event", "label"],
            registry=self._registry,
        )

    def count(self, event: str, label: str) -> None:
        """Count an event.

        :param label: service, status or error kind, all bounded
        """
        self._events.labels(event, label).inc()

    def render(self) -> bytes:
        """Return all measures as text."""
        return generate_latest(self._registry)

"""The loads of all searchers and the latencies of all routes."""

from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.latency import initial_latency
from kumquatchuted.searchers.latency import LatencyEstimate
from kumquatchuted.searchers.latency import record_latency
from kumquatchuted.searchers import load as searcher_load

INITIAL_LOAD = searcher_load.Load()


class LoadTable:
    """Owns loads and latency estimates as this node observes them.

    Times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        """Create a table in which all searchers are idle."""
        self._loads: dict[str, searcher_load.Load] = {}
        self._latencies: dict[str, LatencyEstimate] = {}

    def load_of(self, name: str) -> searcher_load.Load:
        """Return the load of a searcher."""
        return self._loads.get(name, INITIAL_LOAD)

    def latency_of(self, route: Route) -> LatencyEstimate:
        """Return the estimated latency of a route."""
        latency = self._latencies.get(route.name)
        return (
            initial_latency(route.objective_s) if latency is None else latency
        )

    def pending_count(self, name: str) -> int:
        """Return the number of pending attempts on a searcher."""
        return len(self.load_of(name).pending)

    def start(self, name: str, now: float) -> None:
        """Add a pending attempt."""
        self._loads[name] = searcher_load.start_attempt(
            self.load_of(name), now
        )

    def succeed(
        self, name: str, route: Route, started_at: float, now: float
    ) -> None:
        """End an attempt that had a usable response."""
        latency = self.latency_of(route)
        elapsed_s = now - started_at
        self._loads[name] = searcher_load.record_response(
            self._without(name, started_at), elapsed_s, latency.median_s, now
        )
        self._latencies[route.name] = record_latency(
            latency, elapsed_s, route.objective_s
        )

    def fail(self, name: str, started_at: float, now: float) -> None:
        """End an attempt that had no usable response."""
        self._loads[name] = searcher_load.record_failure(
            self._without(name, started_at), now
        )

    def abandon(
        self, name: str, route: Route, started_at: float, now: float
    ) -> None:
        """End an attempt whose result is not needed.

        An overdue attempt counts as failed.
        """
        median_s = self.latency_of(route).median_s
        if now - started_at > searcher_load.OVERDUE_FACTOR * median_s:
            self.fail(name, started_at, now)
        else:
            self.cancel(name, started_at)

    def cancel(self, name: str, started_at: float) -> None:
        """End an attempt that tells nothing about the searcher."""
        self._loads[name] = self._without(name, started_at)

    def lose_connection(self, name: str, started_at: float, now: float) -> int:
        """End an attempt whose connection failed, and begin a backoff.

        :returns: number of such failures since the last usable response
        """
        self._loads[name] = searcher_load.record_connection_failure(
            self._without(name, started_at), now
        )
        return self._loads[name].connection_failures

    def begin_backoff(self, name: str, now: float) -> None:
        """Begin the backoff of a searcher that cannot be reached."""
        self._loads[name] = searcher_load.record_connection_failure(
            self.load_of(name), now
        )

    def report(
        self, name: str, report: searcher_load.LoadReport | None
    ) -> None:
        """Store the load report of a searcher, if its response has one."""
        if report is not None:
            self._loads[name] = searcher_load.record_report(
                self.load_of(name), report
            )

    def discard(self, name: str) -> None:
        """Forget the load of a process that has ended."""
        self._loads.pop(name, None)

    def _without(self, name: str, started_at: float) -> searcher_load.Load:
        return searcher_load.end_attempt(self.load_of(name), started_at)

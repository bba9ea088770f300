"""Metrics of finished queries."""

from collections.abc import Callable

from kumquatchute_model.query import SearchAnswer
from kumquatchuted.metrics import Metrics
from kumquatchuted.search.messages import QueryReport


def record_query(
    metrics: Metrics, clock: Callable[[], float], report: QueryReport
) -> None:
    """Add a query to the metrics, unless it was refused.

    :param clock: monotonic time in seconds
    """
    if report.stats is None:
        return
    service = report.call.service
    metrics.add_latency(service, clock() - report.call.received_at)
    metrics.add_first_attempts(service, report.stats.first_attempts)
    metrics.add_extra_attempts(service, report.stats.extra_attempts)
    match report.result:
        case SearchAnswer(coverage=coverage):
            metrics.add_coverage(service, coverage.fraction)

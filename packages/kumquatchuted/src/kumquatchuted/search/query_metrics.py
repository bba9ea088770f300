"""Adds finished queries to the measures."""

from collections.abc import Callable

from kumquatchute_model.query import SearchAnswer
from kumquatchuted.metrics import Metrics
from kumquatchuted.search.messages import QueryDone


def record_query(
    metrics: Metrics, clock: Callable[[], float], done: QueryDone
) -> None:
    """Add one query.

    :param clock: monotonic time in seconds
    """
    if done.stats is None:
        return
    service = done.call.service
    metrics.add_latency(service, clock() - done.call.received_at)
    metrics.add_first_attempts(service, done.stats.first_attempts)
    metrics.add_extra_attempts(service, done.stats.extra_attempts)
    match done.result:
        case SearchAnswer(coverage=coverage):
            metrics.add_coverage(service, coverage.fraction)

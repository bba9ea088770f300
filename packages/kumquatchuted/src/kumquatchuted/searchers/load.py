"""What this node has learnt about the load and the health of a searcher."""

from dataclasses import dataclass
from dataclasses import replace
import math

# Weight of the newest answer in the averages. Few samples must suffice, as
# each node sees only a part of a searcher's answers.
EWMA_WEIGHT = 0.3
# What is known of a searcher fades, so that it is tried again: after this
# time in seconds the distance to the normal value has halved.
HALF_LIFE_S = 2.0
# A load report older than this, in seconds, says nothing any more.
MAX_REPORT_AGE_S = 1.0
# Pause before a searcher is tried again after its connection failed, in
# seconds; doubles with each further failure up to the longest one.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
# A failed attempt takes a repeat from an allowance that holds for a part of
# the requests only. Without one the query lacks a shard, which is worse than
# this multiple of the usual time.
RETRY_COST_FACTOR = 4.0
# An attempt is overdue after this multiple of the usual time.
OVERDUE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What a searcher said about its load.

    :param at: monotonic time of the report, in seconds
    :param own: attempts of this node that were part of it
    """

    running: int
    waiting: int
    received_at: float
    own_attempts: int


@dataclass(frozen=True, slots=True)
class Load:
    """State of one searcher as this node sees it.

    :param pending: monotonic start of each attempt under way, in seconds
    :param slowness: time of its answers relative to the expected time
    :param failing: share of attempts that failed
    :param judged_at: when the two were last updated, in seconds
    :param failures: failed connections in succession
    :param closed_until: when it may be tried again after these, in seconds
    """

    pending: tuple[float, ...] = ()
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    updated_at: float = 0.0
    connection_failures: int = 0
    avoided_until: float = 0.0
    report: LoadReport | None = None


def start_attempt(load: Load, now: float) -> Load:
    """Return the state with one more attempt under way."""
    return replace(load, pending=(*load.pending, now))


def end_attempt(load: Load, started_at: float) -> Load:
    """Return the state without an attempt."""
    pending = list(load.pending)
    if started_at in pending:
        pending.remove(started_at)
    return replace(load, pending=tuple(pending))


def record_response(
    load: Load, elapsed_s: float, median_s: float, now: float
) -> Load:
    """Learn from an answer that can be used.

    :param took_s: time of the attempt in seconds
    :param expected_s: usual time in seconds
    """
    current = decay(load, now)
    ratio = min(20.0, elapsed_s / max(median_s, 0.001))
    return replace(
        current,
        latency_ratio=_ewma(current.latency_ratio, ratio),
        failure_rate=_ewma(current.failure_rate, 0.0),
        updated_at=now,
        connection_failures=0,
        avoided_until=0.0,
    )


def record_failure(load: Load, now: float) -> Load:
    """Learn from an attempt that failed although a connection stood."""
    current = decay(load, now)
    return replace(
        current, failure_rate=_ewma(current.failure_rate, 1.0), updated_at=now
    )


def record_connection_failure(load: Load, now: float) -> Load:
    """Learn that no connection could be made or that it did not answer."""
    connection_failures = load.connection_failures + 1
    backoff_s = min(
        MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(connection_failures - 1, 6)
    )
    return replace(
        record_failure(load, now),
        connection_failures=connection_failures,
        avoided_until=now + backoff_s,
    )


def record_report(load: Load, report: LoadReport) -> Load:
    """Keep the newest load report."""
    return replace(load, report=report)


def decay(load: Load, now: float) -> Load:
    """Return the state with what is known moved towards normal by age."""
    age_s = now - load.updated_at
    if age_s <= 0 or (load.latency_ratio == 1.0 and load.failure_rate == 0.0):
        return load
    remaining = math.pow(0.5, age_s / HALF_LIFE_S)
    return replace(
        load,
        latency_ratio=1.0 + (load.latency_ratio - 1.0) * remaining,
        failure_rate=load.failure_rate * remaining,
        updated_at=now,
    )


def expected_completion(
    load: Load, capacity: int, median_s: float, now: float
) -> float:
    """Return the cost of one more attempt as a time until its answer.

    An attempt that is overdue shows a pause: as long as it lasts, the
    searcher is assumed to need as much time again.

    :param capacity: requests that the searcher runs at a time
    :param expected_s: usual time of an answer, in seconds
    """
    current = decay(load, now)
    per_request_s = median_s * current.latency_ratio
    attempts = len(load.pending) + _other_nodes_attempts(load.report, now)
    queue_ratio = max(0, attempts + 1 - capacity) / capacity
    overdue_s = 0.0
    if load.pending:
        overdue_s = max(0.0, now - load.pending[0] - 2 * per_request_s)
    success_rate = max(0.05, 1.0 - current.failure_rate)
    retry_cost_s = current.failure_rate * RETRY_COST_FACTOR * median_s
    return (
        per_request_s * (1 + queue_ratio) + overdue_s
    ) / success_rate + retry_cost_s


def _other_nodes_attempts(report: LoadReport | None, now: float) -> int:
    """Return the attempts of other nodes, from the last load report."""
    if report is None or now - report.received_at > MAX_REPORT_AGE_S:
        return 0
    return max(0, report.running + report.waiting - report.own_attempts)


def _ewma(average: float, sample: float) -> float:
    return average + (sample - average) * EWMA_WEIGHT

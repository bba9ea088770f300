"""Load and health of a searcher as this node observes them."""

from dataclasses import dataclass
from dataclasses import replace
import math

# Weight of the newest sample in the moving averages. It is large because
# each node sees only a part of a searcher's responses.
EWMA_WEIGHT = 0.3
# Without new samples, the averages decay towards their initial values, so that
# a searcher that is no longer chosen is tried again. The difference halves in
# this time.
HALF_LIFE_S = 2.0
# Older load reports are ignored.
MAX_REPORT_AGE_S = 1.0
# Exponential backoff before a searcher is tried again after a failed
# connection; it doubles with each consecutive failure.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 2.0
# Cost of a failed attempt as a multiple of the median latency. It is more than
# the time of a retry, because the retry budget allows a retry only for a part
# of the requests, and a query without a retry lacks a shard.
RETRY_COST_FACTOR = 4.0
# An attempt that is abandoned after more than this multiple of the median
# latency counts as failed.
OVERDUE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that a searcher reported.

    :param running: requests that it was running
    :param waiting: requests in its queue
    :param received_at: monotonic time in seconds
    :param own_attempts: attempts of this node that the report includes
    """

    running: int
    waiting: int
    received_at: float
    own_attempts: int


@dataclass(frozen=True, slots=True)
class Load:
    """State of one searcher as observed by this node.

    :param pending: start of each pending attempt, in monotonic seconds
    :param latency_ratio: moving average of the latency of its responses,
        relative to the median latency of their routes
    :param failure_rate: moving average of the share of failed attempts
    :param updated_at: when the two averages were last updated, in monotonic
        seconds
    :param connection_failures: failed connects and closes without a response
        since the last usable response
    :param avoided_until: end of the backoff after these failures, in monotonic
        seconds
    :param report: latest load report
    """

    pending: tuple[float, ...] = ()
    latency_ratio: float = 1.0
    failure_rate: float = 0.0
    updated_at: float = 0.0
    connection_failures: int = 0
    avoided_until: float = 0.0
    report: LoadReport | None = None


def start_attempt(load: Load, now: float) -> Load:
    """Return the state with one more pending attempt."""
    return replace(load, pending=(*load.pending, now))


def end_attempt(load: Load, started_at: float) -> Load:
    """Return the state without one pending attempt.

    :param started_at: its start, in monotonic seconds
    """
    pending = list(load.pending)
    if started_at in pending:
        pending.remove(started_at)
    return replace(load, pending=tuple(pending))


def record_response(
    load: Load, elapsed_s: float, median_s: float, now: float
) -> Load:
    """Return the state after a usable response.

    :param elapsed_s: duration of the attempt in seconds
    :param median_s: median latency of the route in seconds
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
    """Return the state after a failed attempt, without a backoff."""
    current = decay(load, now)
    return replace(
        current, failure_rate=_ewma(current.failure_rate, 1.0), updated_at=now
    )


def record_connection_failure(load: Load, now: float) -> Load:
    """Return the state after a failed connect or a close without response.

    It counts as a failed attempt and begins a backoff.
    """
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
    """Return the state with the newest load report."""
    return replace(load, report=report)


def decay(load: Load, now: float) -> Load:
    """Return the state with its averages decayed by their age.

    :param now: monotonic time in seconds
    """
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
    """Return the cost of one more attempt, as a time in seconds.

    It is the expected time until a response, including the wait in the queue
    of the searcher and the cost of failed attempts. If the oldest pending
    attempt is overdue, the searcher is assumed to be paused, and the time for
    which the attempt is overdue is added as the rest of the pause.

    :param capacity: requests that the searcher runs at a time
    :param median_s: median latency of the route in seconds
    :param now: monotonic time in seconds
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
    """Return the attempts of other nodes according to a load report.

    :returns: 0 if there is no report or it is too old
    """
    if report is None or now - report.received_at > MAX_REPORT_AGE_S:
        return 0
    return max(0, report.running + report.waiting - report.own_attempts)


def _ewma(average: float, sample: float) -> float:
    return average + (sample - average) * EWMA_WEIGHT

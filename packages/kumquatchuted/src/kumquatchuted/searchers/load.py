"""What this node has learnt about the load and the health of a searcher."""

from dataclasses import dataclass
from dataclasses import replace
import math

# Weight of the newest answer in the averages. Few samples must suffice, as
# each node sees only a part of a searcher's answers.
NEWEST_WEIGHT = 0.3
# What is known of a searcher fades, so that it is tried again: after this
# time in seconds the distance to the normal value has halved.
FADE_S = 2.0
# A load report older than this, in seconds, says nothing any more.
REPORT_AGE_S = 1.0
# Pause before a searcher is tried again after its connection failed, in
# seconds; doubles with each further failure up to the longest one.
FIRST_PAUSE_S = 0.15
MAX_PAUSE_S = 2.0
# A failed attempt takes a repeat from an allowance that holds for a part of
# the requests only. Without one the query lacks a shard, which is worse than
# this multiple of the usual time.
REPEAT_FACTOR = 4.0
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
    at: float
    own: int


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
    slowness: float = 1.0
    failing: float = 0.0
    judged_at: float = 0.0
    failures: int = 0
    closed_until: float = 0.0
    report: LoadReport | None = None


def start_attempt(load: Load, now: float) -> Load:
    """Return the state with one more attempt under way."""
    return replace(load, pending=(*load.pending, now))


def end_attempt(load: Load, started: float) -> Load:
    """Return the state without an attempt."""
    pending = list(load.pending)
    if started in pending:
        pending.remove(started)
    return replace(load, pending=tuple(pending))


def record_answer(
    load: Load, took_s: float, expected_s: float, now: float
) -> Load:
    """Learn from an answer that can be used.

    :param took_s: time of the attempt in seconds
    :param expected_s: usual time in seconds
    """
    current = faded(load, now)
    ratio = min(20.0, took_s / max(expected_s, 0.001))
    return replace(
        current,
        slowness=_mixed(current.slowness, ratio),
        failing=_mixed(current.failing, 0.0),
        judged_at=now,
        failures=0,
        closed_until=0.0,
    )


def record_failure(load: Load, now: float) -> Load:
    """Learn from an attempt that failed although a connection stood."""
    current = faded(load, now)
    return replace(
        current, failing=_mixed(current.failing, 1.0), judged_at=now
    )


def record_broken(load: Load, now: float) -> Load:
    """Learn that no connection could be made or that it did not answer."""
    failures = load.failures + 1
    pause = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** min(failures - 1, 6))
    return replace(
        record_failure(load, now),
        failures=failures,
        closed_until=now + pause,
    )


def record_report(load: Load, report: LoadReport) -> Load:
    """Keep the newest load report."""
    return replace(load, report=report)


def faded(load: Load, now: float) -> Load:
    """Return the state with what is known moved towards normal by age."""
    age = now - load.judged_at
    if age <= 0 or (load.slowness == 1.0 and load.failing == 0.0):
        return load
    keep = math.pow(0.5, age / FADE_S)
    return replace(
        load,
        slowness=1.0 + (load.slowness - 1.0) * keep,
        failing=load.failing * keep,
        judged_at=now,
    )


def expected_completion(
    load: Load, capacity: int, expected_s: float, now: float
) -> float:
    """Return the cost of one more attempt as a time until its answer.

    An attempt that is overdue shows a pause: as long as it lasts, the
    searcher is assumed to need as much time again.

    :param capacity: requests that the searcher runs at a time
    :param expected_s: usual time of an answer, in seconds
    """
    current = faded(load, now)
    each = expected_s * current.slowness
    queued = len(load.pending) + _others(load.report, now)
    waiting = max(0, queued + 1 - capacity) / capacity
    overdue = 0.0
    if load.pending:
        overdue = max(0.0, now - load.pending[0] - 2 * each)
    success = max(0.05, 1.0 - current.failing)
    repeats = current.failing * REPEAT_FACTOR * expected_s
    return (each * (1 + waiting) + overdue) / success + repeats


def _others(report: LoadReport | None, now: float) -> int:
    """Return the attempts of other nodes, from the last load report."""
    if report is None or now - report.at > REPORT_AGE_S:
        return 0
    return max(0, report.running + report.waiting - report.own)


def _mixed(former: float, newest: float) -> float:
    return former + (newest - former) * NEWEST_WEIGHT

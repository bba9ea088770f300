"""Sums up what the callers of a run saw."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from kumquatchute_standins.platform.fleet.run import QueryResult
from kumquatchute_standins.platform.fleet.run import RunRecord

# Times are recorded in microseconds up to a minute, with three digits.
MOST_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
REFUSALS = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Second:
    """The queries that were sent within one second.

    :param p99_ms: of the answers, in milliseconds; None without any
    :param coverage: mean share of the shards of the answers
    """

    second: int
    sent: int
    refused: int
    failed: int
    p99_ms: float | None
    coverage: float


@dataclass(frozen=True, slots=True)
class Summary:
    """A whole run.

    :param version: which nodes ran
    :param wrong: answers that were not the caller's own
    :param whole: answers that covered all shards
    :param percentiles_ms: times of the answers, by percentile
    :param per_searcher: requests that each searcher received
    """

    version: str
    sent: int
    answered: int
    whole: int
    refused: int
    failed: int
    wrong: int
    percentiles_ms: dict[float, float]
    per_searcher: dict[str, int]
    seconds: tuple[Second, ...]
    faults: tuple[str, ...]


PERCENTILES = (50.0, 90.0, 99.0, 100.0)


def summarise(version: str, record: RunRecord) -> Summary:
    """Return the figures of a run."""
    histogram = _times(record.queries)
    seen = [query.result for query in record.queries]
    answers = [item for item in seen if item.status == 200]
    refused = sum(item.status in REFUSALS for item in seen)
    return Summary(
        version,
        len(seen),
        len(answers),
        sum(item.coverage == 1.0 for item in answers),
        refused,
        len(seen) - len(answers) - refused,
        sum(item.error is not None for item in answers),
        {
            percentile: histogram.get_value_at_percentile(percentile)
            / US_PER_MS
            for percentile in PERCENTILES
        },
        dict(Counter(arrival.searcher for arrival in record.arrivals)),
        _seconds(record),
        record.shutdown_failures,
    )


def _seconds(record: RunRecord) -> tuple[Second, ...]:
    by_second: dict[int, list[QueryResult]] = {}
    for query in record.queries:
        second = int(query.sent_at - record.started)
        by_second.setdefault(second, []).append(query)
    return tuple(
        _second(second, queries)
        for second, queries in sorted(by_second.items())
    )


def _second(second: int, queries: list[QueryResult]) -> Second:
    answers = [item.result for item in queries if item.result.status == 200]
    refused = sum(item.result.status in REFUSALS for item in queries)
    p99_ms = coverage = None
    if answers:
        times = _times(queries)
        p99_ms = times.get_value_at_percentile(99.0) / US_PER_MS
        coverage = sum(item.coverage for item in answers) / len(answers)
    failed = len(queries) - len(answers) - refused
    return Second(
        second, len(queries), refused, failed, p99_ms, coverage or 0.0
    )


def _times(
    queries: tuple[QueryResult, ...] | list[QueryResult],
) -> HdrHistogram:
    histogram = HdrHistogram(1, MOST_US, DIGITS)
    for query in queries:
        if query.result.status == 200:
            histogram.record_value(int(query.result.latency_s * US_PER_S))
    return histogram

"""Summarises the results that callers received in a run."""

from collections import Counter
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from kumquatchute_standins.platform.fleet.run import QueryResult
from kumquatchute_standins.platform.fleet.run import RunRecord

# Histograms hold latencies in microseconds up to one minute.
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1000
REFUSAL_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class SecondSummary:
    """Figures of the queries that were sent within one second.

    :param second: whole seconds from the start of the run
    :param p99_ms: p99 of the answers in milliseconds; None without answers
    :param coverage: mean coverage of the answers; 0 without answers
    """

    second: int
    sent: int
    refused: int
    failed: int
    p99_ms: float | None
    coverage: float


@dataclass(frozen=True, slots=True)
class RunSummary:
    """Figures of a run.

    :param version: version of the nodes
    :param wrong: answers of another query or with incorrect content
    :param complete: answers that covered all shards
    :param percentiles_ms: latencies of the answers in milliseconds, by
        percentile
    :param per_searcher: requests that each searcher received
    :param shutdown_failures: nodes that did not stop in time or failed
    """

    version: str
    sent: int
    answered: int
    complete: int
    refused: int
    failed: int
    wrong: int
    percentiles_ms: dict[float, float]
    per_searcher: dict[str, int]
    seconds: tuple[SecondSummary, ...]
    shutdown_failures: tuple[str, ...]


PERCENTILES = (50.0, 90.0, 99.0, 100.0)


def summarise_run(version: str, record: RunRecord) -> RunSummary:
    """Return the figures of a run."""
    latencies = _latency_histogram(record.queries)
    results = [query.result for query in record.queries]
    answers = [result for result in results if result.status == 200]
    refused = sum(result.status in REFUSAL_STATUSES for result in results)
    return RunSummary(
        version,
        len(results),
        len(answers),
        sum(result.coverage == 1.0 for result in answers),
        refused,
        len(results) - len(answers) - refused,
        sum(result.error is not None for result in answers),
        {
            percentile: latencies.get_value_at_percentile(percentile)
            / US_PER_MS
            for percentile in PERCENTILES
        },
        dict(Counter(arrival.searcher for arrival in record.arrivals)),
        _summarise_seconds(record),
        record.shutdown_failures,
    )


def _summarise_seconds(record: RunRecord) -> tuple[SecondSummary, ...]:
    by_second: dict[int, list[QueryResult]] = {}
    for query in record.queries:
        second = int(query.sent_at - record.started)
        by_second.setdefault(second, []).append(query)
    return tuple(
        _summarise_second(second, queries)
        for second, queries in sorted(by_second.items())
    )


def _summarise_second(
    second: int, queries: list[QueryResult]
) -> SecondSummary:
    answers = [query.result for query in queries if query.result.status == 200]
    refused = sum(query.result.status in REFUSAL_STATUSES for query in queries)
    p99_ms = coverage = None
    if answers:
        latencies = _latency_histogram(queries)
        p99_ms = latencies.get_value_at_percentile(99.0) / US_PER_MS
        coverage = sum(result.coverage for result in answers) / len(answers)
    failed = len(queries) - len(answers) - refused
    return SecondSummary(
        second, len(queries), refused, failed, p99_ms, coverage or 0.0
    )


def _latency_histogram(
    queries: tuple[QueryResult, ...] | list[QueryResult],
) -> HdrHistogram:
    latencies = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for query in queries:
        if query.result.status == 200:
            latencies.record_value(int(query.result.latency_s * US_PER_S))
    return latencies

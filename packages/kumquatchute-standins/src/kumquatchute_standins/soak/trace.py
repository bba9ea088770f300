"""Log of what callers and searchers observed in the run of a seed.

Its lines begin with the time of day, like those of the nodes, so that
``sort n*.log trace.log`` shows what nodes did around a violation.
"""

from collections.abc import Iterable
from datetime import datetime
from datetime import UTC
from pathlib import Path

from kumquatchute_standins.platform.fleet.run import QueryResult
from kumquatchute_standins.platform.fleet.run import RunRecord
from kumquatchute_standins.platform.fleet.searcher import Arrival

TRACE_FILE = "trace.log"


def write_trace(record: RunRecord, folder: Path, wall_offset_s: float) -> None:
    """Write ``trace.log``.

    It has the arrivals at searchers that state a limit, the queries that were
    not served, and the moment from which arrivals and recovery are checked.

    :param wall_offset_s: time of day minus the time of the event loop
    """
    limited = {limit.searcher for limit in record.limits}
    events = [
        (limit.since, f"limit begins searcher={limit.searcher}")
        for limit in record.limits
    ]
    events.append((record.last_disturbed_at, "last disturbance ended"))
    events += _describe_arrivals(record.arrivals, limited)
    events += _describe_failures(record.queries)
    lines = [
        f"{_format_time(at + wall_offset_s)} SOAK {text}\n"
        for at, text in sorted(events)
    ]
    (folder / TRACE_FILE).write_text("".join(lines), encoding="utf-8")


def _describe_arrivals(
    arrivals: Iterable[Arrival], searchers: set[str]
) -> list[tuple[float, str]]:
    return [
        (
            arrival.received_at,
            f"arrival searcher={arrival.searcher}"
            f" request={arrival.request_id}",
        )
        for arrival in arrivals
        if arrival.searcher in searchers
    ]


def _describe_failures(
    queries: Iterable[QueryResult],
) -> list[tuple[float, str]]:
    return [
        (
            query.sent_at + query.result.latency_s,
            f"query failed node={query.node}"
            f" request={query.result.request_id}"
            f" status={query.result.status} cause={query.result.error}"
            f" ms={1000 * query.result.latency_s:.0f}",
        )
        for query in queries
        if query.result.status != 200 or query.result.error
    ]


def _format_time(at: float) -> str:
    moment = datetime.fromtimestamp(at, UTC)
    return moment.isoformat(timespec="milliseconds")

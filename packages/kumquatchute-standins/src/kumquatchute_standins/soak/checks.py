"""Checks the guarantees by the results of callers and arrivals at searchers.

Each check returns a message for each violation.
"""

from collections.abc import Iterable
from collections import Counter

from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.limits import allowed_count
from kumquatchute_standins.platform.fleet.limits import peak_count
from kumquatchute_standins.platform.fleet.limits import REACTION_S
from kumquatchute_standins.platform.fleet.limits import WINDOW_S
from kumquatchute_standins.platform.fleet.run import Absence
from kumquatchute_standins.platform.fleet.run import ColdPeak
from kumquatchute_standins.platform.fleet.run import StatedLimit
from kumquatchute_standins.platform.fleet.searcher import Arrival

# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Searchers that drain and searchers of an evacuated data centre must receive
# nothing once LEAVE_LIMIT_S have passed since the change was written to the
# store, and STABLE_S since the last disturbance ended. Until then, nodes may
# have been unable to read the change.
LEAVE_LIMIT_S = 3.0
STABLE_S = 4.0
# Requests per second that all nodes together may send to a cold searcher.
MAX_COLD_PER_S = 5
# Fraction of the last requests, after all disturbances, that must be served.
MIN_SERVED_FRACTION = 0.97


def check_cold_limits(peaks: Iterable[ColdPeak]) -> list[str]:
    """Report each cold searcher that received too many requests."""
    return [
        f"{peak.searcher} got {peak.peak_per_s} requests in a second"
        " while cold"
        for peak in peaks
        if peak.peak_per_s > MAX_COLD_PER_S
    ]


def check_answers(results: Iterable[CallResult]) -> list[str]:
    """Report each answer with wrong content."""
    return [
        f"{result.request_id}: {result.error}"
        for result in results
        if result.status is not None and result.error is not None
    ]


def check_at_most_once(
    results: Iterable[CallResult], arrivals: list[Arrival]
) -> list[str]:
    """Report each request that ran twice, or that ran contrary to its status.

    :param results: results of requests that may run at most once
    """
    run_counts = Counter(arrival.request_id for arrival in arrivals)
    violations = []
    for result in results:
        if run_counts[result.request_id] > 1:
            violations.append(
                f"{result.request_id} ran {run_counts[result.request_id]}x"
            )
        if result.status in NOT_RUN_STATUSES and run_counts[result.request_id]:
            violations.append(
                f"{result.request_id} got {result.status} and ran"
            )
    return violations


def check_attempts(
    results: Iterable[CallResult], arrivals: list[Arrival], max_searchers: int
) -> list[str]:
    """Report each query that reached too many searchers of a shard.

    :param max_searchers: number of searchers of a shard that it may reach
    """
    searcher_counts = Counter(
        (arrival.request_id, arrival.service)
        for arrival in {
            (arrival.request_id, arrival.service, arrival.searcher): arrival
            for arrival in arrivals
        }.values()
    )
    request_ids = {result.request_id for result in results}
    return [
        f"{request_id} ran on {count} searchers of {service}"
        for (request_id, service), count in searcher_counts.items()
        if count > max_searchers and request_id in request_ids
    ]


def check_absences(
    absences: Iterable[Absence],
    arrivals: list[Arrival],
    last_disturbed_at: float,
) -> list[str]:
    """Report each searcher that received requests after it had left.

    :param last_disturbed_at: when the last disturbance ended, in seconds
    """
    violations = []
    for absence in absences:
        forbidden_from = max(
            absence.since + LEAVE_LIMIT_S, last_disturbed_at + STABLE_S
        )
        late = [
            arrival
            for arrival in arrivals
            if arrival.searcher == absence.searcher
            and forbidden_from < arrival.received_at < absence.until
        ]
        if late:
            violations.append(
                f"{absence.searcher} got {len(late)} requests after it left"
            )
    return violations


def check_stated_limits(
    limits: Iterable[StatedLimit],
    arrivals: list[Arrival],
    last_disturbed_at: float,
) -> list[str]:
    """Report each searcher that received more than its limit allows.

    Arrivals during disturbances do not count: nodes that were restarted,
    paused or cut off are excused.

    :param last_disturbed_at: when the last disturbance ended, in seconds
    """
    violations = []
    for limit in limits:
        counted_from = max(limit.since + REACTION_S, last_disturbed_at)
        peak = peak_count(
            [
                arrival.received_at
                for arrival in arrivals
                if arrival.searcher == limit.searcher
                and arrival.received_at > counted_from
            ]
        )
        if peak > allowed_count(limit.limit_per_s):
            violations.append(
                f"{limit.searcher} got {peak} requests in {WINDOW_S} s"
                f" with a limit of {limit.limit_per_s}"
            )
    return violations


def check_recovery(results: list[CallResult]) -> list[str]:
    """Report if too few of the last requests were served.

    :param results: results of the requests at the end of the run
    """
    served = sum(
        result.status == 200 and not result.error for result in results
    )
    if results and served / len(results) < MIN_SERVED_FRACTION:
        return [
            f"only {served} of the last {len(results)} requests were served"
        ]
    return []

"""Checks the guarantees by the results of callers and arrivals at searchers.

Each check returns a message for each violation.
"""

from collections.abc import Iterable
from collections import Counter

from kumquatchute_standins.platform.fleet.answer_checks import check_record
from kumquatchute_standins.platform.fleet.answer_checks import check_response
from kumquatchute_standins.platform.fleet.answer_checks import check_run_counts
from kumquatchute_standins.platform.fleet.answer_checks import Violation
from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.callers import CallResult
from kumquatchute_standins.platform.fleet.connection_callers import CallRecord
from kumquatchute_standins.platform.fleet.connection_callers import QUERY_PATH
from kumquatchute_standins.platform.fleet.limits import allowed_count
from kumquatchute_standins.platform.fleet.limits import peak_count
from kumquatchute_standins.platform.fleet.limits import REACTION_S
from kumquatchute_standins.platform.fleet.limits import WINDOW_S
from kumquatchute_standins.platform.fleet.run import Absence
from kumquatchute_standins.platform.fleet.run import ColdPeak
from kumquatchute_standins.platform.fleet.run import RunRecord
from kumquatchute_standins.platform.fleet.run import StatedLimit
from kumquatchute_standins.platform.fleet.searcher import Arrival

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


def check_sent(
    results: Iterable[CallResult],
    ledger: AnswerLedger,
    shards: tuple[str, ...],
) -> list[str]:
    """Report each answer that is not what searchers sent to its request.

    :param shards: services that a query covers; empty for single requests
    """
    found = (
        check_response(result.response, result.request_id, ledger, shards)
        for result in results
    )
    return _describe(found)


def check_calls(
    calls: Iterable[CallRecord],
    ledger: AnswerLedger,
    shards: tuple[str, ...],
) -> list[str]:
    """Report the same for callers on kept connections.

    :param shards: services that a query covers
    """
    return _describe(check_record(call, ledger, shards) for call in calls)


def check_at_most_once(
    record: RunRecord, arrivals: list[Arrival]
) -> list[str]:
    """Report each request that ran twice, or that ran contrary to its status.

    Only requests that may run at most once are considered.
    """
    run_counts = Counter(arrival.request_id for arrival in arrivals)
    outcomes = [
        (result.request_id, result.status) for result in record.submissions
    ]
    outcomes += [
        (call.call.request_id, call.status)
        for call in record.calls
        if not call.call.may_repeat
    ]
    return _describe(check_run_counts(outcomes, run_counts))


def check_abandoned(
    abandoned: Iterable[str], arrivals: list[Arrival]
) -> list[str]:
    """Report each request that ran although its client left in its body."""
    have_run = {arrival.request_id for arrival in arrivals}
    return [
        f"{request_id} ran, but its client left inside its body"
        for request_id in abandoned
        if request_id in have_run
    ]


def _describe(violations: Iterable[Violation | None]) -> list[str]:
    return [
        f"{item.request_id}: {item.wrong.value}: {item.detail}"
        for item in violations
        if item is not None
    ]


def check_attempts(
    record: RunRecord, arrivals: list[Arrival], max_searchers: int
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
    request_ids = {query.result.request_id for query in record.queries}
    request_ids |= {
        call.call.request_id
        for call in record.calls
        if call.call.path == QUERY_PATH
    }
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
                f" ({allowed_count(limit.limit_per_s):.1f} allowed)"
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
        others = Counter(
            str(result.status) if result.status else result.error
            for result in results
            if result.status != 200 or result.error
        )
        kinds = ", ".join(f"{n} x {kind}" for kind, n in others.items())
        return [
            f"only {served} of the last {len(results)} requests were served;"
            f" others: {kinds}"
        ]
    return []

"""Checks the promises from what callers and searchers saw."""

from collections.abc import Iterable
from collections import Counter

from kumquatchute_standins.platform.fleet.callers import Seen
from kumquatchute_standins.platform.fleet.run import Absence
from kumquatchute_standins.platform.fleet.run import ColdCount
from kumquatchute_standins.platform.fleet.searcher import Arrival

# Statuses that promise that the request has not run and never will.
PROMISES = (408, 421, 429, 503)
# A leaving searcher and an evacuated data centre receive nothing this many
# seconds after the store has confirmed it, and the store and all links were
# well for the second time before.
LEAVE_S = 3.0
WELL_S = 4.0
COLD_LIMIT = 5
# Share of the last requests that must be served after all disturbances.
RECOVERED = 0.97


def check_cold(counts: Iterable[ColdCount]) -> list[str]:
    """Return a fault for each cold searcher that received too much."""
    return [
        f"{item.searcher} got {item.most} a second, cold"
        for item in counts
        if item.most > COLD_LIMIT
    ]


def check_answers(seen: Iterable[Seen]) -> list[str]:
    """Return a fault for each answer that is not the caller's own."""
    return [
        f"{item.request_id}: {item.fault}"
        for item in seen
        if item.status is not None and item.fault is not None
    ]


def check_once(seen: Iterable[Seen], arrivals: list[Arrival]) -> list[str]:
    """Return a fault for each request that ran twice or was denied falsely.

    :param seen: results of requests that may run once only
    """
    runs = Counter(item.request_id for item in arrivals)
    faults = []
    for item in seen:
        if runs[item.request_id] > 1:
            faults.append(f"{item.request_id} ran {runs[item.request_id]}x")
        if item.status in PROMISES and runs[item.request_id]:
            faults.append(f"{item.request_id} got {item.status} and ran")
    return faults


def check_attempts(
    seen: Iterable[Seen], arrivals: list[Arrival], most: int
) -> list[str]:
    """Return a fault for each query on too many searchers of a shard."""
    asked = Counter(
        (item.request_id, item.service)
        for item in {
            (arrival.request_id, arrival.service, arrival.searcher): arrival
            for arrival in arrivals
        }.values()
    )
    ids = {item.request_id for item in seen}
    return [
        f"{request_id} ran on {count} searchers of {service}"
        for (request_id, service), count in asked.items()
        if count > most and request_id in ids
    ]


def check_absences(
    absences: Iterable[Absence], arrivals: list[Arrival], well_since: float
) -> list[str]:
    """Return a fault for each request at a searcher that had left.

    :param well_since: when store, links and nodes were last disturbed
    """
    faults = []
    for absence in absences:
        start = max(absence.since + LEAVE_S, well_since + WELL_S)
        late = [
            item
            for item in arrivals
            if item.searcher == absence.searcher
            and start < item.at < absence.until
        ]
        if late:
            faults.append(
                f"{absence.searcher} got {len(late)} requests after it left"
            )
    return faults


def check_recovery(seen: list[Seen]) -> list[str]:
    """Return a fault if the last requests were not served."""
    served = sum(item.status == 200 and not item.fault for item in seen)
    if seen and served / len(seen) < RECOVERED:
        return [f"only {served} of the last {len(seen)} requests were served"]
    return []

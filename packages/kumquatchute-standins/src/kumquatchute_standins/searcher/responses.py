"""Builds the results, reports and records of a searcher, without I/O."""

from kumquatchute_standins.searcher.index import find_hits
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import Health
from kumquatchute_standins.searcher.messages import Load
from kumquatchute_standins.searcher.messages import Refused
from kumquatchute_standins.searcher.messages import Result
from kumquatchute_standins.searcher.messages import SearchCall
from kumquatchute_standins.searcher.messages import SearchResult
from kumquatchute_standins.searcher.messages import SubmitCall
from kumquatchute_standins.searcher.messages import SubmitResult
from kumquatchute_standins.searcher.state import Job
from kumquatchute_standins.searcher.state import Respond
from kumquatchute_standins.searcher.state import SearcherState


def report_health(state: SearcherState, attempt: str = "") -> Health:
    """Return what ``/health`` reports.

    :param attempt: name of the request
    """
    healthy = not state.draining
    if state.report_overrides.healthy is not None:
        healthy = state.report_overrides.healthy
    return Health(
        healthy,
        state.incarnation,
        *state.newest_index.version,
        state.draining,
        attempt,
    )


def report_load(state: SearcherState, attempt: str = "") -> Load:
    """Return what ``/load`` reports.

    :param attempt: name of the request
    """
    overrides = state.report_overrides
    return Load(
        len(state.running)
        if overrides.in_flight is None
        else overrides.in_flight,
        len(state.waiting),
        state.cfg.slots,
        state.is_cold if overrides.cold is None else overrides.cold,
        state.incarnation,
        attempt,
    )


def build_result(state: SearcherState, job: Job) -> Result:
    """Return the result of a call that ran to its end."""
    match job.call:
        case SearchCall(shard=name, names=names, limit=limit):
            shard = job.index.shards[name]
            return SearchResult(
                find_hits(shard, names, limit),
                int(shard.stated_count * state.covered_fraction),
                *job.index.version,
                state.incarnation,
                state.is_cold,
                state.busy_count,
                job.call.attempt,
            )
        case SubmitCall(attempt=attempt, payload=payload):
            return SubmitResult(
                attempt,
                f"done: {payload}",
                state.incarnation,
                state.is_cold,
                state.busy_count,
            )


def build_refusal(
    state: SearcherState, job: Job, status: int, kind: str, now: float
) -> Respond:
    """Return the action that refuses a call and records it.

    :param now: monotonic time in seconds
    """
    result = Refused(
        status,
        kind,
        f"{state.cfg.name} did not serve {job.call.attempt}: {kind}",
        job.started is None,
        *state.newest_index.version,
        state.incarnation,
        state.is_cold,
        state.busy_count,
        job.call.attempt,
    )
    return Respond(
        job.key, result, build_record(state, job, status, kind, now)
    )


def build_record(
    state: SearcherState, job: Job, status: int, kind: str, now: float
) -> CallRecord:
    """Return the record of a call that ended.

    :param now: monotonic time in seconds
    """
    call = job.call
    is_search = isinstance(call, SearchCall)
    return CallRecord(
        call.attempt,
        "search" if is_search else "submit",
        call.shard if is_search else "",
        job.arrived,
        job.started,
        now,
        job.peak,
        job.was_cold,
        status,
        kind,
        state.incarnation,
    )

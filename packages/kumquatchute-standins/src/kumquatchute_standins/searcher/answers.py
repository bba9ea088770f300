"""What a searcher answers, reports and records; knows no sockets."""

from kumquatchute_standins.searcher.index import find
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import Found
from kumquatchute_standins.searcher.messages import Health
from kumquatchute_standins.searcher.messages import Load
from kumquatchute_standins.searcher.messages import Refused
from kumquatchute_standins.searcher.messages import Result
from kumquatchute_standins.searcher.messages import SearchCall
from kumquatchute_standins.searcher.messages import SubmitCall
from kumquatchute_standins.searcher.messages import Submitted
from kumquatchute_standins.searcher.state import Job
from kumquatchute_standins.searcher.state import Respond
from kumquatchute_standins.searcher.state import State


def health(state: State) -> Health:
    """Return what ``/health`` reports."""
    healthy = not state.draining
    if state.report.healthy is not None:
        healthy = state.report.healthy
    return Health(
        healthy, state.incarnation, *state.newest.version, state.draining
    )


def load(state: State) -> Load:
    """Return what ``/load`` reports."""
    report = state.report
    return Load(
        len(state.running) if report.in_flight is None else report.in_flight,
        len(state.waiting),
        state.profile.slots,
        state.cold if report.cold is None else report.cold,
        state.incarnation,
    )


def result_of(state: State, job: Job) -> Result:
    """Return the answer of a call that ran in full."""
    match job.call:
        case SearchCall(shard=name, names=names, limit=limit):
            shard = job.index.shards[name]
            return Found(
                find(shard, names, limit),
                int(shard.stated * state.partial),
                *job.index.version,
                state.incarnation,
                state.cold,
                state.busy,
            )
        case SubmitCall(attempt=attempt, payload=payload):
            return Submitted(
                attempt,
                f"done: {payload}",
                state.incarnation,
                state.cold,
                state.busy,
            )


def refuse(
    state: State, job: Job, status: int, kind: str, now: float
) -> Respond:
    """Return the refusal of a call and its record.

    :param now: monotonic time in seconds
    """
    result = Refused(
        status,
        kind,
        f"{state.profile.name} has not served {job.call.attempt}: {kind}",
        job.started is None,
        *state.newest.version,
        state.incarnation,
        state.cold,
        state.busy,
    )
    return Respond(job.key, result, record_of(state, job, status, kind, now))


def record_of(
    state: State, job: Job, status: int, kind: str, now: float
) -> CallRecord:
    """Return a call as the searcher saw it.

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
        job.cold,
        status,
        kind,
        state.incarnation,
    )

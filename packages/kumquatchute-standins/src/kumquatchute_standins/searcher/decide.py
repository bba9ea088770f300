"""Decides which calls run, wait or are refused, without I/O."""

from dataclasses import replace

from kumquatchute_standins.searcher.config import ColdOverload
from kumquatchute_standins.searcher.controls import Restart
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.controls import SetIndex
from kumquatchute_standins.searcher.controls import SetPartial
from kumquatchute_standins.searcher.controls import SetReport
from kumquatchute_standins.searcher.controls import SetSlow
from kumquatchute_standins.searcher.controls import StateFault
from kumquatchute_standins.searcher.index import build_index
from kumquatchute_standins.searcher.index import Index
from kumquatchute_standins.searcher.messages import Call
from kumquatchute_standins.searcher.messages import Cancelled
from kumquatchute_standins.searcher.messages import ConnectionReset
from kumquatchute_standins.searcher.messages import Refused
from kumquatchute_standins.searcher.messages import SearchCall
from kumquatchute_standins.searcher.messages import SubmitCall
from kumquatchute_standins.searcher.responses import build_record
from kumquatchute_standins.searcher.responses import build_refusal
from kumquatchute_standins.searcher.responses import build_result
from kumquatchute_standins.searcher.state import Action
from kumquatchute_standins.searcher.state import Job
from kumquatchute_standins.searcher.state import Respond
from kumquatchute_standins.searcher.state import SearcherState
from kumquatchute_standins.searcher.state import StartTimer

CANCELLED_STATUS = 499
FAILED_STATUS = 500
UNAVAILABLE_STATUS = 503
DEADLINE_EXCEEDED_STATUS = 504
# A cancellation overtakes its attempt by milliseconds at most, so that a short
# history of cancelled attempts is enough.
MAX_CANCELLED_ATTEMPTS = 200


def admit_call(
    state: SearcherState, key: int, call: Call, service_s: float, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    """Run, queue or refuse a call.

    :param key: key of the new job, unique within the process
    :param service_s: service time on a warm searcher in seconds
    :param now: monotonic time in seconds
    :returns: new state, and the actions to carry out
    """
    index = _select_index(state, call)
    job = Job(
        key,
        call,
        now,
        service_s,
        now + call.deadline_ms / 1000,
        state.is_cold,
        index or state.newest_index,
    )
    if call.attempt in state.cancelled_attempts:
        return state, (
            build_refusal(state, job, CANCELLED_STATUS, "cancelled", now),
        )
    if state.draining:
        return state, (
            build_refusal(state, job, UNAVAILABLE_STATUS, "draining", now),
        )
    if index is None:
        return state, (build_refusal(state, job, 409, "wrong_version", now),)
    if isinstance(call, SearchCall) and call.shard not in index.shards:
        return state, (build_refusal(state, job, 404, "unknown_shard", now),)
    if len(state.running) < _slot_limit(state):
        return _start_job(state, job, now)
    if state.is_cold:
        return _apply_cold_overload(state, job, now)
    if len(state.waiting) < state.cfg.queue:
        return replace(state, waiting=(*state.waiting, job)), ()
    return state, (build_refusal(state, job, UNAVAILABLE_STATUS, "shed", now),)


def finish_job(
    state: SearcherState, key: int, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    """End a job whose timer fired, and start jobs that wait.

    :param now: monotonic time in seconds
    :returns: new state, and the actions to carry out
    """
    job = state.running.get(key)
    if job is None:
        return state, ()
    state = _remove_job(state, key)
    if job.is_over_limit:
        action = build_refusal(state, job, FAILED_STATUS, "failed", now)
    elif now >= job.deadline:
        action = build_refusal(
            state, job, DEADLINE_EXCEEDED_STATUS, "deadline_exceeded", now
        )
    else:
        state = replace(state, served_since_cold=state.served_since_cold + 1)
        result = build_result(state, job)
        action = Respond(key, result, build_record(state, job, 200, "", now))
    state, started = _start_waiting_jobs(state, now)
    return state, (action, *started)


def cancel_attempt(
    state: SearcherState, attempt: str, now: float
) -> tuple[SearcherState, Cancelled | Refused, tuple[Action, ...]]:
    """Cancel an attempt, also one that has not arrived yet.

    A submission that runs is not cancelled.

    :param now: monotonic time in seconds
    :returns: new state, result of the cancellation, and the actions to carry
        out
    """
    jobs = [
        job
        for job in (*state.running.values(), *state.waiting)
        if job.call.attempt == attempt
    ]
    for job in jobs:
        if job.started is not None and isinstance(job.call, SubmitCall):
            refusal = build_refusal(state, job, 409, "running", now)
            return state, refusal.result, ()
    cancelled_attempts = (*state.cancelled_attempts, attempt)[
        -MAX_CANCELLED_ATTEMPTS:
    ]
    state = replace(state, cancelled_attempts=cancelled_attempts)
    actions: list[Action] = []
    for job in jobs:
        state = _remove_job(state, job.key)
        actions.append(
            build_refusal(state, job, CANCELLED_STATUS, "cancelled", now)
        )
    state, started = _start_waiting_jobs(state, now)
    result = Cancelled(bool(jobs), state.incarnation, attempt)
    return state, result, (*actions, *started)


def apply_fault(
    state: SearcherState, fault: StateFault, incarnation: str, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    """Apply a fault that changes the state of the searcher.

    :param incarnation: new incarnation, used if the searcher restarts
    :param now: monotonic time in seconds
    :returns: new state, and the actions to carry out
    """
    match fault:
        case Restart():
            return _restart(state, incarnation, now)
        case SetIndex(index_version=index_version, map_version=map_version):
            shards = state.newest_index.all_shards
            if fault.shards is not None:
                shards = fault.shards
            index = build_index(
                state.cfg.name, index_version, map_version, shards
            )
            earlier_indexes = state.indexes if fault.keep_previous else ()
            return replace(state, indexes=(*earlier_indexes, index)), ()
        case SetDraining(draining=draining):
            return replace(state, draining=draining), ()
        case SetSlow(factor=factor):
            return replace(state, slow_factor=factor), ()
        case SetPartial(fraction=fraction):
            return replace(state, covered_fraction=fraction), ()
        case SetReport():
            return replace(state, report_overrides=fault), ()


def _select_index(state: SearcherState, call: Call) -> Index | None:
    if isinstance(call, SubmitCall):
        return state.newest_index
    version = (call.index_version, call.map_version)
    for index in reversed(state.indexes):
        if index.version == version:
            return index
    return None


def _slot_limit(state: SearcherState) -> int:
    cfg = state.cfg
    return cfg.cold_slots if state.is_cold else cfg.slots


def _start_job(
    state: SearcherState, job: Job, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    factor = state.cfg.cold_factor if state.is_cold else 1.0
    service_s = job.service_s * factor * state.slow_factor
    delay_s = max(min(service_s, job.deadline - now), 0.0)
    peak = len(state.running) + 1
    running = {
        key: replace(other, peak=max(other.peak, peak))
        for key, other in state.running.items()
    }
    running[job.key] = replace(job, started=now, peak=peak)
    return replace(state, running=running), (StartTimer(job.key, delay_s),)


def _start_waiting_jobs(
    state: SearcherState, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    actions: list[Action] = []
    while state.waiting and len(state.running) < _slot_limit(state):
        job, *rest = state.waiting
        state = replace(state, waiting=tuple(rest))
        if now >= job.deadline:
            actions.append(
                build_refusal(
                    state,
                    job,
                    DEADLINE_EXCEEDED_STATUS,
                    "deadline_exceeded",
                    now,
                )
            )
            continue
        state, started = _start_job(state, job, now)
        actions.extend(started)
    return state, tuple(actions)


def _apply_cold_overload(
    state: SearcherState, job: Job, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    # Overload restarts the warm-up, so that a caller which ignores the limit
    # of a cold searcher keeps it cold.
    state = replace(state, served_since_cold=0)
    match state.cfg.cold_overload:
        case ColdOverload.SHED:
            return state, (
                build_refusal(state, job, UNAVAILABLE_STATUS, "shed", now),
            )
        case ColdOverload.FAIL:
            return _start_job(state, replace(job, is_over_limit=True), now)


def _restart(
    state: SearcherState, incarnation: str, now: float
) -> tuple[SearcherState, tuple[Action, ...]]:
    resets = tuple(
        Respond(
            job.key,
            ConnectionReset(),
            build_record(state, job, 0, "restart", now),
        )
        for job in (*state.running.values(), *state.waiting)
    )
    restarted = replace(
        state,
        incarnation=incarnation,
        served_since_cold=0,
        running={},
        waiting=(),
    )
    return restarted, resets


def _remove_job(state: SearcherState, key: int) -> SearcherState:
    running = {k: job for k, job in state.running.items() if k != key}
    waiting = tuple(job for job in state.waiting if job.key != key)
    return replace(state, running=running, waiting=waiting)

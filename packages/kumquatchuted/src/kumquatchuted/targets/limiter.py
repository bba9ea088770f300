"""Slots of one searcher and the queue of attempts that wait for one."""

from bisect import insort
from dataclasses import dataclass
from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.targets.admission import deadline_failure
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.admission import refusal
from kumquatchuted.targets.messages import RunAttempt

MAX_QUEUED = 64


@dataclass(frozen=True)
class AttemptKey:
    """Identifies an attempt among those of all nodes."""

    origin: str
    attempt: str


@dataclass(frozen=True)
class Limiter:
    """Occupied slots and the queue of attempts that wait for one.

    :param in_flight: attempts and probes that may be running at the searcher
    :param queue: attempts without a slot, earliest expiry first
    """

    in_flight: frozenset[AttemptKey] = frozenset()
    queue: tuple[RunAttempt, ...] = ()


@dataclass(frozen=True)
class Send:
    """Action: send the attempt, which keeps its slot until ``release``."""

    run: RunAttempt


@dataclass(frozen=True)
class Refuse:
    """Action: answer the attempt with a failure without sending it."""

    run: RunAttempt
    failure: Failure


@dataclass(frozen=True)
class Abort:
    """Action: cancel an attempt that is in flight."""

    key: AttemptKey


Action = Send | Refuse | Abort
Step = tuple[Limiter, tuple[Action, ...]]


def key_of(run: RunAttempt) -> AttemptKey:
    """Return the key of an attempt."""
    return AttemptKey(run.origin, run.attempt.attempt)


def enqueue(
    limiter: Limiter,
    run: RunAttempt,
    eligibility: Eligibility,
    limit: int,
    now: float,
) -> Step:
    """Queue an attempt, or refuse it if it cannot finish in time.

    :param limit: attempts that may be in flight
    :param now: monotonic time in seconds
    """
    if _is_duplicate(limiter, run):
        # A second delivery is ignored: running it again would violate the
        # at-most-once guarantee, and the first delivery is answered anyway.
        return limiter, ()
    failure = refusal(eligibility, now) or deadline_failure(
        eligibility, run.expires_at, now
    )
    if failure is None and len(limiter.queue) >= MAX_QUEUED:
        failure = Failure(
            ErrorKind.OVERLOADED, "the searcher's queue is full", True
        )
    failure = failure or _queue_wait_failure(
        limiter, run, eligibility, limit, now
    )
    if failure is not None:
        return limiter, (Refuse(run, failure),)
    queue = list(limiter.queue)
    insort(queue, run, key=_expires_at)
    return replace(limiter, queue=tuple(queue)), ()


def dispatch(
    limiter: Limiter, eligibility: Eligibility, limit: int, now: float
) -> Step:
    """Refuse attempts that may no longer run and fill the free slots.

    :param limit: attempts that may be in flight
    :param now: monotonic time in seconds
    """
    failure = refusal(eligibility, now)
    if failure is not None:
        return refuse_all(limiter, failure)
    in_flight = set(limiter.in_flight)
    waiting: list[RunAttempt] = []
    actions: list[Action] = []
    for run in limiter.queue:
        if expiry_failure := deadline_failure(
            eligibility, run.expires_at, now
        ):
            actions.append(Refuse(run, expiry_failure))
        elif len(in_flight) < limit:
            in_flight.add(key_of(run))
            actions.append(Send(run))
        else:
            waiting.append(run)
    return Limiter(frozenset(in_flight), tuple(waiting)), tuple(actions)


def refuse_all(limiter: Limiter, failure: Failure) -> Step:
    """Refuse all queued attempts.

    :param failure: why, for each of them
    """
    actions = tuple(Refuse(run, failure) for run in limiter.queue)
    return replace(limiter, queue=()), actions


def cancel(limiter: Limiter, keys: frozenset[AttemptKey]) -> Step:
    """Refuse queued attempts and abort those in flight."""
    failure = Failure(ErrorKind.DEADLINE_EXCEEDED, "cancelled", True)
    dropped = [run for run in limiter.queue if key_of(run) in keys]
    kept = tuple(run for run in limiter.queue if key_of(run) not in keys)
    aborts = tuple(Abort(key) for key in keys & limiter.in_flight)
    refusals = tuple(Refuse(run, failure) for run in dropped)
    return replace(limiter, queue=kept), refusals + aborts


def occupy(limiter: Limiter, key: AttemptKey) -> Limiter:
    """Occupy a slot with a probe."""
    return replace(limiter, in_flight=limiter.in_flight | {key})


def release(limiter: Limiter, key: AttemptKey) -> Limiter:
    """Free the slot of an attempt that no longer runs at the searcher."""
    return replace(limiter, in_flight=limiter.in_flight - {key})


def next_expiry(limiter: Limiter, eligibility: Eligibility) -> float | None:
    """Return when the first queued attempt has to be refused.

    It can then no longer finish in time, or this node is no longer current.

    :returns: monotonic time in seconds, None if nothing is queued
    """
    if not limiter.queue:
        return None
    return min(
        limiter.queue[0].expires_at - eligibility.expected_s,
        eligibility.current_until,
    )


def _expires_at(run: RunAttempt) -> float:
    return run.expires_at


def _is_duplicate(limiter: Limiter, run: RunAttempt) -> bool:
    key = key_of(run)
    return key in limiter.in_flight or any(
        key_of(queued) == key for queued in limiter.queue
    )


def _queue_wait_failure(
    limiter: Limiter,
    run: RunAttempt,
    eligibility: Eligibility,
    limit: int,
    now: float,
) -> Failure | None:
    """Return a failure if the attempts ahead leave it too little time."""
    ahead = len(limiter.in_flight) + sum(
        queued.expires_at <= run.expires_at for queued in limiter.queue
    )
    starts_at = now + ahead // limit * eligibility.expected_s
    return deadline_failure(eligibility, run.expires_at, starts_at)

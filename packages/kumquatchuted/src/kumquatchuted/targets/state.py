"""Decisions of the task that owns one searcher."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.admission import refusal
from kumquatchuted.targets.child_messages import AttemptEnded
from kumquatchuted.targets.child_messages import CancelAccepted
from kumquatchuted.targets.child_messages import EligibilityChanged
from kumquatchuted.targets.child_messages import HealthReported
from kumquatchuted.targets.child_messages import ReportRead
from kumquatchuted.targets.child_messages import Retire
from kumquatchuted.targets.child_messages import SlotFreed
from kumquatchuted.targets.client import Aborted
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import Rejected
from kumquatchuted.targets.client import Report
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Unproven
from kumquatchuted.targets import estimate
from kumquatchuted.targets.estimate import LatencyEstimate
from kumquatchuted.targets import limiter
from kumquatchuted.targets.limiter import AttemptKey
from kumquatchuted.targets.limiter import Limiter
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import CancelAttempts
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import TargetStatus
from kumquatchuted.targets import warmup
from kumquatchuted.targets.warmup import WarmupState

# Time without new attempts after the searcher reported that it is draining.
# It bridges the delay until the platform lists the searcher as leaving.
DRAINING_PAUSE_S = 5.0


@dataclass(frozen=True)
class TargetState:
    """State of one searcher at its owner.

    :param estimate: estimate of the current latency of its attempts
    :param retiring: the task ends once nothing is in flight
    """

    searcher: Searcher
    eligibility: Eligibility
    warmup: WarmupState = WarmupState()
    limiter: Limiter = Limiter()
    estimate: LatencyEstimate = LatencyEstimate()
    retiring: bool = False

    @property
    def limit(self) -> int:
        """Return how many attempts may be in flight."""
        return warmup.limit(self.warmup, self.searcher)

    def eligibility_at(self, now: float) -> Eligibility:
        """Return the eligibility with the current latency estimate.

        :param now: monotonic time in seconds
        """
        expected_s = estimate.expected_s(
            self.estimate, self.eligibility.expected_s, now
        )
        if expected_s == self.eligibility.expected_s:
            return self.eligibility
        return replace(self.eligibility, expected_s=expected_s)

    @property
    def is_finished(self) -> bool:
        """Return True once the task may end."""
        return self.retiring and not self.limiter.in_flight


Event = (
    RunAttempt
    | CancelAttempts
    | AttemptEnded
    | CancelAccepted
    | SlotFreed
    | ReportRead
    | EligibilityChanged
    | Retire
)
Action = limiter.Send | limiter.Abort | AttemptDone | HealthReported
Step = tuple[TargetState, tuple[Action, ...]]


def step(state: TargetState, event: Event, now: float) -> Step:
    """Return the state after an event, and the actions to perform.

    :param now: monotonic time in seconds
    """
    match event:
        case RunAttempt():
            return _with_limiter(
                state,
                limiter.enqueue(
                    state.limiter,
                    event,
                    state.eligibility_at(now),
                    state.limit,
                    now,
                ),
            )
        case CancelAttempts(origin=origin, attempts=attempts):
            keys = frozenset(AttemptKey(origin, name) for name in attempts)
            return _with_limiter(state, limiter.cancel(state.limiter, keys))
        case AttemptEnded():
            return _on_attempt_ended(state, event, now)
        case CancelAccepted(incarnation=incarnation):
            return _observe(state, warmup.IncarnationSeen(incarnation)), ()
        case SlotFreed(key=key):
            updated_limiter = limiter.release(state.limiter, key)
            return replace(state, limiter=updated_limiter), ()
        case ReportRead():
            return _on_report_read(state, event)
        case EligibilityChanged(eligibility=eligibility):
            return _with_eligibility(state, eligibility), ()
        case Retire():
            without_ownership = replace(state.eligibility, is_owner=False)
            return replace(
                state, eligibility=without_ownership, retiring=True
            ), ()


def dispatch(state: TargetState, is_connected: bool, now: float) -> Step:
    """Refuse attempts that may no longer run and fill the free slots.

    :param is_connected: a connection to the searcher is open
    :param now: monotonic time in seconds
    """
    if not state.limiter.queue:
        return state, ()
    if not is_connected:
        state = _observe(state, warmup.Reconnecting())
    return _with_limiter(
        state,
        limiter.dispatch(
            state.limiter, state.eligibility_at(now), state.limit, now
        ),
    )


def may_probe(state: TargetState, now: float) -> bool:
    """Return True if a probe may be sent now.

    :param now: monotonic time in seconds
    """
    return (
        len(state.limiter.in_flight) < state.limit
        and refusal(state.eligibility, now) is None
    )


def with_occupied_slot(state: TargetState, key: AttemptKey) -> TargetState:
    """Return the state with a slot occupied by a probe."""
    return replace(state, limiter=limiter.occupy(state.limiter, key))


def status(state: TargetState) -> TargetStatus:
    """Return the status of the searcher for operators."""
    return TargetStatus(
        state.searcher.name,
        state.searcher.service,
        warmup.is_warm(state.warmup, state.searcher),
        state.limit,
        len(state.limiter.in_flight),
        len(state.limiter.queue),
    )


def failed_attempt(run: RunAttempt, failure: Failure) -> AttemptDone:
    """Return the outcome of an attempt that failed."""
    outcome = AttemptFailed(
        run.attempt.attempt, failure.kind, failure.reason, failure.not_run
    )
    return AttemptDone(run.origin, outcome)


def _with_limiter(state: TargetState, step: limiter.Step) -> Step:
    updated_limiter, actions = step
    return replace(state, limiter=updated_limiter), tuple(
        map(_to_action, actions)
    )


def _to_action(action: limiter.Action) -> Action:
    match action:
        case limiter.Refuse(run=run, failure=failure):
            return failed_attempt(run, failure)
        case _:
            return action


def _observe(state: TargetState, event: warmup.Event | None) -> TargetState:
    if event is None:
        return state
    updated_warmup = warmup.observe(state.warmup, event, state.searcher)
    return replace(state, warmup=updated_warmup)


def _on_attempt_ended(
    state: TargetState, event: AttemptEnded, now: float
) -> Step:
    state = _observe(state, _observation(event))
    if not event.may_still_run:
        # The slot is freed in the same step. A separate message would keep it
        # occupied for another turn of the event loop, which takes several
        # milliseconds under load.
        updated_limiter = limiter.release(
            state.limiter, limiter.key_of(event.run)
        )
        state = replace(state, limiter=updated_limiter)
    match event.result.exchange:
        case Completed():
            updated_estimate = estimate.observe(
                state.estimate, event.elapsed_s, now
            )
            state = replace(state, estimate=updated_estimate)
        case TimedOut():
            updated_estimate = estimate.observe_timeout(
                state.estimate, event.elapsed_s, now
            )
            state = replace(state, estimate=updated_estimate)
        case Rejected(draining=True):
            eligibility = replace(
                state.eligibility, draining_until=now + DRAINING_PAUSE_S
            )
            state = replace(state, eligibility=eligibility)
    return state, (AttemptDone(event.run.origin, event.result.outcome),)


def _observation(event: AttemptEnded) -> warmup.Event | None:
    generation, elapsed_s = event.generation, event.elapsed_s
    match event.result.exchange:
        case Completed(incarnation=incarnation, cold=cold):
            return warmup.AttemptCompleted(
                generation, elapsed_s, incarnation, cold
            )
        case Rejected(incarnation=incarnation, cold=cold):
            return warmup.AttemptRejected(generation, incarnation, cold)
        case NotConnected() | Disconnected():
            return warmup.ConnectionLost()
        case TimedOut():
            return warmup.AttemptTimedOut(generation, elapsed_s)
        case Unproven():
            return warmup.AttemptUnproven(generation)
        case Aborted():
            return warmup.AttemptAborted(generation, elapsed_s)
        case NotSent():
            return None


def _on_report_read(state: TargetState, event: ReportRead) -> Step:
    match event.report:
        case Report(healthy=healthy, cold=cold, incarnation=incarnation):
            observation = warmup.LoadReported(
                event.generation, incarnation, cold
            )
            health_report = HealthReported(state.searcher.name, healthy)
            return _observe(state, observation), (health_report,)
        case NotConnected():
            return _observe(state, warmup.ConnectionLost()), ()
        case None:
            return state, ()


def _with_eligibility(
    state: TargetState, eligibility: Eligibility
) -> TargetState:
    if state.retiring:
        return state
    if eligibility.is_unhealthy and not state.eligibility.is_unhealthy:
        state = _observe(state, warmup.AppearsUnhealthy())
    # Only this task knows whether the searcher reported that it is draining.
    merged = replace(
        eligibility, draining_until=state.eligibility.draining_until
    )
    return replace(
        state,
        searcher=eligibility.searcher or state.searcher,
        eligibility=merged,
    )

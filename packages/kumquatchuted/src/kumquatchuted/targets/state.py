"""Decisions of the task that owns one searcher."""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.admission import refusal
from kumquatchuted.targets.child_messages import CancelAccepted
from kumquatchuted.targets.child_messages import GateChanged
from kumquatchuted.targets.child_messages import HealthSeen
from kumquatchuted.targets.child_messages import Replied
from kumquatchuted.targets.child_messages import ReportRead
from kumquatchuted.targets.child_messages import Retire
from kumquatchuted.targets.child_messages import SlotFreed
from kumquatchuted.targets.client import Completed
from kumquatchuted.targets.client import Disconnected
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import NotSent
from kumquatchuted.targets.client import Rejected
from kumquatchuted.targets.client import Report
from kumquatchuted.targets.client import TimedOut
from kumquatchuted.targets.client import Withdrawn
from kumquatchuted.targets import estimate
from kumquatchuted.targets.estimate import Estimate
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

# For so long nothing is sent after the searcher said that it is draining,
# because the platform's list lags behind.
DRAINING_HOLD_S = 5.0


@dataclass(frozen=True)
class TargetState:
    """State of one searcher at its owner.

    :param retiring: the task ends once nothing is in flight
    """

    searcher: Searcher
    gate: Eligibility
    warmup: WarmupState = WarmupState()
    limiter: Limiter = Limiter()
    estimate: Estimate = Estimate()
    retiring: bool = False

    @property
    def limit(self) -> int:
        """Return how many attempts may be in flight."""
        return warmup.limit(self.warmup, self.searcher)

    def gate_at(self, now: float) -> Eligibility:
        """Return the gate with the time that an attempt takes at present."""
        usual_s = estimate.usual_s(self.estimate, self.gate.expected_s, now)
        if usual_s == self.gate.expected_s:
            return self.gate
        return replace(self.gate, expected_s=usual_s)

    @property
    def is_over(self) -> bool:
        """Return True once the task may end."""
        return self.retiring and not self.limiter.in_flight


Event = (
    RunAttempt
    | CancelAttempts
    | Replied
    | CancelAccepted
    | SlotFreed
    | ReportRead
    | GateChanged
    | Retire
)
Action = limiter.Send | limiter.Abort | AttemptDone | HealthSeen
Step = tuple[TargetState, tuple[Action, ...]]


def step(state: TargetState, event: Event, now: float) -> Step:
    """Return the state after an event, and what to do.

    :param now: monotonic time in seconds
    """
    match event:
        case RunAttempt():
            return _limited(
                state,
                limiter.enqueue(
                    state.limiter, event, state.gate_at(now), state.limit, now
                ),
            )
        case CancelAttempts(origin=origin, attempts=attempts):
            keys = frozenset(AttemptKey(origin, name) for name in attempts)
            return _limited(state, limiter.cancel(state.limiter, keys))
        case Replied():
            return _replied(state, event, now)
        case CancelAccepted(incarnation=incarnation):
            return _observe(state, warmup.Identified(incarnation)), ()
        case SlotFreed(key=key):
            freed = limiter.release(state.limiter, key)
            return replace(state, limiter=freed), ()
        case ReportRead():
            return _report_read(state, event)
        case GateChanged(gate=gate):
            return _with_gate(state, gate), ()
        case Retire():
            closed = replace(state.gate, is_owner=False)
            return replace(state, gate=closed, retiring=True), ()


def dispatch(state: TargetState, is_connected: bool, now: float) -> Step:
    """Refuse what may no longer run and fill the free slots.

    :param is_connected: a connection to the searcher is open
    :param now: monotonic time in seconds
    """
    if not state.limiter.queue:
        return state, ()
    if not is_connected:
        state = _observe(state, warmup.Reconnecting())
    return _limited(
        state,
        limiter.dispatch(state.limiter, state.gate_at(now), state.limit, now),
    )


def may_probe(state: TargetState, now: float) -> bool:
    """Return True if a probe may take a slot."""
    return (
        len(state.limiter.in_flight) < state.limit
        and refusal(state.gate, now) is None
    )


def occupied(state: TargetState, key: AttemptKey) -> TargetState:
    """Return the state in which a probe holds a slot."""
    return replace(state, limiter=limiter.occupy(state.limiter, key))


def status(state: TargetState) -> TargetStatus:
    """Return what operators see of the searcher."""
    return TargetStatus(
        state.searcher.name,
        state.searcher.service,
        warmup.is_warm(state.warmup, state.searcher),
        state.limit,
        len(state.limiter.in_flight),
        len(state.limiter.queue),
    )


def refused(run: RunAttempt, failure: Failure) -> AttemptDone:
    """Return the outcome of an attempt that failed."""
    outcome = AttemptFailed(
        run.attempt.attempt, failure.kind, failure.reason, failure.not_run
    )
    return AttemptDone(run.origin, outcome)


def _limited(state: TargetState, step: limiter.Step) -> Step:
    limited, actions = step
    return replace(state, limiter=limited), tuple(map(_action, actions))


def _action(action: limiter.Action) -> Action:
    match action:
        case limiter.Refuse(run=run, failure=failure):
            return refused(run, failure)
        case _:
            return action


def _observe(state: TargetState, event: warmup.Event | None) -> TargetState:
    if event is None:
        return state
    observed = warmup.observe(state.warmup, event, state.searcher)
    return replace(state, warmup=observed)


def _replied(state: TargetState, event: Replied, now: float) -> Step:
    state = _observe(state, _observation(event))
    if not event.may_run:
        # In the same step as the answer: a message of its own kept the slot
        # for another turn of the event loop, several milliseconds under load.
        freed = limiter.release(state.limiter, limiter.key_of(event.run))
        state = replace(state, limiter=freed)
    match event.reply.exchange:
        case Completed():
            known = estimate.observe(state.estimate, event.took_s, now)
            state = replace(state, estimate=known)
        case TimedOut():
            known = estimate.observe_timeout(state.estimate, event.took_s, now)
            state = replace(state, estimate=known)
        case Rejected(draining=True):
            gate = replace(state.gate, drained_until=now + DRAINING_HOLD_S)
            state = replace(state, gate=gate)
    return state, (AttemptDone(event.run.origin, event.reply.outcome),)


def _observation(event: Replied) -> warmup.Event | None:
    era, took_s = event.era, event.took_s
    match event.reply.exchange:
        case Completed(incarnation=incarnation, cold=cold):
            return warmup.Served(era, took_s, incarnation, cold)
        case Rejected(incarnation=incarnation, cold=cold):
            return warmup.Declined(era, incarnation, cold)
        case NotConnected() | Disconnected():
            return warmup.ConnectionLost()
        case TimedOut():
            return warmup.Unanswered(era, took_s)
        case Withdrawn():
            return warmup.Abandoned(era, took_s)
        case NotSent():
            return None


def _report_read(state: TargetState, event: ReportRead) -> Step:
    match event.report:
        case Report(healthy=healthy, cold=cold, incarnation=incarnation):
            seen = warmup.Reported(event.era, incarnation, cold)
            health = HealthSeen(state.searcher.name, healthy)
            return _observe(state, seen), (health,)
        case NotConnected():
            return _observe(state, warmup.ConnectionLost()), ()
        case None:
            return state, ()


def _with_gate(state: TargetState, gate: Eligibility) -> TargetState:
    if state.retiring:
        return state
    if gate.is_unhealthy and not state.gate.is_unhealthy:
        state = _observe(state, warmup.AppearsUnhealthy())
    kept = replace(gate, drained_until=state.gate.drained_until)
    return replace(state, searcher=gate.searcher or state.searcher, gate=kept)

"""Decisions about readiness and the phases of a graceful shutdown."""

import dataclasses
from dataclasses import dataclass

from kumquatchute_model.settings import DrainSettings
from kumquatchute_model.settings import MAX_DEADLINE_MS
from kumquatchute_model.settings import NodeSettings
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.drain.messages import Close
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import RunStep
from kumquatchuted.drain.messages import Step
from kumquatchuted.drain.messages import StepDone
from kumquatchuted.drain.messages import StopRequested
from kumquatchuted.drain.messages import TimerFired
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

NEVER_CURRENT = float("-inf")

# Every request ends at its deadline; 0.5 s more are for sending its answer.
REQUESTS_LIMIT_S = MAX_DEADLINE_MS / 1000 + 0.5
# A starting node waits for its links and its membership, so that its first
# callers do not get partial answers. A dead member, whose link never comes up,
# delays the start by this time at most.
START_LIMIT_S = 5.0
# Without this limit, an unavailable store would use up the time in which the
# attempts in flight finish.
LEAVE_LIMIT_S = 2.0
# Fractions of the time limit that are reserved at its end: for all steps after
# the requests, and as a part of that for the release of the lease.
LATER_STEPS_FRACTION = 0.25
RELEASE_FRACTION = 0.1


@dataclass(frozen=True)
class Serving:
    """The node serves requests; no stop was requested."""


@dataclass(frozen=True)
class AwaitingBalancer:
    """Not ready; requests are served while the load balancer reacts.

    :param until: monotonic time in seconds at which the phase ends at the
        latest, as in all phases
    """

    until: float


@dataclass(frozen=True)
class EndingRequests:
    """New requests are refused; running requests finish.

    :param running: steps that have not ended
    """

    until: float
    running: frozenset[Step] = frozenset({Step.SEARCHES, Step.SUBMISSIONS})


@dataclass(frozen=True)
class LeavingMembership:
    """The node leaves the membership, so that others become the owners."""

    until: float


@dataclass(frozen=True)
class EndingTargets:
    """Targets get no new attempts; those in flight finish."""

    until: float


@dataclass(frozen=True)
class ReleasingLease:
    """The node releases its lease, so that the new owners start at once."""

    until: float


@dataclass(frozen=True)
class Closed:
    """The process ends."""


Phase = (
    Serving
    | AwaitingBalancer
    | EndingRequests
    | LeavingMembership
    | EndingTargets
    | ReleasingLease
    | Closed
)
StartEvent = CatalogChanged | PlacementChanged | LinkUp | LinkDown
Event = (
    StopRequested
    | CurrentUntil
    | ViewChanged
    | StepDone
    | TimerFired
    | StartEvent
)
Action = ReadyChanged | RunStep | Close


@dataclass(frozen=True)
class Starting:
    """What is known of the conditions for the first readiness.

    :param is_member: this node is in the newest membership
    :param peers: the other members
    :param links: nodes to which a link is up
    :param until: monotonic time in seconds after which the node waits only
        for a shard map, None before the node is current
    """

    has_shard_maps: bool = False
    is_member: bool = False
    peers: frozenset[str] = frozenset()
    links: frozenset[str] = frozenset()
    until: float | None = None


@dataclass(frozen=True)
class DrainState:
    """State of the drain task.

    :param current_until: monotonic time in seconds until which the node is
        current
    :param out_of_service: why the node is out of service: its host or its data
        centre; empty if it is in service
    :param ready: readiness announced last, None before the first
    :param limit_at: monotonic time in seconds at which the process ends at
        the latest
    :param skipped: steps that failed or took too long
    :param starting: None once the node was ready for the first time
    """

    settings: DrainSettings
    node: NodeSettings
    phase: Phase = Serving()
    current_until: float = NEVER_CURRENT
    out_of_service: str = ""
    ready: ReadyChanged | None = None
    limit_at: float = float("inf")
    skipped: tuple[Step, ...] = ()
    starting: Starting | None = Starting()


Decision = tuple[DrainState, tuple[Action, ...]]


def decide(state: DrainState, event: Event, now: float) -> Decision:
    """Return the state after an event and the actions to perform.

    :param now: monotonic time in seconds
    """
    actions: tuple[Action, ...] = ()
    match event:
        case StopRequested():
            state, actions = _on_stop_requested(state, now)
        case StepDone():
            state, actions = _on_step_done(state, event, now)
        case CurrentUntil(until=until):
            state = dataclasses.replace(state, current_until=until)
        case ViewChanged(view=view):
            out_of_service = _out_of_service(state.node, view)
            state = dataclasses.replace(state, out_of_service=out_of_service)
        case CatalogChanged() | PlacementChanged() | LinkUp() | LinkDown() if (
            state.starting is not None
        ):
            starting = _update_starting(state.starting, state.node, event)
            state = dataclasses.replace(state, starting=starting)
    state = _finish_starting(state, now)
    state, overdue_actions = _end_overdue_phase(state, now)
    state, announcements = _announce_readiness(state, now)
    return state, (*announcements, *actions, *overdue_actions)


def next_wake(state: DrainState, now: float) -> float | None:
    """Return when ``TimerFired`` is due, None if no time limit is pending.

    :param now: monotonic time in seconds
    """
    match state.phase:
        case Serving():
            wake_times = [state.current_until]
            if state.starting is not None and state.starting.until:
                wake_times.append(state.starting.until)
            return min((at for at in wake_times if at > now), default=None)
        case Closed():
            return None
        case phase:
            return min(phase.until, state.limit_at)


def _update_starting(
    starting: Starting, node: NodeSettings, event: StartEvent
) -> Starting:
    match event:
        case CatalogChanged(catalog=catalog):
            return dataclasses.replace(
                starting, has_shard_maps=bool(catalog.maps)
            )
        case PlacementChanged(placement=placement):
            names = {member.node for member in placement.membership.members}
            return dataclasses.replace(
                starting,
                is_member=node.name in names,
                peers=frozenset(names - {node.name}),
            )
        case LinkUp(node=peer):
            links = starting.links | {peer}
        case LinkDown(node=peer):
            links = starting.links - {peer}
    return dataclasses.replace(starting, links=links)


def _finish_starting(state: DrainState, now: float) -> DrainState:
    starting = state.starting
    if starting is None or now >= state.current_until:
        return state
    if starting.until is None:
        starting = dataclasses.replace(starting, until=now + START_LIMIT_S)
    connected = starting.is_member and starting.peers <= starting.links
    is_wait_over = connected or now >= starting.until
    if starting.has_shard_maps and is_wait_over:
        starting = None
    return dataclasses.replace(state, starting=starting)


def _on_stop_requested(state: DrainState, now: float) -> Decision:
    match state.phase:
        case Serving():
            limit_at = now + state.settings.limit_s
            state = dataclasses.replace(state, limit_at=limit_at)
            until = min(now + state.settings.notice_s, _requests_until(state))
            return _enter(state, AwaitingBalancer(until))
        case AwaitingBalancer():
            return _end_requests(state, now)
        case _:
            return state, ()


def _on_step_done(
    state: DrainState, step_done: StepDone, now: float
) -> Decision:
    if step_done.failure is not None:
        state = _mark_skipped(state, step_done.step)
    match state.phase, step_done.step:
        case EndingRequests(until=until, running=running), step if (
            step in running
        ):
            remaining = running - {step}
            if not remaining:
                return _leave_membership(state, now)
            return _enter(state, EndingRequests(until, remaining))
        case LeavingMembership(), Step.MEMBERSHIP:
            return _end_targets(state)
        case EndingTargets(), Step.TARGETS:
            # The release tells the new owners that this node has nothing in
            # flight any more, so it must not happen before this step is done.
            if step_done.failure is not None:
                return _close(state, "attempts may still be in flight")
            return _enter(
                state, ReleasingLease(state.limit_at), RunStep(Step.LEASE)
            )
        case ReleasingLease(), Step.LEASE:
            return _close(state, "")
        case _:
            # The step ended after its phase.
            return state, ()


def _end_overdue_phase(state: DrainState, now: float) -> Decision:
    match state.phase:
        case Serving() | Closed():
            return state, ()
        case _ if now >= state.limit_at:
            return _close(state, "the time limit was reached")
        case phase if now < phase.until:
            return state, ()
        case AwaitingBalancer():
            return _end_requests(state, now)
        case EndingRequests(running=running):
            return _leave_membership(_mark_skipped(state, *running), now)
        case LeavingMembership():
            return _end_targets(_mark_skipped(state, Step.MEMBERSHIP))
        case EndingTargets():
            state = _mark_skipped(state, Step.TARGETS)
            return _close(state, "attempts may still be in flight")
        case ReleasingLease():
            return _close(_mark_skipped(state, Step.LEASE), "")


def _end_requests(state: DrainState, now: float) -> Decision:
    until = min(now + REQUESTS_LIMIT_S, _requests_until(state))
    return _enter(
        state,
        EndingRequests(until),
        RunStep(Step.SEARCHES),
        RunStep(Step.SUBMISSIONS),
    )


def _leave_membership(state: DrainState, now: float) -> Decision:
    until = min(now + LEAVE_LIMIT_S, _targets_until(state))
    return _enter(state, LeavingMembership(until), RunStep(Step.MEMBERSHIP))


def _end_targets(state: DrainState) -> Decision:
    return _enter(
        state, EndingTargets(_targets_until(state)), RunStep(Step.TARGETS)
    )


def _close(state: DrainState, reason: str) -> Decision:
    skipped = ", ".join(step.value for step in state.skipped)
    if skipped:
        reason = f"{reason}; " * bool(reason) + f"not done: {skipped}"
    return _enter(state, Closed(), Close(not reason, reason))


def _enter(state: DrainState, phase: Phase, *actions: Action) -> Decision:
    return dataclasses.replace(state, phase=phase), actions


def _mark_skipped(state: DrainState, *steps: Step) -> DrainState:
    skipped = tuple(step for step in Step if step in steps)
    kept = tuple(step for step in state.skipped if step not in steps)
    return dataclasses.replace(state, skipped=kept + skipped)


def _requests_until(state: DrainState) -> float:
    return state.limit_at - LATER_STEPS_FRACTION * state.settings.limit_s


def _targets_until(state: DrainState) -> float:
    return state.limit_at - RELEASE_FRACTION * state.settings.limit_s


def _out_of_service(node: NodeSettings, view: View) -> str:
    if node.dc in view.dcs_out:
        return f"data centre {node.dc} is out of service"
    if node.host in view.hosts_out:
        return f"host {node.host} is out of service"
    return ""


def _announce_readiness(state: DrainState, now: float) -> Decision:
    ready = _readiness(state, now)
    if ready == state.ready:
        return state, ()
    return dataclasses.replace(state, ready=ready), (ready,)


def _readiness(state: DrainState, now: float) -> ReadyChanged:
    if state.phase != Serving():
        return ReadyChanged(False, "stopping", stopping=True)
    if state.out_of_service:
        return ReadyChanged(False, state.out_of_service)
    if now >= state.current_until:
        return ReadyChanged(False, "not current")
    if state.starting is not None:
        if not state.starting.has_shard_maps:
            return ReadyChanged(False, "no shard map is known")
        return ReadyChanged(False, "starting")
    return ReadyChanged(True)

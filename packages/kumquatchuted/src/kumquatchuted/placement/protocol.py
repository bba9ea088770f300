"""The placement protocol of one node: events and time in, actions out."""

from dataclasses import replace
from random import Random
from typing import Any

from kumquatchuted.placement.epochs import on_epoch_released
from kumquatchuted.placement.guards import with_reports
from kumquatchuted.placement.joining import on_membership_read
from kumquatchuted.placement.joining import on_membership_written
from kumquatchuted.placement.lease import NEVER
from kumquatchuted.placement.lease import on_tickets_read
from kumquatchuted.placement.lease import renewal
from kumquatchuted.placement.lease import RENEWAL_INTERVAL_S
from kumquatchuted.placement.leasing import on_deleted
from kumquatchuted.placement.leasing import on_lease_written
from kumquatchuted.placement.leasing import on_leases_read
from kumquatchuted.placement.leasing import on_revoked
from kumquatchuted.placement.messages import Announce
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import LeaseDeleted
from kumquatchuted.placement.messages import LeasesRead
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import LogDecision
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import PeerSaid
from kumquatchuted.placement.messages import PeerUp
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.messages import ReadFailed
from kumquatchuted.placement.messages import ReadLeases
from kumquatchuted.placement.messages import ReadMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.messages import TicketStatus
from kumquatchuted.placement.peering import ask_peers
from kumquatchuted.placement.peering import on_peer
from kumquatchuted.placement.shutdown import answer_leave
from kumquatchuted.placement.shutdown import leave_failed
from kumquatchuted.placement.shutdown import on_release
from kumquatchuted.placement.shutdown import read_back_release
from kumquatchuted.placement.shutdown import release_failed
from kumquatchuted.placement.state import current_until
from kumquatchuted.placement.state import placement
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Shown
from kumquatchuted.placement.state import Step
from kumquatchuted.tickets.messages import TicketsUpToDate

JOIN_INTERVAL_S = 0.5
UNREADABLE = "the store cannot be read"


def step(state: PlacementState, event: Any, now: float, rng: Random) -> Step:
    """Take an event.

    :param now: monotonic time in seconds
    :returns: the new state and the actions, in order
    """
    state, actions = _take(state, event, now, rng)
    guards = with_reports(state.guards, state.evidence)
    state = replace(state, guards=guards)
    state, answers = answer_leave(state)
    state, shown = _show(state, now)
    return state, actions + answers + shown


def tick_due(state: PlacementState) -> float:
    """Return from when on a ``Tick`` can have an effect.

    While older epochs are guarded, any tick can open a guard.

    :returns: monotonic time in seconds
    """
    if state.guards:
        return NEVER
    due = min(state.store_due, state.confirm_due)
    return min(due, state.shown.until) if state.shown.current else due


def _take(state: PlacementState, event: Any, now: float, rng: Random) -> Step:
    match event:
        case Tick():
            return _on_tick(state, now)
        case PeerSaid(node, message):
            return on_peer(state, node, message, now)
        case PeerUp():
            return replace(state, confirm_due=now), ()
        case MembershipRead():
            return on_membership_read(state, event, now)
        case MembershipWritten():
            return on_membership_written(state, event, now, rng)
        case LeasesRead(leases):
            return on_leases_read(state, leases, now)
        case LeaseWritten(lease) if lease.node != state.local.node:
            return on_revoked(state, event, now)
        case LeaseWritten():
            return on_lease_written(state, event, now)
        case LeaseDeleted():
            return on_deleted(state)
        case ReadFailed(read):
            return _on_read_failed(state, read, now)
        case TicketsUpToDate(at):
            return replace(state, lease=on_tickets_read(state.lease, at)), ()
        case TicketStatus():
            return replace(state, tickets=event), ()
        case EpochReleased(epoch):
            return on_epoch_released(state, epoch, now)
        case LeaveMembership():
            return (
                replace(state, leaving=True, leave_asked=True, store_due=now),
                (),
            )
        case ReleaseLease():
            return on_release(state)
        case _:
            raise TypeError(f"placement takes no {type(event).__name__}")


def _on_tick(state: PlacementState, now: float) -> Step:
    actions: tuple[Any, ...] = ()
    if now >= state.store_due and not state.stopped:
        state, actions = _use_store(state, now)
    if now >= state.confirm_due and not state.stopped:
        state, requests = ask_peers(state, now)
        actions += requests
    state, read = read_back_release(state, now)
    return state, actions + read


def _use_store(state: PlacementState, now: float) -> Step:
    held = state.lease.version is not None
    interval = RENEWAL_INTERVAL_S if held else JOIN_INTERVAL_S
    state = replace(state, store_due=now + interval)
    actions: tuple[Any, ...] = ()
    if held and not state.lease.writing:
        lease, write = renewal(state.lease, state.acked)
        state = replace(state, lease=lease)
        actions += (write,)
    flags = state.in_flight
    if not flags.leases_read:
        actions += (ReadLeases(),)
    if not flags.membership_read:
        actions += (ReadMembership(),)
    flags = replace(flags, leases_read=True, membership_read=True)
    return replace(state, in_flight=flags), actions


def _on_read_failed(state: PlacementState, read: Any, now: float) -> Step:
    failed: tuple[Any, ...] = ()
    match read:
        case ReadMembership():
            flags = replace(state.in_flight, membership_read=False)
        case _:
            flags = replace(state.in_flight, leases_read=False)
            if not state.lease.writing:
                state, failed = release_failed(state, UNREADABLE)
    # No faster than renewals, so that a store that recovers is not flooded.
    due = max(state.store_due, now + RENEWAL_INTERVAL_S)
    state = replace(state, in_flight=flags, store_due=due)
    state, failed_leave = leave_failed(state, UNREADABLE)
    return state, failed + failed_leave


def _show(state: PlacementState, now: float) -> Step:
    """Tell subscribers what changed.

    A shorter authority goes out before the new placement and a longer one
    after it, so that no subscriber joins an old time limit to new ownership.
    """
    new = placement(state, now)
    until = current_until(state, now)
    old = state.shown
    shown = Shown(new, until, until > now)
    actions = []
    if new != old.placement:
        actions.append(Announce(PlacementChanged(new)))
    if until != old.until:
        position = 0 if until < old.until else len(actions)
        actions.insert(position, Announce(CurrentUntil(until)))
    if shown.current != old.current:
        text = "current" if shown.current else "not current any more"
        actions.append(LogDecision(text))
    return replace(state, shown=shown), tuple(actions)

"""The placement protocol of one node: events and time in, actions out."""

from dataclasses import replace
from random import Random
from typing import Any

from kumquatchuted.placement.epochs import on_epoch_released
from kumquatchuted.placement.guards import update_reports
from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.lease import record_tickets_read
from kumquatchuted.placement.lease import renew_lease
from kumquatchuted.placement.lease import RENEWAL_INTERVAL_S
from kumquatchuted.placement.lease_events import on_lease_deleted
from kumquatchuted.placement.lease_events import on_lease_written
from kumquatchuted.placement.lease_events import on_leases_read
from kumquatchuted.placement.lease_events import on_revocation_written
from kumquatchuted.placement.membership_events import on_membership_read
from kumquatchuted.placement.membership_events import on_membership_written
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import LeaseDeleted
from kumquatchuted.placement.messages import LeasesRead
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import PeerMessage
from kumquatchuted.placement.messages import PeerUp
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.messages import Publish
from kumquatchuted.placement.messages import ReadFailed
from kumquatchuted.placement.messages import ReadLeases
from kumquatchuted.placement.messages import ReadMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import Tick
from kumquatchuted.placement.messages import TicketStatus
from kumquatchuted.placement.peer_events import on_peer_message
from kumquatchuted.placement.peer_events import request_confirmations
from kumquatchuted.placement.shutdown import answer_leave
from kumquatchuted.placement.shutdown import leave_failed
from kumquatchuted.placement.shutdown import on_release_requested
from kumquatchuted.placement.shutdown import read_back_release
from kumquatchuted.placement.shutdown import release_failed
from kumquatchuted.placement.state import current_placement
from kumquatchuted.placement.state import current_until
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Published
from kumquatchuted.placement.state import Step
from kumquatchuted.tickets.messages import TicketsUpToDate

# Interval between uses of the store while this node has no lease to renew.
JOIN_INTERVAL_S = 0.5
STORE_UNREADABLE = "the store cannot be read"


def step(state: PlacementState, event: Any, now: float, rng: Random) -> Step:
    """Handle an event.

    :param now: monotonic time in seconds
    :returns: the new state and the actions, in order
    """
    state, actions = _handle_event(state, event, now, rng)
    guards = update_reports(state.guards, state.evidence)
    state = replace(state, guards=guards)
    state, leave_actions = answer_leave(state)
    state, publish_actions = _publish_changes(state, now)
    return state, actions + leave_actions + publish_actions


def tick_due(state: PlacementState) -> float:
    """Return the time from which a ``Tick`` can have an effect.

    While older epochs are guarded, every tick can: it may end a guard.

    :returns: monotonic time in seconds
    """
    if state.guards:
        return INFINITE_PAST
    due = min(state.store_due, state.confirm_due)
    return min(due, state.published.until) if state.published.current else due


def _handle_event(
    state: PlacementState, event: Any, now: float, rng: Random
) -> Step:
    match event:
        case Tick():
            return _on_tick(state, now)
        case PeerMessage(node, message):
            return on_peer_message(state, node, message, now)
        case PeerUp():
            return replace(state, confirm_due=now), ()
        case MembershipRead():
            return on_membership_read(state, event, now)
        case MembershipWritten():
            return on_membership_written(state, event, now, rng)
        case LeasesRead(leases):
            return on_leases_read(state, leases, now)
        case LeaseWritten(lease) if lease.node != state.local.node:
            return on_revocation_written(state, event, now)
        case LeaseWritten():
            return on_lease_written(state, event, now)
        case LeaseDeleted():
            return on_lease_deleted(state)
        case ReadFailed(read):
            return _on_read_failed(state, read, now)
        case TicketsUpToDate(at):
            return replace(
                state, lease=record_tickets_read(state.lease, at)
            ), ()
        case TicketStatus():
            return replace(state, tickets=event), ()
        case EpochReleased(epoch):
            return on_epoch_released(state, epoch, now)
        case LeaveMembership():
            return (
                replace(
                    state, leaving=True, leave_pending=True, store_due=now
                ),
                (),
            )
        case ReleaseLease():
            return on_release_requested(state)
        case _:
            raise TypeError(
                f"placement cannot handle a {type(event).__name__}"
            )


def _on_tick(state: PlacementState, now: float) -> Step:
    actions: tuple[Any, ...] = ()
    if now >= state.store_due and not state.stopped:
        state, actions = _start_store_requests(state, now)
    if now >= state.confirm_due and not state.stopped:
        state, requests = request_confirmations(state, now)
        actions += requests
    state, read = read_back_release(state, now)
    return state, actions + read


def _start_store_requests(state: PlacementState, now: float) -> Step:
    has_version = state.lease.version is not None
    interval = RENEWAL_INTERVAL_S if has_version else JOIN_INTERVAL_S
    state = replace(state, store_due=now + interval)
    actions: tuple[Any, ...] = ()
    if has_version and not state.lease.writing:
        lease, write = renew_lease(state.lease, state.acked)
        state = replace(state, lease=lease)
        actions += (write,)
    in_flight = state.in_flight
    if not in_flight.leases_read:
        actions += (ReadLeases(),)
    if not in_flight.membership_read:
        actions += (ReadMembership(),)
    in_flight = replace(in_flight, leases_read=True, membership_read=True)
    return replace(state, in_flight=in_flight), actions


def _on_read_failed(state: PlacementState, read: Any, now: float) -> Step:
    failed: tuple[Any, ...] = ()
    match read:
        case ReadMembership():
            in_flight = replace(state.in_flight, membership_read=False)
        case _:
            in_flight = replace(state.in_flight, leases_read=False)
            if not state.lease.writing:
                state, failed = release_failed(state, STORE_UNREADABLE)
    # At most as often as renewals, so that a recovering store is not flooded.
    due = max(state.store_due, now + RENEWAL_INTERVAL_S)
    state = replace(state, in_flight=in_flight, store_due=due)
    state, failed_leave = leave_failed(state, STORE_UNREADABLE)
    return state, failed + failed_leave


def _publish_changes(state: PlacementState, now: float) -> Step:
    """Publish changes of the placement and of the end of being current.

    An earlier ``CurrentUntil`` is published before the new placement and a
    later one after it. Otherwise a subscriber could combine the new
    placement with the old, later end, or the old placement with the new,
    later one, and send after its permission has ended.
    """
    new = current_placement(state, now)
    until = current_until(state, now)
    old = state.published
    published = Published(new, until, until > now)
    actions = []
    if new != old.placement:
        actions.append(Publish(PlacementChanged(new)))
    if until != old.until:
        position = 0 if until < old.until else len(actions)
        actions.insert(position, Publish(CurrentUntil(until)))
    if published.current != old.current:
        text = "became current" if published.current else "no longer current"
        actions.append(LogLine(text))
    return replace(state, published=published), tuple(actions)

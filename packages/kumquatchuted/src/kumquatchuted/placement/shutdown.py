"""Leaves the membership and releases the lease."""

from dataclasses import replace

from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.lease import renew_lease
from kumquatchuted.placement.messages import AnswerLeave
from kumquatchuted.placement.messages import AnswerRelease
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.messages import ReadLeases
from kumquatchuted.placement.messages import StoredLease
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.state import broadcast
from kumquatchuted.placement.state import own_member
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step

# Between reads of the lease after a release whose outcome is unknown.
READ_BACK_INTERVAL_S = 0.5


def on_release_requested(state: PlacementState) -> Step:
    """Stop sending and confirming, then record this in the lease.

    If a renewal is in flight, ``continue_release`` writes the lease after it.
    """
    state = replace(
        state, stopped=True, release_pending=True, store_due=INFINITE_PAST
    )
    epoch = state.membership.epoch
    acked = broadcast(state, EpochAcked(state.local.incarnation, epoch))
    if state.lease.writing:
        return state, acked
    state, actions = write_release(state)
    return state, acked + actions


def write_release(state: PlacementState) -> Step:
    """Return the write that marks the lease as released.

    If its version is not known, ``read_back_release`` reads the lease first.
    """
    if not state.lease.was_held:
        return release_failed(state, "the lease is not held")
    if state.lease.version is None:
        return state, ()
    lease, write = renew_lease(state.lease, state.acked)
    released = replace(write.lease, released=True)
    lease = replace(lease, lease=released)
    return replace(state, lease=lease), (replace(write, lease=released),)


def continue_release(state: PlacementState, event: LeaseWritten) -> Step:
    """Handle the outcome of a write while a release is pending."""
    match event:
        case LeaseWritten(NodeLease(released=True), _, WriteOutcome.DONE):
            return finish_release(state)
        case LeaseWritten(outcome=WriteOutcome.DONE):
            return write_release(state)
        case _:
            # The answer to this write, or to a renewal before it, was lost.
            return state, ()


def read_back_release(state: PlacementState, now: float) -> Step:
    """Read the lease if the outcome of the write of the release is unknown."""
    is_unknown = state.lease.version is None and not state.lease.writing
    if not state.release_pending or not is_unknown or now < state.store_due:
        return state, ()
    state = replace(state, store_due=now + READ_BACK_INTERVAL_S)
    if state.in_flight.leases_read:
        return state, ()
    in_flight = replace(state.in_flight, leases_read=True)
    return replace(state, in_flight=in_flight), (ReadLeases(),)


def is_released(state: PlacementState, stored: StoredLease) -> bool:
    """Return True if the stored lease shows that a pending release is done."""
    lease = stored.lease
    is_own = lease.incarnation == state.lease.lease.incarnation
    return state.release_pending and is_own and lease.released


def finish_release(state: PlacementState) -> Step:
    """Answer ``ReleaseLease``: new owners may start to send."""
    state = replace(state, release_pending=False)
    return state, (LogLine("lease released"), AnswerRelease(None))


def release_failed(state: PlacementState, reason: str) -> Step:
    """Answer ``ReleaseLease``: new owners must wait for the lease to expire.

    :param reason: why the lease was not released
    """
    if not state.release_pending:
        return state, ()
    return replace(state, release_pending=False), (AnswerRelease(reason),)


def leave_failed(state: PlacementState, reason: str) -> Step:
    """Answer ``LeaveMembership``; the node keeps trying to leave.

    :param reason: why it has not left yet
    """
    if not state.leave_pending:
        return state, ()
    return replace(state, leave_pending=False), (AnswerLeave(reason),)


def answer_leave(state: PlacementState) -> Step:
    """Answer ``LeaveMembership`` once the newest epoch gives it no searcher.

    That is so when this node is marked as leaving or is not a member.
    """
    if not state.leave_pending:
        return state, ()
    own = own_member(state)
    if own is not None and not own.leaving:
        return state, ()
    text = f"left membership epoch={state.membership.epoch}"
    return (
        replace(state, leave_pending=False),
        (LogLine(text), AnswerLeave(None)),
    )

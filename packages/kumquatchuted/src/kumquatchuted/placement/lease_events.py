"""Handles store events about this node's lease and about expired ones."""

from dataclasses import replace

from kumquatchuted.placement.epochs import retire_incarnation
from kumquatchuted.placement.guards import record_lease
from kumquatchuted.placement.lease import apply_lease_read
from kumquatchuted.placement.lease import apply_write_outcome
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.lease import LeaseLost
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.lease import renew_lease
from kumquatchuted.placement.membership import next_deletion
from kumquatchuted.placement.membership import next_revocation
from kumquatchuted.placement.membership import observe_leases
from kumquatchuted.placement.membership import unchanged_s
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.shutdown import continue_release
from kumquatchuted.placement.shutdown import finish_release
from kumquatchuted.placement.shutdown import is_released
from kumquatchuted.placement.shutdown import write_release
from kumquatchuted.placement.state import current_placement
from kumquatchuted.placement.state import own_member
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step


def on_leases_read(state: PlacementState, leases: tuple, now: float) -> Step:
    """Record what the leases show, then write, revoke or delete what is due.

    :param leases: all leases, each a ``StoredLease``
    :param now: monotonic time in seconds
    """
    in_flight = replace(state.in_flight, leases_read=False)
    observed_leases = observe_leases(state.observed_leases, leases, now)
    evidence = state.evidence
    for stored in leases:
        evidence = record_lease(evidence, stored.lease, now)
    state = replace(
        state,
        in_flight=in_flight,
        observed_leases=observed_leases,
        evidence=evidence,
    )
    state, actions = _update_own_lease(state)
    state, write = _revoke_or_delete_lease(state, now)
    return state, actions + write


def _update_own_lease(state: PlacementState) -> Step:
    """Write this node's lease if the read shows the version to replace.

    A read that shows a pending release completes it; one that shows that the
    lease is lost retires the incarnation.
    """
    if state.lease.version is not None or state.lease.writing:
        return state, ()
    node = state.local.node
    found = state.observed_leases.by_node.get(node)
    stored = found.stored if found else None
    if stored is not None and is_released(state, stored):
        return finish_release(state)
    own_incarnations = frozenset(state.retired) | {
        state.local.incarnation,
        state.first_incarnation,
    }
    result = apply_lease_read(
        state.lease,
        stored,
        unchanged_s(state.observed_leases, node),
        own_incarnations,
    )
    match result:
        case LeaseLost(reason):
            return retire_incarnation(state, state.membership.epoch, reason)
        case LeaseState(version=None) if stored is not None:
            return state, ()
        case LeaseState():
            state = replace(state, lease=result)
            if state.stopped:
                return write_release(state)
            lease, write = renew_lease(state.lease, state.acked)
            return replace(state, lease=lease), (write,)


def _revoke_or_delete_lease(state: PlacementState, now: float) -> Step:
    """Revoke an expired lease of another node, else delete an unused one.

    Only a member that the store keeps current does so, one lease at a time.
    """
    if state.in_flight.other_lease_write or state.stopped:
        return state, ()
    if own_member(state) is None or lease_until(state.lease) <= now:
        return state, ()
    guards = current_placement(state, now).guards
    blocking = frozenset().union(*(g.blocking for g in guards))
    write = next_revocation(
        state.observed_leases,
        state.membership,
        blocking,
        state.evidence.fenced,
        state.local.node,
    )
    if write is None:
        return _delete_unused(state)
    in_flight = replace(state.in_flight, other_lease_write=True)
    text = f"revoking expired lease node={write.lease.node}"
    return replace(state, in_flight=in_flight), (LogLine(text), write)


def _delete_unused(state: PlacementState) -> Step:
    former = (m for f in state.membership.former for m in f.members)
    known = (*state.membership.members, *former)
    action = next_deletion(state.observed_leases, known)
    if action is None:
        return state, ()
    in_flight = replace(state.in_flight, other_lease_write=True)
    text = f"deleting unused lease node={action.node}"
    return replace(state, in_flight=in_flight), (LogLine(text), action)


def on_lease_deleted(state: PlacementState) -> Step:
    """Allow the next revocation or deletion, whatever came of the last one.

    The next read of the leases shows whether the lease is gone.
    """
    in_flight = replace(state.in_flight, other_lease_write=False)
    return replace(state, in_flight=in_flight), ()


def on_revocation_written(
    state: PlacementState, event: LeaseWritten, now: float
) -> Step:
    """Handle the outcome of the revocation of another node's lease.

    After a success the store is used again at the next tick, so that the
    membership changes soon.

    :param now: monotonic time in seconds
    """
    state, _ = on_lease_deleted(state)
    if event.outcome is not WriteOutcome.DONE:
        return state, ()
    evidence = record_lease(state.evidence, event.lease, now)
    return replace(state, evidence=evidence, store_due=now), ()


def on_lease_written(
    state: PlacementState, event: LeaseWritten, now: float
) -> Step:
    """Handle the outcome of a write of this node's lease.

    :param now: monotonic time in seconds
    """
    if event.lease.incarnation != state.lease.lease.incarnation:
        # The incarnation that sent this write has been retired since.
        return state, ()
    match apply_write_outcome(state.lease, event):
        case LeaseLost(reason):
            return retire_incarnation(state, state.membership.epoch, reason)
        case written:
            state = replace(state, lease=written)
    if state.release_pending:
        return continue_release(state, event)
    if event.outcome is WriteOutcome.CONFLICT:
        return replace(state, store_due=now), ()
    return state, ()

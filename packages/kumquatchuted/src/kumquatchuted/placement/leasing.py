"""What the store says of leases: the own one and expired ones."""

from dataclasses import replace

from kumquatchuted.placement.epochs import retire
from kumquatchuted.placement.guards import on_lease
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.lease import LeaseLost
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.lease import on_read
from kumquatchuted.placement.lease import on_written
from kumquatchuted.placement.lease import renewal
from kumquatchuted.placement.membership import deletion
from kumquatchuted.placement.membership import observe
from kumquatchuted.placement.membership import revocation
from kumquatchuted.placement.membership import unchanged_s
from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import LogDecision
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.shutdown import continue_release
from kumquatchuted.placement.shutdown import end_release
from kumquatchuted.placement.shutdown import is_released
from kumquatchuted.placement.shutdown import write_release
from kumquatchuted.placement.state import entry
from kumquatchuted.placement.state import placement
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step


def on_leases_read(state: PlacementState, leases: tuple, now: float) -> Step:
    """Take what all leases say; write the own or an expired one."""
    flags = replace(state.in_flight, leases_read=False)
    watch = observe(state.watch, leases, now)
    evidence = state.evidence
    for stored in leases:
        evidence = on_lease(evidence, stored.lease, now)
    state = replace(state, in_flight=flags, watch=watch, evidence=evidence)
    state, actions = _find_lease(state)
    state, write = _revoke(state, now)
    return state, actions + write


def _find_lease(state: PlacementState) -> Step:
    """Write the own lease if the read shows how."""
    if state.lease.version is not None or state.lease.writing:
        return state, ()
    node = state.local.node
    found = state.watch.seen.get(node)
    stored = found.stored if found else None
    if stored is not None and is_released(state, stored):
        return end_release(state)
    own = frozenset(state.retired) | {state.local.incarnation, state.first}
    result = on_read(state.lease, stored, unchanged_s(state.watch, node), own)
    match result:
        case LeaseLost(reason):
            return retire(state, state.membership.epoch, reason)
        case LeaseState(version=None) if stored is not None:
            return state, ()
        case LeaseState():
            state = replace(state, lease=result)
            if state.stopped:
                return write_release(state)
            lease, write = renewal(state.lease, state.acked)
            return replace(state, lease=lease), (write,)


def _revoke(state: PlacementState, now: float) -> Step:
    if state.in_flight.revocation or state.stopped:
        return state, ()
    if entry(state) is None or lease_until(state.lease) <= now:
        return state, ()
    open_guards = placement(state, now).guards
    waiting = frozenset().union(*(g.blocked for g in open_guards))
    write = revocation(
        state.watch,
        state.membership,
        waiting,
        state.evidence.fenced,
        state.local.node,
    )
    if write is None:
        return _delete(state)
    flags = replace(state.in_flight, revocation=True)
    text = f"lease of {write.lease.node} expired, revoking it"
    return replace(state, in_flight=flags), (LogDecision(text), write)


def _delete(state: PlacementState) -> Step:
    older = (m for f in state.membership.former for m in f.members)
    known = (*state.membership.members, *older)
    action = deletion(state.watch, known)
    if action is None:
        return state, ()
    flags = replace(state.in_flight, revocation=True)
    text = f"lease of {action.node} is not needed, deleting it"
    return replace(state, in_flight=flags), (LogDecision(text), action)


def on_deleted(state: PlacementState) -> Step:
    """Allow the next revocation or deletion."""
    flags = replace(state.in_flight, revocation=False)
    return replace(state, in_flight=flags), ()


def on_revoked(state: PlacementState, event: LeaseWritten, now: float) -> Step:
    """Take the outcome of the revocation of another lease."""
    state, _ = on_deleted(state)
    if event.outcome is not WriteOutcome.DONE:
        return state, ()
    evidence = on_lease(state.evidence, event.lease, now)
    return replace(state, evidence=evidence, store_due=now), ()


def on_lease_written(
    state: PlacementState, event: LeaseWritten, now: float
) -> Step:
    """Take the outcome of a write of the own lease."""
    if event.lease.incarnation != state.lease.lease.incarnation:
        # The write of an incarnation that this process gave up meanwhile.
        return state, ()
    match on_written(state.lease, event):
        case LeaseLost(reason):
            return retire(state, state.membership.epoch, reason)
        case written:
            state = replace(state, lease=written)
    if state.release_asked:
        return continue_release(state, event)
    if event.outcome is WriteOutcome.CONFLICT:
        return replace(state, store_due=now), ()
    return state, ()

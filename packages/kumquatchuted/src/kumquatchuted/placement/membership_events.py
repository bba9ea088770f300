"""Handles store events about the membership and writes changes of it."""

from dataclasses import replace
from random import Random

from kumquatchuted.placement.epochs import adopt_membership
from kumquatchuted.placement.guards import blocking_incarnations
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.membership import DesiredState
from kumquatchuted.placement.membership import first_membership
from kumquatchuted.placement.membership import next_membership
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import WriteMembership
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.shutdown import leave_failed
from kumquatchuted.placement.state import broadcast
from kumquatchuted.placement.state import own_member
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step

# The delay is random, so that two nodes whose writes conflicted do not
# conflict again.
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.3


def on_membership_read(
    state: PlacementState, event: MembershipRead, now: float
) -> Step:
    """Adopt the membership in the store and write the next one if due.

    Only a process that has never had a membership creates the first one: if
    the store has none later, its data may be lost or wrong.

    :param now: monotonic time in seconds
    """
    in_flight = replace(state.in_flight, membership_read=False)
    state = replace(state, in_flight=in_flight)
    match event.membership:
        case None if state.membership.epoch > 0:
            return state, (LogLine("membership missing in the store"),)
        case None:
            return _create_membership(state, now)
        case stored:
            return _on_stored_membership(state, stored, event.version, now)


def _create_membership(state: PlacementState, now: float) -> Step:
    if _desired_state(state, now) is not DesiredState.MEMBER:
        return state, ()
    return _write_membership(state, first_membership(state.local), None)


def _on_stored_membership(
    state: PlacementState, stored: Membership, version: str, now: float
) -> Step:
    state, actions = adopt_membership(state, stored, now, "store")
    if actions:
        actions += broadcast(state, EpochNotice(stored))
    if stored.epoch < state.membership.epoch:
        return state, actions
    new = next_membership(
        stored,
        state.local,
        _desired_state(state, now),
        _removable(state, now),
        finished_epochs(state, now),
    )
    if new is None or state.in_flight.membership_write:
        return state, actions
    state, write = _write_membership(state, new, version)
    return state, actions + write


def _write_membership(
    state: PlacementState, membership: Membership, version: str | None
) -> Step:
    in_flight = replace(state.in_flight, membership_write=True)
    state = replace(state, in_flight=in_flight)
    return state, (WriteMembership(membership, version),)


def _desired_state(state: PlacementState, now: float) -> DesiredState:
    """Return the state that this node should have in the next epoch.

    A node out of service first stops owning searchers; it is removed once it
    has released them. A node joins only while it holds its lease; without
    it, ``LEAVING`` leaves it outside.
    """
    own = own_member(state)
    if state.leaving or state.stopped:
        return DesiredState.LEAVING
    if state.tickets.out_of_service:
        has_released = own is not None and own.leaving
        has_released = has_released and state.acked >= state.membership.epoch
        return DesiredState.OUTSIDE if has_released else DesiredState.LEAVING
    if own is None and state.lease.held_until <= now:
        return DesiredState.LEAVING
    return DesiredState.MEMBER


def _removable(state: PlacementState, now: float) -> frozenset[str]:
    """Return the members' incarnations that this node may remove.

    Only a member that the store keeps current may remove others.
    """
    if own_member(state) is None or lease_until(state.lease) <= now:
        return frozenset()
    return state.evidence.fenced | frozenset(state.evidence.ended)


def finished_epochs(state: PlacementState, now: float) -> frozenset[int]:
    """Return the older epochs in which no owner can act any longer.

    Unlike in the guards for its own sending, this node's incarnation is
    waited for too.

    :param now: monotonic time in seconds
    """
    return frozenset(
        g.former.epoch
        for g in state.guards
        if not blocking_incarnations(g, state.evidence, "", now)
    )


def on_membership_written(
    state: PlacementState, event: MembershipWritten, now: float, rng: Random
) -> Step:
    """Handle the outcome of a write of the membership.

    :param now: monotonic time in seconds
    :param rng: draws the delay after a conflict
    """
    in_flight = replace(state.in_flight, membership_write=False)
    state = replace(state, in_flight=in_flight)
    match event.outcome:
        case WriteOutcome.DONE:
            removed = _removed_members(state.membership, event.membership)
            logs = tuple(
                LogLine(f"member removed node={m.node}") for m in removed
            )
            state, actions = adopt_membership(
                state, event.membership, now, "own_write"
            )
            notice = EpochNotice(event.membership)
            return state, logs + actions + broadcast(state, notice)
        case WriteOutcome.CONFLICT:
            delay_s = rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
            return replace(state, store_due=now + delay_s), ()
        case _:
            return leave_failed(state, "the store did not answer")


def _removed_members(old: Membership, new: Membership) -> tuple[Member, ...]:
    names = {m.node for m in new.members}
    return tuple(m for m in old.members if m.node not in names)

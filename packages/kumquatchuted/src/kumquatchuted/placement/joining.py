"""What the store says of the membership, and changing it."""

from dataclasses import replace
from random import Random

from kumquatchuted.placement.epochs import adopt
from kumquatchuted.placement.guards import blocked
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.membership import first_membership
from kumquatchuted.placement.membership import next_membership
from kumquatchuted.placement.membership import Wish
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.placement.messages import LogDecision
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import MembershipRead
from kumquatchuted.placement.messages import MembershipWritten
from kumquatchuted.placement.messages import WriteMembership
from kumquatchuted.placement.messages import WriteOutcome
from kumquatchuted.placement.shutdown import leave_failed
from kumquatchuted.placement.state import entry
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step
from kumquatchuted.placement.state import to_all

# Two nodes that changed the membership at once try again at other times.
RETRY_MIN_S = 0.05

RETRY_MAX_S = 0.3


def on_membership_read(
    state: PlacementState, event: MembershipRead, now: float
) -> Step:
    """Adopt what the store has and change what is due."""
    flags = replace(state.in_flight, membership_read=False)
    state = replace(state, in_flight=flags)
    match event.membership:
        case None if state.membership.epoch > 0:
            return state, (LogDecision("the store has no membership"),)
        case None:
            return _found_membership(state, now)
        case found:
            return _on_found(state, found, event.version, now)


def _found_membership(state: PlacementState, now: float) -> Step:
    if _wish(state, now) is not Wish.MEMBER:
        return state, ()
    return _write_membership(state, first_membership(state.local), None)


def _on_found(
    state: PlacementState, found: Membership, version: str, now: float
) -> Step:
    state, actions = adopt(state, found, now, "read in the store")
    if actions:
        actions += to_all(state, EpochNotice(found))
    if found.epoch < state.membership.epoch:
        return state, actions
    wanted = next_membership(
        found,
        state.local,
        _wish(state, now),
        _past(state, now),
        epochs_over(state, now),
    )
    if wanted is None or state.in_flight.membership_write:
        return state, actions
    state, write = _write_membership(state, wanted, version)
    return state, actions + write


def _write_membership(
    state: PlacementState, wanted: Membership, version: str | None
) -> Step:
    flags = replace(state.in_flight, membership_write=True)
    state = replace(state, in_flight=flags)
    return state, (WriteMembership(wanted, version),)


def _wish(state: PlacementState, now: float) -> Wish:
    """Return what the next epoch should say of this node."""
    mine = entry(state)
    if state.leaving or state.stopped:
        return Wish.LEAVING
    if state.tickets.out_of_service:
        idle = mine is not None and mine.leaving
        idle = idle and state.acked >= state.membership.epoch
        return Wish.OUTSIDE if idle else Wish.LEAVING
    if mine is None and state.lease.held_until <= now:
        return Wish.LEAVING
    return Wish.MEMBER


def _past(state: PlacementState, now: float) -> frozenset[str]:
    """Return the incarnations that this node may remove."""
    if entry(state) is None or lease_until(state.lease) <= now:
        return frozenset()
    return state.evidence.fenced | frozenset(state.evidence.ended)


def epochs_over(state: PlacementState, now: float) -> frozenset[int]:
    """Return the older epochs in which nobody can act, this node included."""
    return frozenset(
        g.former.epoch
        for g in state.guards
        if not blocked(g, state.evidence, "", now)
    )


def on_membership_written(
    state: PlacementState, event: MembershipWritten, now: float, rng: Random
) -> Step:
    """Take the outcome of a change of the membership."""
    flags = replace(state.in_flight, membership_write=False)
    state = replace(state, in_flight=flags)
    match event.outcome:
        case WriteOutcome.DONE:
            gone = _gone(state.membership, event.membership)
            logs = tuple(LogDecision(f"{m.node} removed") for m in gone)
            state, actions = adopt(
                state, event.membership, now, "written by this node"
            )
            notice = EpochNotice(event.membership)
            return state, logs + actions + to_all(state, notice)
        case WriteOutcome.CONFLICT:
            wait = rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
            return replace(state, store_due=now + wait), ()
        case _:
            return leave_failed(state, "the store did not answer")


def _gone(old: Membership, new: Membership) -> tuple[Member, ...]:
    names = {m.node for m in new.members}
    return tuple(m for m in old.members if m.node not in names)

"""Adopting epochs, giving up an incarnation, acknowledging epochs."""

from collections.abc import Iterable
from dataclasses import replace

from kumquatchuted.placement.confirm import forget_granted
from kumquatchuted.placement.guards import acknowledge
from kumquatchuted.placement.guards import end
from kumquatchuted.placement.guards import for_membership
from kumquatchuted.placement.guards import hold
from kumquatchuted.placement.guards import known_only
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import LogDecision
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.shutdown import release_failed
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step
from kumquatchuted.placement.state import to_all


def adopt(
    state: PlacementState, membership: Membership, now: float, source: str
) -> Step:
    """Work with a newer epoch; an older one is ignored."""
    if membership.epoch <= state.membership.epoch:
        return _forget_epochs(state, membership), ()
    before = _incarnations(state.membership.members)
    members = _incarnations(membership.members)
    older = _incarnations(m for f in membership.former for m in f.members)
    own = state.local.incarnation
    evidence = hold(state.evidence, own, membership.epoch, now)
    known = members | older | {own} | frozenset(state.retired)
    state = replace(
        state,
        membership=membership,
        guards=for_membership(state.guards, membership),
        evidence=known_only(evidence, known),
        confirm_due=now,
        removed=(before | older) - members,
    )
    names = ", ".join(m.node for m in membership.members)
    logs = [f"epoch {membership.epoch} adopted, {source}: {names}"]
    if own in members - before:
        logs.append(f"joined in epoch {membership.epoch} as {own}")
    actions = tuple(LogDecision(text) for text in logs)
    actions += to_all(state, EpochHeld(own, membership.epoch))
    # Once stopped there is nothing to give up, and only the lease tells
    # whether the removal followed from its release.
    if own in state.removed and not state.stopped:
        last = membership.epoch - 1
        state, gone = retire(state, last, "removed from the membership")
        actions += gone
    return state, actions


def _forget_epochs(state: PlacementState, same: Membership) -> PlacementState:
    """Drop guards for older epochs that another node found to be over."""
    mine = state.membership
    if same.epoch != mine.epoch or len(same.former) >= len(mine.former):
        return state
    return replace(
        state,
        membership=same,
        guards=for_membership(state.guards, same),
    )


def _incarnations(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(m.incarnation for m in members)


def retire(state: PlacementState, last_epoch: int, reason: str) -> Step:
    """Continue under a new incarnation, which has to join again.

    :param last_epoch: newest epoch in which the old one may own searchers
    """
    if state.stopped:
        return release_failed(state, reason)
    old = state.local.incarnation
    new = f"{state.first}.{state.incarnations}"
    lease = NodeLease(
        state.local.node,
        new,
        state.local.address,
        former=state.lease.lease.former + (old,),
        ended=state.lease.lease.ended,
    )
    state = replace(
        state,
        local=replace(state.local, incarnation=new),
        incarnations=state.incarnations + 1,
        retired={**state.retired, old: last_epoch},
        lease=LeaseState(lease, tickets_until=state.lease.tickets_until),
        confirm=forget_granted(state.confirm),
    )
    return state, (LogDecision(f"{old} retired, now {new}: {reason}"),)


def on_epoch_released(state: PlacementState, epoch: int, now: float) -> Step:
    """The target task stopped on everything lost by an epoch."""
    ended = tuple(i for i, last in state.retired.items() if last < epoch)
    evidence = acknowledge(state.evidence, state.local.incarnation, epoch, now)
    lease = state.lease.lease
    lease = replace(lease, ended=tuple(dict.fromkeys(lease.ended + ended)))
    state = replace(
        state,
        acked=max(state.acked, epoch),
        evidence=end(evidence, ended, now),
        lease=replace(state.lease, lease=lease),
        retired={i: e for i, e in state.retired.items() if i not in ended},
        store_due=now,
    )
    return state, to_all(state, EpochAcked(state.local.incarnation, epoch))

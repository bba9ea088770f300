"""Adopts epochs, retires incarnations and acknowledges epochs."""

from collections.abc import Iterable
from dataclasses import replace

from kumquatchuted.placement.confirm import clear_granted
from kumquatchuted.placement.guards import guards_for
from kumquatchuted.placement.guards import record_acked
from kumquatchuted.placement.guards import record_ended
from kumquatchuted.placement.guards import record_epoch
from kumquatchuted.placement.guards import retain_known
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import LogLine
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.shutdown import release_failed
from kumquatchuted.placement.state import broadcast
from kumquatchuted.placement.state import PlacementState
from kumquatchuted.placement.state import Step


def adopt_membership(
    state: PlacementState, membership: Membership, now: float, source: str
) -> Step:
    """Switch to a newer epoch; an older one is ignored.

    The same epoch with fewer older epochs only ends the guards of those that
    are missing.

    :param now: monotonic time in seconds
    :param source: where the membership comes from, for the log
    """
    if membership.epoch <= state.membership.epoch:
        return _drop_finished_epochs(state, membership), ()
    previous = _incarnations(state.membership.members)
    members = _incarnations(membership.members)
    former = _incarnations(m for f in membership.former for m in f.members)
    own = state.local.incarnation
    evidence = record_epoch(state.evidence, own, membership.epoch, now)
    known = members | former | {own} | frozenset(state.retired)
    state = replace(
        state,
        membership=membership,
        guards=guards_for(state.guards, membership),
        evidence=retain_known(evidence, known),
        confirm_due=now,
        removed=(previous | former) - members,
    )
    names = ",".join(m.node for m in membership.members)
    lines = [
        f"epoch adopted epoch={membership.epoch} members={names}"
        f" source={source}"
    ]
    if own in members - previous:
        lines.append(f"joined epoch={membership.epoch} incarnation={own}")
    actions = tuple(LogLine(text) for text in lines)
    actions += broadcast(state, EpochHeld(own, membership.epoch))
    # A stopped node owns nothing, so its incarnation need not be retired. It
    # may have been removed because it released its lease; only the lease in
    # the store shows whether that is so.
    if own in state.removed and not state.stopped:
        last_epoch = membership.epoch - 1
        state, retirement = retire_incarnation(
            state, last_epoch, "removed from the membership"
        )
        actions += retirement
    return state, actions


def _drop_finished_epochs(
    state: PlacementState, found: Membership
) -> PlacementState:
    """Drop guards of older epochs that another node found to be finished.

    Such a node writes the same epoch again, without the finished ones.
    """
    known = state.membership
    if found.epoch != known.epoch or len(found.former) >= len(known.former):
        return state
    return replace(
        state,
        membership=found,
        guards=guards_for(state.guards, found),
    )


def _incarnations(members: Iterable[Member]) -> frozenset[str]:
    return frozenset(m.incarnation for m in members)


def retire_incarnation(
    state: PlacementState, last_epoch: int, reason: str
) -> Step:
    """Continue under a new incarnation, which has to join again.

    A stopped node gets no new incarnation; its pending release fails.

    :param last_epoch: newest epoch in which the old one may own searchers
    :param reason: why the old one is retired, for the log
    """
    if state.stopped:
        return release_failed(state, reason)
    old = state.local.incarnation
    new = f"{state.first_incarnation}.{state.incarnation_count}"
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
        incarnation_count=state.incarnation_count + 1,
        retired={**state.retired, old: last_epoch},
        lease=LeaseState(lease, tickets_until=state.lease.tickets_until),
        confirm=clear_granted(state.confirm),
    )
    return state, (
        LogLine(f"incarnation retired old={old} new={new} cause={reason}"),
    )


def on_epoch_released(state: PlacementState, epoch: int, now: float) -> Step:
    """Acknowledge an epoch whose lost searchers this node has released.

    Retired incarnations of this process that owned searchers only in older
    epochs have then ended, which the next lease states.

    :param now: monotonic time in seconds
    """
    ended = tuple(i for i, last in state.retired.items() if last < epoch)
    evidence = record_acked(
        state.evidence, state.local.incarnation, epoch, now
    )
    lease = state.lease.lease
    lease = replace(lease, ended=tuple(dict.fromkeys(lease.ended + ended)))
    state = replace(
        state,
        acked=max(state.acked, epoch),
        evidence=record_ended(evidence, ended, now),
        lease=replace(state.lease, lease=lease),
        retired={i: e for i, e in state.retired.items() if i not in ended},
        store_due=now,
    )
    return state, broadcast(state, EpochAcked(state.local.incarnation, epoch))

"""Everything that a node knows about placement."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from kumquatchute_model.ticket import NO_DIGEST
from kumquatchuted.placement.confirm import confirmed_until
from kumquatchuted.placement.confirm import ConfirmState
from kumquatchuted.placement.guards import Evidence
from kumquatchuted.placement.guards import Guard
from kumquatchuted.placement.guards import owner_guards
from kumquatchuted.placement.guards import record_epoch
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.lease import NEVER
from kumquatchuted.placement.membership import ObservedLeases
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.messages import TicketStatus


@dataclass(frozen=True)
class InFlight:
    """Store requests that have not been answered."""

    membership_read: bool = False
    membership_write: bool = False
    leases_read: bool = False
    revocation: bool = False


@dataclass(frozen=True)
class Published:
    """What subscribers were told last."""

    placement: Placement | None = None
    until: float = NEVER
    current: bool = False


@dataclass(frozen=True)
class PlacementState:
    """Everything that a node knows about placement.

    :param local: this node under its present incarnation
    :param first: incarnation at the start of the process
    :param retired: earlier incarnations of this process and the newest epoch
        in which each may have owned searchers
    :param removed: incarnations that are members of older epochs only
    :param acked: newest epoch whose lost searchers are released
    :param leaving: ``LeaveMembership`` was asked
    :param stopped: ``ReleaseLease`` was asked
    """

    local: Member
    first_incarnation: str
    seeds: tuple[str, ...]
    lease: LeaseState
    confirm: ConfirmState = ConfirmState()
    membership: Membership = Membership(0)
    guards: tuple[Guard, ...] = ()
    evidence: Evidence = Evidence()
    observed_leases: ObservedLeases = ObservedLeases()
    retired: Mapping[str, int] = field(default_factory=dict)
    incarnation_count: int = 1
    removed: frozenset[str] = frozenset()
    tickets: TicketStatus = TicketStatus(0, NO_DIGEST, False)
    acked: int = 0
    leaving: bool = False
    stopped: bool = False
    leave_pending: bool = False
    release_pending: bool = False
    store_due: float = NEVER
    confirm_due: float = NEVER
    in_flight: InFlight = InFlight()
    published: Published = Published()


Step = tuple[PlacementState, tuple[Any, ...]]


def initial_state(local: Member, seeds: tuple[str, ...]) -> PlacementState:
    """Return the state of a process that knows nothing yet.

    :param seeds: names of nodes to ask while the store is down
    """
    lease = NodeLease(local.node, local.incarnation, local.address)
    return PlacementState(local, local.incarnation, seeds, LeaseState(lease))


def current_until(state: PlacementState, now: float) -> float:
    """Return until when this node may send new work."""
    if state.stopped:
        return NEVER
    confirmed = confirmed_until(
        state.confirm, state.membership, state.local.incarnation, now
    )
    return max(lease_until(state.lease), confirmed)


def current_placement(state: PlacementState, now: float) -> Placement:
    """Return what this node knows about ownership."""
    guards = owner_guards(
        state.guards, state.evidence, state.local.incarnation, now
    )
    return Placement(
        state.local.node, state.local.incarnation, state.membership, guards
    )


def known_members(state: PlacementState) -> tuple[Member, ...]:
    """Return the members and, for names not among them, older members.

    Older members are among them, because the others wait for their
    acknowledgements.
    """
    found = {m.node: m for m in state.membership.members}
    for former in reversed(state.membership.former):
        for member in former.members:
            found.setdefault(member.node, member)
    return tuple(found.values())


def peer_names(state: PlacementState) -> tuple[str, ...]:
    """Return the nodes to exchange messages with, without this one."""
    names = {m.node for m in known_members(state)} | set(state.seeds)
    return tuple(sorted(names - {state.local.node}))


def broadcast(state: PlacementState, message: Any) -> tuple[SendPeer, ...]:
    """Return actions that send a message to all known nodes."""
    return tuple(SendPeer(node, message) for node in peer_names(state))


def record_peer_epoch(
    state: PlacementState, sender: str, epoch: int, now: float
) -> PlacementState:
    """Record the epoch that a sender works with."""
    return replace(
        state, evidence=record_epoch(state.evidence, sender, epoch, now)
    )


def own_member(state: PlacementState) -> Member | None:
    """Return this incarnation as the membership has it."""
    found = (
        m
        for m in state.membership.members
        if m.incarnation == state.local.incarnation
    )
    return next(found, None)

"""State of the placement protocol on one node."""

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
from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.lease import lease_until
from kumquatchuted.placement.lease import LeaseState
from kumquatchuted.placement.membership import ObservedLeases
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import SendPeer
from kumquatchuted.placement.messages import TicketStatus


@dataclass(frozen=True)
class InFlight:
    """Store requests without an outcome, so that none is sent twice.

    :param other_lease_write: revocation or deletion of another node's lease
    """

    membership_read: bool = False
    membership_write: bool = False
    leases_read: bool = False
    other_lease_write: bool = False


@dataclass(frozen=True)
class Published:
    """Values last published to subscribers.

    :param until: monotonic time in seconds
    :param current: True if ``until`` was in the future when published
    """

    placement: Placement | None = None
    until: float = INFINITE_PAST
    current: bool = False


@dataclass(frozen=True)
class PlacementState:
    """State of the placement protocol, updated by each event.

    :param local: this node under its present incarnation
    :param first_incarnation: incarnation at the start of the process
    :param seeds: names of nodes to contact while the store is down
    :param lease: lease of this node
    :param confirm: confirmations by peers
    :param membership: newest membership known, epoch 0 before the first
    :param guards: older epochs in which owners may still be sending
    :param evidence: facts about incarnations that end guards
    :param observed_leases: leases of all nodes, as last read
    :param retired: earlier incarnations of this process that have not yet
        released all, each with the newest epoch in which it may own searchers
    :param incarnation_count: incarnations that this process has had so far
    :param removed: incarnations that are members of older epochs only
    :param tickets: newest ticket
    :param acked: newest epoch whose lost searchers are released
    :param leaving: ``LeaveMembership`` was requested
    :param stopped: ``ReleaseLease`` was requested
    :param leave_pending: ``LeaveMembership`` has not been answered
    :param release_pending: ``ReleaseLease`` has not been answered
    :param store_due: when to use the store next, monotonic time in seconds
    :param confirm_due: when to request confirmations next, monotonic time in
        seconds
    :param in_flight: store requests without an outcome
    :param published: values last published to subscribers
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
    store_due: float = INFINITE_PAST
    confirm_due: float = INFINITE_PAST
    in_flight: InFlight = InFlight()
    published: Published = Published()


Step = tuple[PlacementState, tuple[Any, ...]]


def initial_state(local: Member, seeds: tuple[str, ...]) -> PlacementState:
    """Return the state of a process that has just started.

    :param seeds: names of nodes to contact while the store is down
    """
    lease = NodeLease(local.node, local.incarnation, local.address)
    return PlacementState(local, local.incarnation, seeds, LeaseState(lease))


def current_until(state: PlacementState, now: float) -> float:
    """Return until when this node is current and may send new work.

    Either the store or the confirmations of a majority are enough, so that
    an outage of the store alone does not stop the nodes.

    :param now: monotonic time in seconds
    :returns: monotonic time in seconds
    """
    if state.stopped:
        return INFINITE_PAST
    confirmed = confirmed_until(
        state.confirm, state.membership, state.local.incarnation, now
    )
    return max(lease_until(state.lease), confirmed)


def current_placement(state: PlacementState, now: float) -> Placement:
    """Return the newest membership with the guards that still block.

    :param now: monotonic time in seconds
    """
    guards = owner_guards(
        state.guards, state.evidence, state.local.incarnation, now
    )
    return Placement(
        state.local.node, state.local.incarnation, state.membership, guards
    )


def known_members(state: PlacementState) -> tuple[Member, ...]:
    """Return the members and former members, one for each node name.

    Former members are included because other nodes wait for their
    acknowledgements.
    """
    found = {m.node: m for m in state.membership.members}
    for former in reversed(state.membership.former):
        for member in former.members:
            found.setdefault(member.node, member)
    return tuple(found.values())


def peer_names(state: PlacementState) -> tuple[str, ...]:
    """Return the names of the other nodes to exchange messages with."""
    names = {m.node for m in known_members(state)} | set(state.seeds)
    return tuple(sorted(names - {state.local.node}))


def broadcast(state: PlacementState, message: Any) -> tuple[SendPeer, ...]:
    """Return actions that send a message to all nodes of ``peer_names``."""
    return tuple(SendPeer(node, message) for node in peer_names(state))


def record_peer_epoch(
    state: PlacementState, sender: str, epoch: int, now: float
) -> PlacementState:
    """Record the epoch that a peer reported.

    :param sender: incarnation of the peer
    :param now: monotonic time in seconds
    """
    return replace(
        state, evidence=record_epoch(state.evidence, sender, epoch, now)
    )


def own_member(state: PlacementState) -> Member | None:
    """Return this incarnation's member entry, None if it is not a member."""
    found = (
        m
        for m in state.membership.members
        if m.incarnation == state.local.incarnation
    )
    return next(found, None)

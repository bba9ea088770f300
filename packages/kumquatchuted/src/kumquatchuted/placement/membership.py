"""Decides on lease revocations and deletions and on the next membership."""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum

from kumquatchuted.placement.lease import INFINITE_PAST
from kumquatchuted.placement.lease import LEASE_EXPIRY_S
from kumquatchuted.placement.messages import DeleteLease
from kumquatchuted.placement.messages import FormerEpoch
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import StoredLease
from kumquatchuted.placement.messages import WriteLease

# If reads are further apart, the store may have been down and no holder could
# renew, so an unchanged lease does not show that it expired.
MAX_READ_GAP_S = 5.0
# Longer than any join takes, so that no lease of a joining node is deleted.
LEASE_RETENTION_S = 600.0
# Bounds the size of the object and how long a joining node waits.
MAX_FORMER_EPOCHS = 16


class DesiredState(Enum):
    """State that this node should have in the next membership.

    ``LEAVING`` marks a member as leaving, so that it owns no searchers; it
    does not add a node that is not a member. ``OUTSIDE`` removes the node.
    """

    MEMBER = "member"
    LEAVING = "leaving"
    OUTSIDE = "outside"


@dataclass(frozen=True)
class LeaseObservation:
    """A lease and since when reads have shown the same version.

    :param since: monotonic time in seconds
    """

    stored: StoredLease
    since: float


@dataclass(frozen=True)
class ObservedLeases:
    """Leases by node name, as last read.

    :param read_at: when they were read, monotonic time in seconds
    """

    by_node: Mapping[str, LeaseObservation] = field(default_factory=dict)
    read_at: float = INFINITE_PAST


def observe_leases(
    observed_leases: ObservedLeases,
    leases: tuple[StoredLease, ...],
    now: float,
) -> ObservedLeases:
    """Return the observations after a successful read of all leases.

    :param now: monotonic time in seconds
    """
    is_continuous = now - observed_leases.read_at <= MAX_READ_GAP_S
    by_node = {}
    for stored in leases:
        old = observed_leases.by_node.get(stored.lease.node)
        is_unchanged = old is not None and old.stored.version == stored.version
        since = old.since if is_continuous and is_unchanged else now
        by_node[stored.lease.node] = LeaseObservation(stored, since)
    return ObservedLeases(by_node, now)


def unchanged_s(observed_leases: ObservedLeases, node: str) -> float:
    """Return for how many seconds reads have shown the same version."""
    found = observed_leases.by_node.get(node)
    return 0.0 if found is None else observed_leases.read_at - found.since


def removable_count(members: tuple[Member, ...]) -> int:
    """Return how many members may be removed at once: a minority."""
    return max(0, len(members) - 1) // 2


def next_revocation(
    observed_leases: ObservedLeases,
    membership: Membership,
    blocking: frozenset[str],
    fenced: frozenset[str],
    own_node: str,
) -> WriteLease | None:
    """Return the write that revokes an expired lease, None if there is none.

    The write succeeds only if the lease was not renewed since this version
    was first read. Its holder is then no longer current through the store
    and cannot become so again. Reads alone would not show that: they may be
    stale, and a paused holder may renew after the read.

    A member's lease is revoked only while fewer members are fenced than may
    be removed at once. Any other lease is revoked only if a guard waits for
    its incarnation.

    :param blocking: incarnations that a guard waits for
    :param fenced: incarnations that can no longer renew
    :param own_node: name of this node, whose lease is skipped
    """
    members = {m.incarnation for m in membership.members}
    removals_left = removable_count(membership.members) - len(members & fenced)
    for node, found in observed_leases.by_node.items():
        lease = found.stored.lease
        if node == own_node or lease.revoked or lease.released:
            continue
        if unchanged_s(observed_leases, node) < LEASE_EXPIRY_S:
            continue
        is_member = lease.incarnation in members
        if (
            is_member and removals_left > 0
        ) or lease.incarnation in blocking - members:
            return WriteLease(
                replace(lease, revoked=True), found.stored.version
            )
    return None


def next_deletion(
    observed_leases: ObservedLeases, known: Iterable[Member]
) -> DeleteLease | None:
    """Return the deletion of an unused lease, None if there is none.

    Nodes that are replaced under other names leave their leases behind.
    Every node reads all leases, so the list must not grow without bound.

    :param known: members of this epoch and of the older ones still guarded
    """
    names = {m.node for m in known}
    incarnations = {m.incarnation for m in known}
    for node, found in observed_leases.by_node.items():
        stored = found.stored
        needed = node in names or stored.lease.incarnation in incarnations
        if (
            not needed
            and unchanged_s(observed_leases, node) >= LEASE_RETENTION_S
        ):
            return DeleteLease(node, stored.version)
    return None


def next_membership(
    current: Membership,
    local: Member,
    desired: DesiredState,
    removable: frozenset[str],
    finished: frozenset[int],
) -> Membership | None:
    """Return the membership to write, None if nothing may change.

    The members do not change while ``MAX_FORMER_EPOCHS`` older epochs are
    unfinished.

    Finished epochs are removed from the store at once, without waiting for
    a change of the members: the nodes that know they are finished may end
    before that.

    :param removable: incarnations that cannot renew their lease; at most a
        minority of the members is removed at once, so that a node that reads
        wrong data cannot empty the membership
    :param finished: older epochs in which owners can no longer act
    """
    members = current.members
    removed = [
        m.incarnation
        for m in members
        if m.incarnation in removable and m.node != local.node
    ][: removable_count(members)]
    kept = tuple(m for m in members if m.incarnation not in removed)
    changed = _with_local(kept, local, desired)
    former = tuple(f for f in current.former if f.epoch not in finished)
    if changed == members:
        pruned = replace(current, former=former)
        return None if pruned == current else pruned
    former += (FormerEpoch(current.epoch, members),)
    if len(former) > MAX_FORMER_EPOCHS:
        return None
    return Membership(current.epoch + 1, changed, former)


def _with_local(
    members: Iterable[Member], local: Member, desired: DesiredState
) -> tuple[Member, ...]:
    """Return the members with this node in its desired state.

    A node that joins replaces an older incarnation under its node name.
    """
    members = tuple(members)
    match desired:
        case DesiredState.MEMBER:
            active = replace(local, leaving=False)
            if active in members:
                return members
            others = tuple(m for m in members if m.node != local.node)
            return others + (active,)
        case DesiredState.LEAVING:
            return tuple(
                replace(m, leaving=True)
                if m.incarnation == local.incarnation
                else m
                for m in members
            )
        case DesiredState.OUTSIDE:
            return tuple(
                m for m in members if m.incarnation != local.incarnation
            )


def first_membership(local: Member) -> Membership:
    """Return the membership that the first node creates."""
    return Membership(1, (replace(local, leaving=False),))

"""This node's own lease: renewal, takeover and expiry.

Every write is conditional on the version read before. A lease that was
revoked or replaced can therefore never be renewed, however stale the reads
of its holder are.
"""

from dataclasses import dataclass
from dataclasses import replace

from kumquatchuted.placement.messages import LeaseWritten
from kumquatchuted.placement.messages import NodeLease
from kumquatchuted.placement.messages import StoredLease
from kumquatchuted.placement.messages import WriteLease
from kumquatchuted.placement.messages import WriteOutcome

LEASE_DURATION_S = 6.0
# Other nodes treat a lease as expired once it was unchanged for this long.
# The added second covers clocks that run at different rates.
LEASE_EXPIRY_S = LEASE_DURATION_S + 1.0
RENEWAL_INTERVAL_S = 2.0
# Bounds the size of the object. Guards that waited for incarnations older
# than the last 16 have ended long ago.
MAX_FORMER_INCARNATIONS = 16
# Earlier than any clock reading, for ends that have passed and work that is
# due at once.
INFINITE_PAST = float("-inf")


@dataclass(frozen=True)
class LeaseState:
    """State of this node's own lease.

    :param lease: content of the next write, before ``renew_lease`` updates it
    :param version: version in the store, None if it has to be read first
    :param writing: a write has not been answered yet
    :param was_held: a write of this incarnation succeeded
    :param held_until: end of the lease, monotonic time in seconds
    :param tickets_until: until when the last read of the tickets counts as
        recent, monotonic time in seconds
    """

    lease: NodeLease
    version: str | None = None
    writing: bool = False
    was_held: bool = False
    held_until: float = INFINITE_PAST
    tickets_until: float = INFINITE_PAST


@dataclass(frozen=True)
class LeaseLost:
    """This incarnation can no longer hold the lease."""

    reason: str


def lease_until(state: LeaseState) -> float:
    """Return until when the store keeps the node current.

    It does so only with both a valid lease and a recent read of the tickets.

    :returns: monotonic time in seconds
    """
    return min(state.held_until, state.tickets_until)


def record_tickets_read(state: LeaseState, at: float) -> LeaseState:
    """Record a successful read of the tickets.

    :param at: when the read was sent, monotonic time in seconds
    """
    until = max(state.tickets_until, at + LEASE_DURATION_S)
    return replace(state, tickets_until=until)


def renew_lease(
    state: LeaseState, acked_epoch: int
) -> tuple[LeaseState, WriteLease]:
    """Return the state with a write in flight, and that write."""
    lease = replace(
        state.lease,
        renewals=state.lease.renewals + 1,
        acked_epoch=acked_epoch,
    )
    write = WriteLease(lease, state.version)
    return replace(state, lease=lease, writing=True), write


def apply_write_outcome(
    state: LeaseState, event: LeaseWritten
) -> LeaseState | LeaseLost:
    """Apply the outcome of a write of this node's lease."""
    state = replace(state, writing=False)
    match event.outcome:
        case WriteOutcome.DONE:
            return replace(
                state,
                version=event.version,
                was_held=True,
                held_until=max(
                    state.held_until, event.sent_at + LEASE_DURATION_S
                ),
            )
        case WriteOutcome.GONE if state.was_held:
            return LeaseLost("the lease was deleted")
        case _:
            return replace(state, version=None)


def apply_lease_read(
    state: LeaseState,
    stored: StoredLease | None,
    unchanged_s: float,
    own_incarnations: frozenset[str],
) -> LeaseState | LeaseLost:
    """Find the version to write next, after a start or a failed write.

    The lease of another process under the same node name is replaced only
    once it is released, revoked or expired, so that the name does not
    alternate between two live processes.

    :param stored: lease under this node's name, None if there is none
    :param unchanged_s: seconds for which reads showed the same version
    :param own_incarnations: incarnations of this process
    :returns: the state, without a version if it is too early to write
    """
    if stored is None:
        return LeaseLost("the lease was deleted") if state.was_held else state
    lease = stored.lease
    if lease.incarnation == state.lease.incarnation:
        if lease.revoked or lease.released:
            return LeaseLost("the lease was revoked")
        return replace(state, version=stored.version)
    if lease.incarnation in state.lease.former and state.was_held:
        return state  # A stale read, from before this lease replaced it.
    if state.was_held:
        return LeaseLost(
            f"incarnation {lease.incarnation} took over the node name"
        )
    is_free = (
        lease.released
        or lease.revoked
        or lease.incarnation in own_incarnations
    )
    if not is_free and unchanged_s < LEASE_EXPIRY_S:
        return state
    return replace(
        state,
        version=stored.version,
        lease=_replacement_lease(state.lease, lease, own_incarnations),
    )


def _replacement_lease(
    new: NodeLease, old: NodeLease, own_incarnations: frozenset[str]
) -> NodeLease:
    """Return the lease that replaces the one of an older incarnation.

    This node has bound its peer address, so another process that had the
    same address has ended and no longer confirms anything.
    """
    same_address = old.address != "" and old.address == new.address
    ended = new.ended + old.ended
    if old.released or (
        same_address and old.incarnation not in own_incarnations
    ):
        ended += (old.incarnation,)
    former = new.former + old.former + (old.incarnation,)
    return replace(
        new, former=_last_distinct(former), ended=_last_distinct(ended)
    )


def _last_distinct(names: tuple[str, ...]) -> tuple[str, ...]:
    """Return the last distinct names, at most ``MAX_FORMER_INCARNATIONS``."""
    return tuple(dict.fromkeys(names))[-MAX_FORMER_INCARNATIONS:]

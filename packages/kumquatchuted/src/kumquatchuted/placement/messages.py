"""Messages, events and actions of placement."""

from dataclasses import dataclass
from enum import Enum
from typing import Any


@dataclass(frozen=True)
class Member:
    """A node that may own searchers.

    :param incarnation: identifier of the process, new at every start
    :param address: IP address and port of its peer listener
    :param leaving: True once it is shutting down or out of service; it then
        owns no searchers
    """

    node: str
    incarnation: str
    dc: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class FormerEpoch:
    """An older epoch in which owners may still be sending."""

    epoch: int
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Membership:
    """The members of one epoch, as recorded in the store.

    :param former: older epochs that are not known to be finished; they tell a
        node that joins or skips an epoch which owners to wait for
    """

    epoch: int
    members: tuple[Member, ...] = ()
    former: tuple[FormerEpoch, ...] = ()


@dataclass(frozen=True)
class NodeLease:
    """The lease object of a node, as recorded in the store.

    :param renewals: counter that changes with every renewal
    :param acked_epoch: newest epoch whose lost searchers the holder has
        released
    :param released: the holder no longer sends or confirms anything; written
        by the holder at shutdown or by an operator who knows that it ended
    :param revoked: another node made further renewals impossible
    :param former: incarnations whose lease this one replaced, so that they
        can no longer renew
    :param ended: incarnations among them that no longer send or confirm
        anything
    """

    node: str
    incarnation: str
    address: str = ""
    renewals: int = 0
    acked_epoch: int = 0
    released: bool = False
    revoked: bool = False
    former: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()


@dataclass(frozen=True)
class OwnerGuard:
    """Previous owners that may still be sending under an older epoch.

    A node may send to a searcher only if the owner that the searcher had in
    that epoch is not in ``blocking``.

    :param epoch: the older epoch
    :param members: members of that epoch
    :param blocking: incarnations that may still act as owners in that epoch
    """

    epoch: int
    members: tuple[Member, ...]
    blocking: frozenset[str]


@dataclass(frozen=True)
class Placement:
    """Membership and guards that determine who may send to a searcher.

    :param node: name of this node
    :param incarnation: incarnation of this node
    :param membership: newest membership known
    :param guards: older epochs with owners that may still be sending
    """

    node: str
    incarnation: str
    membership: Membership
    guards: tuple[OwnerGuard, ...] = ()


@dataclass(frozen=True)
class PlacementChanged:
    """The placement changed; sent to every task that depends on it."""

    placement: Placement


@dataclass(frozen=True)
class CurrentUntil:
    """End of the time in which this node is current and may send new work.

    :param until: monotonic time in seconds; in the past if not current
    """

    until: float


@dataclass(frozen=True)
class EpochReleased:
    """The targets task has released all searchers lost in an epoch."""

    epoch: int


@dataclass(frozen=True)
class LeaveMembership:
    """Request to leave the membership.

    Result: None once the newest epoch gives the node no searcher, ``Failure``
    if it cannot leave yet.
    """


@dataclass(frozen=True)
class ReleaseLease:
    """Request to release the lease.

    Result: None once the store shows it as released, ``Failure`` if new
    owners have to wait until it expires.
    """


@dataclass(frozen=True)
class ConfirmRequest:
    """Peer message: asks the receiver to confirm the sender as current.

    :param epoch: newest epoch of the sender
    :param seq: number of the round, repeated in the reply
    """

    node: str
    incarnation: str
    epoch: int
    seq: int


@dataclass(frozen=True)
class Confirmed:
    """Peer message: reply to ``ConfirmRequest``.

    :param incarnation: of the sender; a restarted process has lost the newer
        epochs of its predecessor, so it must not count as the same process
    :param seq: number of the request
    :param epoch: newest epoch of the sender
    :param ticket: number of the newest ticket of the sender
    :param ticket_digest: digest of that ticket
    :param granted: False if the sender knows a newer epoch or the removal of
        the requester, has no membership, or has stopped
    """

    incarnation: str
    seq: int
    epoch: int
    ticket: int
    ticket_digest: str
    granted: bool


@dataclass(frozen=True)
class EpochNotice:
    """Peer message: a newer membership."""

    membership: Membership


@dataclass(frozen=True)
class EpochHeld:
    """Peer message: the newest epoch that the sender has adopted."""

    incarnation: str
    epoch: int


@dataclass(frozen=True)
class EpochAcked:
    """Peer message: the sender released all searchers lost up to ``epoch``."""

    incarnation: str
    epoch: int


@dataclass(frozen=True)
class StoredLease:
    """A lease and its version in the store."""

    lease: NodeLease
    version: str


class WriteOutcome(Enum):
    """Outcome of a conditional write, as far as it is known."""

    DONE = "done"
    CONFLICT = "conflict"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Tick:
    """Event: time has passed; requests may be due or guards may end."""


@dataclass(frozen=True)
class MembershipRead:
    """Event: the membership was read; None if the store has none.

    :param version: version of the object in the store, empty if there is none
    """

    membership: Membership | None
    version: str


@dataclass(frozen=True)
class LeasesRead:
    """Event: all leases were read."""

    leases: tuple[StoredLease, ...]


@dataclass(frozen=True)
class LeaseWritten:
    """Event: outcome of a ``WriteLease``.

    :param sent_at: monotonic time in seconds just before the write was sent
    :param version: version of the lease in the store if it was written
    """

    lease: NodeLease
    sent_at: float
    outcome: WriteOutcome
    version: str = ""


@dataclass(frozen=True)
class LeaseDeleted:
    """Event: a ``DeleteLease`` ended; the next read shows its outcome."""


@dataclass(frozen=True)
class MembershipWritten:
    """Event: outcome of a ``WriteMembership``.

    :param version: version in the store if it was written
    """

    membership: Membership
    outcome: WriteOutcome
    version: str = ""


@dataclass(frozen=True)
class PeerMessage:
    """Event: a message from another node."""

    node: str
    message: Any


@dataclass(frozen=True)
class PeerUp:
    """Event: the link to another node works."""

    node: str


@dataclass(frozen=True)
class TicketStatus:
    """Event: the newest ticket that this node has.

    :param out_of_service: True if operators took this node's host or data
        centre out of service
    """

    number: int
    digest: str
    out_of_service: bool


@dataclass(frozen=True)
class ReadMembership:
    """Action: read the membership."""


@dataclass(frozen=True)
class ReadLeases:
    """Action: read all leases."""


@dataclass(frozen=True)
class ReadFailed:
    """Event: a read of the store failed."""

    read: ReadMembership | ReadLeases


@dataclass(frozen=True)
class WriteLease:
    """Action: create a lease, or update the one that has this version.

    :param version: None to create it
    """

    lease: NodeLease
    version: str | None


@dataclass(frozen=True)
class DeleteLease:
    """Action: delete the lease of a node if it has this version."""

    node: str
    version: str


@dataclass(frozen=True)
class WriteMembership:
    """Action: create the membership, or update it if it has this version.

    :param version: None to create it
    """

    membership: Membership
    version: str | None


@dataclass(frozen=True)
class SendPeer:
    """Action: send a message to another node."""

    node: str
    message: Any


@dataclass(frozen=True)
class SendReply:
    """Action: reply to the event's peer message, on its connection."""

    message: Any


@dataclass(frozen=True)
class Publish:
    """Action: post a message to all subscribers."""

    message: Any


@dataclass(frozen=True)
class LogLine:
    """Action: write a log line."""

    text: str


@dataclass(frozen=True)
class AnswerLeave:
    """Action: answer ``LeaveMembership``.

    :param reason: why the node has not left yet, None if it has
    """

    reason: str | None


@dataclass(frozen=True)
class AnswerRelease:
    """Action: answer ``ReleaseLease``.

    :param reason: why the lease was not released, None if it was
    """

    reason: str | None

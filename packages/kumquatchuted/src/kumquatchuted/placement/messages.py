"""Messages of the placement slice."""

from dataclasses import dataclass
from enum import Enum
from typing import Any


@dataclass(frozen=True)
class Member:
    """A node that may own searchers.

    :param incarnation: identifier of the process, new at every start
    :param address: IP address and port of its peer listener
    :param leaving: True once it is shutting down
    """

    node: str
    incarnation: str
    dc: str
    address: str
    leaving: bool = False


@dataclass(frozen=True)
class FormerEpoch:
    """An older epoch whose owners may still be sending."""

    epoch: int
    members: tuple[Member, ...]


@dataclass(frozen=True)
class Membership:
    """The members of one epoch, as recorded in the store.

    :param former: older epochs that are not known to be over; a node that
        joins or skips an epoch learns from them whom to wait for
    """

    epoch: int
    members: tuple[Member, ...] = ()
    former: tuple[FormerEpoch, ...] = ()


@dataclass(frozen=True)
class NodeLease:
    """The lease object of a node, as recorded in the store.

    :param renewals: counter, changes with every renewal
    :param acked_epoch: newest epoch whose lost searchers it has released
    :param released: the holder sends and confirms nothing any more; written
        by the holder at shutdown or by an operator who knows that it ended
    :param revoked: another node made further renewals impossible
    :param former: incarnations whose lease this one replaced, so that they
        can renew no more
    :param ended: incarnations among them that send and confirm nothing any
        more
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

    A node may start on a searcher only if the owner that the searcher had
    in that epoch is not blocked.

    :param epoch: epoch in which ``blocked`` nodes were owners
    :param members: members of that epoch
    :param blocked: incarnations that may still act as owners in that epoch
    """

    epoch: int
    members: tuple[Member, ...]
    blocking: frozenset[str]


@dataclass(frozen=True)
class Placement:
    """What a node knows about ownership; decides who serves a searcher.

    :param node: this node
    :param membership: newest membership known
    :param guards: older epochs with owners that have not acknowledged
    """

    node: str
    incarnation: str
    membership: Membership
    guards: tuple[OwnerGuard, ...] = ()


@dataclass(frozen=True)
class PlacementChanged:
    """Sent to every task that works with the placement."""

    placement: Placement


@dataclass(frozen=True)
class CurrentUntil:
    """How long this node may send new work.

    :param until: monotonic time in seconds; in the past if not current
    """

    until: float


@dataclass(frozen=True)
class EpochReleased:
    """The target task has stopped on all searchers lost in an epoch."""

    epoch: int


@dataclass(frozen=True)
class LeaveMembership:
    """Ask placement to leave. Result: None, or ``Failure`` if it cannot."""


@dataclass(frozen=True)
class ReleaseLease:
    """Ask placement to release the lease. Result: None or ``Failure``."""


@dataclass(frozen=True)
class ConfirmRequest:
    """Peer message: do you know of a newer epoch or incarnation?"""

    node: str
    incarnation: str
    epoch: int
    seq: int


@dataclass(frozen=True)
class Confirmed:
    """Peer message: answer to ``ConfirmRequest``.

    :param incarnation: of the sender; a process that was restarted has no
        memory of newer epochs and must not count as its predecessor
    :param granted: False if the asker is outdated or was replaced
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
    """Peer message: the sender works with this epoch."""

    incarnation: str
    epoch: int


@dataclass(frozen=True)
class EpochAcked:
    """Peer message: the sender released all searchers it lost by ``epoch``."""

    incarnation: str
    epoch: int


@dataclass(frozen=True)
class StoredLease:
    """A lease and its version in the store."""

    lease: NodeLease
    version: str


class WriteOutcome(Enum):
    """What is known of a conditional write."""

    DONE = "done"
    CONFLICT = "conflict"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Tick:
    """Time passed."""


@dataclass(frozen=True)
class MembershipRead:
    """The membership in the store; None if there is none yet."""

    membership: Membership | None
    version: str


@dataclass(frozen=True)
class LeasesRead:
    """All leases in the store."""

    leases: tuple[StoredLease, ...]


@dataclass(frozen=True)
class LeaseWritten:
    """Outcome of a ``WriteLease``.

    :param sent_at: monotonic time in seconds before the write was sent
    """

    lease: NodeLease
    sent_at: float
    outcome: WriteOutcome
    version: str = ""


@dataclass(frozen=True)
class LeaseDeleted:
    """A ``DeleteLease`` was tried; the next read shows whether it worked."""


@dataclass(frozen=True)
class MembershipWritten:
    """Outcome of a ``WriteMembership``."""

    membership: Membership
    outcome: WriteOutcome
    version: str = ""


@dataclass(frozen=True)
class PeerMessage:
    """A message from another node."""

    node: str
    message: Any


@dataclass(frozen=True)
class PeerUp:
    """The link to another node works."""

    node: str


@dataclass(frozen=True)
class TicketStatus:
    """Newest ticket of this node and whether operators took it out."""

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
    """The store did not answer a read."""

    read: ReadMembership | ReadLeases


@dataclass(frozen=True)
class WriteLease:
    """Action: create a lease, or update the one with this version."""

    lease: NodeLease
    version: str | None


@dataclass(frozen=True)
class DeleteLease:
    """Action: delete the lease object of a node with this version."""

    node: str
    version: str


@dataclass(frozen=True)
class WriteMembership:
    """Action: create the membership, or update the one with this version."""

    membership: Membership
    version: str | None


@dataclass(frozen=True)
class SendPeer:
    """Action: send a message to another node."""

    node: str
    message: Any


@dataclass(frozen=True)
class AnswerPeer:
    """Action: answer the message that is handled, on its connection."""

    message: Any


@dataclass(frozen=True)
class Publish:
    """Action: post a message to the subscribers."""

    message: Any


@dataclass(frozen=True)
class LogDecision:
    """Action: write a log line."""

    text: str


@dataclass(frozen=True)
class AnswerLeave:
    """Action: answer ``LeaveMembership``.

    :param reason: why it is not done yet, None if it is
    """

    reason: str | None


@dataclass(frozen=True)
class AnswerRelease:
    """Action: answer ``ReleaseLease``.

    :param reason: why it could not be done, None if it is
    """

    reason: str | None

"""Messages between nodes and between the peer links and other tasks."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kumquatchuted.placement.messages import Member
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.messages import SubmitAttempt
from kumquatchuted.targets.messages import SubmitResult


@dataclass(frozen=True)
class PeerIdentity:
    """A process of a node, as one end of a link."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class Ping:
    """Peer message: heartbeat.

    :param sent_at: sender's monotonic time in seconds
    """

    seq: int
    sent_at: float


@dataclass(frozen=True)
class Pong:
    """Peer message: reply to a heartbeat, with its fields."""

    seq: int
    sent_at: float


@dataclass(frozen=True)
class AttemptBatch:
    """Peer message: attempts for searchers that the receiver owns.

    :param sent_at: sender's monotonic time in seconds
    """

    sent_at: float
    searches: tuple[SearchAttempt, ...] = ()
    submissions: tuple[SubmitAttempt, ...] = ()


@dataclass(frozen=True)
class OutcomeBatch:
    """Peer message: outcomes of attempts that the receiver sent.

    :param refusals: attempts that failed, also those that may have run
    """

    results: tuple[SearchResult, ...] = ()
    submissions: tuple[SubmitResult, ...] = ()
    refusals: tuple[AttemptFailed, ...] = ()


@dataclass(frozen=True)
class Cancellation:
    """An attempt to cancel and the searcher that it was sent to.

    The owner needs the searcher to find the attempt without looking through
    the attempts of all its searchers.
    """

    attempt: str
    searcher: str


@dataclass(frozen=True)
class CancelBatch:
    """Peer message: attempts to cancel at the receiver."""

    items: tuple[Cancellation, ...]


@dataclass(frozen=True)
class ToPeer:
    """Ask the peer task to send a message to a node.

    The peer task posts ``SendFailed`` if it cannot pass it to a link.
    """

    node: str
    message: Any


@dataclass(frozen=True)
class ReplyToPeer:
    """Ask the peer task to reply on the connection of the request.

    :param requester: process that sent the request
    """

    requester: PeerIdentity
    message: Any


@dataclass(frozen=True)
class FromPeer:
    """A message received from another node.

    :param node: sender
    :param received_at: receiver's monotonic time in seconds
    :param incarnation: of the sender
    """

    node: str
    message: Any
    received_at: float
    incarnation: str = ""


@dataclass(frozen=True)
class LinkDown:
    """The link to a node failed; what was sent last may not have arrived."""

    node: str


@dataclass(frozen=True)
class LinkUp:
    """The link to a node works: heartbeats are answered."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class PeersChanged:
    """The set of nodes to keep links with changed."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class SendAttempt:
    """Ask the dispatch task to send an attempt to the owner of a searcher.

    :param node: owner, which may be this node
    :param expires_at: monotonic time in seconds after which the outcome is no
        longer needed
    :param reply: receives the outcome
    """

    node: str
    attempt: SearchAttempt | SubmitAttempt
    expires_at: float
    reply: Callable[[Any], None]


@dataclass(frozen=True)
class WithdrawAttempts:
    """Ask the dispatch task to cancel attempts that are no longer needed.

    Outcomes of these attempts that still arrive are dropped.
    """

    attempts: tuple[str, ...]


@dataclass(frozen=True)
class SendFailed:
    """A link did not accept a message, so it was certainly not sent."""

    node: str
    message: Any


@dataclass(frozen=True)
class ReceiveFailed:
    """Handling a received message raised an exception; it stops the node."""

    exc: Exception


@dataclass(frozen=True)
class HeartbeatDue:
    """Time to send a heartbeat on every link."""

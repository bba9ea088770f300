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
class Identity:
    """Who is at the other end of a link."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class Ping:
    """Peer message: heartbeat.

    :param sent_at: monotonic time of the sender in seconds
    """

    seq: int
    sent_at: float


@dataclass(frozen=True)
class Pong:
    """Peer message: echo of a heartbeat."""

    seq: int
    sent_at: float


@dataclass(frozen=True)
class AttemptBatch:
    """Peer message: attempts for searchers that the receiver owns.

    :param sent_at: monotonic time of the sender in seconds
    """

    sent_at: float
    searches: tuple[SearchAttempt, ...] = ()
    submissions: tuple[SubmitAttempt, ...] = ()


@dataclass(frozen=True)
class OutcomeBatch:
    """Peer message: outcomes of attempts."""

    results: tuple[SearchResult, ...] = ()
    submissions: tuple[SubmitResult, ...] = ()
    refusals: tuple[AttemptFailed, ...] = ()


@dataclass(frozen=True)
class Cancellation:
    """An attempt that nobody waits for, and where it was sent.

    The searcher is named so that its owner finds the attempt without asking
    all of its searchers.
    """

    attempt: str
    searcher: str


@dataclass(frozen=True)
class CancelBatch:
    """Peer message: attempts that nobody waits for."""

    items: tuple[Cancellation, ...]


@dataclass(frozen=True)
class ToPeer:
    """Ask the peer task to send a message to a node."""

    node: str
    message: Any


@dataclass(frozen=True)
class ReplyToPeer:
    """Ask the peer task to answer a process on the connection it asked on."""

    requester: Identity
    message: Any


@dataclass(frozen=True)
class FromPeer:
    """A message that a node sent us.

    :param received_at: monotonic time in seconds
    :param incarnation: of the process that sent it
    """

    node: str
    message: Any
    received_at: float
    incarnation: str = ""


@dataclass(frozen=True)
class LinkDown:
    """The link to a node failed; messages handed to it may be lost."""

    node: str


@dataclass(frozen=True)
class LinkUp:
    """The link to a node answers heartbeats."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class PeersChanged:
    """The nodes to keep links with."""

    members: tuple[Member, ...]


@dataclass(frozen=True)
class SendAttempt:
    """Ask the dispatch task to run an attempt at the owner of a searcher.

    :param node: owner, which may be this node
    :param expires: monotonic time in seconds after which nobody waits
    :param reply: mailbox entry that receives the outcome
    """

    node: str
    attempt: SearchAttempt | SubmitAttempt
    expires: float
    reply: Callable[[Any], None]


@dataclass(frozen=True)
class WithdrawAttempts:
    """Ask the dispatch task to cancel attempts that are no longer needed."""

    attempts: tuple[str, ...]


@dataclass(frozen=True)
class SendFailed:
    """A message was not handed to the link, so it never leaves this node."""

    node: str
    message: Any


@dataclass(frozen=True)
class ReceiveFailed:
    """Handling a received message raised an exception, which ends the node."""

    exc: Exception


@dataclass(frozen=True)
class HeartbeatDue:
    """Time to send a heartbeat on every link."""

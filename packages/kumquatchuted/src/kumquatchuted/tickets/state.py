"""State of the ticket log on one node, and functions that query it."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from types import MappingProxyType

from kumquatchute_model.ticket import NO_DIGEST
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.actions import Action
from kumquatchuted.tickets.messages import EMPTY_MAPPING
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import View

# Older tickets are read from the store. The limits keep the memory use of a
# node independent of the length of the log.
MAX_RECENT_TICKETS = 200
MAX_RECENT_BYTES = 8_000_000


@dataclass(frozen=True)
class RecentTicket:
    """A recent ticket with its digest and size, which are slow to compute.

    :param size_bytes: approximate encoded size in bytes
    """

    ticket: Ticket
    digest: str
    size_bytes: int

    @property
    def number(self) -> int:
        """Return the number of the ticket."""
        return self.ticket.number


@dataclass(frozen=True)
class PeerState:
    """Known state of another node.

    :param incarnation: incarnation that reported ``number``; empty before the
        link was up for the first time
    :param is_up: True while the link to it answers heartbeats
    :param number: newest ticket that it reported
    :param digest: digest of that ticket
    """

    incarnation: str = ""
    is_up: bool = False
    number: int = 0
    digest: str = NO_DIGEST


@dataclass(frozen=True)
class PendingSubmission:
    """A submission that is not recorded yet.

    :param deadline: monotonic time in seconds at which the operator gets an
        answer in any case
    """

    request_id: int
    request: SubmitTicket
    deadline: float


@dataclass(frozen=True)
class Checking:
    """Phase: the store is read for tickets newer than this node's."""

    submission: PendingSubmission


@dataclass(frozen=True)
class Comparing:
    """Phase: the record with the submission's number is read.

    Its content shows whether the submission is a retry or the number is taken.
    """

    submission: PendingSubmission


@dataclass(frozen=True)
class Creating:
    """Phase: the create was sent.

    :param answer_lost: True if the answer to an earlier create was lost
    """

    submission: PendingSubmission
    ticket: Ticket
    answer_lost: bool = False


@dataclass(frozen=True)
class ReadingBack:
    """Phase: the record is read, to find out whose ticket has the number.

    :param answer_lost: True if the answer to a create was lost
    """

    submission: PendingSubmission
    ticket: Ticket
    answer_lost: bool


@dataclass(frozen=True)
class AwaitingRetry:
    """Phase: waits before the next create or read.

    :param answer_lost: True if the answer to a create was lost
    :param retry_at: monotonic time in seconds of the next attempt
    :param create_again: True to create again, False to read the record again
    """

    submission: PendingSubmission
    ticket: Ticket
    answer_lost: bool
    retry_at: float
    create_again: bool


@dataclass(frozen=True)
class PendingReplication:
    """A recorded ticket whose submission waits until enough nodes hold it.

    :param deadline: monotonic time in seconds at which the operator gets an
        answer in any case
    :param resend_at: monotonic time in seconds at which to send the notice
        again to the nodes that did not confirm
    """

    request_id: int
    number: int
    digest: str
    deadline: float
    resend_at: float


SubmissionPhase = Checking | Comparing | Creating | ReadingBack | AwaitingRetry


@dataclass(frozen=True)
class TicketLog:
    """State of the log. Times are monotonic, in seconds.

    :param dcs: data centres that exist
    :param recent: newest tickets without a gap, up to the number of the view
    :param members: nodes of the newest membership
    :param older_epochs: nodes of each older epoch that may not have ended
    :param loaded: True once the read of the compacted view was answered
    :param compacted_number: newest ticket in the newest known compacted view
    :param poll_in_flight: True while the poll's read is in flight
    :param next_poll_at: when to poll next
    :param watch_open: True while a watch is open
    :param next_watch_at: earliest time to open a watch again
    :param next_fetch_at: earliest time to request tickets from a peer again
    :param store_failure: why the last read of the store failed, empty if it
        succeeded; a line is logged when this changes
    :param queue: submissions that wait for the one being recorded
    :param active: phase of the submission that is being recorded
    :param replications: recorded tickets that wait for enough holders
    """

    node: str
    dcs: frozenset[str]
    view: View = field(default_factory=View)
    recent: tuple[RecentTicket, ...] = ()
    members: frozenset[str] = frozenset()
    older_epochs: tuple[frozenset[str], ...] = ()
    peers: Mapping[str, PeerState] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    loaded: bool = False
    compacted_number: int = 0
    poll_in_flight: bool = False
    next_poll_at: float = 0.0
    watch_open: bool = False
    next_watch_at: float = 0.0
    next_fetch_at: float = 0.0
    store_failure: str = ""
    queue: tuple[PendingSubmission, ...] = ()
    active: SubmissionPhase | None = None
    replications: tuple[PendingReplication, ...] = ()


@dataclass(frozen=True)
class Step:
    """New state and the actions to run."""

    log: TicketLog
    actions: tuple[Action, ...] = ()

    def then(self, handler: "Callable[..., Step]", *args) -> "Step":
        """Apply a function to the new state and append its actions."""
        continued = handler(self.log, *args)
        return Step(continued.log, self.actions + continued.actions)

    def add_actions(self, *actions: Action) -> "Step":
        """Append actions."""
        return Step(self.log, self.actions + actions)


def find_recent(log: TicketLog, number: int) -> RecentTicket | None:
    """Return a recent ticket, or None if it is not in memory."""
    if not log.recent:
        return None
    index = number - log.recent[0].number
    return log.recent[index] if 0 <= index < len(log.recent) else None


def known_digest(log: TicketLog, number: int) -> str | None:
    """Return the digest of a ticket, or None if it is not in memory."""
    if number == log.view.number:
        return log.view.digest
    recent = find_recent(log, number)
    return recent.digest if recent else None


def trim_recent(recent: tuple[RecentTicket, ...]) -> tuple[RecentTicket, ...]:
    """Return the newest tickets within the limits of count and size."""
    total, start = 0, len(recent)
    while start > 0 and len(recent) - start < MAX_RECENT_TICKETS:
        total += recent[start - 1].size_bytes
        if total > MAX_RECENT_BYTES:
            break
        start -= 1
    return recent[start:]


def set_peer(log: TicketLog, node: str, peer: PeerState) -> TicketLog:
    """Return the log with the new state of a peer."""
    return replace(log, peers=MappingProxyType({**log.peers, node: peer}))


def reachable_peers(log: TicketLog) -> tuple[str, ...]:
    """Return the reachable nodes of the membership and older epochs."""
    return tuple(
        node
        for node in sorted(log.members.union(*log.older_epochs) - {log.node})
        if node in log.peers and log.peers[node].is_up
    )


def count_reachable(log: TicketLog) -> int:
    """Return how many members are reachable, this node included."""
    return len(log.members & {log.node, *reachable_peers(log)})


def too_few_reachable(log: TicketLog) -> bool:
    """Return True if too few nodes are reachable to accept a ticket."""
    return not _intersects_majorities(log, {log.node, *reachable_peers(log)})


def required_holders(log: TicketLog) -> int:
    """Return how many members must hold a ticket before it is accepted.

    Every majority of the members then contains a node that holds it.
    """
    return _min_holders(log.members)


def _min_holders(nodes: frozenset[str]) -> int:
    return len(nodes) - (len(nodes) // 2 + 1) + 1


def _intersects_majorities(log: TicketLog, nodes: Iterable[str]) -> bool:
    """Return True if every majority of each epoch contains one of the nodes.

    Older epochs count because a node that does not know of a newer epoch
    stays current with a majority of its own.
    """
    groups = (log.members, *log.older_epochs)
    return bool(log.members) and all(
        len(group.intersection(nodes)) >= _min_holders(group)
        for group in groups
    )


def holders(log: TicketLog, number: int) -> tuple[str, ...]:
    """Return the members that are known to hold a ticket."""
    return tuple(
        node for node in _known_holders(log, number) if node in log.members
    )


def _known_holders(log: TicketLog, number: int) -> tuple[str, ...]:
    return tuple(
        node
        for node in sorted(log.members.union(*log.older_epochs))
        if (node == log.node and log.view.number >= number)
        or (node in log.peers and _has_ticket(log, log.peers[node], number))
    )


def _has_ticket(log: TicketLog, peer: PeerState, number: int) -> bool:
    """Return True if a peer's report implies that it holds a ticket.

    A report of a ticket that this node lacks cannot be checked against its
    chain. It counts once this node has fetched the ticket.
    """
    if not number <= peer.number <= log.view.number:
        return False
    digest = known_digest(log, peer.number)
    return digest is None or digest == peer.digest


def is_accepted(log: TicketLog, number: int) -> bool:
    """Return True if enough members hold a ticket."""
    return _intersects_majorities(log, _known_holders(log, number))


def peers_ahead(log: TicketLog) -> tuple[str, ...]:
    """Return the peers that reported a newer ticket than this node has."""
    return tuple(
        node
        for node, peer in sorted(log.peers.items())
        if peer.number > log.view.number
    )

"""Events that the ticket log handles, except messages of other tasks."""

from dataclasses import dataclass
from enum import Enum

from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import ListTickets
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import ShowTicket
from kumquatchuted.tickets.messages import SubmitTicket
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import View


@dataclass(frozen=True)
class RequestReceived:
    """A request arrived whose sender waits for the result.

    :param request_id: number by which the task finds the sender
    """

    request_id: int
    request: SubmitTicket | ShowTicket | ListTickets


@dataclass(frozen=True)
class Tick:
    """Posted at a fixed interval to check timeouts and polls."""


@dataclass(frozen=True)
class MembershipChanged:
    """The membership changed.

    :param nodes: nodes of the newest membership
    :param older_epochs: nodes of each older epoch that may not have ended
    """

    nodes: frozenset[str]
    older_epochs: tuple[frozenset[str], ...] = ()


@dataclass(frozen=True)
class PeerUp:
    """The link to a node is up: heartbeats are answered."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class PeerDown:
    """The link to a node is down: heartbeats are not answered."""

    node: str


@dataclass(frozen=True)
class PeerMessage:
    """A ticket message from another node."""

    node: str
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld


@dataclass(frozen=True)
class ViewReceived:
    """A whole view was received from another node."""

    node: str
    view: View


@dataclass(frozen=True)
class CompactedViewRead:
    """The compacted view was read; this happens when the node starts.

    :param result: the view, None if there is none yet, or why the read failed
    """

    result: View | None | Failure


@dataclass(frozen=True)
class NewTicketsRead:
    """The tickets after a number were read from the store.

    :param tickets: tickets found, in order
    :param checked_at: monotonic time in seconds before the last read was sent
    :param complete: True if the store holds no further ticket
    :param failure: why the read failed; None if it reached the end of the log
        or the limit for one read
    :param holds_newest: True if the store holds this node's newest ticket;
        None if that was not checked
    :param for_submit: True if a submission waits for the result
    """

    tickets: tuple[Ticket, ...]
    checked_at: float
    complete: bool
    failure: Failure | None = None
    holds_newest: bool | None = None
    for_submit: bool = False


@dataclass(frozen=True)
class TicketDelivered:
    """The watch delivered a ticket."""

    ticket: Ticket


@dataclass(frozen=True)
class WatchEnded:
    """The watch on tickets ended."""


@dataclass(frozen=True)
class CompactionFailed:
    """The compacted view could not be written.

    :param number: newest ticket in that view
    """

    number: int


class CreateOutcome(Enum):
    """Answer of the store to a create."""

    CREATED = "created"
    EXISTS = "exists"


@dataclass(frozen=True)
class CreateDone:
    """The create of a ticket was answered, failed or timed out."""

    ticket: Ticket
    result: CreateOutcome | Failure


@dataclass(frozen=True)
class RecordRead:
    """The record of one ticket was read.

    :param request_id: request that waits for it, None for a submission
    """

    number: int
    request_id: int | None
    result: Ticket | Failure


@dataclass(frozen=True)
class TicketListRead:
    """The tickets for ``ListTickets`` were read."""

    request_id: int
    result: tuple[Ticket, ...] | Failure


Event = (
    RequestReceived
    | Tick
    | MembershipChanged
    | PeerUp
    | PeerDown
    | PeerMessage
    | PeerHasTicket
    | ViewReceived
    | CompactedViewRead
    | NewTicketsRead
    | TicketDelivered
    | WatchEnded
    | CompactionFailed
    | CreateDone
    | RecordRead
    | TicketListRead
)

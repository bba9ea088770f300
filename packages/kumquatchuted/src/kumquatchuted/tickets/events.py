"""Events of the ticket log besides the messages of other tasks."""

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
    """Someone waits for the result of a request.

    :param request_id: number under which the task keeps who waits
    """

    request_id: int
    request: SubmitTicket | ShowTicket | ListTickets


@dataclass(frozen=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True)
class MembershipChanged:
    """The nodes of the newest membership.

    :param older_epochs: the nodes of each older epoch that is not known to
        be over
    """

    nodes: frozenset[str]
    older_epochs: tuple[frozenset[str], ...] = ()


@dataclass(frozen=True)
class PeerUp:
    """The link to a node answers heartbeats."""

    node: str
    incarnation: str


@dataclass(frozen=True)
class PeerDown:
    """The link to a node does not answer."""

    node: str


@dataclass(frozen=True)
class PeerMessage:
    """A ticket message that a node sent."""

    node: str
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld


@dataclass(frozen=True)
class ViewReceived:
    """A whole view that a node sent."""

    node: str
    view: View


@dataclass(frozen=True)
class CompactedViewRead:
    """The compacted view was read, at the start of the node.

    :param result: None if there is no compacted view yet
    """

    result: View | None | Failure


@dataclass(frozen=True)
class NewTicketsRead:
    """The tickets after a number were read from the store.

    :param tickets: tickets found, in order
    :param checked_at: monotonic time in seconds before the last read was sent
    :param complete: True if the store holds no further ticket
    :param failure: why the read stopped, unless it reached the end or the
        limit for one read
    :param holds_newest: False if the store does not hold our newest ticket;
        None if that was not asked
    :param for_submit: True if a submission waits for it
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
    """The compacted view could not be written."""

    number: int


class CreateOutcome(Enum):
    """How the store answered a create."""

    CREATED = "created"
    EXISTS = "exists"


@dataclass(frozen=True)
class CreateDone:
    """The create of a ticket was answered, or its answer was lost."""

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
    """Tickets for a list were read."""

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

"""Actions of the ticket log, carried out by the ticket task."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged


@dataclass(frozen=True)
class ReadCompactedView:
    """Read the compacted view. Result: ``CompactedViewRead``."""


@dataclass(frozen=True)
class ReadNewTickets:
    """Read the tickets after a number. Result: ``NewTicketsRead``.

    :param digest: digest of ticket ``after``
    :param for_submit: True if a submission waits for it; then the read also
        checks that the store holds ticket ``after`` with this digest
    """

    after: int
    digest: str
    for_submit: bool = False


@dataclass(frozen=True)
class WatchTickets:
    """Watch for tickets after a number. Results: ``TicketDelivered``."""

    after: int


@dataclass(frozen=True)
class CreateTicket:
    """Create the record of a ticket. Result: ``CreateDone``."""

    ticket: Ticket


@dataclass(frozen=True)
class ReadRecord:
    """Read one ticket. Result: ``RecordRead``."""

    number: int
    request_id: int | None = None


@dataclass(frozen=True)
class ReadTicketList:
    """Read tickets for a list. Result: ``TicketListRead``."""

    request_id: int
    after: int
    limit: int


@dataclass(frozen=True)
class WriteCompactedView:
    """Write the view as compaction objects, unless a newer one exists."""

    view: View


@dataclass(frozen=True)
class SendPeer:
    """Send a message to a node."""

    node: str
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld


@dataclass(frozen=True)
class SendView:
    """Send the whole view to a node."""

    node: str
    view: View


@dataclass(frozen=True)
class Publish:
    """Post a message to the subscribers."""

    message: ViewChanged | TicketsUpToDate


@dataclass(frozen=True)
class Reply:
    """Give the result of a request."""

    request_id: int
    result: Any


class LogLevel(Enum):
    """Importance of a log line."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class LogLine:
    """Write a line to the log of the node."""

    level: LogLevel
    text: str


Action = (
    ReadCompactedView
    | ReadNewTickets
    | WatchTickets
    | CreateTicket
    | ReadRecord
    | ReadTicketList
    | WriteCompactedView
    | SendPeer
    | SendView
    | Publish
    | Reply
    | LogLine
)

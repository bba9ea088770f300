"""Actions returned by the ticket log; the ticket task runs them."""

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
    """Read the compacted view; answered by ``CompactedViewRead``."""


@dataclass(frozen=True)
class ReadNewTickets:
    """Read the tickets after a number; answered by ``NewTicketsRead``.

    :param digest: digest of ticket ``after``
    :param for_submit: True if a submission waits for the result; the read
        then also checks that the store holds ticket ``after`` with this digest
    """

    after: int
    digest: str
    for_submit: bool = False


@dataclass(frozen=True)
class WatchTickets:
    """Watch tickets after a number; posts ``TicketDelivered`` for each."""

    after: int


@dataclass(frozen=True)
class CreateTicket:
    """Create the record of a ticket; answered by ``CreateDone``."""

    ticket: Ticket


@dataclass(frozen=True)
class ReadRecord:
    """Read the record of one ticket; answered by ``RecordRead``.

    :param request_id: request that waits for it, None for a submission
    """

    number: int
    request_id: int | None = None


@dataclass(frozen=True)
class ReadTicketList:
    """Read tickets for ``ListTickets``; answered by ``TicketListRead``."""

    request_id: int
    after: int
    limit: int


@dataclass(frozen=True)
class WriteCompactedView:
    """Write the compacted view unless the store has a recent one."""

    view: View


@dataclass(frozen=True)
class SendPeer:
    """Send a message to another node."""

    node: str
    message: FetchTickets | TicketBatch | TicketNotice | TicketHeld


@dataclass(frozen=True)
class SendView:
    """Send the whole view to another node in chunks."""

    node: str
    view: View


@dataclass(frozen=True)
class Publish:
    """Post a message to all subscribers."""

    message: ViewChanged | TicketsUpToDate


@dataclass(frozen=True)
class Reply:
    """Answer a request."""

    request_id: int
    result: Any


class LogLevel(Enum):
    """Severity of a log line."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True)
class LogLine:
    """Write a log line."""

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

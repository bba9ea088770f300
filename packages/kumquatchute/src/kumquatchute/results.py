"""What came of a command, as frozen data classes."""

from dataclasses import dataclass

from kumquatchute.explain import Explanation
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.status import NodeStatus
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry


@dataclass(frozen=True)
class TicketAccepted:
    """The ticket is in force.

    :param entries: what it sets
    :param recovered: True if the answer was lost and the log was read
    """

    number: int
    digest: str
    entries: tuple[TicketEntry, ...]
    recovered: bool = False


@dataclass(frozen=True)
class TicketDetails:
    """A recorded ticket, who is known to hold it, and if it is accepted."""

    ticket: Ticket
    held_by: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class TicketList:
    """Tickets in the order of their numbers."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True)
class NodeStatusResult:
    """What one node answered."""

    url: str
    status: NodeStatus | Failure


@dataclass(frozen=True)
class NodeStatuses:
    """What all nodes answered."""

    nodes: tuple[NodeStatusResult, ...]


@dataclass(frozen=True)
class SettingsChecked:
    """One line for each fault of a settings file."""

    path: str
    faults: tuple[str, ...]


@dataclass(frozen=True)
class LogUnreadable:
    """A log file cannot be read."""

    path: str
    reason: str


Result = (
    TicketAccepted
    | TicketDetails
    | TicketList
    | NodeStatuses
    | SearchAnswer
    | SettingsChecked
    | Explanation
    | LogUnreadable
    | Failure
)

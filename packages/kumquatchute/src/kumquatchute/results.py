"""Results of commands, as frozen data classes.

The fields of ``SettingsChecked``, ``LogUnreadable`` and ``Explanation`` are
keys of the JSON output.
"""

from dataclasses import dataclass

from kumquatchute.explain import Explanation
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchute_model.status import NodeStatus
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry


@dataclass(frozen=True)
class TicketAccepted:
    """The submitted ticket is in force.

    :param recovered: True if the answer was lost and the ticket was found in
        the log instead
    """

    number: int
    digest: str
    entries: tuple[TicketEntry, ...]
    recovered: bool = False


@dataclass(frozen=True)
class TicketDetails:
    """A recorded ticket.

    :param held_by: names of the nodes known to hold it
    :param accepted: whether it is in force
    """

    ticket: Ticket
    held_by: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class TicketList:
    """Tickets in the order of their numbers."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True)
class NodeStatusResult:
    """Status of one node, or why it could not be read."""

    url: str
    status: NodeStatus | Failure


@dataclass(frozen=True)
class NodeStatuses:
    """Statuses of all nodes given."""

    nodes: tuple[NodeStatusResult, ...]


@dataclass(frozen=True)
class SettingsChecked:
    """A settings file was checked.

    :param faults: one line for each fault
    """

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

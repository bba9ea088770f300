"""What the operator asks for, as frozen data classes."""

from dataclasses import dataclass

from kumquatchute_model.ticket import TicketEntry


@dataclass(frozen=True)
class SubmitFile:
    """Submit the ticket in a file."""

    path: str


@dataclass(frozen=True)
class SubmitEntry:
    """Submit a ticket with one entry under the next number."""

    entry: TicketEntry


@dataclass(frozen=True)
class ShowTicket:
    """Show one ticket."""

    number: int


@dataclass(frozen=True)
class ListTickets:
    """Show the tickets after a number.

    :param limit: number of tickets shown at most
    """

    after: int
    limit: int


@dataclass(frozen=True)
class ShowStatus:
    """Show the state of every node given."""


@dataclass(frozen=True)
class SearchName:
    """Search a service for a name."""

    service: str
    name: str
    limit: int
    deadline_ms: int | None


@dataclass(frozen=True)
class CheckSettings:
    """Check a settings file of a node."""

    path: str


@dataclass(frozen=True)
class ExplainRequest:
    """Explain a request from logs.

    :param paths: log files; standard input if there are none
    """

    request_id: str
    paths: tuple[str, ...]


Command = (
    SubmitFile
    | SubmitEntry
    | ShowTicket
    | ListTickets
    | ShowStatus
    | SearchName
    | CheckSettings
    | ExplainRequest
)

"""Commands of the operator, as frozen data classes."""

from dataclasses import dataclass

from kumquatchute_model.ticket import TicketEntry


@dataclass(frozen=True)
class SubmitFile:
    """Submit the ticket in a file."""

    path: str


@dataclass(frozen=True)
class SubmitEntry:
    """Submit a ticket with one entry under the next free number."""

    entry: TicketEntry


@dataclass(frozen=True)
class ShowTicket:
    """Show one ticket."""

    number: int


@dataclass(frozen=True)
class ListTickets:
    """List the tickets after a number.

    :param limit: maximum number of tickets
    """

    after: int
    limit: int


@dataclass(frozen=True)
class ShowStatus:
    """Show the status of every node given."""


@dataclass(frozen=True)
class SearchName:
    """Search a service for a name.

    :param limit: maximum number of hits
    :param deadline_ms: milliseconds, None for the default of the service
    """

    service: str
    name: str
    limit: int
    deadline_ms: int | None


@dataclass(frozen=True)
class CheckSettings:
    """Check the settings file of a node."""

    path: str


@dataclass(frozen=True)
class ExplainRequest:
    """Explain the outcome of a request from log files.

    :param paths: log files; standard input if empty
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

"""Messages of the ticket slice to and from other tasks and nodes."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from kumquatchute_model.ticket import Entry
from kumquatchute_model.ticket import NO_DIGEST
from kumquatchute_model.ticket import Ticket

EMPTY_MAPPING: Mapping = MappingProxyType({})


@dataclass(frozen=True)
class View:
    """State of every key after the ticket ``number``.

    :param number: newest ticket applied, 0 before the first
    :param digest: digest of that ticket
    :param spellings: folded spelling to all spellings of the names it belongs
        to; ``tickets.view.lookup`` folds and looks up
    :param aliases: name as recorded to its aliases as recorded
    :param names_by_spelling: folded spelling to the names it belongs to; like
        ``spellings`` derived from ``aliases``, and therefore not compared
    :param dcs_out: data centres out of service
    :param hosts_out: hosts out of service
    :param settings: (service, key) to value
    """

    number: int = 0
    digest: str = NO_DIGEST
    spellings: Mapping[str, tuple[str, ...]] = field(
        default_factory=lambda: EMPTY_MAPPING, compare=False
    )
    dcs_out: frozenset[str] = frozenset()
    hosts_out: frozenset[str] = frozenset()
    settings: Mapping[tuple[str, str], str] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    aliases: Mapping[str, tuple[str, ...]] = field(
        default_factory=lambda: EMPTY_MAPPING
    )
    names_by_spelling: Mapping[str, tuple[str, ...]] = field(
        default_factory=lambda: EMPTY_MAPPING, compare=False
    )


@dataclass(frozen=True)
class ViewChanged:
    """Sent to every task that works with the view."""

    view: View


@dataclass(frozen=True)
class TicketsUpToDate:
    """The store was read for tickets after our own.

    :param checked_at: monotonic time in seconds directly before the read was
        sent
    """

    checked_at: float


@dataclass(frozen=True)
class SubmitTicket:
    """An operator's ticket. Result: ``TicketAccepted`` or ``Failure``.

    :param number: number chosen by the operator, None for the next one
    """

    author: str
    entries: tuple[Entry, ...]
    number: int | None = None


@dataclass(frozen=True)
class TicketAccepted:
    """The ticket is recorded and enough nodes hold it."""

    number: int
    digest: str


@dataclass(frozen=True)
class ShowTicket:
    """Ask for a ticket. Result: ``TicketShown`` or ``Failure``."""

    number: int


@dataclass(frozen=True)
class TicketShown:
    """A recorded ticket and how many nodes are known to hold it."""

    ticket: Ticket
    held_by: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class ListTickets:
    """Ask for the tickets after a number. Result: tuple of ``Ticket``."""

    after: int
    limit: int = 100


@dataclass(frozen=True)
class PeerHasTicket:
    """A confirmation told us the newest ticket of a peer."""

    node: str
    number: int
    digest: str


@dataclass(frozen=True)
class FetchTickets:
    """Peer message: send the tickets after a number."""

    after: int


@dataclass(frozen=True)
class TicketBatch:
    """Peer message: tickets in order; the chain is checked on receipt."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True)
class TicketNotice:
    """Peer message: a ticket was recorded."""

    ticket: Ticket


@dataclass(frozen=True)
class TicketHeld:
    """Peer message: the sender has applied this ticket."""

    number: int
    digest: str


@dataclass(frozen=True)
class ViewChunk:
    """Peer message: part of a view, for a node that lacks old tickets.

    :param number: newest ticket in the view
    :param digest: digest of that ticket
    :param index: position of this part, from 0
    :param count: number of parts
    :param checksum: checksum of the whole encoded view
    :param body: bytes of this part
    """

    number: int
    digest: str
    index: int
    count: int
    checksum: str
    body: bytes

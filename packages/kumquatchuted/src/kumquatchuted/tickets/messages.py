"""Messages between the ticket slice, other tasks and other nodes."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from kumquatchute_model.ticket import NO_DIGEST
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry

EMPTY_MAPPING: Mapping = MappingProxyType({})


@dataclass(frozen=True)
class View:
    """State of every key after ticket ``number`` was applied.

    :param number: newest ticket applied, 0 before the first
    :param digest: digest of that ticket
    :param spellings: folded spelling to every spelling of each name that has
        it; ``tickets.view.find_spellings`` folds and looks up
    :param aliases: name to its aliases, both as recorded
    :param names_by_spelling: folded spelling to the names that have it; like
        ``spellings`` derived from ``aliases`` and therefore not compared
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
    """The view changed; posted to every task that uses it."""

    view: View


@dataclass(frozen=True)
class TicketsUpToDate:
    """All tickets that the store held at ``checked_at`` are applied.

    :param checked_at: monotonic time in seconds, taken directly before the
        read that found no newer ticket
    """

    checked_at: float


@dataclass(frozen=True)
class SubmitTicket:
    """Submit a ticket. Result: ``TicketAccepted`` or ``Failure``.

    :param author: operator who submits it
    :param number: number chosen by the operator, None for the next number
    """

    author: str
    entries: tuple[TicketEntry, ...]
    number: int | None = None


@dataclass(frozen=True)
class TicketAccepted:
    """The ticket is recorded, and enough nodes hold it."""

    number: int
    digest: str


@dataclass(frozen=True)
class ShowTicket:
    """Request one ticket. Result: ``TicketShown`` or ``Failure``."""

    number: int


@dataclass(frozen=True)
class TicketShown:
    """A recorded ticket and the nodes that are known to hold it.

    :param accepted: True if enough nodes hold it
    """

    ticket: Ticket
    held_by: tuple[str, ...]
    accepted: bool


@dataclass(frozen=True)
class ListTickets:
    """Request the tickets after a number.

    Result: tuple of ``Ticket``, or ``Failure``.
    """

    after: int
    limit: int = 100


@dataclass(frozen=True)
class PeerHasTicket:
    """A peer reported its newest ticket in a membership confirmation."""

    node: str
    number: int
    digest: str


@dataclass(frozen=True)
class FetchTickets:
    """Peer message: request the tickets after a number."""

    after: int


@dataclass(frozen=True)
class TicketBatch:
    """Peer message: tickets in order; the receiver checks the chain."""

    tickets: tuple[Ticket, ...]


@dataclass(frozen=True)
class TicketNotice:
    """Peer message: a ticket was recorded in the store."""

    ticket: Ticket


@dataclass(frozen=True)
class TicketHeld:
    """Peer message: the sender has applied this ticket."""

    number: int
    digest: str


@dataclass(frozen=True)
class ViewChunk:
    """Peer message: chunk of a view, for a node that lacks old tickets.

    :param number: newest ticket in the view
    :param digest: digest of that ticket
    :param index: position of this chunk, from 0
    :param count: number of chunks
    :param checksum: checksum of the whole encoded view
    :param body: bytes of this chunk
    """

    number: int
    digest: str
    index: int
    count: int
    checksum: str
    body: bytes

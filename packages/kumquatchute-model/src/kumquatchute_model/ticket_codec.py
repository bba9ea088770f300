"""JSON encoding of tickets, shared by node, store and command line.

Each entry is a tagged object, such as ``{"type": "dc", "dc": "atl-east",
"in_service": false}``. Unknown fields are rejected, so that a misspelled
field is an error and is not silently ignored.
"""

from typing import Any

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import MAX_TICKET_BYTES
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry


class _Wire(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="type"
):
    """Base class of the tagged objects."""


class NameEntry(_Wire, frozen=True, tag="name"):
    """Wire form of ``NameState``."""

    name: str
    aliases: tuple[str, ...]


class DcEntry(_Wire, frozen=True, tag="dc"):
    """Wire form of ``DcState``."""

    dc: str
    in_service: bool


class HostEntry(_Wire, frozen=True, tag="host"):
    """Wire form of ``HostState``."""

    host: str
    in_service: bool


class SettingEntry(_Wire, frozen=True, tag="setting"):
    """Wire form of ``SettingState``."""

    service: str
    key: str
    value: str


WireEntry = NameEntry | DcEntry | HostEntry | SettingEntry


class TicketDraft(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A ticket as an operator submits it.

    :param number: number of the ticket, None for the next free one
    """

    entries: tuple[WireEntry, ...]
    number: int | None = None


class WireTicket(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Wire form of ``Ticket``, with its digest."""

    number: int
    prev: str
    author: str
    entries: tuple[WireEntry, ...]
    digest: str


def entry_to_wire(entry: TicketEntry) -> WireEntry:
    """Return the wire form of an entry."""
    match entry:
        case NameState(name=name, aliases=aliases):
            return NameEntry(name, aliases)
        case DcState(dc=dc, in_service=in_service):
            return DcEntry(dc, in_service)
        case HostState(host=host, in_service=in_service):
            return HostEntry(host, in_service)
        case SettingState(service=service, key=key, value=value):
            return SettingEntry(service, key, value)


def entry_from_wire(wire: WireEntry) -> TicketEntry:
    """Return the entry of a wire form."""
    match wire:
        case NameEntry(name=name, aliases=aliases):
            return NameState(name, aliases)
        case DcEntry(dc=dc, in_service=in_service):
            return DcState(dc, in_service)
        case HostEntry(host=host, in_service=in_service):
            return HostState(host, in_service)
        case SettingEntry(service=service, key=key, value=value):
            return SettingState(service, key, value)


def ticket_to_wire(ticket: Ticket) -> WireTicket:
    """Return the wire form of a ticket."""
    return WireTicket(
        ticket.number,
        ticket.prev,
        ticket.author,
        tuple(entry_to_wire(entry) for entry in ticket.entries),
        ticket.digest(),
    )


def ticket_from_wire(wire: WireTicket) -> Ticket | Failure:
    """Return the ticket, or ``MALFORMED`` if its digest does not match."""
    ticket = Ticket(
        wire.number,
        wire.prev,
        wire.author,
        tuple(entry_from_wire(entry) for entry in wire.entries),
    )
    if ticket.digest() != wire.digest:
        return _malformed(f"digest of ticket {wire.number} does not match")
    return ticket


def encode_ticket(ticket: Ticket) -> bytes | Failure:
    """Encode a ticket as JSON.

    :returns: the document, or ``TOO_LARGE``
    """
    body = msgspec.json.encode(ticket_to_wire(ticket))
    if len(body) > MAX_TICKET_BYTES:
        return Failure(
            ErrorKind.TOO_LARGE,
            f"the encoded ticket has {len(body)} bytes, "
            f"the limit is {MAX_TICKET_BYTES}",
            not_run=True,
        )
    return body


def decode_ticket(body: bytes) -> Ticket | Failure:
    """Decode a ticket from JSON and check its digest.

    :returns: the ticket, ``MALFORMED`` or ``TOO_LARGE``
    """
    wire = _decode(body, WireTicket)
    return wire if isinstance(wire, Failure) else ticket_from_wire(wire)


def decode_draft(body: bytes) -> TicketDraft | Failure:
    """Decode the draft of a ticket from JSON.

    :returns: the draft, ``MALFORMED`` or ``TOO_LARGE``
    """
    return _decode(body, TicketDraft)


def draft_from_builtins(value: Any) -> TicketDraft | Failure:
    """Convert parsed YAML or JSON into the draft of a ticket.

    :returns: the draft, or ``MALFORMED`` with the first field that is wrong
    """
    try:
        return msgspec.convert(value, TicketDraft)
    except msgspec.ValidationError as exc:
        return _malformed(str(exc))


def make_draft(
    entries: tuple[TicketEntry, ...], number: int | None = None
) -> TicketDraft:
    """Return the draft of a ticket with these entries.

    :param number: number of the ticket, None for the next free one
    """
    return TicketDraft(tuple(map(entry_to_wire, entries)), number)


def draft_entries(draft: TicketDraft) -> tuple[TicketEntry, ...]:
    """Return the entries of a draft."""
    return tuple(map(entry_from_wire, draft.entries))


def encode_draft(draft: TicketDraft) -> bytes:
    """Encode the draft of a ticket as JSON."""
    return msgspec.json.encode(draft)


def _decode(body: bytes, body_type: type) -> Any:
    if len(body) > MAX_TICKET_BYTES:
        return Failure(
            ErrorKind.TOO_LARGE,
            f"a ticket can have at most {MAX_TICKET_BYTES} bytes",
            not_run=True,
        )
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as exc:
        return _malformed(str(exc))


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)

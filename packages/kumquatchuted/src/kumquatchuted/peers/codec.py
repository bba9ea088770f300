"""Encoding of messages between nodes: a type tag and a body in msgpack."""

from collections.abc import Iterator
import math

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket_codec import ticket_from_wire
from kumquatchute_model.ticket_codec import ticket_to_wire
from kumquatchute_model.ticket_codec import WireTicket
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import Pong
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import ViewChunk

MAX_MESSAGE_BYTES = 1 << 20

PEER_MESSAGES = (
    AttemptBatch,
    CancelBatch,
    Confirmed,
    ConfirmRequest,
    EpochAcked,
    EpochHeld,
    EpochNotice,
    FetchTickets,
    OutcomeBatch,
    Ping,
    Pong,
    TicketHeld,
    ViewChunk,
)


class _WireTickets(msgspec.Struct, frozen=True):
    """Wire form of ``TicketBatch`` and, with one ticket, ``TicketNotice``."""

    tickets: tuple[WireTicket, ...]


_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS = {
    kind.__name__: msgspec.msgpack.Decoder(kind) for kind in PEER_MESSAGES
}
_DECODERS[TicketBatch.__name__] = msgspec.msgpack.Decoder(_WireTickets)
_DECODERS[TicketNotice.__name__] = msgspec.msgpack.Decoder(_WireTickets)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: object) -> bytes | Failure:
    """Encode a peer message.

    :returns: the bytes, or a ``TOO_LARGE`` failure if they are more than
        ``MAX_MESSAGE_BYTES``
    """
    data = _ENCODER.encode((type(message).__name__, _to_wire(message)))
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(
            ErrorKind.TOO_LARGE,
            f"a message between nodes holds at most {MAX_MESSAGE_BYTES} bytes",
            not_run=True,
        )
    return data


def decode(data: bytes) -> object | Failure:
    """Decode a peer message.

    :returns: the frozen data class, or a failure if the input is unknown,
        malformed or oversized, or has a number that is not finite
    """
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(ErrorKind.TOO_LARGE, "oversized message from a peer")
    try:
        tag, body = _ENVELOPE.decode(data)
        decoder = _DECODERS.get(tag)
        if decoder is None:
            return Failure(ErrorKind.MALFORMED, f"unknown message {tag!r}")
        message = _from_wire(tag, decoder.decode(body))
    except DECODE_ERRORS as exc:
        return Failure(ErrorKind.MALFORMED, f"malformed message: {exc}")
    # A budget that is not a number never expires, and such a time of sending
    # would make the delays of all later messages of its sender unknown.
    if not all(map(math.isfinite, _numbers_of(message))):
        return Failure(ErrorKind.MALFORMED, f"{tag} with no finite number")
    return message


def _numbers_of(message: object) -> Iterator[float]:
    match message:
        case Ping(sent_at=sent_at) | Pong(sent_at=sent_at):
            yield sent_at
        case AttemptBatch(sent_at=sent_at):
            yield sent_at
            for attempt in (*message.searches, *message.submissions):
                yield attempt.budget_ms
        case OutcomeBatch(results=results):
            for result in results:
                for hit in result.hits:
                    yield hit.score


def _to_wire(message: object) -> object:
    match message:
        case TicketBatch(tickets=tickets):
            return _WireTickets(tuple(map(ticket_to_wire, tickets)))
        case TicketNotice(ticket=ticket):
            return _WireTickets((ticket_to_wire(ticket),))
    return message


def _from_wire(tag: str, body: object) -> object | Failure:
    if not isinstance(body, _WireTickets):
        return body
    tickets = tuple(map(ticket_from_wire, body.tickets))
    for ticket in tickets:
        if isinstance(ticket, Failure):
            return ticket
    if tag == TicketBatch.__name__:
        return TicketBatch(tickets)
    if len(tickets) != 1:
        return Failure(
            ErrorKind.MALFORMED, "a TicketNotice has exactly one ticket"
        )
    return TicketNotice(tickets[0])

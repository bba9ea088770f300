"""Guards against invalid messages that are accepted or altered valid ones."""

import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.codec import MAX_MESSAGE_BYTES
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import Cancellation
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketNotice

SEARCH_ATTEMPT = SearchAttempt(
    "a", "console", "s", "0", 1, 1, ("Nguyen",), 10, 50.0
)


def test_attempt_batch_round_trips():
    """Guards against a searcher that runs another query than was sent."""
    batch = AttemptBatch(1.5, (SEARCH_ATTEMPT,))
    assert decode(encode(batch)) == batch


def test_unknown_message_is_refused():
    """Guards against a node that stops because of a peer of a newer version.

    The peer sends a type of message that this version does not have; an
    exception in the codec would end the node.
    """
    data = msgspec.msgpack.encode(("Shutdown", {}))
    assert decode(data).kind is ErrorKind.MALFORMED


def test_malformed_message_is_refused():
    """Guards against a node that stops because of a few wrong bytes.

    The port may get them from any process or from a faulty peer.
    """
    for data in (b"", b"\xff\xff", msgspec.msgpack.encode(("Ping", {}))):
        assert decode(data).kind is ErrorKind.MALFORMED


def test_oversized_message_is_refused_on_both_sides():
    """Guards against one message that fills the memory of a node.

    The sender refuses it too: the listener of the receiver would close the
    connection, and other messages on it would be lost.
    """
    big = CancelBatch((Cancellation("x" * MAX_MESSAGE_BYTES, "s"),))
    assert isinstance(encode(big), Failure)
    assert decode(b"x" * (MAX_MESSAGE_BYTES + 1)).kind is ErrorKind.TOO_LARGE


def test_ticket_messages_round_trip():
    """Guards against tickets that other nodes reject or apply differently.

    A ticket has a wire form of its own, and its digest covers all its fields.
    """
    ticket = Ticket(1, "", "amna", (DcState("atl-east", False),))
    for message in (TicketNotice(ticket), TicketBatch((ticket, ticket))):
        assert decode(encode(message)) == message

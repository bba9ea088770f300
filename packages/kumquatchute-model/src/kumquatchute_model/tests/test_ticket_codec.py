"""Encoding of tickets and drafts as JSON."""

import msgspec
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import check_entries
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import SettingState
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import decode_draft
from kumquatchute_model.ticket_codec import decode_ticket
from kumquatchute_model.ticket_codec import draft_entries
from kumquatchute_model.ticket_codec import encode_draft
from kumquatchute_model.ticket_codec import encode_ticket
from kumquatchute_model.ticket_codec import make_draft

ENTRIES = (
    NameState("Nguyễn", ("Nuyen", "Ngyuen")),
    DcState("atl-east", False),
    HostState("h1", True),
    SettingState("console", "prefer", "coverage"),
)


def test_ticket_is_the_same_after_encoding():
    """Guards against tickets that change on their way to a node.

    The store and peers hold tickets as JSON. A field that is dropped or
    altered would change what the node applies, or break the digest.
    """
    ticket = Ticket(7, "d6", "amna", ENTRIES)
    assert decode_ticket(encode_ticket(ticket)) == ticket


def test_draft_is_the_same_after_encoding():
    """Guards against a ticket other than the one the operator wrote.

    The command line sends the draft to the node as JSON.
    """
    draft = make_draft(ENTRIES, 3)
    assert decode_draft(encode_draft(draft)) == draft
    assert draft_entries(draft) == ENTRIES


def test_altered_ticket_is_rejected_by_its_digest():
    """Guards against a record that was altered in the store and is applied."""
    body = encode_ticket(Ticket(7, "d6", "amna", ENTRIES))
    assert decode_ticket(body.replace(b"amna", b"omar")).kind is (
        ErrorKind.MALFORMED
    )


@pytest.mark.parametrize(
    "body",
    [
        b'{"entries": [{"type": "dc", "dc": "a"}]}',
        b'{"entries": [{"type": "dc", "dc": "a", "in_service": 0}]}',
        b'{"entries": [{"type": "rack", "rack": "a"}]}',
        b'{"entries": [], "nummer": 4}',
        b'{"entries": [{"type":"host","host":"\xff","in_service":true}]}',
        b"[",
    ],
)
def test_invalid_draft_is_refused_as_not_run(body):
    """Guards against misspelled fields that are silently ignored.

    The refusal says that nothing was recorded, so the operator can correct
    the ticket and submit it again.
    """
    failure = decode_draft(body)
    assert isinstance(failure, Failure)
    assert failure.kind is ErrorKind.MALFORMED
    assert failure.not_run


def test_tags_count_towards_the_size_limit():
    """Guards against a record that the store refuses.

    Without their tags these entries fit, but the encoded ticket would exceed
    the 1 MB limit of the store.
    """
    entries = tuple(DcState(f"{i:05d}", True) for i in range(26_000))
    assert len(msgspec.json.encode(entries)) < 900_000
    assert check_entries(entries) is None
    failure = encode_ticket(Ticket(1, "", "amna", entries))
    assert failure.kind is ErrorKind.TOO_LARGE
    assert failure.not_run

"""Objects of the ticket log that cannot be decoded."""

import pytest

from kumquatchute_model.errors import Failure
from kumquatchuted.tickets.codec import decode_chunk
from kumquatchuted.tickets.codec import decode_head
from kumquatchuted.tickets.codec import decode_ticket_record
from kumquatchuted.tickets.codec import decode_view

DEEP_DOCUMENT = b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.parametrize("decode", [decode_chunk, decode_head, decode_view])
def test_deeply_nested_part_of_a_view_is_rejected(decode) -> None:
    """Guards against one object of the store that ends the ticket task."""
    assert isinstance(decode(DEEP_DOCUMENT), Failure)


def test_deeply_nested_ticket_is_rejected() -> None:
    """Guards against one ticket object that ends the ticket task."""
    assert isinstance(decode_ticket_record(1, DEEP_DOCUMENT), Failure)

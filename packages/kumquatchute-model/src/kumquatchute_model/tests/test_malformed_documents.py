"""JSON documents that cannot be decoded."""

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.search_codec import decode_search_answer
from kumquatchute_model.ticket_codec import decode_draft
from kumquatchute_model.ticket_codec import decode_ticket

DEEP_DOCUMENT = b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.parametrize(
    "decode", [decode_ticket, decode_draft, decode_search_answer]
)
def test_deeply_nested_document_is_malformed(decode) -> None:
    """Guards against a document that ends the task that reads it.

    The decoder raises ``RecursionError`` for values that it skips.
    """
    result = decode(DEEP_DOCUMENT)
    assert isinstance(result, Failure)
    assert result.kind is ErrorKind.MALFORMED

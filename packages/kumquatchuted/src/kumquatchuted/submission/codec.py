"""JSON encoding of submission records."""

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchuted.submission.record import Record

MAX_RECORD_BYTES = 900_000


def encode(record: Record) -> bytes:
    """Return the JSON document of a record."""
    return msgspec.json.encode(record)


def decode(body: bytes) -> Record | None:
    """Return the record in a JSON document, None if it is malformed."""
    try:
        return msgspec.json.decode(body, type=Record)
    except DECODE_ERRORS:
        return None

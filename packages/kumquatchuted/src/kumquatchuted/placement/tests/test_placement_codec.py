"""Objects of the store that cannot be decoded."""

import pytest

from kumquatchuted.placement.codec import decode_lease
from kumquatchuted.placement.codec import decode_membership
from kumquatchuted.placement.codec import DecodeError

DEEP_DOCUMENT = b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}"


@pytest.mark.parametrize("decode", [decode_lease, decode_membership])
def test_deeply_nested_object_is_malformed(decode) -> None:
    """Guards against one object of the store that ends the placement task.

    The decoder raises ``RecursionError``, which the reader does not catch.
    """
    with pytest.raises(DecodeError):
        decode(DEEP_DOCUMENT)

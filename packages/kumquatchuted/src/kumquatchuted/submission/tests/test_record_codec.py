"""Records that cannot be decoded."""

from kumquatchuted.submission.codec import decode


def test_deeply_nested_record_is_malformed() -> None:
    """Guards against one object of the store that ends a request task.

    The decoder raises ``RecursionError`` for it.
    """
    assert decode(b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}") is None

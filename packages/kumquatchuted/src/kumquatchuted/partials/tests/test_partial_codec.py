"""Messages of other nodes that cannot be decoded."""

from kumquatchute_model.errors import Failure
from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import decode_partial_response


def test_deeply_nested_message_of_a_node_is_rejected() -> None:
    """Guards against a message that ends the task of a partial query.

    The decoder raises ``RecursionError``. The task would end without a
    result, and the query would wait for its shards in vain.
    """
    data = b"\x81\xa5other" + b"\x91" * 5_000 + b"\x90"
    assert isinstance(decode_partial_response(data), Failure)
    assert isinstance(decode_partial_request(data), Failure)

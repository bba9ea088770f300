"""Messages of other nodes that cannot be decoded."""

import msgspec
import pytest

from kumquatchute_model.errors import Failure
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import PEER_MESSAGES

DEEP_LIST = b"\x91" * 5_000 + b"\x90"


@pytest.mark.parametrize("kind", PEER_MESSAGES)
def test_deeply_nested_message_is_rejected(kind: type) -> None:
    """Guards against one message of a node that ends this process.

    The decoder raises ``RecursionError`` in the callback that receives the
    message, which ends the peer task and with it the node.
    """
    tag = msgspec.msgpack.encode(kind.__name__)
    unknown_field = b"\x81\xa5other" + DEEP_LIST
    for body in (DEEP_LIST, unknown_field):
        assert isinstance(decode(b"\x92" + tag + body), Failure)

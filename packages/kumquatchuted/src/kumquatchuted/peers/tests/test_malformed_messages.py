"""Messages of other nodes that cannot be decoded."""

import math

import msgspec
import pytest

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import Hit
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.codec import PEER_MESSAGES
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import Pong
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.messages import SubmitAttempt

DEEP_LIST = b"\x91" * 5_000 + b"\x90"


@pytest.mark.report("one message ends a process")
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


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
def test_message_with_a_number_that_is_not_finite_is_rejected(
    number: float,
) -> None:
    """Guards against attempts that never expire and delays that are unknown.

    A budget that is not a number lies neither before nor after any time, and
    neither does a score.
    """
    search = SearchAttempt("q1", "console", "s1", "0", 1, 1, (), 5, number)
    submission = SubmitAttempt("m1", "quiz", "s1", "p", number)
    hits = (Hit("d1", "Jon Smith", number),)
    result = SearchResult("q1", "s1", 1, 1, 1, hits)
    for message in (
        Ping(1, number),
        Pong(1, number),
        AttemptBatch(number, (), ()),
        AttemptBatch(1.0, (search,), ()),
        AttemptBatch(1.0, (), (submission,)),
        OutcomeBatch((result,), (), ()),
    ):
        assert isinstance(decode(encode(message)), Failure), message

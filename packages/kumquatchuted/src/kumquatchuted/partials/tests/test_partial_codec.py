"""Messages of other nodes that cannot be decoded."""

import math

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import decode_partial_response
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.messages import PartialQueryRequest


def test_deeply_nested_message_of_a_node_is_rejected() -> None:
    """Guards against a message that ends the task of a partial query.

    The decoder raises ``RecursionError``. The task would end without a
    result, and the query would wait for its shards in vain.
    """
    data = b"\x81\xa5other" + b"\x91" * 5_000 + b"\x90"
    assert isinstance(decode_partial_response(data), Failure)
    assert isinstance(decode_partial_request(data), Failure)


@pytest.mark.parametrize("number", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize(
    "name", ["answer_ms", "latest_ms", "objective_ms", "min_coverage"]
)
def test_partial_query_with_a_number_that_is_not_finite_is_rejected(
    name: str, number: float
) -> None:
    """Guards against a message of a node that uses up a processor.

    A deadline that is not a number is never reached: the query wakes without
    a pause until the other node disconnects.
    """
    numbers = {"objective_ms": 100.0, "answer_ms": 50.0} | {name: number}
    req = PartialQueryRequest(
        route="r",
        max_attempts=1,
        services=("s0",),
        top=1,
        request_id=b"r1",
        method=b"GET",
        head=b"",
        body=b"",
        **numbers,
    )
    result = decode_partial_request(encode_partial(req))
    assert isinstance(result, Failure)
    assert result.kind is ErrorKind.MALFORMED

"""Choice of searchers that state a limit."""

import pytest

from kumquatchuted.platform.searcher_codec import decode_limit
from kumquatchuted.searchers.read_results import RawResponse
from kumquatchuted.searchers.tests.test_balancer import balancer_of
from kumquatchuted.searchers.tests.test_balancer import count_sends
from kumquatchuted.searchers.tests.test_balancer import ROUTE


def test_searcher_is_chosen_no_more_than_its_limit_allows() -> None:
    """Guards against first attempts, retries and hedges beyond a limit.

    All of them choose a searcher in the same way. The limit holds until a
    response states none.
    """
    balancer = balancer_of(2, nodes=1)
    balancer.on_limit_stated("i-1", 5.0, 0.0)
    assert count_sends(balancer, "i-1", 0.0) <= 1.5 * 5.0 * 4 + 5
    assert count_sends(balancer, "i-1", 1.0) <= 6
    assert count_sends(balancer, "i-0", 1.0) == 50
    balancer.on_limit_stated("i-1", None, 2.0)
    assert count_sends(balancer, "i-1", 2.0) == 50


def test_sends_before_the_limit_was_known_count_towards_the_burst() -> None:
    """Guards against a full burst on top of what was sent without a limit.

    A node learns a limit only from a response to itself, maybe long after the
    others. The searcher gets what it sent until then and its burst within the
    same 4 s.
    """
    balancer = balancer_of(2, nodes=1)
    assert count_sends(balancer, "i-1", 0.0) == 50
    balancer.on_limit_stated("i-1", 5.0, 1.0)
    assert count_sends(balancer, "i-1", 1.0) <= 5


def test_limit_of_this_node_does_not_keep_it_from_delegating() -> None:
    """Guards against shards that are left out though other nodes may send.

    A limited searcher in another data centre is offered for a partial query
    after this node has used its own part of the limit.
    """
    balancer = balancer_of(1, data_centre="b")
    balancer.on_limit_stated("i-0", 1.0, 0.0)
    while balancer.choose(ROUTE, "s", (), 0.0) is not None:
        balancer.on_attempt_started("i-0", 0.0)
    chosen = balancer.choose(ROUTE, "s", (), 0.0, may_delegate=True)
    assert chosen is not None


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (b"10.6", 10.6),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"many", None),
        (b"", None),
    ],
)
def test_malformed_limit_counts_as_none(
    value: bytes, limit_per_s: float | None
) -> None:
    """Guards against a spoiled header that blocks a searcher or a node."""
    raw = RawResponse(200, ((b"server-limit", value),), b"")
    assert decode_limit(raw) == limit_per_s
    assert decode_limit(RawResponse(200, (), b"")) is None

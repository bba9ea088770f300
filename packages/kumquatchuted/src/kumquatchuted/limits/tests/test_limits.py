"""Shares of limits that hold for all nodes together."""

import pytest

from kumquatchuted.limits.rate import may_send
from kumquatchuted.limits.rate import RATE_WINDOW_S
from kumquatchuted.limits.rate import RecentSends
from kumquatchuted.limits.rate import record_send
from kumquatchuted.limits.shares import cold_rate_share
from kumquatchuted.limits.shares import connection_share


@pytest.mark.parametrize("count", [1, 2, 4, 7, 12, 37, 300])
@pytest.mark.parametrize("limit", [0.0, 3.0, 5.0, 12.5, 80.0])
def test_cold_shares_never_exceed_the_limit(count: int, limit: float) -> None:
    """Guards against a cold searcher that all nodes together overload.

    Nodes do not coordinate, so their shares must not exceed the limit by
    rounding or by a minimum share.
    """
    nodes = [f"n{number}" for number in range(count)]
    shares = [cold_rate_share(node, nodes, "i-1", limit) for node in nodes]
    assert sum(shares) <= limit


def test_cold_share_is_not_lost_to_rounding() -> None:
    """Guards against a cold searcher that never gets a request.

    Equal shares of 4 requests per second would round to 0 on each of 37 nodes.
    """
    nodes = [f"n{number}" for number in range(37)]
    shares = [cold_rate_share(node, nodes, "i-1", 5.0) for node in nodes]
    assert sum(shares) == 4


def test_node_that_is_not_listed_counts_itself() -> None:
    """Guards against a division by zero nodes at the first start.

    A node that has not yet read the list of nodes knows none, not even itself.
    """
    assert cold_rate_share("n1", (), "i-1", 5.0) == 4
    assert connection_share((), 26) == 20


@pytest.mark.parametrize("count", [1, 4, 7, 20])
def test_connection_shares_stay_within_the_limit(count: int) -> None:
    """Guards against connections that a searcher resets at its limit.

    Requests that are sent on them are lost.
    """
    nodes = [f"n{number}" for number in range(count)]
    assert count * connection_share(nodes, 26) <= 26


def test_sends_in_any_second_stay_within_the_limit() -> None:
    """Guards against bursts at the boundary of two counting periods.

    If sends were counted per second of the clock, up to twice the limit could
    be sent within a second that spans two of them.
    """
    recent, sent_at = RecentSends(), []
    for step in range(400):
        now = step * 0.01
        if may_send(recent, 2, now):
            recent = record_send(recent, now)
            sent_at.append(now)
    for start in sent_at:
        assert sum(start <= at < start + 1.0 for at in sent_at) <= 2
    assert len(sent_at) >= 2 * int(4.0 / RATE_WINDOW_S)

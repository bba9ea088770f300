"""Limits that searchers state: the parts of all nodes together."""

import pytest

from kumquatchuted.limits.stated import allocate
from kumquatchuted.limits.stated import ALLOWED_FACTOR
from kumquatchuted.limits.stated import ALLOWED_SLACK
from kumquatchuted.limits.stated import change_limit
from kumquatchuted.limits.stated import count_send
from kumquatchuted.limits.stated import may_send
from kumquatchuted.limits.stated import recent_sends
from kumquatchuted.limits.stated import record_send
from kumquatchuted.limits.stated import SendCount
from kumquatchuted.limits.stated import start_limit
from kumquatchuted.limits.stated import StatedLimit
from kumquatchuted.limits.stated import WINDOW_S

STEP_S = 0.05
DURATION_S = 40.0


def place_nodes(local: int, remote: int) -> dict[str, str]:
    """Return the data centres of nodes; the searcher is in ``a``."""
    names = [f"n{number}" for number in range(local + remote)]
    return {
        name: "a" if number < local else "b"
        for number, name in enumerate(names)
    }


def start_limits(
    node_dcs: dict[str, str], limit_per_s: float
) -> dict[str, StatedLimit]:
    """Return the limit of each node when it becomes known to all at once."""
    return {
        node: start_limit(
            limit_per_s,
            allocate(node, node_dcs, "i", "a", limit_per_s),
            0.0,
            0.0,
        )
        for node in node_dcs
    }


def send_greedily(node_dcs: dict[str, str], limit_per_s: float) -> list[float]:
    """Return when nodes send that use each token at once."""
    limits = start_limits(node_dcs, limit_per_s)
    sent_at = []
    for step in range(int(DURATION_S / STEP_S)):
        now = step * STEP_S
        for node, limit in limits.items():
            while may_send(limit, now):
                limit = record_send(limit, now)
                sent_at.append(now)
            limits[node] = limit
    return sent_at


@pytest.mark.parametrize("limit_per_s", [0.0, 0.3, 2.0, 10.6, 200.0])
@pytest.mark.parametrize(
    ("local", "remote"),
    [(1, 0), (0, 3), (1, 3), (2, 2), (12, 25), (158, 632)],
)
def test_nodes_together_stay_within_what_is_allowed(
    local: int, remote: int, limit_per_s: float
) -> None:
    """Guards against a searcher in need that all nodes together overload.

    Each node uses its part as soon as it can, beginning with a full burst.
    """
    sent_at = send_greedily(place_nodes(local, remote), limit_per_s)
    allowed = ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_SLACK
    peak = max(
        sum(start <= at < start + WINDOW_S for at in sent_at)
        for start in sent_at
    )
    assert peak <= allowed


@pytest.mark.parametrize("limit_per_s", [2.0, 10.6])
@pytest.mark.parametrize(("local", "remote"), [(1, 3), (2, 2), (12, 25)])
def test_limit_is_nearly_used_up(
    local: int, remote: int, limit_per_s: float
) -> None:
    """Guards against capacity that is lost by dividing a limit.

    Queries would be refused although their searchers take more requests.
    """
    sent_at = send_greedily(place_nodes(local, remote), limit_per_s)
    late = [at for at in sent_at if at >= 10.0]
    assert len(late) / (DURATION_S - 10.0) >= 0.75 * limit_per_s


def test_node_without_a_part_learns_that_a_limit_has_ended() -> None:
    """Guards against a searcher that a node avoids for ever.

    Only responses show the end of a limit, so that each node sends a request
    now and then.
    """
    node_dcs = place_nodes(1, 25)
    for node in node_dcs:
        allocation = allocate(node, node_dcs, "i", "a", 0.5)
        limit = start_limit(0.5, allocation, 0.0, 0.0)
        assert may_send(limit, 200.0)


@pytest.mark.parametrize(("local", "remote"), [(1, 0), (1, 3), (2, 2)])
def test_each_node_learns_that_a_limit_of_zero_has_ended(
    local: int, remote: int
) -> None:
    """Guards against a searcher that gets nothing after a limit of zero.

    A node with a part of the limit has a burst, but a rate of zero. Without
    probes it would learn neither the end of the limit nor a larger one.
    """
    node_dcs = place_nodes(local, remote)
    for node in node_dcs:
        allocation = allocate(node, node_dcs, "i", "a", 0.0)
        limit = start_limit(0.0, allocation, 0.0, 0.0)
        while may_send(limit, 0.0):
            limit = record_send(limit, 0.0)
        assert may_send(limit, 200.0)


def test_smaller_limit_applies_to_saved_tokens() -> None:
    """Guards against a burst that was saved under a former limit."""
    node_dcs = place_nodes(1, 0)
    former = allocate("n0", node_dcs, "i", "a", 100.0)
    allocation = allocate("n0", node_dcs, "i", "a", 1.0)
    limit = change_limit(
        start_limit(100.0, former, 0.0, 0.0), 1.0, allocation, 1.0
    )
    assert limit.tokens == allocation.burst


def test_sends_of_the_last_window_are_counted() -> None:
    """Guards against sends that are forgotten, or counted for too long."""
    count = SendCount(0.0)
    for step in range(40):
        count = count_send(count, 0.1 * step)
    assert recent_sends(count, 3.95) == 40
    assert recent_sends(count, 6.0) == pytest.approx(20)
    assert recent_sends(count, 8.1) == 0


@pytest.mark.parametrize("limit_per_s", [0.0, 0.1])
@pytest.mark.parametrize(("local", "remote"), [(1, 3), (2, 2), (4, 0)])
def test_tokens_saved_while_idle_stay_within_what_is_allowed(
    local: int, remote: int, limit_per_s: float
) -> None:
    """Guards against nodes that all use saved tokens and probes at once.

    No requests come for a minute after the limit was stated.
    """
    node_dcs = place_nodes(local, remote)
    limits = start_limits(node_dcs, limit_per_s)
    sent_at = []
    for step in range(240):
        now = step * STEP_S + (60.0 if step > 80 else 0.0)
        for node in node_dcs:
            while may_send(limits[node], now):
                limits[node] = record_send(limits[node], now)
                sent_at.append(now)
    peak = max(
        sum(start <= at < start + WINDOW_S for at in sent_at)
        for start in sent_at
    )
    assert peak <= ALLOWED_FACTOR * limit_per_s * WINDOW_S + ALLOWED_SLACK

"""Retry budgets of a large fleet, on a virtual clock.

The pattern is that of a service with searchers in two of five data centres:
nodes in the others delegate their queries, so that less than half of the nodes
send all hedges. A sixth of the searchers is slow.
"""

import random

import pytest

from kumquatchuted.limits.shares import sender_share
from kumquatchuted.retries import budget as retry_budget

NODE_COUNTS = {"north": 17, "east": 15, "south": 18, "west": 14, "central": 15}
NODE_DCS = {
    f"{dc}-{number}": dc
    for dc, count in NODE_COUNTS.items()
    for number in range(count)
}
TARGET_DCS = {"north", "east"}
LIMITS = retry_budget.BudgetLimits(ratio=0.2, slack=430, window_s=10.0)
QUERIES_PER_S = 24.0
DURATION_S = 30.0


class FleetBudgets:
    """The buckets of all nodes for one service."""

    def __init__(self, now: float) -> None:
        """Start all nodes at a time."""
        self.shares = {
            node: sender_share(node, NODE_DCS, TARGET_DCS) for node in NODE_DCS
        }
        self.budgets = {
            node: retry_budget.initial_budget(LIMITS, share, now)
            for node, share in self.shares.items()
        }

    def record_request(self, node: str, now: float) -> None:
        """Record a request of a node."""
        share = self.shares[node]
        refilled = retry_budget.refill(self.budgets[node], LIMITS, share, now)
        self.budgets[node] = retry_budget.record_request(
            refilled, LIMITS, share
        )

    def take(self, node: str, now: float) -> bool:
        """Return whether a node may send a retry, and use its token."""
        refilled = retry_budget.refill(
            self.budgets[node], LIMITS, self.shares[node], now
        )
        remaining = retry_budget.take_token(refilled)
        self.budgets[node] = refilled if remaining is None else remaining
        return remaining is not None


def near_nodes() -> list[str]:
    """Return the nodes in the data centres of the searchers."""
    return [node for node, dc in NODE_DCS.items() if dc in TARGET_DCS]


def test_shares_add_up_to_the_limit() -> None:
    """Guards against shares that exceed the limit of all nodes."""
    for target_dcs in (TARGET_DCS, set(), set(NODE_COUNTS), {"elsewhere"}):
        shares = [
            sender_share(node, NODE_DCS, target_dcs) for node in NODE_DCS
        ]
        assert sum(shares) == pytest.approx(1.0)
        assert min(shares) > 0


@pytest.mark.parametrize("hedged_share", [0.15, 0.3, 0.5])
@pytest.mark.parametrize("seed", range(3))
def test_slow_searchers_do_not_use_up_the_budget(
    seed: int, hedged_share: float
) -> None:
    """Guards against queries that lack shards because no hedge is allowed.

    On day quiet-1 of the large Peachline site, 1,143 hedges and retries were
    refused on 1,657 queries, although the fleet had used a small part of its
    limit: equal shares left it with nodes that send nothing.
    """
    rng = random.Random(seed)
    fleet = FleetBudgets(now=-16.0)
    senders = near_nodes()
    now, asked, refused = 0.0, 0, 0
    while now < DURATION_S:
        now += rng.expovariate(QUERIES_PER_S)
        node = rng.choice(senders)
        fleet.record_request(node, now)
        if rng.random() < hedged_share:
            asked += 1
            refused += not fleet.take(node, now)
    assert refused <= 0.02 * asked


@pytest.mark.parametrize("restarts", [0, 1, 2])
def test_storm_of_all_nodes_stays_within_the_limit(restarts: int) -> None:
    """Guards against a retry storm of the whole fleet, also after restarts.

    All nodes may lose power twice within a window.
    """
    fleet = FleetBudgets(now=-60.0)
    restart_times = [2.0 + number for number in range(restarts)]
    sent: list[float] = []
    requests = 0
    for step in range(600):
        now = step * 0.05
        if restart_times and now >= restart_times[0]:
            restart_times.pop(0)
            fleet = FleetBudgets(now)
        for node in NODE_DCS:
            if step % 20 == 0:
                fleet.record_request(node, now)
                requests += 1
            while fleet.take(node, now):
                sent.append(now)
    requests_per_window = requests / DURATION_S * LIMITS.window_s
    limit = LIMITS.ratio * requests_per_window + LIMITS.slack
    for start in sorted(set(sent)):
        in_window = sum(start <= at < start + LIMITS.window_s for at in sent)
        assert in_window <= limit

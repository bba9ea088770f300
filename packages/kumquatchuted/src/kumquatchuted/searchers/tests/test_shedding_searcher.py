"""Steady load while a local searcher sheds most of its requests.

The arrivals are drawn from a seed on a virtual clock, without a network.
"""

import random

import pytest

from kumquatchuted.retries import budget as retry_budget
from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose_searcher
from kumquatchuted.searchers import load as searcher_load

MEDIAN_S = 0.02
ARRIVALS_PER_S = 15.0
DURATION_S = 20.0
SHED_SHARE = 0.75
NODES = 4
# A fifth of the requests may be retried, plus a fixed slack.
LIMITS = retry_budget.BudgetLimits(ratio=0.2, slack=20.0, window_s=10.0)


def simulate(seed: int) -> tuple[int, int, int]:
    """Return the counts of requests, shed requests and lost shards.

    A shard is lost if its request was shed and no retry was left.
    """
    rng = random.Random(seed)
    loads = {"local": searcher_load.Load(), "remote": searcher_load.Load()}
    # The node has run for longer than the bucket needs to fill.
    budget = retry_budget.initial_budget(
        LIMITS, 1 / NODES, -2 * LIMITS.window_s
    )
    now = 0.0
    requests = shed = lost = 0
    while now < DURATION_S:
        now += rng.expovariate(ARRIVALS_PER_S)
        requests += 1
        budget = retry_budget.record_request(
            retry_budget.refill(budget, LIMITS, 1 / NODES, now),
            LIMITS,
            1 / NODES,
        )
        candidates = [
            Candidate(name, 2, name == "local", load)
            for name, load in loads.items()
        ]
        chosen = choose_searcher(candidates, MEDIAN_S, now, rng.random)
        if chosen.name == "local" and rng.random() < SHED_SHARE:
            shed += 1
            loads["local"] = searcher_load.record_failure(loads["local"], now)
            remaining = retry_budget.take_token(budget)
            if remaining is None:
                lost += 1
            else:
                budget = remaining
            continue
        elapsed_s = MEDIAN_S * rng.uniform(0.7, 1.5)
        loads[chosen.name] = searcher_load.record_response(
            loads[chosen.name], elapsed_s, MEDIAN_S, now
        )
    return requests, shed, lost


@pytest.mark.parametrize("seed", range(5))
def test_shedding_searcher_does_not_use_up_the_retry_budget(seed: int) -> None:
    """Guards against queries that lack a shard because no retry is left.

    On day scale-1 of the Peachline site 20 local searchers shed three of four
    requests. Shedding took little time, so they were chosen again until the
    retry budget was used up, and queries over all shards failed.
    """
    requests, shed, lost = simulate(seed)
    assert shed <= LIMITS.ratio * requests
    assert lost == 0

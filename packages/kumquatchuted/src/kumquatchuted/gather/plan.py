"""Fixed parameters of a query, and what follows from them."""

from dataclasses import dataclass

from kumquatchuted.retries import progress as retry_progress

# Ratios such as 0.85 are not exact in binary. Without a tolerance, a coverage
# that equals the minimum could compare as less.
COVERAGE_TOLERANCE = 1e-9
# Minimum time that another node has to respond, as a share of the latency
# objective.
MIN_DELEGATED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class QueryPlan:
    """Fixed parameters of a query; times are monotonic seconds.

    :param policy: how often the query over a shard may be sent
    :param soft_deadline: when an answer must leave to meet the objective
    :param deadline: when an answer must leave at the latest
    :param min_coverage: minimum share of shards in a successful answer, from
        0 to 1
    :param due_coverage: share of shards with which an answer leaves at the
        soft deadline, at least ``min_coverage``
    """

    shard_count: int
    policy: retry_progress.RetryPolicy
    soft_deadline: float
    deadline: float
    min_coverage: float
    due_coverage: float = 0.0


def min_shards(plan: QueryPlan) -> int:
    """Return how many shards a successful answer must cover, at least 1."""
    return shards_for(plan.min_coverage, plan.shard_count)


def shards_for(coverage: float, shard_count: int) -> int:
    """Return how many shards make up a share of all, at least 1.

    :param coverage: share of the shards, from 0 to 1
    """
    count = 1
    while (count / shard_count) < coverage - COVERAGE_TOLERANCE:
        count += 1
    return count


def partial_deadline(plan: QueryPlan, objective_s: float, now: float) -> float:
    """Return when the response of another node is due.

    The soft deadline can have passed when a query starts, for example in a
    second attempt of a caller. The other node still gets a share of the
    objective, because searchers refuse requests that have no time left.

    :param objective_s: latency objective of the route, in seconds
    :returns: monotonic time in seconds
    """
    earliest = now + objective_s * MIN_DELEGATED_SHARE
    return min(max(plan.soft_deadline, earliest), plan.deadline)

"""Choice of the replica for an attempt, and retry rules."""

from collections.abc import Container
import random

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.search.deadlines import answer_deadline
from kumquatchuted.search.deadlines import lag_retry_deadline
from kumquatchuted.search.progress import ShardProgress
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.targets.messages import AttemptFailed

RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.16
# The delay doubles with each attempt on the shard, up to this many times.
MAX_DOUBLINGS = 3
MAX_ATTEMPTS_PER_SHARD = 8
TRANSIENT_KINDS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NOT_CURRENT,
        ErrorKind.UNAVAILABLE,
    }
)
"""Transient failures, after which the same searcher is tried again.

Searchers at their limit get no second attempt of the same query: under
overload, such attempts would use node time that other queries need.
"""


def choose_replica(
    progress: ShardProgress, owned: Container[str], rng: random.Random
) -> str | None:
    """Choose the usable replica with the fewest attempts so far.

    :param owned: searchers that have an owner
    :param rng: breaks ties
    :returns: None if no replica is usable or the shard has used up its
        attempts
    """
    if len(progress.tried) >= MAX_ATTEMPTS_PER_SHARD:
        return None
    in_use = set(progress.pending.values())
    usable = [
        searcher
        for searcher in progress.shard.replicas
        if searcher in owned and searcher not in in_use
    ]
    if not usable:
        return None
    return min(
        usable, key=lambda name: (progress.tried.count(name), rng.random())
    )


def next_retry_at(
    progress: ShardProgress, timing: QueryTiming, now: float
) -> float | None:
    """Return when to try the shard again.

    :returns: monotonic time in seconds, or None if the shard has used up its
        attempts or the query ends before then
    """
    if len(progress.tried) >= MAX_ATTEMPTS_PER_SHARD:
        return None
    doublings = min(len(progress.tried), MAX_DOUBLINGS)
    at = now + min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**doublings)
    return at if at < answer_deadline(timing) else None


def is_retryable(
    failure: AttemptFailed, timing: QueryTiming, now: float
) -> bool:
    """Return True if another attempt on the shard can succeed."""
    match failure.kind:
        case ErrorKind.DEADLINE_EXCEEDED:
            return failure.not_run and now < answer_deadline(timing)
        case ErrorKind.WRONG_VERSION:
            return now < lag_retry_deadline(timing)
    return now < answer_deadline(timing)

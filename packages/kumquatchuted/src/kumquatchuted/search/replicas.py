"""Which replica an attempt goes to, and whether a refused one is repeated."""

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
# The delay doubles for each attempt on the shard, up to this many times.
MAX_DOUBLINGS = 3
MAX_ATTEMPTS_PER_SHARD = 8
TRANSIENT_KINDS = frozenset(
    {
        ErrorKind.NOT_OWNER,
        ErrorKind.NOT_CURRENT,
        ErrorKind.UNAVAILABLE,
    }
)
"""Refusals that end by themselves, so that the same searcher is tried again.

A searcher that is full gets no second attempt of the same query: under
overload these would take the node's time from the queries that can run.
"""


def choose_replica(
    progress: ShardProgress, owned: Container[str], rng: random.Random
) -> str | None:
    """Choose the usable replica that was tried least often.

    :param owned: searchers that a node owns
    :param rng: chooses between equal ones
    """
    if len(progress.tried) >= MAX_ATTEMPTS_PER_SHARD:
        return None
    in_use = set(progress.outstanding.values())
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
    """Return when to look again; owners and searchers change.

    :returns: monotonic time in seconds, None if it is no use
    """
    if len(progress.tried) >= MAX_ATTEMPTS_PER_SHARD:
        return None
    doublings = min(len(progress.tried), MAX_DOUBLINGS)
    at = now + min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * 2**doublings)
    return at if at < answer_deadline(timing) else None


def is_retryable(
    failure: AttemptFailed, timing: QueryTiming, now: float
) -> bool:
    """Return whether another attempt can bring what this one did not."""
    match failure.kind:
        case ErrorKind.DEADLINE_EXCEEDED:
            return failure.not_run and now < answer_deadline(timing)
        case ErrorKind.WRONG_VERSION:
            return now < lag_retry_deadline(timing)
    return now < answer_deadline(timing)

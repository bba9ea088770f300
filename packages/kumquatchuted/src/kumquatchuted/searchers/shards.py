"""Queries over all shards: what this node sends and what it delegates."""

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.partials.messages import SendPartialQuery
from kumquatchuted.searchers.balancer import LoadBalancer
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.messages import ShardsNotSent

# Part of the caller's time after the objective that a delegate may use to get
# the shards that the query needs. After that the query fails, while the caller
# has time to send it to another node.
LATE_SHARE = 0.3


def refuse_uncovered(
    message: SendShards,
    chosen: list[RegisteredSearcher | None],
    balancer: LoadBalancer,
    now: float,
) -> ShardsNotSent | None:
    """Return why a query is not sent, or None if enough shards are usable.

    :param chosen: the searcher of each shard; None if none is usable
    :param now: monotonic time in seconds
    """
    usable = sum(searcher is not None for searcher in chosen)
    if usable >= message.min_usable:
        return None
    pauses = sorted(
        pause_s
        for searcher, attempt in zip(chosen, message.attempts)
        if searcher is None
        and (pause_s := balancer.retry_after_s(attempt.service, now))
        is not None
    )
    # The query can be sent when this many pauses have ended.
    needed = message.min_usable - usable
    retry_after_s = pauses[needed - 1] if needed <= len(pauses) else None
    return ShardsNotSent(usable, retry_after_s)


def build_partial_query(
    message: SendShards, group: ShardGroup, balancer: LoadBalancer
) -> SendPartialQuery:
    """Return the message that delegates a group of shards."""
    attempts = [message.attempts[shard] for shard in group.shards]
    first = attempts[0]
    services = tuple(attempt.service for attempt in attempts)
    max_searchers = max(balancer.searcher_count(name) for name in services)
    # With more shards missing, the query cannot succeed even if all others
    # respond.
    allowed_missing = len(message.attempts) - message.min_usable
    min_shards = max(0, len(attempts) - allowed_missing)
    return SendPartialQuery(
        key=(first.key, group.data_centre),
        route=first.route,
        data_centre=group.data_centre,
        shards=group.shards,
        services=services,
        top_k=message.top_k,
        has_few_searchers=max_searchers <= first.route.max_attempts,
        outgoing=first.outgoing,
        min_coverage=min_shards / len(attempts),
        deadline=message.partial_deadline,
        latest_deadline=message.partial_deadline
        + LATE_SHARE * max(0.0, first.deadline - message.partial_deadline),
        leaving=balancer.leaving_processes(services),
        reply_to=message.reply_to,
    )

"""Merging of shard results and coverage of the merged answer."""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq

from kumquatchute_model.query import Coverage
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.plan import Plan
from kumquatchuted.targets.messages import SearchResult


def matches_snapshot(plan: Plan, result: SearchResult) -> bool:
    """Return True if a result comes from the snapshot of the plan."""
    return (result.index_version, result.map_version) == (
        plan.snapshot.index_version,
        plan.snapshot.map_version,
    )


def merge_results(
    plan: Plan, results: Mapping[str, SearchResult]
) -> SearchAnswer:
    """Merge the results of the shards into one answer.

    :param results: result by shard, all from the snapshot of the plan
    """
    hits = _best_hits(
        (hit for result in results.values() for hit in result.hits),
        plan.limit,
    )
    return SearchAnswer(
        hits, plan.snapshot, compute_coverage(plan, results), plan.names
    )


def compute_coverage(
    plan: Plan, results: Mapping[str, SearchResult]
) -> Coverage:
    """Return how much of the pinned shard map the results cover.

    A shard with a partial result contributes the number of documents that
    the result states, and is listed as missing as well.
    """
    covered = 0
    missing = []
    for shard in plan.shard_map.shards:
        result = results.get(shard.shard)
        documents = 0 if result is None else result.documents
        covered += max(0, min(documents, shard.documents))
        if result is None or documents < shard.documents:
            missing.append(shard.shard)
    return Coverage(covered, plan.shard_map.total_documents, tuple(missing))


def _best_hits(hits: Iterable[Hit], limit: int) -> tuple[Hit, ...]:
    """Return the hits with the highest scores, each document once."""
    by_doc: dict[str, Hit] = {}
    for hit in hits:
        previous = by_doc.get(hit.doc)
        if previous is None or hit.score > previous.score:
            by_doc[hit.doc] = hit
    best = heapq.nsmallest(
        limit, by_doc.values(), key=lambda hit: (-hit.score, hit.doc)
    )
    return tuple(best)

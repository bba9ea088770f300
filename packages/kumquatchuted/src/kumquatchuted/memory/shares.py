"""Divides the memory of a node among what it keeps for others."""

from dataclasses import dataclass

# Share of the memory of a node that may hold bytes of others. Besides them,
# the process itself needs memory, and a byte that is kept takes up to two in
# buffers and in copies that exist for a moment.
KEPT_SHARE = 0.25
RESPONSES_SHARE = 0.35
BODIES_SHARE = 0.15
PARTIALS_SHARE = 0.15
STORE_SHARE = 0.25
ANSWERS_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """Maximum numbers of bytes that are kept at the same time.

    :param responses: responses of searchers, from their first byte until the
        request ends
    :param bodies: bodies of callers' requests
    :param partials: partial queries of other nodes, and responses to those
        that this node sent
    :param store: responses of the store and of nodes that relay its objects
    :param answers: answers that callers have not read
    """

    responses: int
    bodies: int
    partials: int
    store: int
    answers: int


def plan_shares(memory_bytes: int) -> MemoryShares:
    """Return the limits of a node.

    :param memory_bytes: memory that the process may use
    """
    kept = memory_bytes * KEPT_SHARE
    return MemoryShares(
        responses=int(kept * RESPONSES_SHARE),
        bodies=int(kept * BODIES_SHARE),
        partials=int(kept * PARTIALS_SHARE),
        store=int(kept * STORE_SHARE),
        answers=int(kept * ANSWERS_SHARE),
    )

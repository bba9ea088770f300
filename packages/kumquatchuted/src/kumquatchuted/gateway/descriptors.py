"""How the descriptors of the process are divided."""

import resource

# Descriptors for callers, other nodes, the store and files: a share of all,
# and at least a number for a node that may open few.
RESERVED_SHARE = 0.3
MIN_RESERVED = 40


def max_searcher_connections() -> int | None:
    """Return how many connections to searchers the process may hold.

    :returns: at least 1; None if the system sets no limit
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return None
    reserved = max(MIN_RESERVED, int(limit * RESERVED_SHARE))
    return max(1, limit - reserved)

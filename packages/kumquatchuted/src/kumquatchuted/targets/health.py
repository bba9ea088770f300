"""Credibility of the bad health reports of a service."""

from collections.abc import Mapping


def credible_unhealthy(reports: Mapping[str, bool]) -> frozenset[str]:
    """Return the names of the searchers to treat as unhealthy.

    If more than half of the searchers of a service appear unhealthy at once,
    a faulty health check is more likely than so many faulty searchers, and
    all bad reports are ignored.

    :param reports: newest report of each searcher of one service, True if
        healthy
    """
    unhealthy = frozenset(
        name for name, healthy in reports.items() if not healthy
    )
    if 2 * len(unhealthy) > len(reports):
        return frozenset()
    return unhealthy

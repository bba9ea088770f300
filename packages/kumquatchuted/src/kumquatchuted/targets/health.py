"""Which bad health reports count."""

from collections.abc import Mapping


def credible_unhealthy(reports: Mapping[str, bool]) -> frozenset[str]:
    """Return the searchers whose bad health report counts.

    When more than half of a service appears unhealthy at once, the reports
    are more likely wrong than the searchers, and none of them counts.

    :param reports: newest report of each searcher of one service, True if
        it says that it is healthy
    :returns: names of the searchers
    """
    unhealthy = frozenset(
        name for name, healthy in reports.items() if not healthy
    )
    if 2 * len(unhealthy) > len(reports):
        return frozenset()
    return unhealthy

"""Searchers that are cold or count as cold, and this node's part of the rate.

A searcher is cold for some seconds after a start, and breaks down if it gets
more than a low rate of requests from all nodes together.
"""

from collections.abc import Collection

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.limits.rate import may_send
from kumquatchuted.limits.rate import RecentSends
from kumquatchuted.limits.rate import record_send
from kumquatchuted.limits.shares import cold_rate_share
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.routing.messages import ServiceSpec

# Added to the remaining warm-up time that a searcher reports, because the
# report may be as old as one report interval plus the delay of the store, and
# clocks differ slightly.
COLD_MARGIN_S = 0.3
# If more than this share of all searchers becomes unreachable within the
# window, the network of this node is assumed to be at fault, and the searchers
# do not count as restarted.
LOCAL_FAULT_SHARE = 0.3
LOCAL_FAULT_WINDOW_S = 2.0
NO_SENDS = RecentSends()


class ColdLimits:
    """Owns the ends of warm-ups and the recent sends to each searcher."""

    def __init__(self) -> None:
        """Create it without cold searchers."""
        self._cold_until: dict[str, float] = {}
        self._recent_sends: dict[str, RecentSends] = {}
        self._unreachable_at: dict[str, float] = {}

    def is_within(
        self,
        searcher: RegisteredSearcher,
        spec: ServiceSpec,
        cfg: GatewaySettings,
        nodes: Collection[str],
        now: float,
    ) -> bool:
        """Return whether this node may send one more request to a cold one.

        :param nodes: names of the nodes that share the limit
        :param now: monotonic time in seconds
        """
        fleet_limit = (
            spec.cold_requests_per_s * cfg.limits.warmup_factor
            + cfg.limits.warmup_slack
        )
        share = cold_rate_share(cfg.node, nodes, searcher.name, fleet_limit)
        recent = self._recent_sends.get(searcher.name, NO_SENDS)
        return may_send(recent, share, now)

    def record_send(self, name: str, now: float) -> None:
        """Record a request to a searcher, cold or warm.

        After a restart, requests that were sent before this node detected it
        count towards the limit of the cold searcher.

        :param now: monotonic time in seconds
        """
        recent = self._recent_sends.get(name, NO_SENDS)
        self._recent_sends[name] = record_send(recent, now)

    def set_warmup(
        self, searcher: RegisteredSearcher, reported_at: float
    ) -> None:
        """Apply the warm-up time that a searcher reports.

        :param reported_at: monotonic time of the report, in seconds
        """
        self._extend(
            searcher.name, reported_at + searcher.cold_left_s + COLD_MARGIN_S
        )

    def assume_restart(
        self,
        name: str,
        was_refused: bool,
        searcher_count: int,
        cold_until: float,
        now: float,
    ) -> None:
        """Treat an unreachable searcher as cold.

        If many searchers are unreachable at once, that holds only for those
        whose hosts refused the connection.

        :param was_refused: whether its host refused the connection
        :param searcher_count: number of all searchers
        :param cold_until: end of its warm-up, in monotonic seconds
        :param now: monotonic time in seconds
        """
        self._unreachable_at[name] = now
        unreachable_count = sum(
            unreachable_at > now - LOCAL_FAULT_WINDOW_S
            for unreachable_at in self._unreachable_at.values()
        )
        is_local_fault = unreachable_count > LOCAL_FAULT_SHARE * searcher_count
        if was_refused or not is_local_fault:
            self._extend(name, cold_until)

    def is_cold(self, name: str, now: float) -> bool:
        """Return whether a searcher counts as cold.

        :param now: monotonic time in seconds
        """
        return self._cold_until.get(name, 0.0) > now

    def remaining_s(self, name: str, now: float) -> float:
        """Return how long a searcher still counts as cold, in seconds.

        :param now: monotonic time in seconds
        """
        return max(0.0, self._cold_until.get(name, 0.0) - now)

    def discard(self, name: str, is_restarted: bool) -> None:
        """Forget a process that has ended.

        :param is_restarted: whether another one took over its name; the recent
            sends then count towards the limit of that one
        """
        if not is_restarted:
            self._recent_sends.pop(name, None)
        self._unreachable_at.pop(name, None)
        self._cold_until.pop(name, None)

    def _extend(self, name: str, cold_until: float) -> None:
        self._cold_until[name] = max(
            self._cold_until.get(name, 0.0), cold_until
        )

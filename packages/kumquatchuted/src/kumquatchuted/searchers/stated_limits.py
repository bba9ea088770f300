"""The rate limits that searchers state, as this node applies them."""

from collections.abc import Mapping

from logbook import Logger

from kumquatchuted.limits.stated import allocate
from kumquatchuted.limits.stated import Allocation
from kumquatchuted.limits.stated import change_limit
from kumquatchuted.limits.stated import count_send
from kumquatchuted.limits.stated import may_send
from kumquatchuted.limits.stated import recent_sends
from kumquatchuted.limits.stated import record_send
from kumquatchuted.limits.stated import SendCount
from kumquatchuted.limits.stated import start_limit
from kumquatchuted.limits.stated import StatedLimit
from kumquatchuted.membership.messages import RegisteredSearcher

log = Logger("searchers")


class StatedLimits:
    """Owns the limits that searchers state and this node's tokens."""

    def __init__(self, node: str) -> None:
        """Create it without any limit.

        :param node: name of this node
        """
        self._node = node
        self._node_dcs: Mapping[str, str] = {}
        self._searchers: Mapping[str, RegisteredSearcher] = {}
        self._limits: dict[str, StatedLimit] = {}
        self._send_counts: dict[str, SendCount] = {}

    def set_members(
        self,
        searchers: Mapping[str, RegisteredSearcher],
        node_dcs: Mapping[str, str],
        now: float,
    ) -> None:
        """Replace the known searchers and nodes.

        :param node_dcs: data centre of each node by name, this one included
        :param now: monotonic time in seconds
        """
        self._searchers = searchers
        self._send_counts = {
            name: count
            for name, count in self._send_counts.items()
            if name in searchers
        }
        has_new_nodes = node_dcs != self._node_dcs
        self._node_dcs = node_dcs
        for name, limit in list(self._limits.items()):
            if name not in searchers:
                del self._limits[name]
            elif has_new_nodes:
                self._change(name, limit, limit.limit_per_s, now)

    def on_response(
        self, name: str, limit_per_s: float | None, now: float
    ) -> None:
        """Apply the limit that a response of a searcher states, if any.

        A response without a limit ends the one that was stated before.

        :param limit_per_s: requests per second; None if none is stated
        """
        limit = self._limits.get(name)
        if limit_per_s is None:
            if limit is not None:
                del self._limits[name]
                log.info("limit ended searcher={}", name)
        elif limit is None:
            if name in self._searchers:
                self._start(name, limit_per_s, now)
        elif limit.limit_per_s != limit_per_s:
            self._change(name, limit, limit_per_s, now)

    def may_send(self, name: str, now: float) -> bool:
        """Return whether this node may send one more request.

        :param now: monotonic time in seconds
        """
        limit = self._limits.get(name)
        return limit is None or may_send(limit, now)

    def record_send(self, name: str, now: float) -> None:
        """Count a send and take a token if the searcher states a limit.

        :param now: monotonic time in seconds
        """
        count = self._send_counts.get(name, SendCount(now))
        self._send_counts[name] = count_send(count, now)
        limit = self._limits.get(name)
        if limit is not None:
            self._limits[name] = record_send(limit, now)

    def discard(self, name: str) -> None:
        """Forget the limit of a searcher whose process has ended."""
        self._limits.pop(name, None)
        self._send_counts.pop(name, None)

    def _start(self, name: str, limit_per_s: float, now: float) -> None:
        allocation = self._allocate(name, limit_per_s)
        count = self._send_counts.get(name, SendCount(now))
        recent = recent_sends(count, now)
        self._limits[name] = start_limit(limit_per_s, allocation, recent, now)
        self._log_limit(name, self._limits[name], recent)

    def _change(
        self, name: str, limit: StatedLimit, limit_per_s: float, now: float
    ) -> None:
        allocation = self._allocate(name, limit_per_s)
        count = self._send_counts.get(name, SendCount(now))
        self._limits[name] = change_limit(limit, limit_per_s, allocation, now)
        self._log_limit(name, self._limits[name], recent_sends(count, now))

    def _allocate(self, name: str, limit_per_s: float) -> Allocation:
        return allocate(
            self._node,
            self._node_dcs,
            name,
            self._searchers[name].data_centre,
            limit_per_s,
        )

    def _log_limit(self, name: str, limit: StatedLimit, recent: float) -> None:
        log.info(
            "limit stated searcher={} limit_per_s={} own_rate_per_s={:.2f}"
            " own_burst={:.1f} own_tokens={:.1f} recent_sends={:.0f} nodes={}",
            name,
            limit.limit_per_s,
            limit.allocation.rate_per_s,
            limit.allocation.burst,
            limit.tokens,
            recent,
            len(self._node_dcs),
        )

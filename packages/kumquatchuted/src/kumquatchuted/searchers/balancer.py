"""Load balancing: the state of the searchers and the choice among them.

The task of searchers owns the balancer. Of a limit that holds for all nodes
together, the balancer applies only the share of this node.
"""

from collections.abc import Collection
from collections import Counter
import random

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.limits.shares import connection_share
from kumquatchuted.limits.shares import sender_share
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.notices.messages import Notice
from kumquatchuted.notices.messages import process_of
from kumquatchuted.notices.messages import ProcessId
from kumquatchuted.notices.searcher_notices import SearcherNotices
from kumquatchuted.partials.grouping import group_remote_shards
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import ServiceSpec
from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose_searcher
from kumquatchuted.searchers.cold_limits import ColdLimits
from kumquatchuted.searchers import load as searcher_load
from kumquatchuted.searchers.load_table import LoadTable
from kumquatchuted.searchers.members import find_ended
from kumquatchuted.searchers.members import group_usable
from kumquatchuted.searchers.members import locate_nodes
from kumquatchuted.searchers.stated_limits import StatedLimits

log = Logger("searchers")

# A searcher whose new connection closes without a response counts as restarted
# from this number of consecutive connection failures on.
MIN_FAILURES_FOR_RESTART = 2
# Limits of a service that the manifest does not describe: few connections,
# 3 s of warm-up and a cold rate of zero, so that a cold searcher receives only
# ``warmup_slack`` requests per second.
DEFAULT_SPEC = ServiceSpec("", 8, 3.0, 0.0)


class LoadBalancer:
    """Owns members and what this node knows of each searcher.

    ``loads`` has what this node observes of them.
    """

    def __init__(self, cfg: GatewaySettings, rng: random.Random) -> None:
        """Create a balancer without searchers."""
        self._cfg = cfg
        self._rng = rng
        self._specs: dict[str, ServiceSpec] = {}
        self._searchers: dict[str, RegisteredSearcher] = {}
        self._searcher_counts: Counter[str] = Counter()
        self._usable_by_service: dict[str, list[RegisteredSearcher]] = {}
        self._nodes: frozenset[str] = frozenset((cfg.node,))
        self._node_dcs = {cfg.node: cfg.data_centre}
        self._dcs_with_other_nodes: frozenset[str] = frozenset()
        # By the data centres of the searchers; derived from the list of nodes.
        self._retry_shares: dict[frozenset[str], float] = {}
        self._evacuated: frozenset[str] = frozenset()
        self.loads = LoadTable()
        self._cold_limits = ColdLimits()
        self._stated_limits = StatedLimits(cfg.node)
        self._notices = SearcherNotices(rng.random)

    def retry_share(self, service: str) -> float:
        """Return this node's share of the retries for a service."""
        target_dcs = frozenset(
            searcher.data_centre
            for searcher in self._usable_by_service.get(service, ())
        )
        share = self._retry_shares.get(target_dcs)
        if share is None:
            share = sender_share(self._cfg.node, self._node_dcs, target_dcs)
            self._retry_shares[target_dcs] = share
        return share

    # Choice of searchers

    def choose(
        self,
        route: Route,
        service: str,
        excluded: Collection[str],
        now: float,
        may_delegate: bool = False,
    ) -> RegisteredSearcher | None:
        """Return the searcher with the lowest expected cost, or None.

        Searchers that have received this node's share of a limit are left out:
        of the rate of a cold searcher, or of the limit that a searcher states.
        So are those that have requested a pause.

        :param excluded: names of searchers that must not be chosen
        :param may_delegate: whether nodes of other data centres may send the
            request, so that their shares of stated limits and the pauses that
            were requested from them apply there
        :param now: monotonic time in seconds
        """
        usable = {
            searcher.name: searcher
            for searcher in self._usable_by_service.get(service, ())
            if searcher.name not in excluded
            and self._is_within_cold_limit(searcher, now)
            and (
                self._wants_request(searcher, now)
                or (may_delegate and self._is_delegable(searcher))
            )
        }
        chosen = choose_searcher(
            (self._candidate(searcher) for searcher in usable.values()),
            self.loads.latency_of(route).median_s,
            now,
            self._rng.random,
        )
        return None if chosen is None else usable[chosen.name]

    def partial_groups(
        self,
        services: tuple[str, ...],
        chosen: list[RegisteredSearcher | None],
        now: float,
    ) -> tuple[ShardGroup, ...]:
        """Return the shards to delegate to nodes of other data centres.

        :param services: service of each shard
        :param chosen: the searcher that this node would choose for each shard;
            None if none is usable
        :param now: monotonic time in seconds
        """
        local_dc = self._cfg.data_centre
        reachable = {
            shard: {
                candidate.data_centre
                for candidate in self._usable_by_service.get(
                    services[shard], ()
                )
                if self.loads.load_of(candidate.name).avoided_until <= now
            }
            for shard, searcher in enumerate(chosen)
            if searcher is not None and searcher.data_centre != local_dc
        }
        return group_remote_shards(
            reachable, local_dc, self._dcs_with_other_nodes
        )

    def searcher(self, name: str) -> RegisteredSearcher | None:
        """Return a listed searcher, or None."""
        return self._searchers.get(name)

    def service_of(self, name: str) -> str | None:
        """Return the service of a listed searcher, or None."""
        searcher = self._searchers.get(name)
        return None if searcher is None else searcher.service

    def searcher_count(self, service: str) -> int:
        """Return the number of searchers of a service, usable or not."""
        return self._searcher_counts[service]

    def connection_limit(self, service: str) -> int:
        """Return how many connections to a searcher this node may hold."""
        spec = self._specs.get(service, DEFAULT_SPEC)
        return connection_share(self._nodes, spec.max_connections)

    # Results of attempts

    def on_attempt_started(self, name: str, now: float) -> None:
        """Add a pending attempt and record the send."""
        self.loads.start(name, now)
        self._cold_limits.record_send(name, now)
        self._stated_limits.record_send(name, now)

    def on_attempt_succeeded(
        self, name: str, route: Route, started_at: float, now: float
    ) -> None:
        """Update load and latency after a usable response.

        :param started_at: start of the attempt, in monotonic seconds
        """
        searcher = self._searchers.get(name)
        if searcher is not None:
            self._notices.on_request_run(process_of(searcher), now)
        self.loads.succeed(name, route, started_at, now)

    def on_connect_failed(
        self, name: str, started_at: float, was_refused: bool, now: float
    ) -> None:
        """Update the load after a failed connect.

        The searcher may be restarting, so it counts as cold when it returns.
        If many searchers are unreachable at once, that holds only for those
        whose hosts refused the connection.

        :param started_at: start of the attempt, in monotonic seconds
        :param was_refused: whether its host refused the connection
        """
        self.loads.lose_connection(name, started_at, now)
        self._assume_restart(name, now, was_refused)

    def _assume_restart(
        self, name: str, now: float, was_refused: bool
    ) -> None:
        searcher = self._searchers.get(name)
        if searcher is None:
            return
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        available_at = max(now, self.loads.load_of(name).avoided_until)
        self._cold_limits.assume_restart(
            name,
            was_refused,
            len(self._searchers),
            available_at + spec.warmup_s,
            now,
        )

    def on_first_response_lost(
        self, name: str, started_at: float, now: float
    ) -> None:
        """Update the load after a new connection closed without a response.

        A single close does not prove a restart, because a searcher at its
        connection limit closes new connections too. After two failures without
        a usable response in between, the searcher counts as restarted and
        therefore as cold. The store may report the restart only later.
        """
        failures = self.loads.lose_connection(name, started_at, now)
        if failures >= MIN_FAILURES_FOR_RESTART:
            self._assume_restart(name, now, was_refused=False)

    def on_limit_stated(
        self, name: str, limit_per_s: float | None, now: float
    ) -> None:
        """Apply the limit that a response states; None if it states none."""
        self._stated_limits.on_response(name, limit_per_s, now)

    def on_notices(
        self, process: ProcessId, notices: tuple[Notice, ...], now: float
    ) -> None:
        """Apply what a process of a searcher states about itself."""
        if self._notices.on_notices(process, notices, now):
            self._update_usable()

    def on_processes_leaving(
        self, processes: tuple[ProcessId, ...], now: float
    ) -> None:
        """Apply what another node knows of processes that leave."""
        if self._notices.add_leaving(processes, now):
            self._update_usable()

    def leaving_processes(
        self, services: Collection[str]
    ) -> tuple[ProcessId, ...]:
        """Return the listed processes of some services that leave."""
        return tuple(
            process
            for process in self._notices.find_leaving(self._searchers)
            if self._searchers[process.name].service in services
        )

    def is_leaving(self, name: str) -> bool:
        """Return whether the listed process of a searcher leaves."""
        searcher = self._searchers.get(name)
        return searcher is not None and self._notices.is_leaving(searcher)

    def may_receive(self, name: str, now: float) -> bool:
        """Return whether an attempt that is about to be sent may be sent.

        Between the choice of the searcher and the moment at which a connection
        is open, it can have stated that it leaves or wants a pause.
        """
        searcher = self._searchers.get(name)
        if searcher is None:
            return False
        own_pending = self.loads.pending_count(name) - 1
        return not self._notices.is_leaving(searcher) and (
            self._notices.may_send(searcher, max(0, own_pending), now)
        )

    def retry_after_s(self, service: str, now: float) -> float | None:
        """Return when the first searcher of a service wants requests again.

        :returns: seconds; None if none of them has requested a pause
        """
        return self._notices.retry_after_s(
            self._usable_by_service.get(service, ()), now
        )

    def describe_load(self, name: str, now: float) -> str:
        """Return fields for the log that explain the choice of a searcher."""
        load = searcher_load.decay(self.loads.load_of(name), now)
        cold_s = self._cold_limits.remaining_s(name, now)
        return (
            f"pending={len(load.pending)} slowness={load.latency_ratio:.1f}"
            f" failing={load.failure_rate:.2f} cold_s={cold_s:.1f}"
        )

    # Settings, manifest and members

    def set_settings(self, cfg: GatewaySettings) -> None:
        """Replace the settings, which contain the limits for all nodes."""
        self._cfg = cfg

    def set_manifest(self, manifest: Manifest) -> None:
        """Replace the limits of the services."""
        self._specs = dict(manifest.services)

    def set_members(self, message: MembersChanged, now: float) -> set[str]:
        """Replace the known nodes and searchers.

        :returns: names of searchers that were removed or restarted; their
            former processes have ended
        """
        former = self._searchers
        self._searchers = dict(message.searchers)
        self._nodes = frozenset(message.nodes) | {self._cfg.node}
        self._dcs_with_other_nodes = frozenset(
            node.data_centre
            for name, node in message.nodes.items()
            if name != self._cfg.node
        )
        self._node_dcs = locate_nodes(
            message.nodes, self._cfg.node, self._cfg.data_centre
        )
        self._retry_shares.clear()
        self._stated_limits.set_members(self._searchers, self._node_dcs, now)
        gone = find_ended(former, self._searchers)
        for name in gone:
            self._discard_state(name)
        for name, searcher in self._searchers.items():
            if searcher.cold_left_s > 0:
                seen_at = message.seen_at.get(name, now)
                self._cold_limits.set_warmup(searcher, seen_at)
        self._searcher_counts = Counter(
            searcher.service for searcher in self._searchers.values()
        )
        self._evacuated = message.evacuated
        self._notices.set_listed(self._searchers, now)
        self._update_usable()
        return gone

    def _update_usable(self) -> None:
        leaving = {
            process.name
            for process in self._notices.find_leaving(self._searchers)
        }
        self._usable_by_service = group_usable(
            (
                searcher
                for name, searcher in self._searchers.items()
                if name not in leaving
            ),
            self._evacuated,
        )

    def _wants_request(self, searcher: RegisteredSearcher, now: float) -> bool:
        pending = self.loads.pending_count(searcher.name)
        return self._stated_limits.may_send(
            searcher.name, now
        ) and self._notices.may_send(searcher, pending, now)

    def _candidate(self, searcher: RegisteredSearcher) -> Candidate:
        return Candidate(
            searcher.name,
            searcher.capacity,
            searcher.data_centre == self._cfg.data_centre,
            self.loads.load_of(searcher.name),
        )

    def _is_delegable(self, searcher: RegisteredSearcher) -> bool:
        data_centre = searcher.data_centre
        return (
            data_centre != self._cfg.data_centre
            and data_centre in self._dcs_with_other_nodes
        )

    def _is_within_cold_limit(
        self, searcher: RegisteredSearcher, now: float
    ) -> bool:
        if not self._cold_limits.is_cold(searcher.name, now):
            return True
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        return self._cold_limits.is_within(
            searcher, spec, self._cfg, self._nodes, now
        )

    def _discard_state(self, name: str) -> None:
        log.info("searcher process gone searcher={}", name)
        self.loads.discard(name)
        self._stated_limits.discard(name)
        self._cold_limits.discard(name, is_restarted=name in self._searchers)

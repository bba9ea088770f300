"""What this node knows of all searchers, and the choice among them.

The task of searchers owns it. Limits of the fleet are kept by this node's
share of them.
"""

from collections.abc import Collection
from collections import Counter
import random

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.limits.rate import may_send
from kumquatchuted.limits.rate import RecentSends
from kumquatchuted.limits.rate import record_send
from kumquatchuted.limits.shares import cold_rate_share
from kumquatchuted.limits.shares import connection_share
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.partials.grouping import group_remote_shards
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import ServiceSpec
from kumquatchuted.searchers.choice import Candidate
from kumquatchuted.searchers.choice import choose
from kumquatchuted.searchers import load as ld
from kumquatchuted.searchers.times import first_times
from kumquatchuted.searchers.times import record_time
from kumquatchuted.searchers.times import Times

log = Logger("searchers")

# A searcher's report of its warmth is up to one report interval and the
# delay of the store old, and clocks run apart by little.
COLD_MARGIN_S = 0.3
# With more than this part of all searchers unreachable at once, the fault
# is assumed to be this node's, and they are not taken for restarted ones.
OWN_FAULT_SHARE = 0.3
OWN_FAULT_WINDOW_S = 2.0
# New connections that end without an answer, one after the other, before a
# searcher counts as gone.
GONE_AFTER = 2
# Limits of a service that the manifest does not describe: few connections,
# and as cold as a searcher can be.
DEFAULT_SPEC = ServiceSpec("", 8, 3.0, 0.0)
NO_LOAD = ld.Load()
NO_SENDS = RecentSends()


class Fleet:
    """Owns members, loads, warmth and usual times."""

    def __init__(self, cfg: GatewaySettings, rng: random.Random) -> None:
        """Create without any searcher."""
        self._cfg = cfg
        self._rng = rng
        self._specs: dict[str, ServiceSpec] = {}
        self._searchers: dict[str, RegisteredSearcher] = {}
        self._counts: Counter[str] = Counter()
        self._by_service: dict[str, list[RegisteredSearcher]] = {}
        self._nodes: frozenset[str] = frozenset((cfg.node,))
        self._other_nodes_in: frozenset[str] = frozenset()
        self._loads: dict[str, ld.Load] = {}
        self._cold_until: dict[str, float] = {}
        self._sends: dict[str, RecentSends] = {}
        self._broken_at: dict[str, float] = {}
        self._times: dict[str, Times] = {}

    def node_count(self) -> int:
        """Return the number of nodes that share the limits."""
        return len(self._nodes)

    def times_of(self, route: Route) -> Times:
        """Return the usual times of answers on a route."""
        times = self._times.get(route.name)
        return first_times(route.objective_s) if times is None else times

    # Choice

    def choose(
        self,
        route: Route,
        service: str,
        excluded: Collection[str],
        now: float,
    ) -> RegisteredSearcher | None:
        """Return the searcher that is expected to answer first, or None."""
        usable = {
            searcher.name: searcher
            for searcher in self._by_service.get(service, ())
            if searcher.name not in excluded
            and self._is_warm_enough(searcher, now)
        }
        chosen = choose(
            (self._candidate(searcher) for searcher in usable.values()),
            self.times_of(route).usual_s,
            now,
            self._rng.random,
        )
        return None if chosen is None else usable[chosen.name]

    def groups(
        self,
        services: tuple[str, ...],
        chosen: list[RegisteredSearcher | None],
        now: float,
    ) -> tuple[ShardGroup, ...]:
        """Return which shards nodes of other data centres gather.

        :param services: the shards
        :param chosen: the searcher that this node would choose for each
        """
        own = self._cfg.data_centre
        reachable = {
            shard: {
                item.data_centre
                for item in self._by_service.get(services[shard], ())
                if self._load(item.name).closed_until <= now
            }
            for shard, searcher in enumerate(chosen)
            if searcher is not None and searcher.data_centre != own
        }
        return group_remote_shards(reachable, own, self._other_nodes_in)

    def searcher_count(self, service: str) -> int:
        """Return the number of searchers of a service, usable or not."""
        return self._counts[service]

    def most_connections(self, service: str) -> int:
        """Return how many connections to a searcher this node may hold."""
        spec = self._specs.get(service, DEFAULT_SPEC)
        return connection_share(self._nodes, spec.max_connections)

    # Attempts

    def attempt_started(self, name: str, now: float) -> None:
        """Count an attempt.

        Sends count towards the limit of a cold searcher from before it is
        known to be cold.
        """
        self._loads[name] = ld.start_attempt(self._load(name), now)
        recent = self._sends.get(name, NO_SENDS)
        self._sends[name] = record_send(recent, now)

    def attempt_answered(
        self, name: str, route: Route, started: float, now: float
    ) -> None:
        """Learn from an answer that can be used."""
        times = self.times_of(route)
        took_s = now - started
        load = ld.end_attempt(self._load(name), started)
        self._loads[name] = ld.record_answer(load, took_s, times.usual_s, now)
        self._times[route.name] = record_time(times, took_s, route.objective_s)

    def attempt_failed(self, name: str, started: float, now: float) -> None:
        """Learn from an attempt that got no usable answer."""
        load = ld.end_attempt(self._load(name), started)
        self._loads[name] = ld.record_failure(load, now)

    def attempt_dropped(
        self, name: str, route: Route, started: float, now: float
    ) -> None:
        """Learn from an attempt that was not awaited any longer."""
        usual_s = self.times_of(route).usual_s
        if now - started > ld.OVERDUE_FACTOR * usual_s:
            self.attempt_failed(name, started, now)
        else:
            self._loads[name] = ld.end_attempt(self._load(name), started)

    def connect_failed(
        self, name: str, started: float, was_refused: bool, now: float
    ) -> None:
        """Learn that a searcher could not be reached.

        It may be restarting, so that it counts as cold when it returns,
        unless many searchers are unreachable at once.

        :param was_refused: whether its host answered that nobody listens
        """
        load = ld.end_attempt(self._load(name), started)
        self._loads[name] = ld.record_broken(load, now)
        self._suspect_restart(name, now, was_refused)

    def _suspect_restart(
        self, name: str, now: float, was_refused: bool
    ) -> None:
        self._broken_at[name] = now
        recent = sum(
            at > now - OWN_FAULT_WINDOW_S for at in self._broken_at.values()
        )
        is_own_fault = recent > OWN_FAULT_SHARE * len(self._searchers)
        searcher = self._searchers.get(name)
        if searcher is None or (is_own_fault and not was_refused):
            return
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        back_at = max(now, self._load(name).closed_until)
        self._set_cold(name, back_at + spec.warmup_s)

    def first_use_lost(self, name: str, started: float, now: float) -> None:
        """Learn that a new connection ended before its first answer.

        A searcher that is full does so too. Twice without an answer in
        between is taken for a process that is gone, which the store may tell
        later, and that is cold when it returns.
        """
        load = ld.end_attempt(self._load(name), started)
        self._loads[name] = ld.record_broken(load, now)
        if self._loads[name].failures >= GONE_AFTER:
            self._suspect_restart(name, now, was_refused=False)

    def found_elsewhere(self, name: str, now: float) -> None:
        """Learn that another process has the searcher's address."""
        self._loads[name] = ld.record_broken(self._load(name), now)

    def load_reported(self, name: str, report: ld.LoadReport | None) -> None:
        """Keep what a searcher said about its load."""
        if report is not None:
            self._loads[name] = ld.record_report(self._load(name), report)

    def pending(self, name: str) -> int:
        """Return the number of attempts under way at a searcher."""
        return len(self._load(name).pending)

    def describe(self, name: str, now: float) -> str:
        """Return what the choice of a searcher depended on, for the log."""
        load = ld.faded(self._load(name), now)
        cold_s = max(0.0, self._cold_until.get(name, 0.0) - now)
        return (
            f"pending={len(load.pending)} slowness={load.slowness:.1f}"
            f" failing={load.failing:.2f} cold_s={cold_s:.1f}"
        )

    # Members

    def set_settings(self, cfg: GatewaySettings) -> None:
        """Take over the limits of the fleet."""
        self._cfg = cfg

    def set_manifest(self, manifest: Manifest) -> None:
        """Take over the limits of the services."""
        self._specs = dict(manifest.services)

    def set_members(self, message: MembersChanged, now: float) -> set[str]:
        """Take over the members.

        :returns: searchers whose process is gone
        """
        former = self._searchers
        self._searchers = dict(message.searchers)
        self._nodes = frozenset(message.nodes) | {self._cfg.node}
        self._other_nodes_in = frozenset(
            node.data_centre
            for name, node in message.nodes.items()
            if name != self._cfg.node
        )
        gone = set(former) - set(self._searchers)
        gone |= {
            name
            for name, searcher in self._searchers.items()
            if name in former and _is_restarted(former[name], searcher)
        }
        for name in gone:
            self._forget(name)
        for name, searcher in self._searchers.items():
            if searcher.cold_left_s > 0:
                seen_at = message.seen_at.get(name, now)
                until = seen_at + searcher.cold_left_s + COLD_MARGIN_S
                self._set_cold(name, until)
        self._counts = Counter(
            searcher.service for searcher in self._searchers.values()
        )
        self._by_service = {}
        for searcher in self._searchers.values():
            is_ready = searcher.state is SearcherState.READY
            if is_ready and searcher.data_centre not in message.evacuated:
                self._by_service.setdefault(searcher.service, []).append(
                    searcher
                )
        return gone

    def _candidate(self, searcher: RegisteredSearcher) -> Candidate:
        return Candidate(
            searcher.name,
            searcher.capacity,
            searcher.data_centre == self._cfg.data_centre,
            self._load(searcher.name),
        )

    def _is_warm_enough(
        self, searcher: RegisteredSearcher, now: float
    ) -> bool:
        if self._cold_until.get(searcher.name, 0.0) <= now:
            return True
        spec = self._specs.get(searcher.service, DEFAULT_SPEC)
        limits = self._cfg.limits
        fleet = (
            spec.cold_requests_per_s * limits.warmup_factor
            + limits.warmup_slack
        )
        share = cold_rate_share(
            self._cfg.node, self._nodes, searcher.name, fleet
        )
        recent = self._sends.get(searcher.name, NO_SENDS)
        return may_send(recent, share, now)

    def _set_cold(self, name: str, until: float) -> None:
        self._cold_until[name] = max(self._cold_until.get(name, 0.0), until)

    def _load(self, name: str) -> ld.Load:
        return self._loads.get(name, NO_LOAD)

    def _forget(self, name: str) -> None:
        log.info("searcher process gone searcher={}", name)
        self._loads.pop(name, None)
        if name not in self._searchers:
            # What was just sent counts towards the limit of a new process.
            self._sends.pop(name, None)
        self._broken_at.pop(name, None)
        self._cold_until.pop(name, None)


def _is_restarted(
    former: RegisteredSearcher, searcher: RegisteredSearcher
) -> bool:
    return former.started != searcher.started or (
        (former.host, former.port) != (searcher.host, searcher.port)
    )

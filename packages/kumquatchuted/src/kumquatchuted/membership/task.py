"""The task that owns the known searchers and nodes and the manifest."""

import asyncio
from collections.abc import Callable

from logbook import Logger

from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import StoreRecovered
from kumquatchuted.membership.messages import StoreUnavailable
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.messages import TopicChanged
from kumquatchuted.membership.messages import TopicListed
from kumquatchuted.membership import registry as reg
from kumquatchuted.membership.sources import order_sources
from kumquatchuted.membership.sources import Source
from kumquatchuted.membership.sources import SourceSilent
from kumquatchuted.routing.acceptance import may_take_effect
from kumquatchuted.routing.acceptance import newer_manifest
from kumquatchuted.routing.acceptance import PendingManifest
from kumquatchuted.routing.acceptance import update_pending
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import ManifestChanged

log = Logger("membership")

# Time between two checks of the warm-up of new shards while a manifest is
# pending.
PENDING_CHECK_S = 0.1


class MembershipTask:
    """Owns known searchers and nodes, data centres taken out and manifest."""

    def __init__(
        self,
        cfg: GatewaySettings,
        subscribers: tuple[Post, ...],
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param subscribers: mailboxes of the tasks that receive each change
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        # Called when this node's preferred source has changed.
        self.restart_callbacks: tuple[Callable[[], None], ...] = ()
        # Called when a node that relays the objects does not respond.
        self.silence_callbacks: tuple[Callable[[Source], None], ...] = ()
        self._cfg = cfg
        self._subscribers = subscribers
        self._clock = clock
        self._registry = reg.EMPTY_REGISTRY
        self._manifest: Manifest | None = None
        self._pending: PendingManifest | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._nodes: dict[str, Node] = {}
        self._sources = order_sources(
            cfg.node, cfg.peers, cfg.data_centre, {}, cfg.seeds, cfg.store
        )
        self._unavailable_topics: set[Topic] = set()

    def sources(self) -> tuple[Source, ...]:
        """Return the sources of the store's objects, the preferred first."""
        return self._sources

    async def run(self) -> None:
        """Handle messages and expire searchers until cancelled."""
        while True:
            try:
                message = await asyncio.wait_for(
                    self.mailbox.get(), self._wait_timeout_s()
                )
            except TimeoutError:
                message = None
            before = (self._registry, self._evacuated, self._nodes)
            if message is not None:
                self._handle(message)
            self._registry = reg.expire(self._registry, self._clock())
            self._apply_pending()
            if before != (self._registry, self._evacuated, self._nodes):
                self._publish()

    def _wait_timeout_s(self) -> float | None:
        wake_times = [reg.next_expiry(self._registry)]
        if self._pending is not None:
            wake_times += [
                self._pending.apply_by,
                self._clock() + PENDING_CHECK_S,
            ]
        deadlines = [time for time in wake_times if time is not None]
        return max(0.0, min(deadlines) - self._clock()) if deadlines else None

    def _handle(self, message: object) -> None:
        now = self._clock()
        match message:
            case TopicListed(topic=Topic.SEARCHERS, objects=objects):
                self._registry = reg.replace_searchers(
                    self._registry, objects, now
                )
                log.info("searchers listed count={}", len(objects))
            case TopicChanged(topic=Topic.SEARCHERS) as change:
                self._log_searchers(change)
                self._registry = reg.update_searchers(
                    self._registry, change.written, change.removed, now
                )
            case TopicListed(topic=Topic.MANIFEST, objects=objects):
                # A listing does not state when the manifest was written, and
                # the time within which it must take effect may have passed.
                # It is therefore applied without waiting for its shards.
                self._read_manifests(objects, 0.0)
            case TopicChanged(topic=Topic.MANIFEST, written=written):
                self._read_manifests(written, self._cfg.limits.apply_s)
            case TopicListed(topic=Topic.OUT_OF_SERVICE, objects=objects):
                self._set_evacuated(frozenset(item.name for item in objects))
            case TopicChanged(topic=Topic.OUT_OF_SERVICE) as change:
                names = {item.name for item in change.written}
                self._set_evacuated(
                    (self._evacuated | names) - set(change.removed)
                )
            case TopicListed(topic=Topic.NODES, objects=objects):
                self._nodes = {}
                self._add_nodes(objects)
                log.info("nodes listed count={}", len(self._nodes))
            case TopicChanged(topic=Topic.NODES) as change:
                self._nodes = {
                    name: node
                    for name, node in self._nodes.items()
                    if name not in change.removed
                }
                self._add_nodes(change.written)
            case SettingsChanged(cfg=cfg):
                self._cfg = cfg
                self._update_sources()
            case StoreUnavailable(topic=topic, reason=reason):
                self._on_store_unavailable(topic, reason)
            case StoreRecovered(topic=topic):
                self._on_store_recovered(topic, now)
            case SourceSilent(source=source):
                log.info("source silent address={}", source.address)
                for callback in self.silence_callbacks:
                    callback(source)

    def _add_nodes(self, objects: tuple[DecodedObject, ...]) -> None:
        nodes = {
            item.name: item.value
            for item in objects
            if isinstance(item.value, Node)
        }
        self._nodes = {**self._nodes, **nodes}
        self._update_sources()

    def _update_sources(self) -> None:
        cfg = self._cfg
        former = self._sources[0]
        self._sources = order_sources(
            cfg.node,
            cfg.peers,
            cfg.data_centre,
            self._nodes,
            cfg.seeds,
            cfg.store,
        )
        if self._sources[0] != former:
            log.info(
                "preferred source changed address={}", self._sources[0].address
            )
            for callback in self.restart_callbacks:
                callback()

    def _read_manifests(
        self, objects: tuple[DecodedObject, ...], apply_s: float
    ) -> None:
        for item in objects:
            if item.value is None:
                log.warning("manifest rejected name={}", item.name)
                continue
            if newer_manifest(self._manifest, item.value) is self._manifest:
                continue
            now = self._clock()
            self._pending = update_pending(
                self._pending, item.value, apply_s, now
            )
            log.info("manifest read version={}", item.value.version)

    def _apply_pending(self) -> None:
        pending = self._pending
        if pending is None:
            return
        warm_at = reg.warm_times(self._registry)
        now = self._clock()
        if not may_take_effect(pending, self._manifest, warm_at, now):
            return
        former = self._manifest
        self._pending, self._manifest = None, pending.manifest
        log.info(
            "manifest in force version={} former={} routes={} spare_s={:.2f}",
            pending.manifest.version,
            former and former.version,
            len(pending.manifest.routes),
            pending.apply_by - now,
        )
        for post in self._subscribers:
            post(ManifestChanged(pending.manifest))

    def _set_evacuated(self, data_centres: frozenset[str]) -> None:
        if data_centres != self._evacuated:
            log.info(
                "evacuation changed data_centres={}", sorted(data_centres)
            )
        self._evacuated = data_centres

    def _on_store_unavailable(self, topic: Topic, reason: str) -> None:
        if topic not in self._unavailable_topics:
            log.warning("store lost topic={} cause={}", topic.value, reason)
        self._unavailable_topics.add(topic)
        if topic is Topic.SEARCHERS:
            self._registry = reg.mark_store_unavailable(self._registry)

    def _on_store_recovered(self, topic: Topic, now: float) -> None:
        log.info("store regained topic={}", topic.value)
        self._unavailable_topics.discard(topic)
        if topic is Topic.SEARCHERS:
            self._registry = reg.mark_store_recovered(self._registry, now)

    def _log_searchers(self, change: TopicChanged) -> None:
        for item in change.written:
            if item.value is None:
                log.warning("entry rejected searcher={}", item.name)
            else:
                log.info(
                    "entry written searcher={} service={} state={} cold_s={}",
                    item.name,
                    item.value.service,
                    item.value.state.value,
                    item.value.cold_left_s,
                )
        for name in change.removed:
            log.info("entry removed searcher={}", name)

    def _publish(self) -> None:
        message = MembersChanged(
            self._registry.searchers,
            self._registry.seen_at,
            self._evacuated,
            self._nodes,
        )
        for post in self._subscribers:
            post(message)

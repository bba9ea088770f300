"""The composition root: builds all tasks of a node and connects them."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
import random
import time
from typing import Any

from kumquatchute_model.settings import Settings
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.catalog.task import CatalogTask
from kumquatchuted.drain.inboxes import DrainInboxes
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import StopRequested
from kumquatchuted.drain.task import DrainTask
from kumquatchuted.http.messages import RequestInboxes
from kumquatchuted.http.task import HttpTask
from kumquatchuted.mailbox import Post
from kumquatchuted.metrics import Metrics
from kumquatchuted.peers.dispatch import DispatchTask
from kumquatchuted.peers.keys import PeerKeys
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import ReplyToPeer
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.peers.task import PeerTask
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import ConfirmRequest
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import EpochAcked
from kumquatchuted.placement.messages import EpochHeld
from kumquatchuted.placement.messages import EpochNotice
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.ownership import may_send_to
from kumquatchuted.placement.ownership import owner
from kumquatchuted.placement.task import PlacementTask
from kumquatchuted.platform.object_store import ObjectStore
from kumquatchuted.platform.store import Store
from kumquatchuted.search.query_metrics import record_query
from kumquatchuted.search.task import SearchTask
from kumquatchuted.submission.task import SubmissionTask
from kumquatchuted.target_http.client import HttpTargetClient
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.target_metrics import record_targets
from kumquatchuted.targets.task import TargetsTask
from kumquatchuted.tickets.messages import FetchTickets
from kumquatchuted.tickets.messages import PeerHasTicket
from kumquatchuted.tickets.messages import TicketBatch
from kumquatchuted.tickets.messages import TicketHeld
from kumquatchuted.tickets.messages import TicketNotice
from kumquatchuted.tickets.messages import TicketsUpToDate
from kumquatchuted.tickets.messages import ViewChanged
from kumquatchuted.tickets.messages import ViewChunk
from kumquatchuted.tickets.task import TicketTask


class MessageBus:
    """Delivers each message to the receivers of its type.

    Tasks post to the bus, so they can be built one after the other although
    they send messages to each other.
    """

    def __init__(self) -> None:
        """Create a bus without receivers."""
        self._receivers: dict[type, tuple[Post, ...]] = {}

    def subscribe(self, message_type: type, *posts: Post) -> None:
        """Add receivers of a message type."""
        self._receivers[message_type] = (
            *self._receivers.get(message_type, ()),
            *posts,
        )

    def post(self, message: Any) -> None:
        """Deliver a message.

        :raises KeyError: no task receives the type, which is a wiring error
        """
        for post in self._receivers[type(message)]:
            post(message)


@dataclass(frozen=True)
class Node:
    """All tasks of a node.

    Each runs until it is cancelled. ``http`` must be bound before it runs.

    :param stores: one client for each task that uses the platform
    """

    catalog: CatalogTask
    tickets: TicketTask
    placement: PlacementTask
    targets: TargetsTask
    dispatch: DispatchTask
    search: SearchTask
    submission: SubmissionTask
    http: HttpTask
    drain: DrainTask
    peers: PeerTask
    stores: tuple[Store, ...]

    @property
    def tasks(self) -> tuple[Any, ...]:
        """Return the tasks in the order in which they start."""
        return (
            self.catalog,
            self.tickets,
            self.placement,
            self.targets,
            self.dispatch,
            self.search,
            self.submission,
            self.http,
            self.drain,
            self.peers,
        )

    async def close(self) -> None:
        """Close the connections to the platform."""
        for store in self.stores:
            await store.close()

    def request_stop(self) -> None:
        """Begin the graceful shutdown; a second call shortens it."""
        self.drain.mailbox.post(StopRequested())


@dataclass(frozen=True)
class NodeContext:
    """Objects that the tasks of a node share.

    :param local: this node as a member
    :param bus: delivers messages between the tasks
    :param clock: monotonic time in seconds
    """

    cfg: Settings
    local: Member
    bus: MessageBus
    metrics: Metrics
    clock: Callable[[], float]
    rng: random.Random


def build_node(
    cfg: Settings, keys: PeerKeys | None, on_stopped: Callable[[], None]
) -> Node:
    """Build all tasks of a node.

    :param keys: CURVE keys of the links to peers, None for plain links
    :param on_stopped: called when the graceful shutdown has ended
    """
    rng = random.Random()
    local = Member(
        cfg.node.name,
        f"{rng.getrandbits(48):012x}",
        cfg.node.dc,
        cfg.listen.peers,
    )
    context = NodeContext(
        cfg, local, MessageBus(), Metrics(), time.monotonic, rng
    )
    node = _build_tasks(context, keys, on_stopped)
    _subscribe_tasks(context.bus, node, context.metrics)
    return node


def _build_tasks(
    context: NodeContext, keys: PeerKeys | None, on_stopped: Callable[[], None]
) -> Node:
    cfg, bus, clock = context.cfg, context.bus, context.clock
    stores = tuple(ObjectStore(cfg.platform) for _ in range(4))
    catalog_store, ticket_store, placement_store, submission_store = stores
    catalog = CatalogTask(catalog_store, (bus.post,), clock)
    tickets = TicketTask(
        context.local.node,
        ticket_store,
        frozenset(cfg.dcs),
        bus.post,
        (bus.post,),
        clock,
    )
    placement = _build_placement(context, placement_store)
    targets = _build_targets(context)
    dispatch = DispatchTask(
        context.local.node,
        targets.mailbox.post,
        bus.post,
        clock,
        context.metrics.count,
    )
    search = _build_search(context, dispatch.mailbox.post)
    submission = _build_submission(
        context, submission_store, dispatch.mailbox.post
    )
    request_inboxes = RequestInboxes(
        search.mailbox.post, submission.mailbox.post, tickets.mailbox.post
    )
    drain_inboxes = DrainInboxes(
        search.mailbox.post,
        submission.mailbox.post,
        placement.mailbox.post,
        targets.mailbox.post,
    )
    drain = DrainTask(cfg, drain_inboxes, (bus.post,), on_stopped, clock)
    peers = PeerTask(
        PeerIdentity(context.local.node, context.local.incarnation),
        cfg.listen.peers,
        keys,
        _build_peer_routes(dispatch, tickets, placement),
        tuple(
            task.mailbox.post for task in (dispatch, tickets, placement, drain)
        ),
        dispatch.mailbox.post,
        clock,
    )
    return Node(
        catalog=catalog,
        tickets=tickets,
        placement=placement,
        targets=targets,
        dispatch=dispatch,
        search=search,
        submission=submission,
        http=HttpTask(cfg, request_inboxes, context.metrics, clock),
        drain=drain,
        peers=peers,
        stores=stores,
    )


def _build_placement(context: NodeContext, store: Store) -> PlacementTask:
    return PlacementTask(
        context.local,
        context.cfg.node.host,
        store,
        context.bus.post,
        (context.bus.post,),
        context.cfg.peers,
        context.clock,
        context.rng,
    )


def _build_targets(context: NodeContext) -> TargetsTask:
    return TargetsTask(
        context.local.node,
        HttpTargetClient,
        context.bus.post,
        context.clock,
        owner,
        may_send_to,
        {
            service.name: service.expected_ms
            for service in context.cfg.services
        },
    )


def _build_search(context: NodeContext, dispatch: Post) -> SearchTask:
    return SearchTask(
        context.local.node,
        context.local.incarnation,
        context.cfg.services,
        owner,
        dispatch,
        (partial(record_query, context.metrics, context.clock),),
        context.clock,
        context.rng,
    )


def _build_submission(
    context: NodeContext, store: Store, dispatch: Post
) -> SubmissionTask:
    return SubmissionTask(
        context.local.node,
        context.local.incarnation,
        store,
        dispatch,
        owner,
        context.clock,
        time.time,
        context.rng,
    )


def _build_peer_routes(
    dispatch: DispatchTask, tickets: TicketTask, placement: PlacementTask
) -> dict[type, Post]:
    """Return the receiver of each message type from peers."""
    routes = {}
    for message_type in (AttemptBatch, OutcomeBatch, CancelBatch, Ping):
        routes[message_type] = dispatch.mailbox.post
    for message_type in (
        FetchTickets,
        TicketBatch,
        TicketHeld,
        TicketNotice,
        ViewChunk,
    ):
        routes[message_type] = tickets.mailbox.post
    for message_type in (
        ConfirmRequest,
        Confirmed,
        EpochNotice,
        EpochHeld,
        EpochAcked,
    ):
        routes[message_type] = placement.mailbox.post
    return routes


def _subscribe_tasks(bus: MessageBus, node: Node, metrics: Metrics) -> None:
    """Subscribe the tasks to the messages that other tasks post."""
    targets = node.targets.mailbox.post
    search = node.search.mailbox.post
    submission = node.submission.mailbox.post
    placement = node.placement.mailbox.post
    tickets = node.tickets.mailbox.post
    drain = node.drain.mailbox.post
    http = node.http.mailbox.post
    bus.subscribe(CatalogChanged, targets, search, submission, drain, http)
    bus.subscribe(
        ViewChanged, placement, targets, search, submission, drain, http
    )
    bus.subscribe(
        PlacementChanged, tickets, targets, search, submission, drain, http
    )
    bus.subscribe(CurrentUntil, targets, search, submission, drain, http)
    bus.subscribe(TicketsUpToDate, placement)
    bus.subscribe(PeerHasTicket, tickets)
    bus.subscribe(EpochReleased, placement)
    bus.subscribe(OwnedTargetsStatus, http, partial(record_targets, metrics))
    bus.subscribe(ReadyChanged, http)
    bus.subscribe(AttemptDone, node.dispatch.mailbox.post)
    bus.subscribe(PeersChanged, node.peers.mailbox.post)
    bus.subscribe(ToPeer, node.peers.mailbox.post)
    bus.subscribe(ReplyToPeer, node.peers.mailbox.post)

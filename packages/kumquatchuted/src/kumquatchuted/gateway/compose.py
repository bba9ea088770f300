"""Wires the tasks of a node on the users' platform."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import random

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import PlatformSettings
from kumquatchuted.front.app import caller_app
from kumquatchuted.front.app import CallerSink
from kumquatchuted.front.app import operations_app
from kumquatchuted.front.app import peer_app
from kumquatchuted.front.listener import Listener
from kumquatchuted.front.messages import StopRequested
from kumquatchuted.front.open_requests import OpenRequests
from kumquatchuted.front.router import Router
from kumquatchuted.front.task import FrontTask
from kumquatchuted.front.unread import UnreadAnswers
from kumquatchuted.gateway.descriptors import max_searcher_connections
from kumquatchuted.gateway.metrics import GatewayMetrics
from kumquatchuted.gateway.reload import ReloadTask
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.membership.follower import Follower
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.task import MembershipTask
from kumquatchuted.memory.byte_budget import ByteBudget
from kumquatchuted.memory.shares import plan_shares
from kumquatchuted.partials.messages import PartialQueryRequest
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.serving import serve_partial_query
from kumquatchuted.partials.task import PartialsTask
from kumquatchuted.platform.decoding import EVACUATION_DECODER
from kumquatchuted.platform.decoding import MANIFEST_DECODER
from kumquatchuted.platform.decoding import NODE_DECODER
from kumquatchuted.platform.decoding import SEARCHER_DECODER
from kumquatchuted.platform.object_client import ObjectClient
from kumquatchuted.platform.object_client import register_node
from kumquatchuted.platform.object_store import ObjectStore
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.transport import Transport
from kumquatchuted.searchers.task import SearchersTask

TOPIC_DECODERS = {
    Topic.MANIFEST: MANIFEST_DECODER,
    Topic.SEARCHERS: SEARCHER_DECODER,
    Topic.OUT_OF_SERVICE: EVACUATION_DECODER,
    Topic.NODES: NODE_DECODER,
}


# Longest duration of a watch. A source can stop delivering on a watch without
# closing it, and what another watch receives does not show that it has. Each
# watch therefore ends soon enough for a change to apply within the few seconds
# that the users allow after a disturbance.
WATCH_S = 2.0
# Answer to a partial query of another node, which then queries the searchers
# itself.
NODE_STOPPING = Failure(
    ErrorKind.STOPPING, "the node is stopping", not_run=True
)


@dataclass(frozen=True)
class Gateway:
    """The wired tasks of a node.

    :param task_functions: coroutine functions that run as long as the node
    :param open: binds the listeners; returns None or a ``Failure``
    :param close: closes the connections to the store and to other nodes
    :param request_stop: begins the graceful shutdown
    :param reload: checks the settings file for changes
    """

    task_functions: tuple[Callable, ...]
    open: Callable
    close: Callable
    request_stop: Callable[[], None]
    reload: Callable[[], None]


def build_gateway(
    cfg: GatewaySettings,
    read: Callable[[], GatewaySettings | Failure],
    stop: Callable[[], None],
) -> Gateway:
    """Build all tasks of a node and connect them.

    :param cfg: settings at the start
    :param read: reads the settings file again; returns a ``Failure`` if it is
        invalid
    :param stop: called once, when the process is to end
    """
    clock = asyncio.get_running_loop().time
    rng = random.Random()
    metrics = GatewayMetrics()
    listeners: list[Listener] = []

    def close_listeners() -> None:
        for listener in listeners:
            listener.close()

    open_requests = OpenRequests()
    front = FrontTask(
        cfg.limits.grace_s,
        close_listeners,
        lambda: caller_listener.connection_count(),
        open_requests,
        stop,
        clock,
        metrics.count,
    )
    shares = plan_shares(cfg.limits.memory_bytes)
    bodies = ByteBudget(shares.bodies)
    messages = ByteBudget(shares.partials)
    responses_of_store = ByteBudget(shares.store)
    unread = UnreadAnswers(shares.answers)
    partials = PartialsTask(
        cfg,
        clock,
        rng,
        metrics.count,
        lambda message: searchers.mailbox.post(message),
        messages,
    )
    searchers = SearchersTask(
        cfg,
        clock,
        rng,
        metrics.count,
        partials.mailbox.post,
        max_searcher_connections(),
    )
    metrics.report_kept_bytes("responses", searchers.kept_bytes)
    metrics.report_kept_bytes("bodies", bodies.used_bytes)
    metrics.report_kept_bytes("partials", messages.used_bytes)
    metrics.report_kept_bytes("store", responses_of_store.used_bytes)
    metrics.report_kept_bytes("answers", unread.total)
    membership = MembershipTask(
        cfg,
        (
            searchers.mailbox.post,
            front.mailbox.post,
            partials.mailbox.post,
        ),
        clock,
    )
    relay = Relay(clock)
    transport = Transport(responses_of_store)
    client = ObjectClient(transport, relay)
    followers = _build_followers(client, membership, rng, clock)
    for topic, follower in followers.items():
        metrics.report_topic_age(topic.value, follower.state_age_s)
    membership.restart_callbacks = tuple(
        follower.restart for follower in followers.values()
    )
    membership.silence_callbacks = tuple(
        follower.on_source_silent for follower in followers.values()
    )
    router = Router(
        front.state,
        searchers.mailbox.post,
        partials.mailbox.post,
        open_requests,
        clock,
        metrics.observe,
    )
    sink = CallerSink(
        router,
        front.state,
        front.mailbox.post,
        bodies,
        metrics.count,
        clock,
    )
    caller_listener = Listener(caller_app(sink), front.state, unread)
    operations_asgi = operations_app(front.state, metrics.render)
    operations_listener = Listener(operations_asgi, front.state, unread)
    metrics_listener = Listener(operations_asgi, front.state, unread)

    async def serve(
        req: PartialQueryRequest,
    ) -> PartialQueryResponse | Failure:
        if front.state().is_stopping:
            return NODE_STOPPING
        return await serve_partial_query(
            req,
            searchers.mailbox.post,
            searchers.leaving_processes,
            open_requests,
            clock,
        )

    peer_listener = Listener(
        peer_app(relay, serve, messages, front.mailbox.post),
        front.state,
        unread,
    )
    listeners += [caller_listener, peer_listener]

    async def open_listeners() -> Failure | None:
        failure = await caller_listener.open(cfg.callers)
        if failure is None:
            failure = await operations_listener.open(cfg.readiness)
        if failure is None:
            failure = await peer_listener.open(cfg.peers)
        if failure is None and cfg.metrics is not None:
            failure = await metrics_listener.open(cfg.metrics)
        return failure

    async def close_clients() -> None:
        await transport.close()
        await partials.close()

    async def register() -> None:
        node = Node(cfg.node, cfg.peers, cfg.data_centre)
        store = ObjectStore(PlatformSettings(f"http://{cfg.store}"), transport)
        await register_node(store, node, rng)

    async def run_then_wait(start: Callable) -> None:
        await start()
        await asyncio.Event().wait()

    reload = ReloadTask(
        cfg,
        read,
        (
            membership.mailbox.post,
            searchers.mailbox.post,
            front.mailbox.post,
        ),
    )
    return Gateway(
        task_functions=(
            membership.run,
            searchers.run,
            partials.run,
            front.run,
            reload.run,
            *(follower.run for follower in followers.values()),
            lambda: run_then_wait(register),
        ),
        open=open_listeners,
        close=close_clients,
        reload=reload.reload,
        request_stop=lambda: front.mailbox.post(StopRequested()),
    )


def _build_followers(
    client: ObjectClient,
    membership: MembershipTask,
    rng: random.Random,
    clock: Callable[[], float],
) -> dict[Topic, Follower]:
    # The watches of the nodes that read from one relay must not all end in the
    # same moment.
    node_phase_s = rng.uniform(0.0, WATCH_S)
    return {
        topic: Follower(
            topic,
            client,
            decoder,
            membership.sources,
            membership.mailbox.post,
            rng,
            clock,
            WATCH_S,
            phase_s=node_phase_s + WATCH_S * number / len(TOPIC_DECODERS),
        )
        for number, (topic, decoder) in enumerate(TOPIC_DECODERS.items())
    }

"""The peer task: a listener for all peers and a link to each of them."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from functools import partial

from logbook import Logger
import zmq
from zmq.auth.asyncio import AsyncioAuthenticator

from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.channel import Channel
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.codec import MAX_MESSAGE_BYTES
from kumquatchuted.peers.keys import enable_curve_server
from kumquatchuted.peers.keys import is_key_of
from kumquatchuted.peers.keys import PeerKeys
from kumquatchuted.peers.link import decode_identity
from kumquatchuted.peers.link import encode_identity
from kumquatchuted.peers.link import HEARTBEAT_INTERVAL_S
from kumquatchuted.peers.link import HIGH_WATER_MARK
from kumquatchuted.peers.link import Link
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import HeartbeatDue
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import PeersChanged
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import Pong
from kumquatchuted.peers.messages import ReceiveFailed
from kumquatchuted.peers.messages import ReplyToPeer
from kumquatchuted.peers.messages import SendFailed
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.placement.messages import Member

KEEPALIVE_IDLE_S = 30

log = Logger("peers")


class _AllowedKeys:
    """ZAP credentials provider that accepts the keys in the key file."""

    def __init__(self, keys: PeerKeys) -> None:
        self._allowed = {key.encode() for key in keys.peers.values()}

    def callback(self, domain: str, key: bytes) -> bool:
        return key in self._allowed


class PeerTask:
    """Owns the ROUTER socket and a ``Link`` to each peer.

    One timer drives the heartbeats of all links. The attribute ``address`` is
    the address that the socket is bound to, None before that.

    :param local: this process
    :param address: IP address and port to bind; port 0 chooses a free one
    :param keys: CURVE keys, or None for unencrypted links
    :param routes: receiver of each type of peer message
    :param subscribers: receive ``LinkUp`` and ``LinkDown``
    :param on_send_failed: receives ``SendFailed``
    :param clock: returns monotonic time in seconds
    """

    def __init__(
        self,
        local: PeerIdentity,
        address: str,
        keys: PeerKeys | None,
        routes: Mapping[type, Post],
        subscribers: tuple[Post, ...],
        on_send_failed: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task; ``run`` binds the socket."""
        self.mailbox = Mailbox()
        self._local = local
        self._address = address
        self.address: str | None = None
        self._keys = keys
        self._routes = routes
        self._subscribers = subscribers
        self._on_send_failed = on_send_failed
        self._clock = clock
        self._listener: Channel | None = None
        self._links: dict[str, Link] = {}

    async def run(self) -> None:
        """Serve peers until cancelled.

        :raises zmq.ZMQError: the address cannot be bound
        """
        ctx = zmq.Context()
        authenticator = self._start_authenticator(ctx)
        self._listener = self._listen(ctx)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._post_heartbeats())
                while True:
                    self._handle(ctx, await self.mailbox.get())
        finally:
            for link in self._links.values():
                link.close()
            self._listener.close()
            if authenticator is not None:
                authenticator.stop()
            ctx.destroy(linger=0)

    async def _post_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.mailbox.post(HeartbeatDue())

    def _start_authenticator(self, ctx) -> AsyncioAuthenticator | None:
        if self._keys is None:
            return None
        authenticator = AsyncioAuthenticator(ctx)
        authenticator.start()
        authenticator.configure_curve_callback(
            "peers", _AllowedKeys(self._keys)
        )
        return authenticator

    def _bind(self, ctx: zmq.Context) -> zmq.Socket:
        sock = ctx.socket(zmq.ROUTER)
        sock.setsockopt(zmq.LINGER, 0)
        # A new connection of a process replaces its earlier one.
        sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
        # A send to a process without a connection fails.
        sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        # Closes connections of hosts that vanished; live ones send heartbeats.
        sock.setsockopt(zmq.TCP_KEEPALIVE, 1)
        sock.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        enable_curve_server(sock, self._keys)
        sock.bind(f"tcp://{self._address}")
        endpoint = sock.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://")
        log.info("listening address={}", self.address)
        return sock

    def _listen(self, ctx: zmq.Context) -> Channel:
        sock = self._bind(ctx)
        if self._keys is None:
            return Channel(sock, self._receive, self._report_error)
        on_message = partial(self._receive_authenticated, self._keys)
        return Channel(
            sock, on_message, self._report_error, with_metadata=True
        )

    def _receive_authenticated(
        self, keys: PeerKeys, frames: list[zmq.Frame]
    ) -> None:
        """Handle a message if its sender has the key of its node name."""
        routing_id = frames[0].bytes
        node = decode_identity(routing_id).node
        # The authenticator sets the user ID of a connection to its key.
        if not is_key_of(keys, node, frames[-1].get("User-Id")):
            log.warning(
                "message dropped node={} cause=not the key of that node", node
            )
            return
        self._receive([frame.bytes for frame in frames])

    def _receive(self, frames: list[bytes]) -> None:
        if len(frames) != 2:
            log.warning(
                "message dropped frames={} cause=not two frames", len(frames)
            )
            return
        routing_id, data = frames
        self._route(routing_id, decode(data))

    def _report_error(self, exc: Exception) -> None:
        """Have ``run`` raise the exception of a callback of the event loop."""
        self.mailbox.post(ReceiveFailed(exc))

    def _route(self, routing_id: bytes, message: object) -> None:
        sender = decode_identity(routing_id)
        match message:
            case Failure(reason=reason):
                log.warning(
                    "message dropped node={} cause={}", sender.node, reason
                )
                return
            case Ping(seq=seq, sent_at=sent_at):
                self._reply(routing_id, Pong(seq, sent_at))
        self._deliver(sender, message)

    def _reply(self, routing_id: bytes, message: object) -> None:
        data = encode(message)
        if isinstance(data, Failure):
            log.error("reply not sent cause={}", data.reason)
            return
        # A reply that cannot be sent is dropped: requesters repeat requests.
        self._listener.send(routing_id, data)

    def _deliver(self, sender: PeerIdentity, message: object) -> None:
        post = self._routes.get(type(message))
        if post is not None:
            post(
                FromPeer(
                    sender.node, message, self._clock(), sender.incarnation
                )
            )

    def _handle(self, ctx: zmq.Context, message: object) -> None:
        match message:
            case ToPeer(node=node, message=body):
                link = self._links.get(node)
                if link is None or not link.send(body):
                    self._on_send_failed(SendFailed(node, body))
            case ReplyToPeer(requester=requester, message=body):
                self._reply(encode_identity(requester), body)
            case HeartbeatDue():
                for link in self._links.values():
                    link.send_heartbeat()
            case PeersChanged(members=members):
                self._set_peers(ctx, members)
            case ReceiveFailed(exc=exc):
                raise exc

    def _publish(self, message: object) -> None:
        for post in self._subscribers:
            post(message)

    def _set_peers(
        self, ctx: zmq.Context, members: tuple[Member, ...]
    ) -> None:
        """Open and close links, so that each wanted peer has one.

        A peer whose address has changed gets a new link.
        """
        wanted = {
            member.node: member
            for member in members
            if member.node != self._local.node
        }
        for node in [*self._links]:
            if node not in wanted or _address_changed(
                self._links[node], wanted[node]
            ):
                self._links.pop(node).disconnect()
        for node, member in wanted.items():
            if node not in self._links:
                self._links[node] = Link(
                    ctx,
                    self._local,
                    member,
                    self._keys,
                    self._publish,
                    partial(
                        self._deliver, PeerIdentity(node, member.incarnation)
                    ),
                    self._report_error,
                    self._clock,
                )


def _address_changed(link: Link, member: Member) -> bool:
    return link.peer.address != member.address

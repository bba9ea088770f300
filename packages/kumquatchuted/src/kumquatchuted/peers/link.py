"""An outgoing ZeroMQ link to one peer, with heartbeats."""

from collections.abc import Callable

from logbook import Logger
import zmq

from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.channel import Channel
from kumquatchuted.peers.codec import decode
from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.keys import enable_curve_client
from kumquatchuted.peers.keys import PeerKeys
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import Pong
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import Member

HEARTBEAT_INTERVAL_S = 0.5
RESPONSE_TIMEOUT_S = 1.5
# Messages that ZeroMQ queues for a connection, in each direction.
HIGH_WATER_MARK = 1000

log = Logger("peers")


def encode_identity(identity: PeerIdentity) -> bytes:
    """Return the ZeroMQ routing identity of a process.

    It contains the incarnation: a process that was paused and replaced under
    the same node name must not take over its replacement's connections.
    """
    return f"{identity.node}/{identity.incarnation}".encode()


def decode_identity(routing_id: bytes) -> PeerIdentity:
    """Return the process that uses a ZeroMQ routing identity."""
    node, _, incarnation = routing_id.decode(errors="replace").partition("/")
    return PeerIdentity(node, incarnation)


class Link:
    """The DEALER socket to one peer, owned by the peer task.

    A connection without responses is closed and replaced by a new one, which
    may work even if the old one would never deliver a response again. A
    confirmation counts as a response and makes the next heartbeat
    unnecessary.

    :param local: this process
    :param peer: the node at the other end
    :param keys: CURVE keys, or None for unencrypted links
    :param post: receives ``LinkUp`` and ``LinkDown``
    :param deliver: receives the confirmations
    :param on_error: receives exceptions raised while handling a message
    :param clock: returns monotonic time in seconds
    """

    def __init__(
        self,
        ctx: zmq.Context,
        local: PeerIdentity,
        peer: Member,
        keys: PeerKeys | None,
        post: Post,
        deliver: Callable[[Confirmed], None],
        on_error: Callable[[Exception], None],
        clock: Callable[[], float],
    ) -> None:
        """Connect to the peer."""
        self.peer = peer
        self._ctx = ctx
        self._local = local
        self._keys = keys
        self._post = post
        self._deliver = deliver
        self._on_error = on_error
        self._clock = clock
        self._is_up = False
        self._seq = 0
        self._last_response = 0.0
        self._last_heartbeat = clock()
        self._connect()

    def send_heartbeat(self) -> None:
        """Send a heartbeat unless a response was received recently.

        A connection without a response for ``RESPONSE_TIMEOUT_S`` is replaced
        first.
        """
        self._discount_pause()
        since_response_s = self._clock() - self._last_response
        if self._is_up and since_response_s < HEARTBEAT_INTERVAL_S:
            return
        if since_response_s >= RESPONSE_TIMEOUT_S:
            self.disconnect()
            self._connect()
        self._seq += 1
        self.send(Ping(self._seq, self._clock()))

    def _discount_pause(self) -> None:
        """Discount the time for which this process did not run.

        It sent no heartbeats then and read no responses, so that the silence
        says nothing about the peer.
        """
        now = self._clock()
        paused_s = now - self._last_heartbeat - HEARTBEAT_INTERVAL_S
        self._last_heartbeat = now
        if paused_s > 0:
            self._last_response = min(now, self._last_response + paused_s)

    def send(self, message: object) -> bool:
        """Pass a message to ZeroMQ.

        :returns: False if the message is too large or this would block
        """
        data = encode(message)
        if isinstance(data, Failure):
            log.error(
                "message not sent node={} cause={}",
                self.peer.node,
                data.reason,
            )
            return False
        return self._channel.send(data)

    def disconnect(self) -> None:
        """Close the connection and post ``LinkDown`` if the link was up."""
        self.close()
        self._set_status(False)

    def close(self) -> None:
        """Close the connection without ``LinkDown``, when the node stops."""
        self._channel.close()

    def _connect(self) -> None:
        sock = self._ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, encode_identity(self._local))
        sock.setsockopt(zmq.LINGER, 0)
        # While there is no connection, a send fails instead of being queued.
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        enable_curve_client(sock, self._keys, self.peer.node)
        sock.connect(f"tcp://{self.peer.address}")
        self._channel = Channel(sock, self._receive, self._on_error)
        self._last_response = self._clock()

    def _receive(self, frames: list[bytes]) -> None:
        match decode(frames[-1]):
            case Pong():
                self._on_response()
            case Confirmed() as confirmed:
                self._on_response()
                self._deliver(confirmed)
            case Failure(reason=reason):
                log.warning(
                    "message dropped node={} cause={}", self.peer.node, reason
                )

    def _on_response(self) -> None:
        self._last_response = self._clock()
        self._set_status(True)

    def _set_status(self, is_up: bool) -> None:
        if is_up == self._is_up:
            return
        self._is_up = is_up
        if is_up:
            log.info("link up node={}", self.peer.node)
            self._post(LinkUp(self.peer.node, self.peer.incarnation))
        else:
            log.info("link down node={}", self.peer.node)
            self._post(LinkDown(self.peer.node))

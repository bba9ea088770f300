"""One outgoing ZeroMQ link to a peer, with heartbeats."""

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
from kumquatchuted.peers.messages import Identity
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import Pong
from kumquatchuted.placement.messages import Confirmed
from kumquatchuted.placement.messages import Member

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
HIGH_WATER_MARK = 1000

log = Logger("peers")


def encode_identity(identity: Identity) -> bytes:
    """Return the routing identity of a node's connections.

    It holds the incarnation: a process that was paused and replaced under the
    same name must not take over the connections of its replacement.
    """
    return f"{identity.node}/{identity.incarnation}".encode()


def decode_identity(routing_id: bytes) -> Identity:
    """Return who uses a routing identity."""
    node, _, incarnation = routing_id.decode(errors="replace").partition("/")
    return Identity(node, incarnation)


class Link:
    """The DEALER socket to one peer; the peer task owns and drives it.

    A link on which no answer came back is closed and opened anew: a
    connection can stay silent for good while a new one works. A confirmation
    that came back makes the next heartbeat unnecessary.

    :param me: this node
    :param peer: the node at the other end
    :param post: receives ``LinkUp`` and ``LinkDown``
    :param deliver: receives the confirmations
    :param failed: receives an exception met while handling a message
    :param clock: monotonic time in seconds
    """

    def __init__(
        self,
        ctx: zmq.Context,
        local: Identity,
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
        self._last_answer = 0.0
        self._connect()

    def send_heartbeat(self) -> None:
        """Send a heartbeat unless an answer came back since the last one.

        A connection that is silent is replaced by a new one first.
        """
        silent_s = self._clock() - self._last_answer
        if self._is_up and silent_s < HEARTBEAT_INTERVAL_S:
            return
        if silent_s >= SILENCE_TIMEOUT_S:
            self.disconnect()
            self._connect()
        self._seq += 1
        self.send(Ping(self._seq, self._clock()))

    def send(self, message: object) -> bool:
        """Hand a message to ZeroMQ unless it would have to wait."""
        data = encode(message)
        if isinstance(data, Failure):
            log.error("not sent to {}: {}", self.peer.node, data.reason)
            return False
        return self._channel.send(data)

    def disconnect(self) -> None:
        """Close the connection and report that the link is down."""
        self.close()
        self._set_status(False)

    def close(self) -> None:
        """Close the connection without a report, as the node stops."""
        self._channel.close()

    def _connect(self) -> None:
        sock = self._ctx.socket(zmq.DEALER)
        sock.setsockopt(zmq.IDENTITY, encode_identity(self._local))
        sock.setsockopt(zmq.LINGER, 0)
        sock.setsockopt(zmq.IMMEDIATE, 1)
        sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        enable_curve_client(sock, self._keys, self.peer.node)
        sock.connect(f"tcp://{self.peer.address}")
        self._channel = Channel(sock, self._receive, self._on_error)
        self._last_answer = self._clock()

    def _receive(self, frames: list[bytes]) -> None:
        match decode(frames[-1]):
            case Pong():
                self._on_answer()
            case Confirmed() as confirmed:
                self._on_answer()
                self._deliver(confirmed)
            case Failure(reason=reason):
                log.warning("dropped from {}: {}", self.peer.node, reason)

    def _on_answer(self) -> None:
        self._last_answer = self._clock()
        self._set_status(True)

    def _set_status(self, is_up: bool) -> None:
        if is_up == self._is_up:
            return
        self._is_up = is_up
        if is_up:
            log.info("link to {} is up", self.peer.node)
            self._post(LinkUp(self.peer.node, self.peer.incarnation))
        else:
            log.info("link to {} is down", self.peer.node)
            self._post(LinkDown(self.peer.node))

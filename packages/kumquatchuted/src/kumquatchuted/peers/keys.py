"""ZeroMQ CURVE keys: loading them and securing sockets with them."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
import yaml
import zmq

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure


@dataclass(frozen=True)
class PeerKeys:
    """Keys of this node and the public keys of its peers, Z85-encoded.

    :param peers: public key of each peer by node name
    """

    public: str
    secret: str
    peers: dict[str, str]

    def __repr__(self) -> str:
        """Return a representation without the secret key, for logs."""
        return f"PeerKeys(public={self.public!r})"


def load_keys(path: str) -> PeerKeys | Failure:
    """Read the key file.

    :param path: YAML file with ``public``, ``secret`` and ``peers``
    :returns: the keys, or a ``MALFORMED`` failure
    """
    try:
        text = Path(path).read_text()
        return msgspec.convert(yaml.safe_load(text), PeerKeys)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        reason = type(exc).__name__
        return Failure(
            ErrorKind.MALFORMED, f"key file {path} cannot be read: {reason}"
        )


def is_key_of(keys: PeerKeys, node: str, key: str) -> bool:
    """Return True if a public key belongs to a node.

    Every key in the file opens a connection. Without this check a node could
    therefore use the name of another one.

    :param key: Z85-encoded
    """
    return keys.peers.get(node) == key


def enable_curve_server(sock: zmq.Socket, keys: PeerKeys | None) -> None:
    """Make a listening socket accept only CURVE connections.

    :param keys: None leaves the socket without encryption
    """
    if keys is None:
        return
    sock.setsockopt(zmq.CURVE_SERVER, 1)
    sock.setsockopt(zmq.CURVE_PUBLICKEY, keys.public.encode())
    sock.setsockopt(zmq.CURVE_SECRETKEY, keys.secret.encode())
    sock.setsockopt(zmq.ZAP_DOMAIN, b"peers")


def enable_curve_client(
    sock: zmq.Socket, keys: PeerKeys | None, peer: str
) -> None:
    """Make a connecting socket use CURVE to a peer.

    A peer whose public key is not in the file cannot be reached: the zero
    key fails the handshake.

    :param keys: None leaves the socket without encryption
    :param peer: node name
    """
    if keys is None:
        return
    sock.setsockopt(zmq.CURVE_PUBLICKEY, keys.public.encode())
    sock.setsockopt(zmq.CURVE_SECRETKEY, keys.secret.encode())
    server_key = keys.peers.get(peer, "0" * 40)
    sock.setsockopt(zmq.CURVE_SERVERKEY, server_key.encode())

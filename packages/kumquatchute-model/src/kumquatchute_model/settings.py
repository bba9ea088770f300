"""Settings of a node: keys, constraints, units and defaults."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from kumquatchute_model.settings_constraints import DnsLabel
from kumquatchute_model.settings_constraints import FilePath
from kumquatchute_model.settings_constraints import HttpUrl
from kumquatchute_model.settings_constraints import NumberRange
from kumquatchute_model.settings_constraints import Sha256
from kumquatchute_model.settings_constraints import SocketAddress
from kumquatchute_model.settings_constraints import Text

# Limits the deadlines of callers as well as those in the settings, so that a
# graceful shutdown can wait for every running request.
MAX_DEADLINE_MS = 10_000

Name = Annotated[str, DnsLabel()]
AddressText = Annotated[str, SocketAddress()]
OptionalName = Annotated[str | None, DnsLabel()]
OptionalFile = Annotated[str | None, FilePath()]
Milliseconds = Annotated[int, NumberRange("milliseconds", 1, MAX_DEADLINE_MS)]


class Preference(Enum):
    """What a service favours when a shard is late."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Role(Enum):
    """What the holder of a bearer token may do."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    OPERATOR = "operator"


@dataclass(frozen=True)
class NodeSettings:
    """Identity and location of the node.

    :param dc: data centre; must be listed in ``Settings.dcs``
    """

    name: Name
    host: Name
    dc: Name
    region: Name


@dataclass(frozen=True)
class ListenSettings:
    """Addresses to listen on, as IP address and port.

    :param callers: for HTTP requests of callers and operators
    :param peers: for messages of other nodes
    :param metrics: for metrics and health checks over HTTP
    """

    callers: AddressText
    peers: AddressText
    metrics: AddressText


@dataclass(frozen=True)
class PlatformSettings:
    """How to reach the object store of the platform.

    :param namespace: prefix for the kinds of all objects, so that several
        installations can share a store; None for kinds without a prefix
    :param timeout_ms: time limit for a call of the store in milliseconds
    """

    url: Annotated[str, HttpUrl()]
    namespace: OptionalName = None
    timeout_ms: Milliseconds = 1000


@dataclass(frozen=True)
class PeerSettings:
    """A node to contact while the store does not answer.

    :param address: IP address and port of its peer listener
    """

    name: Name
    address: AddressText


@dataclass(frozen=True)
class TokenSettings:
    """A bearer token, given as its SHA-256 digest.

    :param identity: name of the holder, such as the author of a ticket
    :param sha256: digest of the token in lower-case hexadecimal
    """

    identity: Annotated[str, Text()]
    role: Role
    sha256: Annotated[str, Sha256()]


@dataclass(frozen=True)
class SecuritySettings:
    """Authentication of callers and of other nodes.

    :param curve_keys_file: file with the CURVE keys of the nodes
    :param allow_plain_peers: accept unencrypted connections between nodes
        on addresses that are not loopback
    """

    tokens: tuple[TokenSettings, ...] = ()
    curve_keys_file: OptionalFile = None
    allow_plain_peers: bool = False


@dataclass(frozen=True)
class ServiceSettings:
    """Query policy of one service.

    :param expected_ms: expected duration of an attempt in milliseconds
    :param soft_deadline_ms: time in milliseconds after which
        ``prefer: latency`` answers with the results received so far
    :param default_deadline_ms: time limit in milliseconds for requests
        whose caller gives none
    :param hedging: whether an attempt that is late may be hedged at another
        replica
    """

    name: Name
    expected_ms: Annotated[
        float, NumberRange("milliseconds", 0.1, MAX_DEADLINE_MS)
    ] = 5.0
    prefer: Preference = Preference.LATENCY
    soft_deadline_ms: Milliseconds = 80
    default_deadline_ms: Milliseconds = 1000
    hedging: bool = True


@dataclass(frozen=True)
class DrainSettings:
    """Durations of the graceful shutdown.

    :param notice_s: seconds in which load balancers notice that the node is
        no longer ready
    :param limit_s: time limit for the whole shutdown in seconds
    """

    notice_s: Annotated[float, NumberRange("seconds", 0, 60)] = 3.0
    limit_s: Annotated[float, NumberRange("seconds", 0.1, 300)] = 20.0


@dataclass(frozen=True)
class Settings:
    """All settings of a node.

    :param dcs: all data centres of the site
    :param services: services whose requests the node accepts
    :param peers: nodes to contact while the store does not answer
    """

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    dcs: tuple[Name, ...]
    services: tuple[ServiceSettings, ...]
    peers: tuple[PeerSettings, ...] = ()
    security: SecuritySettings = SecuritySettings()
    drain: DrainSettings = DrainSettings()

"""Settings of a node: every key, its unit and its default."""

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

# A request deadline has the same bound for callers and settings, so that a
# graceful shutdown can wait for every running request.
MAX_DEADLINE_MS = 10_000

Name = Annotated[str, DnsLabel()]
BindAddress = Annotated[str, SocketAddress()]
OptionalName = Annotated[str | None, DnsLabel()]
OptionalFile = Annotated[str | None, FilePath()]
Milliseconds = Annotated[int, NumberRange("milliseconds", 1, MAX_DEADLINE_MS)]


class Preference(Enum):
    """What a service gives up first when a shard is late."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Role(Enum):
    """What a bearer token allows."""

    INTERACTIVE = "interactive"
    BATCH = "batch"
    OPERATOR = "operator"


@dataclass(frozen=True)
class NodeSettings:
    """Identity of the node."""

    name: Name
    host: Name
    dc: Name
    region: Name


@dataclass(frozen=True)
class ListenSettings:
    """Addresses to bind, as IP address and port."""

    callers: BindAddress
    peers: BindAddress
    metrics: BindAddress


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's object store is.

    :param namespace: prefix of the kinds of all objects, for several
        installations on one store; None for kinds without a prefix
    """

    url: Annotated[str, HttpUrl()]
    namespace: OptionalName = None
    timeout_ms: Milliseconds = 1000


@dataclass(frozen=True)
class PeerSettings:
    """A node to contact when the store does not answer."""

    name: Name
    address: BindAddress


@dataclass(frozen=True)
class TokenSettings:
    """A bearer token by its SHA-256 digest in hexadecimal."""

    identity: Annotated[str, Text()]
    role: Role
    sha256: Annotated[str, Sha256()]


@dataclass(frozen=True)
class SecuritySettings:
    """Who may connect."""

    tokens: tuple[TokenSettings, ...] = ()
    curve_keys_file: OptionalFile = None
    allow_plain_peers: bool = False


@dataclass(frozen=True)
class ServiceSettings:
    """Policy of one service.

    :param soft_deadline_ms: when ``prefer: latency`` answers with what it has
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
    """Bounds of the graceful shutdown in seconds."""

    notice_s: Annotated[float, NumberRange("seconds", 0, 60)] = 3.0
    limit_s: Annotated[float, NumberRange("seconds", 0.1, 300)] = 20.0


@dataclass(frozen=True)
class Settings:
    """All settings of a node."""

    node: NodeSettings
    listen: ListenSettings
    platform: PlatformSettings
    dcs: tuple[Name, ...]
    services: tuple[ServiceSettings, ...]
    peers: tuple[PeerSettings, ...] = ()
    security: SecuritySettings = SecuritySettings()
    drain: DrainSettings = DrainSettings()

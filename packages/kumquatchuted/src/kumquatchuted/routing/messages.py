"""Data classes of the accepted manifest."""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of the requests of a route.

    :param weight: relative to the other weights of the route
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class OneService:
    """Destination of requests that go to one searcher of a service."""

    service: str


@dataclass(frozen=True, slots=True)
class SplitServices:
    """Destination of requests that are split between several services."""

    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class AllShards:
    """Destination of requests that go to one searcher of every shard.

    :param shards: name of a service for each shard
    :param top_k: maximum number of records in an answer
    :param min_coverage: minimum share of shards in a successful answer, from
        0 to 1
    """

    shards: tuple[str, ...]
    top_k: int
    min_coverage: float


Destination = OneService | SplitServices | AllShards


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests for a host and a path prefix go.

    :param idempotent: whether a request may run more than once
    :param timeout_s: longest time until the answer, in seconds
    :param objective_s: latency objective in seconds
    :param priority: 0 is the most urgent
    :param max_attempts: maximum number of searchers that may receive a
        request, or the query over each shard
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    destination: Destination


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Limits of the searchers of a service.

    :param max_connections: per searcher, from all nodes together
    :param warmup_s: how long a searcher is cold after a start, in seconds
    :param cold_requests_per_s: rate that a cold searcher sustains
    """

    name: str
    max_connections: int
    warmup_s: float
    cold_requests_per_s: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of the requests of callers.

    :param header_timeout_s: longest time until the header of a request is
        complete, in seconds
    :param idle_timeout_s: longest time between two requests, in seconds
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Manifest:
    """One complete version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    limits: CallerLimits


@dataclass(frozen=True, slots=True)
class ManifestChanged:
    """A newer manifest is in force on this node."""

    manifest: Manifest

"""Configuration of the searchers and their indexes."""

from dataclasses import dataclass
from enum import Enum


class ColdOverload(Enum):
    """What a cold searcher does with requests over its limit.

    ``FAIL`` runs them and then responds with 500. ``SHED`` responds with 503
    at once.
    """

    FAIL = "fail"
    SHED = "shed"


@dataclass(frozen=True)
class Document:
    """A document, found by its name or by a word of it.

    :param doc: identifier of the document
    """

    doc: str
    name: str
    text: str = ""


@dataclass(frozen=True)
class ShardData:
    """A shard of an index.

    :param replicas: names of the searchers that hold the shard
    :param count: number of documents that the shard map states; by default
        the number of ``documents``
    """

    shard: str
    replicas: tuple[str, ...] = ()
    documents: tuple[Document, ...] = ()
    count: int | None = None

    @property
    def stated_count(self) -> int:
        """Return the number of documents that the shard map states."""
        return len(self.documents) if self.count is None else self.count


@dataclass(frozen=True)
class IndexData:
    """One version of the index of a service."""

    service: str
    index_version: int = 1
    map_version: int = 1
    shards: tuple[ShardData, ...] = ()


@dataclass(frozen=True)
class ServiceTimeDistribution:
    """Distribution of service times: lognormal with a slow tail.

    :param median_ms: median of the lognormal distribution in milliseconds
    :param sigma: standard deviation of the logarithm
    :param tail: fraction of requests in the tail
    :param tail_factor: factor on the service time of requests in the tail
    """

    median_ms: float = 3.0
    sigma: float = 0.3
    tail: float = 0.01
    tail_factor: float = 10.0


@dataclass(frozen=True)
class SearcherConfig:
    """Configuration of one searcher.

    :param listen: IP address and port; port 0 lets the system choose one
    :param slots: maximum number of running requests when warm
    :param cold_slots: maximum number of running requests when cold
    :param max_conns: connections above this number are reset
    :param queue: maximum number of waiting requests; more are shed
    :param conn_cost_ms: delay of the first request on each connection in
        milliseconds
    :param warm_after: number of completed requests after which the searcher
        is warm
    :param cold_factor: factor on service times when cold
    """

    name: str
    service: str
    listen: str = "127.0.0.1:0"
    host: str = "host-1"
    dc: str = "dc-1"
    slots: int = 2
    cold_slots: int = 1
    max_conns: int = 25
    queue: int = 2
    conn_cost_ms: float = 0.0
    warm_after: int = 20
    cold_factor: float = 3.0
    cold_overload: ColdOverload = ColdOverload.FAIL
    starts_warm: bool = False
    times: ServiceTimeDistribution = ServiceTimeDistribution()


@dataclass(frozen=True)
class PlatformEndpoint:
    """Platform to which searchers and shard maps are published.

    :param url: base URL
    """

    url: str


@dataclass(frozen=True)
class FleetConfig:
    """Content of the configuration file.

    :param platform: where to publish; None publishes nothing
    :param control: IP address and port of the control listener for all
        searchers
    """

    searchers: tuple[SearcherConfig, ...]
    indexes: tuple[IndexData, ...] = ()
    seed: int = 1
    platform: PlatformEndpoint | None = None
    control: str | None = None

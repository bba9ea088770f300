"""Configuration of searchers: their properties and their documents."""

from dataclasses import dataclass
from enum import Enum


class ColdOverload(Enum):
    """What happens to requests over the limit of a cold searcher.

    ``FAIL`` runs them and answers 500, ``SHED`` answers 503 at once.
    """

    FAIL = "fail"
    SHED = "shed"


@dataclass(frozen=True)
class Document:
    """A document with the name under which it is found."""

    doc: str
    name: str
    text: str = ""


@dataclass(frozen=True)
class ShardData:
    """A shard of an index.

    :param replicas: names of the searchers that hold it
    :param count: documents that it states, by default those that it has
    """

    shard: str
    replicas: tuple[str, ...] = ()
    documents: tuple[Document, ...] = ()
    count: int | None = None

    @property
    def stated_count(self) -> int:
        """Return the number of documents that the shard states."""
        return len(self.documents) if self.count is None else self.count


@dataclass(frozen=True)
class IndexData:
    """One version of a service's index."""

    service: str
    index_version: int = 1
    map_version: int = 1
    shards: tuple[ShardData, ...] = ()


@dataclass(frozen=True)
class ServiceTimeDistribution:
    """Distribution of service times: a lognormal body with a tail.

    :param median_ms: median of the body in milliseconds
    :param sigma: standard deviation of the logarithm
    :param tail: part of the requests that belong to the tail
    :param tail_factor: how many times longer these take
    """

    median_ms: float = 3.0
    sigma: float = 0.3
    tail: float = 0.01
    tail_factor: float = 10.0


@dataclass(frozen=True)
class SearcherConfig:
    """Fixed properties of a searcher.

    :param listen: IP address and port, port 0 for a free one
    :param slots: requests that run at the same time when warm
    :param cold_slots: requests that run at the same time when cold
    :param max_conns: connections above this number are reset
    :param queue: requests that wait for a slot; more are shed
    :param conn_cost_ms: delay of the first request of each connection
    :param warm_after: requests served in full after which it is warm
    :param cold_factor: how many times longer requests take when cold
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
    """The platform stand-in to publish into.

    :param url: base address
    """

    url: str


@dataclass(frozen=True)
class FleetConfig:
    """Content of the configuration file.

    :param control: IP address and port that takes controls for all searchers
    """

    searchers: tuple[SearcherConfig, ...]
    indexes: tuple[IndexData, ...] = ()
    seed: int = 1
    platform: PlatformEndpoint | None = None
    control: str | None = None

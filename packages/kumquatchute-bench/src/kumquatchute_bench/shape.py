"""Shapes of services: searchers, shards and service times."""

from dataclasses import dataclass
import math

from kumquatchute_model.settings import Preference
from kumquatchute_standins.searcher.config import Document
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.config import ServiceTimeDistribution
from kumquatchute_standins.searcher.config import ShardData

DCS = ("atl-north", "atl-east", "atl-south")
NAMES = (
    "Tran Thi Nguyen",
    "Shaquille Oduya",
    "Maria Gonzalez",
    "Wojciech Kowalczyk",
    "Siobhan Gallagher",
    "Deepika Ramaswamy",
)
DOCUMENTS_PER_SHARD = 6
# One answer in a hundred takes ten times as long.
TIMES = ServiceTimeDistribution(
    median_ms=10.0, sigma=0.3, tail=0.01, tail_factor=10.0
)


@dataclass(frozen=True)
class Shape:
    """One service of a site.

    :param instances: hosts, spread over the data centres
    :param per_instance: searchers of each instance
    :param conn_cost_ms: delay of the first request of a connection
    """

    service: str
    instances: int
    per_instance: int
    shards: int
    slots: int
    max_conns: int
    conn_cost_ms: float
    prefer: Preference = Preference.LATENCY
    hedging: bool = True
    soft_deadline_ms: int = 80
    expected_ms: float = 10.0
    times: ServiceTimeDistribution = TIMES
    starts_warm: bool = False

    @property
    def searchers(self) -> int:
        """Return the number of searchers."""
        return self.instances * self.per_instance

    @property
    def mean_service_s(self) -> float:
        """Return the mean time of one request on a warm searcher."""
        times = self.times
        body = times.median_ms * math.exp(times.sigma**2 / 2)
        return body * (1 + times.tail * (times.tail_factor - 1)) / 1000

    @property
    def capacity(self) -> float:
        """Return the queries per second that occupy all slots."""
        busy_s = self.shards * self.mean_service_s
        return self.searchers * self.slots / busy_s


CONSOLE = Shape("console", 20, 2, 20, 2, 25, 6.0)
BILLING = Shape("billing", 5, 1, 5, 3, 110, 1.0)
PORTAL = Shape("portal", 20, 2, 20, 2, 25, 6.0, Preference.COVERAGE)
QUIZ = Shape("quiz", 3, 1, 3, 4, 45, 1.0, Preference.COVERAGE)


def dc_of(instance: int) -> str:
    """Return the data centre of an instance."""
    return DCS[instance % len(DCS)]


def searcher_name(shape: Shape, instance: int, number: int) -> str:
    """Return the name of a searcher of an instance."""
    return f"{shape.service}-{instance}{'abcd'[number]}"


def profiles(shape: Shape, addresses: list[str]) -> tuple[SearcherConfig, ...]:
    """Return the searchers of a service at these addresses."""
    places = [
        (instance, number)
        for instance in range(shape.instances)
        for number in range(shape.per_instance)
    ]
    return tuple(
        SearcherConfig(
            searcher_name(shape, instance, number),
            shape.service,
            address,
            f"host-{shape.service}-{instance}",
            dc_of(instance),
            shape.slots,
            1,
            shape.max_conns,
            conn_cost_ms=shape.conn_cost_ms,
            starts_warm=shape.starts_warm,
            times=shape.times,
        )
        for (instance, number), address in zip(places, addresses)
    )


def index_of(shape: Shape) -> IndexData:
    """Return the index; the replicas of a shard are in two data centres."""
    return IndexData(
        shape.service,
        shards=tuple(map(lambda i: _shard(shape, i), _ids(shape))),
    )


def _ids(shape: Shape) -> range:
    return range(shape.shards)


def _shard(shape: Shape, number: int) -> ShardData:
    first = number % shape.instances
    second = (number + 1) % shape.instances
    replicas = (
        searcher_name(shape, first, 0),
        searcher_name(shape, second, shape.per_instance - 1),
    )
    documents = tuple(
        Document(
            f"doc-{number}-{i}",
            NAMES[(number + i) % len(NAMES)],
            f"walkthrough note {number}-{i}",
        )
        for i in range(DOCUMENTS_PER_SHARD)
    )
    return ShardData(f"s{number}", replicas, documents)

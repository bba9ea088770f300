"""The services of the bench: searchers, shards and service times."""

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
# A shard has one document for each name in NAMES. A search therefore has one
# hit in each shard, and its hits show which shards the answer covers.
DOCUMENTS_PER_SHARD = 6
# 1% of the responses take ten times as long.
SERVICE_TIMES = ServiceTimeDistribution(
    median_ms=10.0, sigma=0.3, tail=0.01, tail_factor=10.0
)


@dataclass(frozen=True)
class BenchService:
    """One service of a bench site.

    :param instances: number of hosts, spread over the data centres
    :param searchers_per_instance: number of searchers on each host
    :param slots: requests that a searcher runs at once
    :param conn_cost_ms: delay of the first request of a connection
    """

    name: str
    instances: int
    searchers_per_instance: int
    shards: int
    slots: int
    max_conns: int
    conn_cost_ms: float
    prefer: Preference = Preference.LATENCY
    hedging: bool = True
    soft_deadline_ms: int = 80
    expected_ms: float = 10.0
    times: ServiceTimeDistribution = SERVICE_TIMES
    starts_warm: bool = False

    @property
    def searchers(self) -> int:
        """Return the number of searchers."""
        return self.instances * self.searchers_per_instance

    @property
    def mean_service_s(self) -> float:
        """Return the mean seconds of one request on a warm searcher."""
        times = self.times
        body_ms = times.median_ms * math.exp(times.sigma**2 / 2)
        return body_ms * (1 + times.tail * (times.tail_factor - 1)) / 1000

    @property
    def capacity(self) -> float:
        """Return the queries per second that keep all slots busy."""
        busy_s = self.shards * self.mean_service_s
        return self.searchers * self.slots / busy_s


CONSOLE = BenchService("console", 20, 2, 20, 2, 25, 6.0)
BILLING = BenchService("billing", 5, 1, 5, 3, 110, 1.0)
PORTAL = BenchService("portal", 20, 2, 20, 2, 25, 6.0, Preference.COVERAGE)
QUIZ = BenchService("quiz", 3, 1, 3, 4, 45, 1.0, Preference.COVERAGE)


def dc_of_instance(instance: int) -> str:
    """Return the data centre of an instance."""
    return DCS[instance % len(DCS)]


def searcher_name(service: BenchService, instance: int, number: int) -> str:
    """Return the name of a searcher of an instance."""
    return f"{service.name}-{instance}{'abcd'[number]}"


def build_searcher_configs(
    service: BenchService, addresses: list[str]
) -> tuple[SearcherConfig, ...]:
    """Return the configuration of each searcher of a service."""
    positions = [
        (instance, number)
        for instance in range(service.instances)
        for number in range(service.searchers_per_instance)
    ]
    return tuple(
        SearcherConfig(
            searcher_name(service, instance, number),
            service.name,
            address,
            f"host-{service.name}-{instance}",
            dc_of_instance(instance),
            service.slots,
            1,
            service.max_conns,
            conn_cost_ms=service.conn_cost_ms,
            starts_warm=service.starts_warm,
            times=service.times,
        )
        for (instance, number), address in zip(positions, addresses)
    )


def build_index(service: BenchService) -> IndexData:
    """Return the index; each shard has replicas in two data centres."""
    return IndexData(
        service.name,
        shards=tuple(
            map(lambda i: _build_shard(service, i), _shard_numbers(service))
        ),
    )


def _shard_numbers(service: BenchService) -> range:
    return range(service.shards)


def _build_shard(service: BenchService, number: int) -> ShardData:
    first_instance = number % service.instances
    second_instance = (number + 1) % service.instances
    replicas = (
        searcher_name(service, first_instance, 0),
        searcher_name(
            service, second_instance, service.searchers_per_instance - 1
        ),
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

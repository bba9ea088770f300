"""Sample data of realistic size for measurements in one process."""

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.query import Hit
from kumquatchute_model.query import SearchRequest
from kumquatchute_model.shards import Searcher
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult

SERVICE = "console"
DCS = ("atl-north", "atl-east", "atl-south")
HITS_PER_SHARD = 3
DOCUMENTS_PER_SHARD = 1000
BATCHES = (1, 8, 32, 128, 256)
FAR_FUTURE = 1e9
"""Monotonic time in seconds that is never reached."""

REQUEST = SearchRequest("Tran Thi Nguyen")
NAMES = ("Tran Thi Nguyen", "Tran Thi Nuyen", "T. Newin")


def searchers(count: int, prefix: str = "console") -> tuple[Searcher, ...]:
    """Return searchers spread over the data centres."""
    return tuple(
        Searcher(
            f"{prefix}-{i}",
            SERVICE,
            f"10.0.{i // 250}.{i % 250 + 1}:9000",
            f"host-{i // 2}",
            DCS[i % len(DCS)],
        )
        for i in range(count)
    )


def shard_map(shards: int) -> ShardMap:
    """Return a shard map with two replicas for each shard."""
    return ShardMap(
        SERVICE,
        1,
        1,
        tuple(
            Shard(
                f"s{i}",
                DOCUMENTS_PER_SHARD,
                (f"console-{2 * i}", f"console-{2 * i + 1}"),
            )
            for i in range(shards)
        ),
    )


def catalog(shards: int) -> Catalog:
    """Return a catalog of one service."""
    searchers_of_service = searchers(2 * shards)
    return Catalog(
        {SERVICE: shard_map(shards)},
        {searcher.name: searcher for searcher in searchers_of_service},
    )


def members(count: int) -> tuple[Member, ...]:
    """Return nodes spread over the data centres."""
    return tuple(
        Member(
            f"n{i}",
            f"{i:012x}",
            DCS[i % len(DCS)],
            f"10.1.{i // 250}.{i % 250 + 1}:7000",
        )
        for i in range(count)
    )


def placement(count: int) -> Placement:
    """Return the placement of a membership as seen by node ``n0``."""
    nodes = members(count)
    return Placement(
        "n0",
        nodes[0].incarnation,
        Membership(1, nodes),
    )


def search_attempt(number: int, searcher: str = "console-0") -> SearchAttempt:
    """Return an attempt to search a shard."""
    return SearchAttempt(
        f"n1.0123456789ab.1234567-{number}",
        SERVICE,
        searcher,
        f"s{number}",
        1,
        1,
        NAMES,
        10,
        950.0,
    )


def search_result(attempt: str, searcher: str, shard: str) -> SearchResult:
    """Return the result of a search attempt."""
    hits = tuple(
        Hit(f"doc-{shard}-{i}", NAMES[0], 1.0 - i / 10, "walkthrough note")
        for i in range(HITS_PER_SHARD)
    )
    return SearchResult(attempt, searcher, 1, 1, DOCUMENTS_PER_SHARD, hits)


def attempt_batch(size: int) -> AttemptBatch:
    """Return a message with a number of attempts."""
    return AttemptBatch(1.0, tuple(map(search_attempt, range(size))))


def outcome_batch(size: int) -> OutcomeBatch:
    """Return a message with the results of attempts."""
    return OutcomeBatch(
        tuple(
            search_result(f"n1.0123456789ab.1234567-{i}", "console-0", f"s{i}")
            for i in range(size)
        )
    )


def attempt_failed(attempt: str) -> AttemptFailed:
    """Return the failure of an attempt that a node refused."""
    return AttemptFailed(attempt, ErrorKind.NOT_OWNER, "not the owner", True)


def ticket(number: int, prev: str, names: int) -> Ticket:
    """Return a ticket that sets two aliases for each of ``names`` names."""
    return Ticket(
        number,
        prev,
        "amna",
        tuple(
            NameState(
                f"Correct Name {number} {i}",
                (f"Misspelled {number} {i}", f"Mispelt {number} {i}"),
            )
            for i in range(names)
        ),
    )

"""Messages and data classes about searchers, nodes and the store."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class SearcherState(Enum):
    """State that a searcher reports about itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RegisteredSearcher:
    """A searcher process, as its entry in the store describes it.

    :param name: identifier of the process, which may be the same after a
        restart
    :param capacity: number of requests that it runs concurrently
    :param cold_left_s: warm-up time left at the report, in seconds
    :param started_ms: start time in Unix milliseconds; None if not stated
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    state: SearcherState
    capacity: int
    cold_left_s: float
    started_ms: int | None


@dataclass(frozen=True, slots=True)
class DecodedObject:
    """An object of the platform's store.

    :param value: decoded value; None if the object is malformed
    :param revision: revision of its last change; 0 if it is not known
    """

    name: str
    value: object
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Node:
    """A node of this system.

    :param address: address of its listener for other nodes
    """

    name: str
    address: str
    data_centre: str


class Topic(Enum):
    """Kind of the objects of the store that one follower reads."""

    MANIFEST = "manifest"
    SEARCHERS = "searchers"
    OUT_OF_SERVICE = "out_of_service"
    NODES = "nodes"


@dataclass(frozen=True, slots=True)
class TopicListed:
    """All objects of a topic, as one listing returned them."""

    topic: Topic
    objects: tuple[DecodedObject, ...]


@dataclass(frozen=True, slots=True)
class TopicChanged:
    """Objects of a topic that were written or removed.

    :param removed: names of the removed objects
    """

    topic: Topic
    written: tuple[DecodedObject, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """No source of a topic responded.

    :param reason: failure of the source that was tried last
    """

    topic: Topic
    reason: str


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """A source of a topic responded again after all had failed."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Searchers, nodes and data centres taken out, after any change of them.

    :param searchers: ready and draining searchers by name; those whose entries
        are missing because of an outage of the store are included
    :param seen_at: monotonic time at which each searcher's entry was first
        seen as it is, in seconds
    :param evacuated: data centres that receive no new work
    :param nodes: nodes of this system by name
    """

    searchers: Mapping[str, RegisteredSearcher]
    seen_at: Mapping[str, float]
    evacuated: frozenset[str]
    nodes: Mapping[str, Node]

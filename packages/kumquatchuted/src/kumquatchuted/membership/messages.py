"""Data classes about searchers, nodes and evacuated data centres."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class SearcherState(Enum):
    """What a searcher reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class RegisteredSearcher:
    """A process of a searcher, as it registered itself.

    :param name: identifies the process; a restart can keep it
    :param started: start in Unix milliseconds; None if not stated
    :param capacity: requests that it runs at a time
    :param cold_left_s: how long it stayed cold after the report, in seconds
    """

    name: str
    service: str
    host: str
    port: int
    data_centre: str
    state: SearcherState
    capacity: int
    cold_left_s: float
    started: int | None


@dataclass(frozen=True, slots=True)
class DecodedObject:
    """An object of the platform's store.

    :param value: decoded object; None if it is no valid one
    """

    name: str
    value: object


@dataclass(frozen=True, slots=True)
class Node:
    """A node of this system.

    :param address: where it serves other nodes
    """

    name: str
    address: str
    data_centre: str


class Topic(Enum):
    """What a follower of the store reads."""

    MANIFEST = "manifest"
    SEARCHERS = "searchers"
    OUT_OF_SERVICE = "out_of_service"
    NODES = "nodes"


@dataclass(frozen=True, slots=True)
class TopicListed:
    """All objects of a topic at one revision."""

    topic: Topic
    objects: tuple[DecodedObject, ...]


@dataclass(frozen=True, slots=True)
class TopicChanged:
    """Objects that were written and names of those that were removed."""

    topic: Topic
    written: tuple[DecodedObject, ...]
    removed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """A call for a topic failed."""

    topic: Topic
    reason: str


@dataclass(frozen=True, slots=True)
class StoreRecovered:
    """A call for a topic succeeded after failed ones."""

    topic: Topic


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """What the node knows of the fleet.

    :param searchers: usable and draining searchers by name
    :param seen_at: monotonic time of each searcher's last report, seconds
    :param evacuated: data centres that receive no new work
    :param nodes: nodes of this system by name
    """

    searchers: Mapping[str, RegisteredSearcher]
    seen_at: Mapping[str, float]
    evacuated: frozenset[str]
    nodes: Mapping[str, Node]

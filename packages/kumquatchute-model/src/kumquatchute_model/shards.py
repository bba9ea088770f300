"""Shard maps and searchers, as published on the platform."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Shard:
    """A shard of the index of a service.

    :param shard: identifier within the service
    :param documents: number of documents it holds
    :param replicas: names of the searchers that serve it
    """

    shard: str
    documents: int
    replicas: tuple[str, ...]


@dataclass(frozen=True)
class ShardMap:
    """All shards of one index version of a service.

    :param map_version: version among the maps of one index version
    """

    service: str
    index_version: int
    map_version: int
    shards: tuple[Shard, ...]

    @property
    def total_documents(self) -> int:
        """Return the number of documents in all shards."""
        return sum(shard.documents for shard in self.shards)

    @property
    def version(self) -> tuple[int, int]:
        """Return the key that orders the maps of a service, newest last."""
        return (self.index_version, self.map_version)


@dataclass(frozen=True)
class Searcher:
    """A target process that serves shards.

    :param name: unique name
    :param address: IP address and port, such as ``127.0.0.1:9000``
    :param slots: number of concurrent requests once it is warm
    :param cold_slots: number of concurrent requests while it is cold
    :param max_conns: total number of connections that it accepts
    :param leaving: True once it is shutting down
    """

    name: str
    service: str
    address: str
    host: str
    dc: str
    slots: int = 2
    cold_slots: int = 1
    max_conns: int = 25
    leaving: bool = False

"""Encodes searchers and shard maps as objects of the platform.

The object ``shardmap-<service>`` of the kind ``shardmaps`` holds ``{service,
index_version, map_version, shards: [{shard, documents, replicas: [names of
searchers]}]}``.

Each searcher has an entry of the kind ``servers`` under its name. It has the
platform's fields, and additionally ``host``, ``coldSlots`` and ``maxConns``.
"""

from typing import Any

from kumquatchute_standins.platform.searcher_entries import make_searcher_entry
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import SearcherConfig


def shard_map_name(service: str) -> str:
    """Return the object name of the shard map of a service."""
    return f"shardmap-{service}"


def shard_map_spec(index: IndexData) -> dict[str, Any]:
    """Return the spec of the shard map of an index."""
    return {
        "service": index.service,
        "index_version": index.index_version,
        "map_version": index.map_version,
        "shards": [
            {
                "shard": shard.shard,
                "documents": shard.stated_count,
                "replicas": list(shard.replicas),
            }
            for shard in index.shards
        ],
    }


def searcher_entry(
    cfg: SearcherConfig, address: str, started_ms: int, draining: bool = False
) -> dict[str, Any]:
    """Return the spec of the entry of a searcher.

    :param address: IP address and port
    :param started_ms: start of the searcher, Unix time in milliseconds
    """
    entry = make_searcher_entry(
        cfg.service,
        address,
        cfg.dc,
        cfg.slots,
        started_ms,
        "draining" if draining else "ready",
    )
    return entry | {
        "host": cfg.host,
        "coldSlots": cfg.cold_slots,
        "maxConns": cfg.max_conns,
    }

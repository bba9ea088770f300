"""JSON of shard maps.

The spec of a ShardMap named ``shardmap-<service>``::

    {"service": "console", "index_version": 3, "map_version": 2,
     "shards": [{"shard": "s0", "documents": 1200,
                 "replicas": ["console-1a", "console-7b"]}]}
"""

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import ShardMap

SHARD_MAP_PREFIX = "shardmap-"


def decode_shard_map(name: str, body: bytes) -> ShardMap | Failure:
    """Decode and check the spec of a shard map.

    :param name: name of the object
    :returns: ``Failure`` of kind ``MALFORMED`` if the spec is invalid
    """
    try:
        shard_map = msgspec.json.decode(body, type=ShardMap)
    except DECODE_ERRORS as exc:
        return _malformed(str(exc))
    if name != SHARD_MAP_PREFIX + shard_map.service:
        # Otherwise two objects could describe one service and overwrite each
        # other.
        return _malformed("the object is not named after its service")
    names = [shard.shard for shard in shard_map.shards]
    if len(set(names)) < len(names):
        return _malformed("a shard is listed twice")
    if any(shard.documents < 0 for shard in shard_map.shards):
        return _malformed("a shard has a negative number of documents")
    return shard_map


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason)

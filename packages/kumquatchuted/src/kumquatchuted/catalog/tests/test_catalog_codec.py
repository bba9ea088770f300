"""Shard maps as the stand-ins publish them, and malformed ones."""

import msgspec
import pytest

from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Shard
from kumquatchute_model.shards import ShardMap
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import ShardData
from kumquatchute_standins.searcher.platform_objects import shard_map_spec
from kumquatchuted.catalog.codec import decode_shard_map


def test_published_shard_map_is_read_in_full():
    """Guards against shards lost between publisher and node.

    The stand-in that publishes shard maps and the decoder must agree on the
    JSON, and a map under the name of another service must not be used.
    """
    index = IndexData("quiz", 3, 2, (ShardData("s0", ("a",), count=7),))
    body = msgspec.json.encode(shard_map_spec(index))
    expected = ShardMap("quiz", 3, 2, (Shard("s0", 7, ("a",)),))
    assert decode_shard_map("shardmap-quiz", body) == expected
    assert isinstance(decode_shard_map("shardmap-q", body), Failure)


@pytest.mark.parametrize(
    "body",
    [
        b"null",
        b"[" * 100_000,
        b'{"service":"q","index_version":1}',
        b'{"service":"q","index_version":1,"map_version":1,"shards":['
        b'{"shard":"s","documents":1,"replicas":[]},'
        b'{"shard":"s","documents":1,"replicas":[]}]}',
        b'{"service":"q","index_version":1,"map_version":1,"shards":['
        b'{"shard":"s","documents":-1,"replicas":[]}]}',
    ],
)
def test_malformed_shard_map_is_a_failure(body):
    """Guards against coverage above 1 or below 0.

    A shard that is listed twice or has a negative number of documents would
    distort the sums. Other malformed bytes must not raise an exception.
    """
    assert isinstance(decode_shard_map("shardmap-q", body), Failure)

"""Partial queries: grouping of shards, choice of nodes, encoding."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import Failure
from kumquatchuted.membership.messages import Node
from kumquatchuted.partials.codec import decode_partial_request
from kumquatchuted.partials.codec import decode_partial_response
from kumquatchuted.partials.codec import encode_partial
from kumquatchuted.partials.grouping import group_remote_shards
from kumquatchuted.partials.grouping import ShardGroup
from kumquatchuted.partials.messages import names_shards_once
from kumquatchuted.partials.messages import PartialQueryResponse
from kumquatchuted.partials.nodes import choose_node
from kumquatchuted.partials.nodes import FIRST_BACKOFF_S
from kumquatchuted.partials.nodes import NodeState
from kumquatchuted.partials.nodes import record_failure

A1 = Node("a1", "10.0.0.1:80", "a")
A2 = Node("a2", "10.0.0.2:80", "a")
B1 = Node("b1", "10.0.1.1:80", "b")


def test_remote_shards_go_to_the_data_centre_that_serves_most() -> None:
    """Guards against one response per shard between data centres.

    Data centre a serves all eight shards and b half of them, so one node in a
    can merge all records into one response.
    """
    reachable = {n: {"a", "b"} if n % 2 else {"a"} for n in range(8)}
    assert group_remote_shards(reachable, "c", {"a", "b"}) == (
        ShardGroup("a", tuple(range(8))),
    )


def test_local_shards_are_not_delegated() -> None:
    """Guards against a needless hop to another node.

    A searcher of each shard is in the data centre of this node, so delegating
    would only add latency.
    """
    reachable = {n: {"a", "c"} for n in range(8)}
    assert group_remote_shards(reachable, "c", {"a"}) == ()


def test_small_groups_and_data_centres_without_nodes_are_not_delegated() -> (
    None
):
    """Guards against partial queries that no node can serve.

    In a data centre without another node a partial query fails, and a group of
    two shards is not worth the extra hop.
    """
    assert group_remote_shards({0: {"a"}, 1: {"a"}}, "c", {"a"}) == ()
    assert group_remote_shards({n: {"a"} for n in range(9)}, "c", {"b"}) == ()
    assert group_remote_shards({n: set() for n in range(9)}, "c", {"a"}) == ()


def test_each_shard_is_in_one_group_at_most() -> None:
    """Guards against a shard whose records are merged twice.

    Shards that two data centres serve could be delegated to a node of each.
    """
    reachable = {n: {"a"} if n < 5 else {"a", "b"} for n in range(10)}
    reachable |= {n: {"b"} for n in range(10, 16)}
    groups = group_remote_shards(reachable, "c", {"a", "b"})
    shards = [shard for group in groups for shard in group.shards]
    assert sorted(shards) == list(range(16))
    assert len(groups) == 2


def test_least_busy_node_is_chosen_unless_it_failed() -> None:
    """Guards against a failed node that gets every partial query.

    It has none pending, because each one fails at once, and would therefore
    seem the least busy.
    """
    busy = NodeState(pending=2)
    nodes = [(A1, busy), (A2, NodeState()), (B1, NodeState())]
    assert choose_node(nodes, "a", 10.0, lambda: 0.5) == A2
    failed = record_failure(NodeState(), 9.9, 10.0)
    nodes = [(A1, busy), (A2, failed)]
    assert choose_node(nodes, "a", 10.1, lambda: 0.5) == A1
    assert choose_node(nodes, "a", 10.0 + FIRST_BACKOFF_S, lambda: 0.5) == A2
    assert choose_node([(A2, failed)], "a", 10.1, lambda: 0.5) is None


def test_queries_lost_together_count_as_one_failure() -> None:
    """Guards against a backoff that grows with the number of pending queries.

    A trial with stalled nodes lost eleven partial queries within 2 ms. The
    other node was then avoided for 8 s, although it responded again at once.
    """
    state = NodeState()
    for number in range(11):
        state = record_failure(state, 9.0 + 0.01 * number, 10.0)
    assert choose_node([(A1, state)], "a", 10.5, lambda: 0.5) is None
    assert choose_node([(A1, state)], "a", 11.0, lambda: 0.5) == A1
    # A query that was sent after the backoff counts.
    state = record_failure(state, 11.0, 11.8)
    assert choose_node([(A1, state)], "a", 13.7, lambda: 0.5) is None
    assert choose_node([(A1, state)], "a", 13.8, lambda: 0.5) == A1


def test_message_is_unchanged_by_encoding() -> None:
    """Guards against digests that change between nodes.

    Digests are bytes that need not be valid text. A caller would reject an
    answer with a changed digest.
    """
    response = PartialQueryResponse((0, 3), (b"s1", b"\xff"), b"records")
    assert decode_partial_response(encode_partial(response)) == response


@given(st.binary(max_size=200))
def test_bytes_of_another_node_never_raise(data: bytes) -> None:
    """Guards against a malformed message that ends a task of this node.

    If decoding raised an exception, the task of a partial query would end
    without a result, and the query would wait for its shards in vain.
    """
    assert isinstance(
        decode_partial_response(data), PartialQueryResponse | Failure
    )
    decode_partial_request(data)


@pytest.mark.parametrize(
    ("covered", "stamps", "is_usable"),
    [
        ((0, 3), (b"s0", b"s3"), True),
        ((), (), True),
        ((0, 4), (b"s0", b"s4"), False),
        ((-1,), (b"s0",), False),
        ((1, 1), (b"s1", b"s2"), False),
        ((1, 2), (b"s1",), False),
        ((1,), (b"",), False),
    ],
)
def test_response_that_names_shards_wrongly_is_not_merged(
    covered: tuple[int, ...], stamps: tuple[bytes, ...], is_usable: bool
) -> None:
    """Guards against an answer that merges what no shard has answered.

    A position that was not requested also ended the task of the partial
    query, and the caller waited for its shards in vain.
    """
    response = PartialQueryResponse(covered, stamps, b"records")
    assert names_shards_once(response, 4) is is_usable

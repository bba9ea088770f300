"""Decisions of a query over all shards."""

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.gather import decide as gather_decide
from kumquatchuted.gather.messages import DelegationDone
from kumquatchuted.gather.messages import Finish
from kumquatchuted.gather.messages import QueryNotSent
from kumquatchuted.gather.messages import SendAll
from kumquatchuted.gather.messages import SendShard
from kumquatchuted.gather.messages import ShardAssigned
from kumquatchuted.gather.messages import ShardDone
from kumquatchuted.gather.messages import ShardsDelegated
from kumquatchuted.gather.messages import Started
from kumquatchuted.gather.messages import TimerFired
from kumquatchuted.gather.plan import min_shards
from kumquatchuted.gather.plan import partial_deadline
from kumquatchuted.gather.plan import QueryPlan
from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.retries.progress import RetryPolicy
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal
from kumquatchuted.searchers.messages import RefusalCause

SHARDS = 4
SOFT_DEADLINE = 0.1
DEADLINE = 0.8


def shard_response(number: int) -> SearcherResponse:
    """Return a response whose digest names the shard."""
    return SearcherResponse(200, b"s%d" % number, b"", False, False, ())


def sent_query(min_coverage: float = 0.75) -> gather_decide.QueryState:
    """Return a query whose attempts were all sent at time 0."""
    plan = QueryPlan(
        SHARDS, RetryPolicy(2, False), SOFT_DEADLINE, DEADLINE, min_coverage
    )
    state, actions = gather_decide.decide(
        gather_decide.initial_state(plan), Started(), 0.0
    )
    assert isinstance(actions[0], SendAll)
    for shard in range(SHARDS):
        assigned = ShardAssigned(shard, f"a{shard}", hedge_delay_s=0.03)
        state, _ = gather_decide.decide(state, assigned, 0.0)
    return state


def after_responses(
    state: gather_decide.QueryState, *shards: int
) -> gather_decide.QueryState:
    """Return the query after responses that do not end it."""
    for shard in shards:
        state, actions = gather_decide.decide(
            state, ShardDone(shard, shard_response(shard)), 0.02
        )
        assert not actions
    return state


def test_responses_of_all_shards_end_the_query_at_once() -> None:
    """Guards against a complete answer that is delayed.

    Nothing more can arrive, so waiting for the soft deadline would only add
    latency.
    """
    state = after_responses(sent_query(), 0, 1, 2)
    _, actions = gather_decide.decide(
        state, ShardDone(3, shard_response(3)), 0.03
    )
    assert actions == (
        Finish((0, 1, 2, 3), tuple(shard_response(n) for n in range(4)), 0),
    )


def test_missing_shards_are_awaited_until_the_soft_deadline() -> None:
    """Guards against an answer that omits shards without need.

    Three of four shards already suffice, but a fourth response before the soft
    deadline raises the coverage without missing the objective.
    """
    state = after_responses(sent_query(), 0, 1, 2)
    state, actions = gather_decide.decide(
        state, TimerFired(), SOFT_DEADLINE - 0.001
    )
    assert not [action for action in actions if isinstance(action, Finish)]
    _, actions = gather_decide.decide(state, TimerFired(), SOFT_DEADLINE)
    assert actions[0].missing == 1
    assert len(actions[0].responses) == 3


def test_too_few_shards_are_awaited_beyond_the_soft_deadline() -> None:
    """Guards against a failure although the caller still waits.

    After the soft deadline the objective is missed, but the caller gets an
    answer if enough shards respond before the deadline.
    """
    state = after_responses(sent_query(), 0, 1)
    state, actions = gather_decide.decide(
        state, TimerFired(), SOFT_DEADLINE + 0.01
    )
    assert not [action for action in actions if isinstance(action, Finish)]
    _, actions = gather_decide.decide(
        state, ShardDone(2, shard_response(2)), 0.3
    )
    assert actions == (
        Finish(
            (0, 1, 2),
            (shard_response(0), shard_response(1), shard_response(2)),
            1,
        ),
    )


def test_query_over_a_slow_shard_is_hedged() -> None:
    """Guards against one paused searcher that delays the whole query.

    When the hedge delay has passed, another searcher is sent the same query.
    """
    state = after_responses(sent_query(), 0, 1, 2)
    assert gather_decide.next_wake_at(state, 0.02) == 0.03
    state, actions = gather_decide.decide(state, TimerFired(), 0.03)
    assert actions == (SendShard(3, ("a3",), is_retry=True),)
    assert gather_decide.next_wake_at(state, 0.03) == SOFT_DEADLINE


def test_hedged_shard_counts_once() -> None:
    """Guards against two responses of one shard in the answer.

    Its records would appear twice, and the coverage would count it twice.
    """
    state = after_responses(sent_query(), 0, 1, 2)
    state, _ = gather_decide.decide(state, TimerFired(), 0.03)
    state, actions = gather_decide.decide(
        state, ShardDone(3, shard_response(3)), 0.04
    )
    assert actions == (
        Finish((0, 1, 2, 3), tuple(shard_response(n) for n in range(4)), 0),
    )


def test_query_that_cannot_be_served_fails_before_anything_is_sent() -> None:
    """Guards against a "not run" failure after a searcher ran the query.

    The number of usable shards is checked before the first attempt is sent, so
    the failure can truly state that nothing was run.
    """
    plan = QueryPlan(
        SHARDS, RetryPolicy(2, False), SOFT_DEADLINE, DEADLINE, 0.75
    )
    state, _ = gather_decide.decide(
        gather_decide.initial_state(plan), Started(), 0.0
    )
    _, actions = gather_decide.decide(state, QueryNotSent(2), 0.0)
    assert actions[0].failure.kind is ErrorKind.UNAVAILABLE
    assert actions[0].failure.not_run


def test_query_that_fails_while_shards_run_is_not_marked_not_run() -> None:
    """Guards against a "not run" failure while searchers run the query.

    Two shards have no searcher left while the query runs on the other two.
    """
    state = sent_query()
    for shard in (0, 1):
        state, actions = gather_decide.decide(
            state, ShardDone(shard, Refusal(RefusalCause.NO_SEARCHER)), 0.0
        )
    assert actions[0].failure.kind is ErrorKind.TARGET_FAILED
    assert not actions[0].failure.not_run


def delegated_query(
    *shards: int, has_few_searchers: bool = True
) -> gather_decide.QueryState:
    """Return a query of which another node queries some shards.

    The attempts on the other shards were sent at time 0.
    """
    plan = QueryPlan(
        SHARDS, RetryPolicy(2, False), SOFT_DEADLINE, DEADLINE, 0.75
    )
    state, _ = gather_decide.decide(
        gather_decide.initial_state(plan), Started(), 0.0
    )
    state, _ = gather_decide.decide(
        state, ShardsDelegated(shards, SOFT_DEADLINE, has_few_searchers), 0.0
    )
    for shard in range(SHARDS):
        if shard not in shards:
            assigned = ShardAssigned(shard, f"a{shard}", hedge_delay_s=0.03)
            state, _ = gather_decide.decide(state, assigned, 0.0)
    return state


def test_response_of_another_node_covers_its_shards() -> None:
    """Guards against delegated shards that are dropped or queried again.

    Their searchers would run the query twice, or the answer would lack their
    records.
    """
    state = after_responses(delegated_query(0, 1, 2), 3)
    responses = tuple((shard, shard_response(shard)) for shard in (0, 1, 2))
    _, actions = gather_decide.decide(
        state, DelegationDone((0, 1, 2), responses, True, None), 0.05
    )
    expected = tuple(shard_response(n) for n in range(4))
    assert actions == (Finish((0, 1, 2, 3), expected, 0),)


def test_shards_of_an_unreachable_node_are_queried_directly() -> None:
    """Guards against a query that fails with the node it was delegated to.

    That node refuses the connection, so this node queries its shards directly,
    without using the retry budget.
    """
    no_response = NoResponse("refused", was_sent=False)
    state, actions = gather_decide.decide(
        delegated_query(0, 1), DelegationDone((0, 1), (), True, no_response), 0
    )
    assert actions == (
        SendShard(0, (), is_retry=False),
        SendShard(1, (), is_retry=False),
    )


def test_node_that_covers_no_shard_does_not_end_the_query() -> None:
    """Guards against a node that has just started and covers no shard.

    On day scale-2 98 queries failed, because a node that had not yet read the
    list of searchers responded at once that it covered no shard.
    """
    state = after_responses(delegated_query(0, 1, 2), 3)
    state, actions = gather_decide.decide(
        state, DelegationDone((0, 1, 2), (), True, None), 0.01
    )
    assert [type(action) for action in actions] == [SendShard] * 3


def test_shard_is_not_sent_to_more_searchers_than_the_route_allows() -> None:
    """Guards against attempts of two nodes that exceed ``max_attempts``.

    In a search for faults, 26 queries of a day with three searchers per shard
    ran on more searchers than their route allows.
    """
    state = after_responses(
        delegated_query(0, 1, has_few_searchers=False), 2, 3
    )
    state, actions = gather_decide.decide(
        state, TimerFired(), SOFT_DEADLINE + 0.01
    )
    assert not actions
    no_response = NoResponse("closed", was_sent=True)
    delegation_done = DelegationDone((0, 1), (), False, no_response)
    _, actions = gather_decide.decide(
        state, delegation_done, SOFT_DEADLINE + 0.02
    )
    assert not [action for action in actions if isinstance(action, SendShard)]


def test_node_that_sent_nothing_uses_no_attempts() -> None:
    """Guards against a query that fails with a node that was not reached.

    All attempts of that node were counted in advance. If they were not taken
    back, this node could not query the shards itself.
    """
    state = after_responses(delegated_query(0, 1, has_few_searchers=False), 2)
    delegation_done = DelegationDone(
        (0, 1), (), False, NoResponse("refused", was_sent=False)
    )
    state, actions = gather_decide.decide(state, delegation_done, 0.01)
    assert actions == (SendShard(0, (), False), SendShard(1, (), False))
    for shard in (0, 1):
        assigned = ShardAssigned(shard, "b", 0.03)
        state, _ = gather_decide.decide(state, assigned, 0.01)
        assert state.shards[shard].sent == 1


def test_response_of_a_node_replaces_direct_responses() -> None:
    """Guards against records of a shard that appear twice in an answer.

    A searcher responded to this node before the other node responded with the
    merged records of the same shard.
    """
    state = after_responses(delegated_query(0, 1, 2), 3)
    direct = SearcherResponse(200, b"direct", b"", False, False, ())
    state, _ = gather_decide.decide(state, ShardDone(0, direct), 0.04)
    responses = tuple((shard, shard_response(shard)) for shard in (0, 1, 2))
    _, actions = gather_decide.decide(
        state, DelegationDone((0, 1, 2), responses, True, None), 0.05
    )
    assert direct not in actions[0].responses


def test_deadline_ends_the_query() -> None:
    """Guards against a caller that waits for a searcher that has ended.

    Two shards never respond; at the deadline the caller must get a failure.
    """
    state = after_responses(sent_query(), 0, 1)
    _, actions = gather_decide.decide(state, TimerFired(), DEADLINE)
    assert actions[0].failure.kind is ErrorKind.DEADLINE_EXCEEDED


def test_attempt_without_response_is_retried_at_once() -> None:
    """Guards against waiting for the hedge delay after a known failure.

    The query could miss its objective although the searcher's connection was
    reset at once.
    """
    state, actions = gather_decide.decide(
        sent_query(), ShardDone(1, NoResponse("reset", True)), 0
    )
    assert actions == (SendShard(1, ("a1",), is_retry=True),)


def test_query_past_its_soft_deadline_leaves_time_for_another_node() -> None:
    """Guards against delegated shards whose searchers have no time left.

    On day trouble-1 of the grown Hifazat site the second attempts of callers
    left other nodes no time, and their searchers returned 504 within 2 ms.
    """
    plan = sent_query().plan
    assert partial_deadline(plan, 0.12, now=0.0) == SOFT_DEADLINE
    assert partial_deadline(plan, 0.12, now=0.3) > 0.3 + 0.05
    assert partial_deadline(plan, 0.12, now=0.79) <= DEADLINE


def test_min_shards_is_not_raised_by_rounding() -> None:
    """Guards against requiring 18 of 20 shards for a coverage of 0.85.

    The ratio is not exact in binary. If it compared as more than 17 / 20,
    queries with 17 responses would fail.
    """
    plan = QueryPlan(20, RetryPolicy(2, False), SOFT_DEADLINE, DEADLINE, 0.85)
    assert min_shards(plan) == 17


def test_responses_of_the_same_time_are_all_merged() -> None:
    """Guards against an answer without parts that have arrived.

    After a pause of the node, all responses are there and the soft deadline
    has passed. The first two already cover enough shards.
    """
    for now in (SOFT_DEADLINE + 0.01, DEADLINE + 0.01):
        events = [ShardDone(n, shard_response(n)) for n in range(SHARDS)]
        _, actions = gather_decide.decide_all(
            sent_query(min_coverage=0.5), (TimerFired(), *events), now
        )
        assert [type(action) for action in actions] == [Finish]
        assert actions[0].missing == 0


def test_shard_whose_response_has_arrived_is_not_hedged() -> None:
    """Guards against hedges that use up the retry budget.

    The timer of the hedge fires in the same turn of the event loop in which
    the response arrives.
    """
    state = after_responses(sent_query(), 0, 1)
    events = (TimerFired(), ShardDone(3, shard_response(3)))
    _, actions = gather_decide.decide_all(state, events, 0.03)
    assert actions == (SendShard(2, ("a2",), is_retry=True),)


def test_shard_whose_hedge_has_succeeded_is_not_retried() -> None:
    """Guards against a retry that is sent although its shard has a response.

    The first attempt fails at the time at which its hedge succeeds.
    """
    state, _ = gather_decide.decide(
        after_responses(sent_query(), 0, 1), TimerFired(), 0.03
    )
    state, _ = gather_decide.decide(state, ShardAssigned(3, "b3", 0.03), 0.03)
    events = (
        ShardDone(3, NoResponse("closed", was_sent=False)),
        ShardDone(3, shard_response(3)),
    )
    _, actions = gather_decide.decide_all(state, events[:1], 0.04)
    assert [action.shard for action in actions] == [3]
    _, actions = gather_decide.decide_all(state, events, 0.04)
    assert not actions

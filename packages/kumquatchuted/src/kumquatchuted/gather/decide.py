"""Decisions of a query over all shards: retry, hedge, wait or finish.

The value of an answer within the latency objective grows with the square of
its coverage, and waiting until the objective costs nothing. A query therefore
waits for all shards until the soft deadline, the last moment at which its
answer still meets the objective. From then on it answers as soon as the
coverage suffices.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.errors import TemporaryFailure
from kumquatchuted.gather.messages import Action
from kumquatchuted.gather.messages import DelegationDone
from kumquatchuted.gather.messages import Event
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
from kumquatchuted.gather.plan import QueryPlan
from kumquatchuted.gather.plan import shards_for
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.retries import progress as retry_progress
from kumquatchuted.searchers.messages import NoResponse
from kumquatchuted.searchers.messages import Refusal


@dataclass(frozen=True, slots=True)
class QueryState:
    """Attempts on each shard, by the position of the shard."""

    plan: QueryPlan
    shards: tuple[retry_progress.AttemptProgress, ...]


def initial_state(plan: QueryPlan) -> QueryState:
    """Return the state before anything is sent."""
    return QueryState(
        plan, (retry_progress.AttemptProgress(),) * plan.shard_count
    )


def decide(
    state: QueryState, event: Event, now: float
) -> tuple[QueryState, tuple[Action, ...]]:
    """Return the state after one event, and the actions to take.

    :param now: monotonic time in seconds
    """
    return decide_all(state, (event,), now)


def decide_all(
    state: QueryState, events: Sequence[Event], now: float
) -> tuple[QueryState, tuple[Action, ...]]:
    """Return the state after several events, and the actions to take.

    Hedges and the end are decided after all events. Otherwise a node that has
    not run for a while would decide on the first of the responses that have
    arrived meanwhile. If the query ends, ``Finish`` is the only action.

    :param now: monotonic time in seconds
    """
    actions: tuple[Action, ...] = ()
    has_timer_fired = False
    for event in events:
        match event:
            case Started():
                return _on_started(state)
            case QueryNotSent(usable=usable, retry_after_s=retry_after_s):
                finish = _on_query_not_sent(state, usable, retry_after_s)
                return state, (finish,)
            case TimerFired():
                has_timer_fired = True
            case _:
                state, retries = _apply(state, event, now)
                actions += retries
    if has_timer_fired:
        state, hedges = _hedge_slow_shards(state, now)
        actions += hedges
    finish = _finish(state, now)
    if finish is not None:
        return state, (finish,)
    return state, _without_answered(state, actions)


def _on_started(state: QueryState) -> tuple[QueryState, tuple[Action, ...]]:
    shards = tuple(
        retry_progress.add_attempt(progress) for progress in state.shards
    )
    return replace(state, shards=shards), (SendAll(min_shards(state.plan)),)


def _apply(
    state: QueryState, event: Event, now: float
) -> tuple[QueryState, tuple[SendShard, ...]]:
    """Return the state after an event, and the retries that it causes."""
    match event:
        case ShardAssigned(
            shard=shard, searcher=searcher, hedge_delay_s=hedge_delay_s
        ):
            progress = retry_progress.assign_searcher(
                state.shards[shard], searcher, now + hedge_delay_s
            )
            return _with_shard(state, shard, progress), ()
        case ShardDone(shard=shard, result=result):
            return _on_shard_done(state, shard, result, state.plan.policy)
        case ShardsDelegated():
            return _on_shards_delegated(state, event), ()
        case DelegationDone():
            return _on_delegation_done(state, event)
        case DeadlineMoved(deadline=deadline):
            return _limit_deadlines(state, deadline), ()
    return state, ()


def _without_answered(
    state: QueryState, actions: tuple[SendShard, ...]
) -> tuple[SendShard, ...]:
    """Return the actions without retries of shards that have a response.

    A failure and the response to a hedge can be among the same events.
    """
    return tuple(
        action
        for action in actions
        if state.shards[action.shard].response is None
    )


def next_wake_at(state: QueryState, now: float) -> float:
    """Return when ``TimerFired`` is due if no other event occurs before.

    :param now: monotonic time of the last decision, in seconds; with a later
        one a soft deadline that has passed since would be skipped
    :returns: time of the next hedge or deadline, in monotonic seconds
    """
    plan = state.plan
    due = plan.soft_deadline if now < plan.soft_deadline else plan.deadline
    for progress in state.shards:
        if (
            progress.response is None
            and progress.hedge_at is not None
            and progress.hedge_at < due
            and retry_progress.can_retry(progress, plan.policy)
        ):
            due = progress.hedge_at
    return due


def _limit_deadlines(state: QueryState, deadline: float) -> QueryState:
    plan = replace(
        state.plan,
        soft_deadline=min(state.plan.soft_deadline, deadline),
        deadline=min(state.plan.deadline, deadline),
    )
    return replace(state, plan=plan)


def _on_shard_done(
    state: QueryState,
    shard: int,
    result: object,
    policy: retry_progress.RetryPolicy,
) -> tuple[QueryState, tuple[SendShard, ...]]:
    progress, retry = retry_progress.apply_result(
        state.shards[shard], result, policy
    )
    if retry is None:
        return _with_shard(state, shard, progress), ()
    return _with_shard(state, shard, retry_progress.add_attempt(progress)), (
        SendShard(shard, progress.tried, retry.needs_budget),
    )


def _hedge_slow_shards(
    state: QueryState, now: float
) -> tuple[QueryState, tuple[SendShard, ...]]:
    actions = []
    for shard, progress in enumerate(state.shards):
        if retry_progress.is_hedge_due(progress, state.plan.policy, now):
            state = _with_shard(
                state, shard, retry_progress.add_attempt(progress)
            )
            actions.append(SendShard(shard, progress.tried, is_retry=True))
    return state, tuple(actions)


def _on_query_not_sent(
    state: QueryState, usable: int, retry_after_s: float | None
) -> Finish:
    shards = state.plan.shard_count
    reason = f"{usable} of {shards} shards have a usable searcher"
    failure = Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)
    if retry_after_s is not None:
        failure = TemporaryFailure(
            ErrorKind.UNAVAILABLE,
            reason,
            not_run=True,
            retry_after_s=retry_after_s,
        )
    return Finish((), (), shards, failure)


def _delegated_attempts(state: QueryState, has_few_searchers: bool) -> int:
    """Return how many attempts on a shard are counted for another node.

    The attempts of two nodes can together reach more searchers than the route
    allows. All attempts that the other node may make are therefore counted in
    advance. With at most ``max_attempts`` searchers per shard that cannot
    happen, so one attempt is counted and this node may still retry.

    :param has_few_searchers: whether each shard has at most ``max_attempts``
        searchers
    """
    return 1 if has_few_searchers else state.plan.policy.max_attempts


def _on_shards_delegated(
    state: QueryState, event: ShardsDelegated
) -> QueryState:
    """Return the state while another node queries some of the shards.

    The other node retries and hedges by itself, so this node sends a hedge
    only when the response of that node is overdue.
    """
    attempts = _delegated_attempts(state, event.has_few_searchers)
    for shard in event.shards:
        progress = retry_progress.delegate(
            state.shards[shard], event.deadline, attempts
        )
        state = _with_shard(state, shard, progress)
    return state


def _on_delegation_done(
    state: QueryState, event: DelegationDone
) -> tuple[QueryState, tuple[SendShard, ...]]:
    for shard, response in event.responses:
        progress = retry_progress.apply_delegated_response(
            state.shards[shard], response
        )
        state = _with_shard(state, shard, progress)
    covered = {shard for shard, _ in event.responses}
    responded = sum(
        1 for progress in state.shards if progress.response is not None
    )
    policy = state.plan.policy
    if event.failure is None and responded >= min_shards(state.plan):
        # The coverage suffices, and the other node has already tried other
        # searchers for the shards that are missing.
        policy = replace(policy, max_attempts=1)
    result = event.failure or NoResponse(
        "the other node has no response", was_sent=True
    )
    actions: tuple[SendShard, ...] = ()
    for shard in event.shards:
        if shard not in covered:
            if event.failure is not None and not event.failure.was_sent:
                state = _undo_delegation(state, shard, event.has_few_searchers)
            state, retries = _on_shard_done(state, shard, result, policy)
            actions += retries
    return state, actions


def _undo_delegation(
    state: QueryState, shard: int, has_few_searchers: bool
) -> QueryState:
    """Return the state without the attempts that the other node did not make.

    One of them remains, because ``apply_result`` subtracts it.
    """
    attempts = _delegated_attempts(state, has_few_searchers) - 1
    progress = retry_progress.undo_delegation(state.shards[shard], attempts)
    return _with_shard(state, shard, progress)


def _finish(state: QueryState, now: float) -> Finish | None:
    """Return how the query ends now, or None if it goes on."""
    plan = state.plan
    covered = tuple(
        shard
        for shard, progress in enumerate(state.shards)
        if progress.response is not None
    )
    responses = tuple(state.shards[shard].response for shard in covered)
    unsettled = sum(
        1 for progress in state.shards if not progress.is_settled()
    )
    required = min_shards(plan)
    due_coverage = max(plan.min_coverage, plan.due_coverage)
    is_due = now >= plan.deadline or (
        now >= plan.soft_deadline
        and len(responses) >= shards_for(due_coverage, plan.shard_count)
    )
    if len(responses) >= required and (unsettled == 0 or is_due):
        return Finish(covered, responses, plan.shard_count - len(responses))
    if len(responses) + unsettled < required:
        return Finish((), (), plan.shard_count, _coverage_failure(state))
    if now >= plan.deadline:
        reason = (
            f"{len(responses)} of {plan.shard_count} shards answered in time"
        )
        failure = Failure(ErrorKind.DEADLINE_EXCEEDED, reason)
        return Finish((), (), plan.shard_count, failure)
    return None


def _coverage_failure(state: QueryState) -> Failure:
    """Return the failure of a query whose coverage can no longer suffice.

    It states that the query was not run only if no searcher ran it or may
    still run it, because callers then send the query again.
    """
    failed = [
        progress for progress in state.shards if progress.response is None
    ]
    may_have_run = any(
        progress.may_have_run or progress.response is not None
        for progress in state.shards
    )
    refused_count = sum(
        1 for progress in failed if isinstance(progress.failure, Refusal)
    )
    reason = (
        f"{len(failed)} of {state.plan.shard_count} shards have no answer,"
        f" {refused_count} of them no usable searcher"
    )
    is_pending = any(progress.pending for progress in state.shards)
    if may_have_run or is_pending:
        return Failure(ErrorKind.TARGET_FAILED, reason)
    return Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)


def _with_shard(
    state: QueryState, shard: int, progress: retry_progress.AttemptProgress
) -> QueryState:
    shards = state.shards
    return replace(
        state, shards=(*shards[:shard], progress, *shards[shard + 1 :])
    )

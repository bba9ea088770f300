"""Decisions of one query: attempts, hedges, retries and the end."""

from collections import deque
from dataclasses import replace
import random

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.attempts import AttemptLedger
from kumquatchuted.search.deadlines import last_moment
from kumquatchuted.search.deadlines import restart_limit
from kumquatchuted.search.deadlines import soft_moment
from kumquatchuted.search.deadlines import useful_until
from kumquatchuted.search.merge import belongs_to
from kumquatchuted.search.merge import merge
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.progress import failure
from kumquatchuted.search.progress import is_overloaded
from kumquatchuted.search.progress import ShardProgress
from kumquatchuted.search.progress import with_attempt
from kumquatchuted.search.query_events import Action
from kumquatchuted.search.query_events import CallerGone
from kumquatchuted.search.query_events import Event
from kumquatchuted.search.query_events import ExtrasGranted
from kumquatchuted.search.query_events import Finish
from kumquatchuted.search.query_events import OutcomeArrived
from kumquatchuted.search.query_events import QueryStats
from kumquatchuted.search.query_events import QueryTiming
from kumquatchuted.search.query_events import Replanned
from kumquatchuted.search.query_events import RequestExtras
from kumquatchuted.search.query_events import RequestPlan
from kumquatchuted.search.query_events import Send
from kumquatchuted.search.query_events import Started
from kumquatchuted.search.query_events import TimePassed
from kumquatchuted.search.query_events import WakeAt
from kumquatchuted.search.query_events import Withdraw
from kumquatchuted.search.replicas import choose_replica
from kumquatchuted.search.replicas import HANDOVER_KINDS
from kumquatchuted.search.replicas import is_retryable
from kumquatchuted.search.replicas import retry_moment
from kumquatchuted.search.routing import Routing
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import AttemptOutcome
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult

RESTART_SHARD_FRACTION = 0.5
"""Fraction of shards with a newer version that restarts a query."""


class Query:
    """State machine of one query.

    :param prefix: unique prefix of its attempt identifiers
    :param rng: spreads first attempts over replicas
    """

    def __init__(
        self,
        prefix: str,
        plan: Plan,
        routing: Routing,
        policy: QueryTiming,
        rng: random.Random,
    ) -> None:
        """Create the query; ``Started`` sends its first attempts."""
        self._attempts = AttemptLedger(prefix)
        self._plan = plan
        self._routing = routing
        self._policy = policy
        self._rng = rng
        self._restarted = False
        self._replanning = False
        self._finished = False
        self._may_have_run = False
        self._hedges_requested = False
        # Grants come in the order of the requests.
        self._extra_requests: deque[tuple[str, ...]] = deque()
        self._reset(plan)

    def _reset(self, plan: Plan) -> None:
        self._plan = plan
        self._results: dict[str, SearchResult] = {}
        # Shards without a result. A shard with a result leaves, so that the
        # cost of an answer does not grow with the number of shards.
        self._open = {
            shard.shard: ShardProgress(shard)
            for shard in plan.shard_map.shards
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Decide what follows from an event.

        :param now: monotonic time in seconds
        """
        if self._finished:
            return ()
        match event:
            case Started():
                return self._start(now)
            case OutcomeArrived(outcome=outcome):
                return self._outcome(outcome, now)
            case TimePassed():
                return self._time_passed(now)
            case ExtrasGranted(count=count):
                return self._extras(count, now)
            case CallerGone():
                return self._abandon()
            case Replanned(plan=plan):
                return self._replanned(plan, now)
            case RoutingChanged(routing=routing):
                self._routing = routing
                return ()

    def awaits(self, attempt: str) -> bool:
        """Return whether the outcome of an attempt still matters."""
        return self._attempts.awaits(attempt)

    # Start and restart

    def _start(self, now: float) -> tuple[Action, ...]:
        if now >= last_moment(self._policy):
            return self._finish(now)
        actions: list[Action] = []
        for shard in [*self._open]:
            actions.extend(self._try_shard(shard, now))
        actions.extend(self._wakes(now))
        return (*actions, *self._end_if_done(now))

    def _wakes(self, now: float) -> list[Action]:
        policy = self._policy
        moments = [last_moment(self._policy), soft_moment(self._policy)]
        if policy.hedge_delay is not None:
            moments.append(now + policy.hedge_delay)
        return [WakeAt(moment) for moment in moments if moment is not None]

    def _replanned(self, plan: Plan | None, now: float):
        self._replanning = False
        if plan is None or plan.snapshot == self._plan.snapshot:
            return self._end_if_done(now)
        withdraw = self._withdraw_all()
        self._may_have_run = self._may_have_run_now()
        self._reset(plan)
        self._hedges_requested = False
        return (*withdraw, *self._start(now))

    # Attempts

    def _try_shard(self, shard: str, now: float) -> tuple[Action, ...]:
        """Send the next attempt on a shard, or plan a later one.

        An attempt is extra load if an earlier one may have reached a
        searcher; a restart sends every shard again.
        """
        until = useful_until(self._policy, bool(self._results), now)
        if until is None:
            return ()
        progress = self._open[shard]
        extra = (
            self._restarted
            or progress.may_have_run
            or bool(progress.outstanding)
        )
        searcher = self._choose(progress)
        if searcher is None:
            return self._retry_later(shard, now)
        attempt = self._attempts.start(shard, extra)
        self._open[shard] = with_attempt(progress, attempt, searcher)
        sub_query = SearchAttempt(
            attempt,
            self._plan.service,
            searcher,
            shard,
            self._plan.snapshot.index_version,
            self._plan.snapshot.map_version,
            self._plan.names,
            self._plan.limit,
            budget_ms=(until - now) * 1000,
        )
        return (Send(self._routing.owners[searcher], sub_query, extra),)

    def _choose(self, progress: ShardProgress) -> str | None:
        return choose_replica(progress, self._routing.owners, self._rng)

    def _retry_later(self, shard: str, now: float) -> tuple[Action, ...]:
        """Look again after a delay; owners and searchers change."""
        at = retry_moment(self._open[shard], self._policy, now)
        if at is None:
            return ()
        self._update(shard, retry_at=at)
        return (WakeAt(at),)

    # Outcomes

    def _outcome(self, outcome: AttemptOutcome, now: float):
        shard = self._attempts.end(outcome.attempt)
        if shard is None:
            return ()
        match outcome:
            case SearchResult() if belongs_to(self._plan, outcome):
                return self._answered_by(shard, outcome, now)
            case SearchResult(index_version=version):
                refusal = AttemptFailed(
                    outcome.attempt,
                    ErrorKind.WRONG_VERSION,
                    "the searcher answered for another snapshot",
                    not_run=False,
                    newer_version=version,
                )
                return self._refused(shard, refusal, now)
            case AttemptFailed():
                return self._refused(shard, outcome, now)
        return ()

    def _answered_by(self, shard: str, result: SearchResult, now: float):
        self._results[shard] = result
        progress = self._open.pop(shard)
        losers = tuple(
            attempt
            for attempt in progress.outstanding
            if attempt != result.attempt
        )
        self._attempts.answered(losers)
        withdraw = (Withdraw(losers),) if losers else ()
        soft = soft_moment(self._policy)
        if soft is not None and now >= soft and not self._replanning:
            return (*withdraw, *self._finish(now))
        return (*withdraw, *self._end_if_done(now))

    def _refused(self, shard: str, refusal: AttemptFailed, now: float):
        if refusal.not_run:
            self._attempts.not_run(refusal.attempt)
        else:
            self._attempts.failed()
        progress = self._open[shard]
        outstanding = {**progress.outstanding}
        del outstanding[refusal.attempt]
        self._update(
            shard,
            outstanding=outstanding,
            last_refusal=refusal,
            may_have_run=progress.may_have_run or not refusal.not_run,
            newer_version=max(progress.newer_version, refusal.newer_version),
        )
        if restart := self._restart(now):
            return restart
        return (*self._retry(shard, refusal, now), *self._end_if_done(now))

    def _retry(self, shard: str, refusal: AttemptFailed, now: float):
        progress = self._open[shard]
        if progress.outstanding or not is_retryable(
            refusal, self._policy, now
        ):
            return ()
        if useful_until(self._policy, bool(self._results), now) is None:
            return ()
        if not refusal.not_run:
            # The searcher may have worked on it: a retry is extra load.
            return self._request_extras((shard,))
        untried = set(progress.shard.replicas) - set(progress.tried)
        if untried & set(self._routing.owners):
            return self._try_shard(shard, now)
        if refusal.kind not in HANDOVER_KINDS:
            return ()
        return self._retry_later(shard, now)

    def _restart(self, now: float) -> tuple[Action, ...]:
        """Ask for a newer snapshot if most shards have left the pinned one."""
        if self._restarted or self._replanning:
            return ()
        version = self._plan.snapshot.index_version
        newer = sum(
            progress.newer_version > version
            for progress in self._open.values()
        )
        if newer <= RESTART_SHARD_FRACTION * self._shard_count():
            return ()
        if now > restart_limit(self._policy):
            return ()
        self._restarted = True
        self._replanning = True
        return (RequestPlan(),)

    # Time

    def _time_passed(self, now: float) -> tuple[Action, ...]:
        if now >= last_moment(self._policy):
            return self._finish(now)
        soft = soft_moment(self._policy)
        if soft is not None and now >= soft and self._results:
            return self._finish(now)
        actions: list[Action] = []
        for shard, progress in [*self._open.items()]:
            if progress.retry_at is not None and now >= progress.retry_at:
                self._update(shard, retry_at=None)
                actions.extend(self._try_shard(shard, now))
        actions.extend(self._request_hedges(now))
        return (*actions, *self._end_if_done(now))

    def _request_hedges(self, now: float) -> tuple[Action, ...]:
        delay = self._policy.hedge_delay
        if delay is None or self._hedges_requested:
            return ()
        if now < self._policy.started + delay:
            return ()
        if useful_until(self._policy, bool(self._results), now) is None:
            return ()
        self._hedges_requested = True
        late = self._late_shards()
        for shard in late:
            self._update(shard, hedged=True)
        return self._request_extras(tuple(late))

    def _late_shards(self) -> list[str]:
        """Return shards with one attempt running and another replica."""
        return [
            shard
            for shard, progress in self._open.items()
            if progress.outstanding
            and not progress.hedged
            and self._choose(progress) is not None
        ]

    def _request_extras(self, shards: tuple[str, ...]) -> tuple[Action, ...]:
        if not shards:
            return ()
        for shard in shards:
            self._update(shard, needs_extra=True)
        self._extra_requests.append(shards)
        return (RequestExtras(len(shards)),)

    def _extras(self, count: int, now: float) -> tuple[Action, ...]:
        """Use a grant for the oldest request that has none yet."""
        if not self._extra_requests:
            return ()
        actions: list[Action] = []
        for shard in self._extra_requests.popleft():
            progress = self._open.get(shard)
            if progress is None or not progress.needs_extra:
                continue
            if count > 0:
                count -= 1
                actions.extend(self._try_shard(shard, now))
            self._update(shard, needs_extra=False)
        return (*actions, *self._end_if_done(now))

    # End

    def _end_if_done(self, now: float) -> tuple[Action, ...]:
        if self._finished or self._replanning:
            return ()
        for progress in self._open.values():
            if progress.outstanding or progress.needs_extra:
                return ()
            if progress.retry_at is not None:
                return ()
        return self._finish(now)

    def _finish(self, now: float) -> tuple[Action, ...]:
        self._finished = True
        withdraw = self._withdraw_all()
        return (*withdraw, Finish(self._result(now), self._stats()))

    def _abandon(self) -> tuple[Action, ...]:
        self._finished = True
        withdraw = self._withdraw_all()
        failure = Failure(ErrorKind.CANCELLED, "the caller is gone")
        return (*withdraw, Finish(failure, self._stats()))

    def _withdraw_all(self) -> tuple[Action, ...]:
        attempts = self._attempts.withdraw_all()
        return (Withdraw(attempts),) if attempts else ()

    def _result(self, now: float) -> SearchAnswer | Failure:
        if self._results or not self._shard_count():
            return merge(self._plan, self._results)
        timed_out = now >= last_moment(self._policy)
        return failure(
            self._open.values(), timed_out, self._may_have_run_now()
        )

    def _shard_count(self) -> int:
        return len(self._plan.shard_map.shards)

    def _may_have_run_now(self) -> bool:
        """Say whether any attempt, of this plan or before, may have run."""
        return (
            self._may_have_run
            or self._attempts.has_answers()
            or any(
                progress.may_have_run or progress.outstanding
                for progress in self._open.values()
            )
        )

    def _stats(self) -> QueryStats:
        overloaded = sum(map(is_overloaded, self._open.values()))
        return self._attempts.stats(self._shard_count(), overloaded)

    def _update(self, shard: str, **changes) -> None:
        self._open[shard] = replace(self._open[shard], **changes)

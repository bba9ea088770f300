"""State machine of a query: attempts, hedges, retries and the result."""

from collections import deque
from dataclasses import replace
import random

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.attempts import AttemptTracker
from kumquatchuted.search.deadlines import answer_deadline
from kumquatchuted.search.deadlines import attempt_deadline
from kumquatchuted.search.deadlines import restart_deadline
from kumquatchuted.search.deadlines import soft_answer_deadline
from kumquatchuted.search.merge import matches_snapshot
from kumquatchuted.search.merge import merge_results
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.progress import build_failure
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
from kumquatchuted.search.query_events import TimerFired
from kumquatchuted.search.query_events import WakeAt
from kumquatchuted.search.query_events import Withdraw
from kumquatchuted.search.replicas import choose_replica
from kumquatchuted.search.replicas import is_retryable
from kumquatchuted.search.replicas import next_retry_at
from kumquatchuted.search.replicas import TRANSIENT_KINDS
from kumquatchuted.search.routing import Routing
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import AttemptOutcome
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult

RESTART_SHARD_FRACTION = 0.5
"""Fraction of shards with a newer version above which a query restarts."""


class Query:
    """Decides on the attempts and the result of one query, without I/O.

    :param prefix: unique prefix of the attempt identifiers
    :param rng: distributes first attempts over replicas
    """

    def __init__(
        self,
        prefix: str,
        plan: Plan,
        routing: Routing,
        timing: QueryTiming,
        rng: random.Random,
    ) -> None:
        """Create the query; ``Started`` yields its first attempts."""
        self._attempts = AttemptTracker(prefix)
        self._plan = plan
        self._routing = routing
        self._timing = timing
        self._rng = rng
        self._restarted = False
        self._replanning = False
        self._finished = False
        self._earlier_plan_may_have_run = False
        self._hedges_requested = False
        # Shards of each request without a grant; grants arrive in this order.
        self._extra_requests: deque[tuple[str, ...]] = deque()
        self._reset(plan)

    def _reset(self, plan: Plan) -> None:
        self._plan = plan
        self._results: dict[str, SearchResult] = {}
        # Answered shards are removed, so that the cost of handling a result
        # does not grow with the number of shards.
        self._unanswered = {
            shard.shard: ShardProgress(shard)
            for shard in plan.shard_map.shards
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Update the state and return the actions that follow.

        :param now: monotonic time in seconds
        :returns: no actions once the query has finished
        """
        if self._finished:
            return ()
        match event:
            case Started():
                return self._start(now)
            case OutcomeArrived(outcome=outcome):
                return self._handle_outcome(outcome, now)
            case TimerFired():
                return self._handle_timer(now)
            case ExtrasGranted(count=count):
                return self._use_grant(count, now)
            case CallerGone():
                return self._cancel()
            case Replanned(plan=plan):
                return self._handle_replanned(plan, now)
            case RoutingChanged(routing=routing):
                self._routing = routing
                return ()

    def is_pending(self, attempt: str) -> bool:
        """Return True if the query still waits for the attempt's outcome."""
        return self._attempts.is_pending(attempt)

    # Start and restart

    def _start(self, now: float) -> tuple[Action, ...]:
        if now >= answer_deadline(self._timing):
            return self._finish(now)
        actions: list[Action] = []
        for shard in [*self._unanswered]:
            actions.extend(self._try_shard(shard, now))
        actions.extend(self._wake_actions(now))
        return (*actions, *self._finish_if_done(now))

    def _wake_actions(self, now: float) -> list[Action]:
        timing = self._timing
        wake_times = [
            answer_deadline(self._timing),
            soft_answer_deadline(self._timing),
        ]
        if timing.hedge_delay is not None:
            wake_times.append(now + timing.hedge_delay)
        return [WakeAt(at) for at in wake_times if at is not None]

    def _handle_replanned(self, plan: Plan | None, now: float):
        self._replanning = False
        if plan is None or plan.snapshot == self._plan.snapshot:
            return self._finish_if_done(now)
        withdraw = self._withdraw_all()
        self._earlier_plan_may_have_run = self._any_may_have_run()
        self._reset(plan)
        self._hedges_requested = False
        return (*withdraw, *self._start(now))

    # Attempts

    def _try_shard(self, shard: str, now: float) -> tuple[Action, ...]:
        """Send the next attempt on a shard, or schedule a retry.

        An attempt is extra load if an earlier one on the shard may have run.
        After a restart every attempt is, because the query searches all
        shards again.
        """
        deadline = attempt_deadline(self._timing, bool(self._results), now)
        if deadline is None:
            return ()
        progress = self._unanswered[shard]
        extra = (
            self._restarted or progress.may_have_run or bool(progress.pending)
        )
        searcher = self._choose_replica(progress)
        if searcher is None:
            return self._schedule_retry(shard, now)
        attempt = self._attempts.start(shard, extra)
        self._unanswered[shard] = with_attempt(progress, attempt, searcher)
        search_attempt = SearchAttempt(
            attempt,
            self._plan.service,
            searcher,
            shard,
            self._plan.snapshot.index_version,
            self._plan.snapshot.map_version,
            self._plan.names,
            self._plan.limit,
            budget_ms=(deadline - now) * 1000,
        )
        return (Send(self._routing.owners[searcher], search_attempt, extra),)

    def _choose_replica(self, progress: ShardProgress) -> str | None:
        return choose_replica(progress, self._routing.owners, self._rng)

    def _schedule_retry(self, shard: str, now: float) -> tuple[Action, ...]:
        """Try the shard again later, when it may have a usable replica."""
        at = next_retry_at(self._unanswered[shard], self._timing, now)
        if at is None:
            return ()
        self._update(shard, retry_at=at)
        return (WakeAt(at),)

    # Outcomes

    def _handle_outcome(self, outcome: AttemptOutcome, now: float):
        shard = self._attempts.end(outcome.attempt)
        if shard is None:
            return ()
        match outcome:
            case SearchResult() if matches_snapshot(self._plan, outcome):
                return self._handle_result(shard, outcome, now)
            case SearchResult(index_version=version):
                failure = AttemptFailed(
                    outcome.attempt,
                    ErrorKind.WRONG_VERSION,
                    "the searcher answered from another snapshot",
                    not_run=False,
                    newer_version=version,
                )
                return self._handle_failure(shard, failure, now)
            case AttemptFailed():
                return self._handle_failure(shard, outcome, now)
        return ()

    def _handle_result(self, shard: str, result: SearchResult, now: float):
        self._results[shard] = result
        progress = self._unanswered.pop(shard)
        superseded = tuple(
            attempt
            for attempt in progress.pending
            if attempt != result.attempt
        )
        self._attempts.count_result(superseded)
        withdraw = (Withdraw(superseded),) if superseded else ()
        soft = soft_answer_deadline(self._timing)
        if soft is not None and now >= soft and not self._replanning:
            return (*withdraw, *self._finish(now))
        return (*withdraw, *self._finish_if_done(now))

    def _handle_failure(self, shard: str, failure: AttemptFailed, now: float):
        if failure.not_run:
            self._attempts.exclude(failure.attempt)
        else:
            self._attempts.count_failure()
        progress = self._unanswered[shard]
        pending = {**progress.pending}
        del pending[failure.attempt]
        self._update(
            shard,
            pending=pending,
            last_failure=failure,
            may_have_run=progress.may_have_run or not failure.not_run,
            newer_version=max(progress.newer_version, failure.newer_version),
        )
        if restart := self._request_restart(now):
            return restart
        return (*self._retry(shard, failure, now), *self._finish_if_done(now))

    def _retry(self, shard: str, failure: AttemptFailed, now: float):
        progress = self._unanswered[shard]
        if progress.pending or not is_retryable(failure, self._timing, now):
            return ()
        if attempt_deadline(self._timing, bool(self._results), now) is None:
            return ()
        if not failure.not_run:
            # The attempt may have run, so the retry is extra load.
            return self._request_extras((shard,))
        untried = set(progress.shard.replicas) - set(progress.tried)
        if untried & set(self._routing.owners):
            return self._try_shard(shard, now)
        if failure.kind not in TRANSIENT_KINDS:
            return ()
        return self._schedule_retry(shard, now)

    def _request_restart(self, now: float) -> tuple[Action, ...]:
        """Request a new plan if most shards have a newer index version."""
        if self._restarted or self._replanning:
            return ()
        version = self._plan.snapshot.index_version
        newer_count = sum(
            progress.newer_version > version
            for progress in self._unanswered.values()
        )
        if newer_count <= RESTART_SHARD_FRACTION * self._shard_count():
            return ()
        if now > restart_deadline(self._timing):
            return ()
        self._restarted = True
        self._replanning = True
        return (RequestPlan(),)

    # Time

    def _handle_timer(self, now: float) -> tuple[Action, ...]:
        if now >= answer_deadline(self._timing):
            return self._finish(now)
        soft = soft_answer_deadline(self._timing)
        if soft is not None and now >= soft and self._results:
            return self._finish(now)
        actions: list[Action] = []
        for shard, progress in [*self._unanswered.items()]:
            if progress.retry_at is not None and now >= progress.retry_at:
                self._update(shard, retry_at=None)
                actions.extend(self._try_shard(shard, now))
        actions.extend(self._request_hedges(now))
        return (*actions, *self._finish_if_done(now))

    def _request_hedges(self, now: float) -> tuple[Action, ...]:
        delay = self._timing.hedge_delay
        if delay is None or self._hedges_requested:
            return ()
        if now < self._timing.started + delay:
            return ()
        if attempt_deadline(self._timing, bool(self._results), now) is None:
            return ()
        self._hedges_requested = True
        hedgeable = self._hedgeable_shards()
        for shard in hedgeable:
            self._update(shard, hedged=True)
        return self._request_extras(tuple(hedgeable))

    def _hedgeable_shards(self) -> list[str]:
        """Return the unanswered shards that can be hedged.

        They have a pending attempt, no hedge yet and another usable replica.
        """
        return [
            shard
            for shard, progress in self._unanswered.items()
            if progress.pending
            and not progress.hedged
            and self._choose_replica(progress) is not None
        ]

    def _request_extras(self, shards: tuple[str, ...]) -> tuple[Action, ...]:
        if not shards:
            return ()
        for shard in shards:
            self._update(shard, extra_requested=True)
        self._extra_requests.append(shards)
        return (RequestExtras(len(shards)),)

    def _use_grant(self, count: int, now: float) -> tuple[Action, ...]:
        """Send the granted attempts of the oldest request without a grant."""
        if not self._extra_requests:
            return ()
        actions: list[Action] = []
        for shard in self._extra_requests.popleft():
            progress = self._unanswered.get(shard)
            if progress is None or not progress.extra_requested:
                continue
            if count > 0:
                count -= 1
                actions.extend(self._try_shard(shard, now))
            self._update(shard, extra_requested=False)
        return (*actions, *self._finish_if_done(now))

    # End

    def _finish_if_done(self, now: float) -> tuple[Action, ...]:
        if self._finished or self._replanning:
            return ()
        for progress in self._unanswered.values():
            if progress.pending or progress.extra_requested:
                return ()
            if progress.retry_at is not None:
                return ()
        return self._finish(now)

    def _finish(self, now: float) -> tuple[Action, ...]:
        self._finished = True
        withdraw = self._withdraw_all()
        return (*withdraw, Finish(self._final_result(now), self._stats()))

    def _cancel(self) -> tuple[Action, ...]:
        self._finished = True
        withdraw = self._withdraw_all()
        failure = Failure(ErrorKind.CANCELLED, "the caller has disconnected")
        return (*withdraw, Finish(failure, self._stats()))

    def _withdraw_all(self) -> tuple[Action, ...]:
        attempts = self._attempts.withdraw_all()
        return (Withdraw(attempts),) if attempts else ()

    def _final_result(self, now: float) -> SearchAnswer | Failure:
        if self._results or not self._shard_count():
            return merge_results(self._plan, self._results)
        timed_out = now >= answer_deadline(self._timing)
        return build_failure(
            self._unanswered.values(), timed_out, self._any_may_have_run()
        )

    def _shard_count(self) -> int:
        return len(self._plan.shard_map.shards)

    def _any_may_have_run(self) -> bool:
        """Return True if an attempt of any plan so far may have run."""
        return (
            self._earlier_plan_may_have_run
            or self._attempts.any_answered()
            or any(
                progress.may_have_run or progress.pending
                for progress in self._unanswered.values()
            )
        )

    def _stats(self) -> QueryStats:
        overloaded = sum(map(is_overloaded, self._unanswered.values()))
        return self._attempts.stats(self._shard_count(), overloaded)

    def _update(self, shard: str, **changes) -> None:
        self._unanswered[shard] = replace(self._unanswered[shard], **changes)

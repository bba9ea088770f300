"""The task of one query over all shards."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import itertools

from logbook import Logger

from kumquatchuted.gather.decide import decide_all
from kumquatchuted.gather.decide import initial_state
from kumquatchuted.gather.decide import next_wake_at
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
from kumquatchuted.gather.plan import partial_deadline
from kumquatchuted.gather.plan import QueryPlan
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.partials.messages import AbandonPartialQuery
from kumquatchuted.partials.messages import PartialQueryAssigned
from kumquatchuted.partials.messages import PartialQueryDone
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.retries.messages import earliest_deadline
from kumquatchuted.retries.progress import RetryPolicy
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import AbandonAttempt
from kumquatchuted.searchers.messages import AttemptAssigned
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import ResponsesUsed
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import SendShards
from kumquatchuted.searchers.messages import ShardsNotSent
from kumquatchuted.timeouts import await_delivery

log = Logger("gather")

# Time for the responses to attempts that are no longer needed. If a searcher
# responds within it, the connection is used again; otherwise it is closed, so
# that the searcher stops and its slot is free.
LINGER_S = 0.06


# Numbers make the keys of attempts unique across all tasks: the task of
# searchers knows attempts by their keys, also after the task that requested
# them has ended.
_query_numbers = itertools.count()


@dataclass(frozen=True, slots=True)
class QueryKey:
    """Identifies an attempt of a query."""

    query: int
    shard: int
    attempt: int


class GatherTask:
    """Owns the state of one query.

    No task is started for it: the one that handles the request awaits ``run``.
    """

    def __init__(
        self,
        route: Route,
        destination: AllShards,
        outgoing: OutgoingRequest,
        soft_deadline: float,
        deadline: float,
        post: Post,
        clock: Callable[[], float],
        post_partial: Post | None = None,
        due_coverage: float = 0.0,
    ) -> None:
        """Create the task.

        :param outgoing: the request as searchers receive it
        :param soft_deadline: last moment for an answer that meets the
            objective, in monotonic seconds
        :param deadline: last moment for any answer, in monotonic seconds
        :param post: mailbox of the task of searchers
        :param clock: monotonic time in seconds
        :param post_partial: mailbox of the task of partial queries; None if
            no shards may be delegated to other nodes
        :param due_coverage: share of shards, from 0 to 1, with which the
            answer leaves at the soft deadline, if it is more than a successful
            answer must cover
        """
        self.mailbox = Mailbox()
        self.attempt_count = 0
        self._query_number = next(_query_numbers)
        self._route = route
        self._shards = destination.shards
        self._outgoing = outgoing
        self._post = post
        self._post_partial = post_partial
        self._top_k = 0 if post_partial is None else destination.top_k
        self._pending_partials: set[object] = set()
        self._clock = clock
        self._pending: set[QueryKey] = set()
        self._ended: list[QueryKey] = []
        # Time of the last decision, in monotonic seconds.
        self._decided_at = 0.0
        self._state = initial_state(
            QueryPlan(
                len(destination.shards),
                RetryPolicy(
                    route.max_attempts, at_most_once=False, parts_only=True
                ),
                soft_deadline,
                deadline,
                destination.min_coverage,
                due_coverage,
            )
        )

    async def run(self) -> Finish:
        """Run the query and return its answer or failure.

        Attempts without a result are abandoned: at once if the run is
        cancelled, else after ``LINGER_S``.
        """
        linger_s = 0.0
        try:
            finish = await self._run()
            linger_s = LINGER_S
            if finish.responses:
                log.info(
                    "query answered parts={} request={}",
                    ",".join(item.source for item in finish.responses),
                    self._outgoing.request_id.decode("latin-1"),
                )
            return finish
        finally:
            for key in self._pending:
                self._post(AbandonAttempt(key, linger_s))
            self._post(ResponsesUsed(tuple(self._ended)))
            for key in self._pending_partials:
                self._post_partial(AbandonPartialQuery(key))

    async def _run(self) -> Finish:
        finish = self._step((Started(),))
        while finish is None:
            finish = self._step(await self._next_events())
        return finish

    async def _next_events(self) -> list[Event]:
        """Wait for events and return all that have occurred.

        After a pause of the node, the timer or the first response can be ready
        before the other responses that have arrived. These are awaited before
        a hedge or the end of the query is decided on.
        """
        messages = self.mailbox.take_all()
        has_timer_fired = False
        if not messages:
            wake_at = next_wake_at(self._state, self._decided_at)
            wait_s = max(0.0, wake_at - self._clock())
            try:
                async with asyncio.timeout(wait_s):
                    messages.append(await self.mailbox.get())
            except TimeoutError:
                has_timer_fired = True
        soft_deadline = earliest_deadline(
            self._state.plan.soft_deadline, messages
        )
        if has_timer_fired or self._clock() >= soft_deadline:
            await await_delivery()
        messages += self.mailbox.take_all()
        events = [self._read(message) for message in messages]
        if has_timer_fired:
            events.append(TimerFired())
        return [event for event in events if event is not None]

    def _read(self, message: object) -> Event | None:
        """Return the event that a message reports, and note its attempt."""
        match message:
            case AttemptAssigned(
                key=key, searcher=searcher, hedge_delay_s=hedge_delay_s
            ):
                return ShardAssigned(key.shard, searcher, hedge_delay_s)
            case AttemptDone(key=key, result=result):
                self._pending.discard(key)
                self._ended.append(key)
                return ShardDone(key.shard, result)
            case PartialQueryAssigned(key=key, query=query):
                self._pending_partials.add(key)
                return ShardsDelegated(
                    query.shards, query.deadline, query.has_few_searchers
                )
            case PartialQueryDone(
                key=key, query=query, responses=responses, failure=failure
            ):
                self._pending_partials.discard(key)
                return DelegationDone(
                    query.shards, responses, query.has_few_searchers, failure
                )
            case DeadlineMoved():
                return message
            case ShardsNotSent(usable=usable, retry_after_s=retry_after_s):
                self._pending.clear()
                return QueryNotSent(usable, retry_after_s)
        return None

    def _step(self, events: Sequence[Event]) -> Finish | None:
        self._decided_at = self._clock()
        self._state, actions = decide_all(
            self._state, events, self._decided_at
        )
        for action in actions:
            if isinstance(action, Finish):
                return action
            self._execute(action)
        return None

    def _execute(self, action: Action) -> None:
        match action:
            case SendAll(min_usable=min_usable):
                attempts = tuple(
                    self._new_attempt(shard, (), is_retry=False)
                    for shard in range(len(self._shards))
                )
                self._post(
                    SendShards(
                        attempts,
                        min_usable,
                        self._top_k,
                        partial_deadline(
                            self._state.plan,
                            self._route.objective_s,
                            self._clock(),
                        ),
                        self.mailbox.post,
                    )
                )
            case SendShard(shard=shard, exclude=exclude, is_retry=is_retry):
                self._post(self._new_attempt(shard, exclude, is_retry))

    def _new_attempt(
        self, shard: int, exclude: tuple[str, ...], is_retry: bool
    ) -> SendAttempt:
        self.attempt_count += 1
        key = QueryKey(self._query_number, shard, self.attempt_count)
        self._pending.add(key)
        return SendAttempt(
            key=key,
            route=self._route,
            service=self._shards[shard],
            outgoing=self._outgoing,
            deadline=self._state.plan.deadline,
            exclude=exclude,
            at_most_once=False,
            is_shard_query=True,
            is_retry=is_retry,
            reply_to=self.mailbox.post,
        )

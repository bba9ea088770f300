"""The task of one request to one searcher of a service."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import itertools

from kumquatchuted.forward.decide import conclude
from kumquatchuted.forward.decide import conclude_timeout
from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.retries.messages import earliest_deadline
from kumquatchuted.retries import progress as retry_progress
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import AbandonAttempt
from kumquatchuted.searchers.messages import AttemptAssigned
from kumquatchuted.searchers.messages import AttemptDone
from kumquatchuted.searchers.messages import AttemptKept
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.messages import ResponsesUsed
from kumquatchuted.searchers.messages import SendAttempt
from kumquatchuted.searchers.messages import WithdrawAttempt
from kumquatchuted.timeouts import await_delivery

# A searcher stops by itself at the deadline that it was sent. The connection
# is closed this long after it, so that the request is not interrupted earlier.
CLOSE_MARGIN_S = 0.3
# The task of searchers replies to a withdrawal in its next turn. Without a
# reply in this time the request counts as sent.
WITHDRAWAL_TIMEOUT_S = 0.25


# Numbers make the keys of attempts unique across all tasks: the task of
# searchers knows attempts by their keys, also after the task that requested
# them has ended.
_request_numbers = itertools.count()


@dataclass(frozen=True, slots=True)
class ForwardKey:
    """Identifies an attempt of a request."""

    request: int
    attempt: int


class ForwardTask:
    """Owns the state of one request.

    No task is started for it: the one that handles the request awaits ``run``.
    """

    def __init__(
        self,
        route: Route,
        service: str,
        outgoing: OutgoingRequest,
        deadline: float,
        post: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param service: service whose searchers may be chosen
        :param outgoing: the request as searchers receive it
        :param deadline: last moment for the answer, in monotonic seconds
        :param post: mailbox of the task of searchers
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self.attempt_count = 0
        self._request_number = next(_request_numbers)
        self._route = route
        self._service = service
        self._outgoing = outgoing
        self._deadline = deadline
        self._post = post
        self._clock = clock
        self._policy = retry_progress.RetryPolicy(
            route.max_attempts, not route.idempotent
        )
        self._progress = retry_progress.AttemptProgress()
        self._pending: set[ForwardKey] = set()
        self._ended: list[ForwardKey] = []

    async def run(self) -> ForwardResult:
        """Run the request and abandon attempts whose result is not needed.

        When the caller disconnects, the attempt of an at-most-once request
        continues: after an interruption it would be unknown whether it ran.
        """
        try:
            return await self._run()
        finally:
            linger_s = 0.0
            if not self._route.idempotent:
                remaining_s = self._deadline - self._clock()
                linger_s = max(0.0, remaining_s) + CLOSE_MARGIN_S
            for key in self._pending:
                self._post(AbandonAttempt(key, linger_s))
            self._post(ResponsesUsed(tuple(self._ended)))

    async def _run(self) -> ForwardResult:
        self._send_attempt(is_retry=False)
        while True:
            retries = [
                retry
                for message in await self._next_messages()
                if (retry := self._handle(message)) is not None
            ]
            if self._progress.response is None:
                for retry in retries:
                    self._post_attempt(retry.needs_budget)
            now = self._clock()
            if now >= self._deadline and not self._progress.is_settled():
                return await self._end_at_deadline()
            if retry_progress.is_hedge_due(self._progress, self._policy, now):
                self._send_attempt(is_retry=True)
            if self._progress.is_settled():
                return conclude(self._progress, self._policy.at_most_once)

    def _handle(self, message: object) -> retry_progress.Retry | None:
        """Apply a message, and return the retry that it causes.

        The response to a hedge can be among the next messages, so that the
        retry is not sent at once.
        """
        match message:
            case AttemptAssigned():
                self._assign(message, self._clock())
            case AttemptDone(key=key, result=result):
                self._end_attempt(key)
                self._progress, retry = retry_progress.apply_result(
                    self._progress, result, self._policy
                )
                if retry is not None:
                    self._progress = retry_progress.add_attempt(self._progress)
                return retry
            case DeadlineMoved(deadline=deadline):
                self._deadline = min(self._deadline, deadline)
        return None

    async def _end_at_deadline(self) -> ForwardResult:
        """Withdraw the attempts and return the result.

        The mailbox can hold the news that an attempt was sent, and the task of
        searchers can still send one: after the process was suspended, several
        timers and connections are due at once, in any order.
        """
        undecided = set(self._pending)
        for key in undecided:
            self._post(WithdrawAttempt(key, self.mailbox.post))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAWAL_TIMEOUT_S):
                while undecided:
                    match await self.mailbox.get():
                        case AttemptAssigned() as assigned:
                            self._assign(assigned, self._clock())
                        case AttemptKept(key=key):
                            undecided.discard(key)
                        case AttemptDone(key=key, result=result):
                            undecided.discard(key)
                            self._end_attempt(key)
                            self._progress, _ = retry_progress.apply_result(
                                self._progress, result, self._policy
                            )
        if self._progress.response is not None:
            return conclude(self._progress, self._policy.at_most_once)
        return conclude_timeout(self._progress)

    def _end_attempt(self, key: ForwardKey) -> None:
        self._pending.discard(key)
        self._ended.append(key)

    def _assign(self, message: AttemptAssigned, now: float) -> None:
        self._progress = retry_progress.assign_searcher(
            self._progress, message.searcher, now + message.hedge_delay_s
        )

    async def _next_messages(self) -> list[object]:
        """Wait for messages and return all that there are.

        There can be none if the time of a hedge or the deadline has come.
        After a pause of the node, a response that has arrived is awaited
        before a hedge or the end of the request is decided on.
        """
        wake_at = self._wake_at()
        messages = self.mailbox.take_all()
        if not messages:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wake_at - self._clock())):
                    messages = [await self.mailbox.get()]
        wake_at = earliest_deadline(wake_at, messages)
        if not messages or self._clock() >= wake_at:
            await await_delivery()
            messages += self.mailbox.take_all()
        return messages

    def _wake_at(self) -> float:
        hedge_at = self._progress.hedge_at
        if hedge_at is not None and retry_progress.can_retry(
            self._progress, self._policy
        ):
            return min(self._deadline, hedge_at)
        return self._deadline

    def _send_attempt(self, is_retry: bool) -> None:
        self._progress = retry_progress.add_attempt(self._progress)
        self._post_attempt(is_retry)

    def _post_attempt(self, is_retry: bool) -> None:
        self.attempt_count += 1
        key = ForwardKey(self._request_number, self.attempt_count)
        self._pending.add(key)
        self._post(
            SendAttempt(
                key=key,
                route=self._route,
                service=self._service,
                outgoing=self._outgoing,
                deadline=self._deadline,
                exclude=self._progress.tried,
                at_most_once=self._policy.at_most_once,
                is_shard_query=False,
                is_retry=is_retry,
                reply_to=self.mailbox.post,
            )
        )

"""Brings attempts to the owners of searchers and outcomes back."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from collections import defaultdict
from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.delay import delay
from kumquatchuted.peers.delay import DelayReference
from kumquatchuted.peers.delay import observe
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import Cancellation
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import Identity
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import Ping
from kumquatchuted.peers.messages import SendAttempt
from kumquatchuted.peers.messages import SendFailed
from kumquatchuted.peers.messages import ToPeer
from kumquatchuted.peers.messages import WithdrawAttempts
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import AttemptOutcome
from kumquatchuted.targets.messages import CancelAttempts
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import SearchAttempt
from kumquatchuted.targets.messages import SearchResult
from kumquatchuted.targets.messages import SubmitAttempt
from kumquatchuted.targets.messages import SubmitResult

MAX_BATCH = 256
"""Items of one batch, so that a batch stays far below the message limit."""

EXPIRY_GRACE_S = 1.0
"""Time after the expiry of an attempt for which its outcome is awaited."""


@dataclass(frozen=True)
class Waiting:
    """An attempt whose outcome is awaited."""

    node: str
    searcher: str
    reply: Post
    expires: float


@dataclass(frozen=True)
class RemoveExpired:
    """Time to forget attempts whose outcome never came."""


class DispatchTask:
    """Owns the table of attempts that wait for an outcome.

    :param node: name of this node
    :param targets: mailbox entry of the target task
    :param peers: mailbox entry of the peer task
    :param clock: monotonic time in seconds
    """

    def __init__(
        self,
        node: str,
        targets: Post,
        peers: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task; nothing runs before ``run``."""
        self.mailbox = Mailbox()
        self._node = node
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._waiting: dict[str, Waiting] = {}
        self._references: dict[Identity, DelayReference] = {}
        self._links: set[str] = set()
        self._attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
        self._cancels: defaultdict[str, list[Cancellation]] = defaultdict(list)
        self._outcomes: defaultdict[str, list[AttemptOutcome]] = defaultdict(
            list
        )

    async def run(self) -> None:
        """Handle messages until cancelled.

        All messages that wait are handled before anything is sent, so that
        attempts for the same owner share a message.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tick())
            while True:
                self._handle(await self.mailbox.get())
                for _ in range(MAX_BATCH):
                    try:
                        self._handle(self.mailbox.get_nowait())
                    except asyncio.QueueEmpty:
                        break
                self._flush()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_GRACE_S)
            self.mailbox.post(RemoveExpired())

    def _handle(self, message: object) -> None:
        match message:
            case SendAttempt():
                self._send(message)
            case WithdrawAttempts(attempts=attempts):
                self._withdraw(attempts)
            case AttemptDone(origin=origin, outcome=outcome):
                self._return(origin, outcome)
            case FromPeer():
                self._receive(message)
            case LinkUp(node=node):
                self._links.add(node)
            case LinkDown(node=node):
                self._links.discard(node)
                self._fail_waiting(node)
            case SendFailed(node=node, message=AttemptBatch() as batch):
                self._refuse_unsent(node, batch)
            case RemoveExpired():
                self._remove_expired()

    def _send(self, message: SendAttempt) -> None:
        attempt = message.attempt
        if message.node == self._node:
            self._wait(message)
            self._targets(RunAttempt(self._node, attempt, message.expires))
        elif message.node in self._links:
            self._wait(message)
            self._attempts[message.node].append(attempt)
        else:
            message.reply(
                AttemptFailed(
                    attempt.attempt,
                    ErrorKind.UNAVAILABLE,
                    f"no link to node {message.node}",
                    not_run=True,
                )
            )

    def _wait(self, message: SendAttempt) -> None:
        self._waiting[message.attempt.attempt] = Waiting(
            message.node,
            message.attempt.searcher,
            message.reply,
            message.expires,
        )

    def _withdraw(self, attempts: Sequence[str]) -> None:
        for attempt in attempts:
            waiting = self._waiting.pop(attempt, None)
            if waiting is not None:
                self._cancels[waiting.node].append(
                    Cancellation(attempt, waiting.searcher)
                )

    def _return(self, origin: str, outcome: AttemptOutcome) -> None:
        if origin == self._node:
            self._deliver(self._node, outcome)
        else:
            self._outcomes[origin].append(outcome)

    def _deliver(self, node: str, outcome: AttemptOutcome) -> None:
        """Hand an outcome to its waiter; late and foreign ones are dropped."""
        waiting = self._waiting.get(outcome.attempt)
        if waiting is not None and waiting.node == node:
            del self._waiting[outcome.attempt]
            waiting.reply(outcome)

    def _receive(self, message: FromPeer) -> None:
        match message.message:
            case Ping(sent_at=sent_at):
                self._observe(message, sent_at)
            case AttemptBatch() as batch:
                self._receive_attempts(message, batch)
            case OutcomeBatch() as batch:
                for outcome in (
                    *batch.results,
                    *batch.submissions,
                    *batch.refusals,
                ):
                    self._deliver(message.node, outcome)
            case CancelBatch(items=items):
                self._cancel_here(message.node, items)

    def _observe(self, message: FromPeer, sent_at: float) -> DelayReference:
        """Learn the clock of a process; each incarnation has its own."""
        sender = Identity(message.node, message.incarnation)
        known = self._references.get(sender)
        if known is None:
            self._forget_clocks(message.node)
        reference = observe(known, sent_at, message.received_at)
        self._references[sender] = reference
        return reference

    def _forget_clocks(self, node: str) -> None:
        for sender in [*self._references]:
            if sender.node == node:
                del self._references[sender]

    def _receive_attempts(self, message: FromPeer, batch: AttemptBatch):
        reference = self._observe(message, batch.sent_at)
        late = delay(reference, batch.sent_at, message.received_at)
        for attempt in (*batch.searches, *batch.submissions):
            left = attempt.budget_ms / 1000 - late
            if left <= 0:
                self._return(
                    message.node,
                    AttemptFailed(
                        attempt.attempt,
                        ErrorKind.DEADLINE_EXCEEDED,
                        "the attempt arrived after its deadline",
                        not_run=True,
                    ),
                )
                continue
            expires = message.received_at + left
            self._targets(RunAttempt(message.node, attempt, expires))

    def _fail_waiting(self, node: str) -> None:
        lost = [
            attempt
            for attempt, waiting in self._waiting.items()
            if waiting.node == node
        ]
        for attempt in lost:
            self._waiting.pop(attempt).reply(
                AttemptFailed(
                    attempt,
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"the link to node {node} failed",
                    not_run=False,
                )
            )

    def _refuse_unsent(self, node: str, batch: AttemptBatch) -> None:
        for attempt in (*batch.searches, *batch.submissions):
            self._deliver(
                node,
                AttemptFailed(
                    attempt.attempt,
                    ErrorKind.UNAVAILABLE,
                    f"the link to node {node} takes no messages",
                    not_run=True,
                ),
            )

    def _remove_expired(self) -> None:
        limit = self._clock() - EXPIRY_GRACE_S
        expired = [
            attempt
            for attempt, waiting in self._waiting.items()
            if waiting.expires < limit
        ]
        for attempt in expired:
            del self._waiting[attempt]

    def _flush(self) -> None:
        for node, attempts in self._attempts.items():
            for part in _parts(attempts):
                self._peers(ToPeer(node, self._attempt_batch(part)))
        for node, cancels in self._cancels.items():
            if node == self._node:
                self._cancel_here(node, cancels)
            else:
                self._peers(ToPeer(node, CancelBatch(tuple(cancels))))
        for node, outcomes in self._outcomes.items():
            for part in _parts(outcomes):
                self._peers(ToPeer(node, _outcome_batch(part)))
        self._attempts.clear()
        self._cancels.clear()
        self._outcomes.clear()

    def _cancel_here(self, origin: str, items: Sequence[Cancellation]):
        by_searcher = defaultdict(list)
        for item in items:
            by_searcher[item.searcher].append(item.attempt)
        for searcher, attempts in by_searcher.items():
            self._targets(CancelAttempts(origin, searcher, tuple(attempts)))

    def _attempt_batch(self, part: Sequence[Attempt]) -> AttemptBatch:
        return AttemptBatch(
            self._clock(),
            tuple(item for item in part if isinstance(item, SearchAttempt)),
            tuple(item for item in part if isinstance(item, SubmitAttempt)),
        )


def _outcome_batch(part: Sequence[AttemptOutcome]) -> OutcomeBatch:
    return OutcomeBatch(
        tuple(item for item in part if isinstance(item, SearchResult)),
        tuple(item for item in part if isinstance(item, SubmitResult)),
        tuple(item for item in part if isinstance(item, AttemptFailed)),
    )


def _parts(items: list) -> list[list]:
    return [items[i : i + MAX_BATCH] for i in range(0, len(items), MAX_BATCH)]

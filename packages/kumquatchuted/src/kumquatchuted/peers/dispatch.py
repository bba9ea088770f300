"""Sends attempts to the owners of searchers and returns their outcomes."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from collections import defaultdict
from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.mailbox import handle_message
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.peers.delay import DelayReference
from kumquatchuted.peers.delay import measure_delay
from kumquatchuted.peers.delay import update_reference
from kumquatchuted.peers.messages import AttemptBatch
from kumquatchuted.peers.messages import CancelBatch
from kumquatchuted.peers.messages import Cancellation
from kumquatchuted.peers.messages import FromPeer
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import OutcomeBatch
from kumquatchuted.peers.messages import PeerIdentity
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

MAX_BATCH_ITEMS = 256
"""Maximum number of items in a batch.

It keeps the batch far below ``codec.MAX_MESSAGE_BYTES``.
"""

EXPIRY_GRACE_S = 1.0
"""Time for which an outcome is still accepted after its attempt expired.

It is also the interval of the checks for expired attempts.
"""


@dataclass(frozen=True)
class PendingAttempt:
    """An attempt that has no outcome yet.

    :param node: owner to which it was sent
    :param reply: receives the outcome
    :param expires_at: monotonic time in seconds after which no task waits
        for the outcome
    """

    node: str
    searcher: str
    reply: Post
    expires_at: float


@dataclass(frozen=True)
class RemoveExpired:
    """Time to remove attempts that never got an outcome."""


class DispatchTask:
    """Owns the table of attempts that have no outcome yet.

    :param node: name of this node
    :param targets: posts to the targets task
    :param peers: posts to the peer task
    :param clock: returns monotonic time in seconds
    :param count_event: counts an event by its name and a label
    """

    def __init__(
        self,
        node: str,
        targets: Post,
        peers: Post,
        clock: Callable[[], float],
        count_event: Callable[[str, str], None] = lambda event, label: None,
    ) -> None:
        """Create the task; ``run`` starts it."""
        self.mailbox = Mailbox()
        self._node = node
        self._targets = targets
        self._peers = peers
        self._clock = clock
        self._count_event = count_event
        self._pending: dict[str, PendingAttempt] = {}
        self._clock_references: dict[PeerIdentity, DelayReference] = {}
        self._linked_nodes: set[str] = set()
        self._attempts: defaultdict[str, list[Attempt]] = defaultdict(list)
        self._cancellations: defaultdict[str, list[Cancellation]] = (
            defaultdict(list)
        )
        self._outcomes: defaultdict[str, list[AttemptOutcome]] = defaultdict(
            list
        )

    async def run(self) -> None:
        """Handle messages until cancelled.

        Queued messages are handled before anything is sent, so that attempts
        for the same owner share one message. An unexpected error ends the
        handling of its message only.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._post_expiry_checks())
            while True:
                message = await self.mailbox.get()
                handle_message(message, self._handle, self._count_event)
                for _ in range(MAX_BATCH_ITEMS):
                    try:
                        message = self.mailbox.get_nowait()
                    except asyncio.QueueEmpty:
                        break
                    handle_message(message, self._handle, self._count_event)
                self._flush()

    async def _post_expiry_checks(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_GRACE_S)
            self.mailbox.post(RemoveExpired())

    def _handle(self, message: object) -> None:
        match message:
            case SendAttempt():
                self._send_attempt(message)
            case WithdrawAttempts(attempts=attempts):
                self._withdraw(attempts)
            case AttemptDone(origin=origin, outcome=outcome):
                self._return_outcome(origin, outcome)
            case FromPeer():
                self._handle_peer_message(message)
            case LinkUp(node=node):
                self._linked_nodes.add(node)
            case LinkDown(node=node):
                self._linked_nodes.discard(node)
                self._fail_pending(node)
            case SendFailed(node=node, message=AttemptBatch() as batch):
                self._refuse_unsent(node, batch)
            case RemoveExpired():
                self._remove_expired()

    def _send_attempt(self, message: SendAttempt) -> None:
        attempt = message.attempt
        if message.node == self._node:
            self._add_pending(message)
            self._targets(RunAttempt(self._node, attempt, message.expires_at))
        elif message.node in self._linked_nodes:
            self._add_pending(message)
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

    def _add_pending(self, message: SendAttempt) -> None:
        self._pending[message.attempt.attempt] = PendingAttempt(
            message.node,
            message.attempt.searcher,
            message.reply,
            message.expires_at,
        )

    def _withdraw(self, attempts: Sequence[str]) -> None:
        for attempt in attempts:
            pending = self._pending.pop(attempt, None)
            if pending is not None:
                self._cancellations[pending.node].append(
                    Cancellation(attempt, pending.searcher)
                )

    def _return_outcome(self, origin: str, outcome: AttemptOutcome) -> None:
        if origin == self._node:
            self._deliver_outcome(self._node, outcome)
        else:
            self._outcomes[origin].append(outcome)

    def _deliver_outcome(self, node: str, outcome: AttemptOutcome) -> None:
        """Deliver an outcome to the task that sent the attempt.

        An outcome is dropped if its attempt is unknown or was sent to another
        node.
        """
        pending = self._pending.get(outcome.attempt)
        if pending is not None and pending.node == node:
            del self._pending[outcome.attempt]
            pending.reply(outcome)

    def _handle_peer_message(self, message: FromPeer) -> None:
        match message.message:
            case Ping(sent_at=sent_at):
                self._observe_clock(message, sent_at)
            case AttemptBatch() as batch:
                self._receive_attempts(message, batch)
            case OutcomeBatch() as batch:
                for outcome in (
                    *batch.results,
                    *batch.submissions,
                    *batch.refusals,
                ):
                    self._deliver_outcome(message.node, outcome)
            case CancelBatch(items=items):
                self._cancel_locally(message.node, items)

    def _observe_clock(
        self, message: FromPeer, sent_at: float
    ) -> DelayReference:
        """Update and return the clock reference of the sending process.

        A restarted process has another clock, so the references of earlier
        processes of the node are removed.
        """
        sender = PeerIdentity(message.node, message.incarnation)
        known = self._clock_references.get(sender)
        if known is None:
            self._forget_clocks(message.node)
        reference = update_reference(known, sent_at, message.received_at)
        self._clock_references[sender] = reference
        return reference

    def _forget_clocks(self, node: str) -> None:
        for sender in [*self._clock_references]:
            if sender.node == node:
                del self._clock_references[sender]

    def _receive_attempts(self, message: FromPeer, batch: AttemptBatch):
        """Run the attempts of a batch that still have time left.

        The delay between the nodes is taken off their budgets.
        """
        reference = self._observe_clock(message, batch.sent_at)
        delay_s = measure_delay(reference, batch.sent_at, message.received_at)
        for attempt in (*batch.searches, *batch.submissions):
            remaining_s = attempt.budget_ms / 1000 - delay_s
            if remaining_s <= 0:
                self._return_outcome(
                    message.node,
                    AttemptFailed(
                        attempt.attempt,
                        ErrorKind.DEADLINE_EXCEEDED,
                        "the attempt arrived after its deadline",
                        not_run=True,
                    ),
                )
                continue
            expires_at = message.received_at + remaining_s
            self._targets(RunAttempt(message.node, attempt, expires_at))

    def _fail_pending(self, node: str) -> None:
        """Report an unknown outcome: the owner may have run the attempts."""
        failed = [
            attempt
            for attempt, pending in self._pending.items()
            if pending.node == node
        ]
        for attempt in failed:
            self._pending.pop(attempt).reply(
                AttemptFailed(
                    attempt,
                    ErrorKind.OUTCOME_UNKNOWN,
                    f"the link to node {node} failed",
                    not_run=False,
                )
            )

    def _refuse_unsent(self, node: str, batch: AttemptBatch) -> None:
        """Report that the attempts did not run: the batch was not sent."""
        for attempt in (*batch.searches, *batch.submissions):
            self._deliver_outcome(
                node,
                AttemptFailed(
                    attempt.attempt,
                    ErrorKind.UNAVAILABLE,
                    f"the link to node {node} accepts no messages",
                    not_run=True,
                ),
            )

    def _remove_expired(self) -> None:
        expired_before = self._clock() - EXPIRY_GRACE_S
        expired = [
            attempt
            for attempt, pending in self._pending.items()
            if pending.expires_at < expired_before
        ]
        for attempt in expired:
            del self._pending[attempt]

    def _flush(self) -> None:
        """Send attempts, cancellations and outcomes queued for each node."""
        for node, attempts in self._attempts.items():
            for items in _split_batches(attempts):
                self._peers(ToPeer(node, self._attempt_batch(items)))
        for node, cancellations in self._cancellations.items():
            if node == self._node:
                self._cancel_locally(node, cancellations)
            else:
                self._peers(ToPeer(node, CancelBatch(tuple(cancellations))))
        for node, outcomes in self._outcomes.items():
            for items in _split_batches(outcomes):
                self._peers(ToPeer(node, _outcome_batch(items)))
        self._attempts.clear()
        self._cancellations.clear()
        self._outcomes.clear()

    def _cancel_locally(self, origin: str, items: Sequence[Cancellation]):
        by_searcher = defaultdict(list)
        for item in items:
            by_searcher[item.searcher].append(item.attempt)
        for searcher, attempts in by_searcher.items():
            self._targets(CancelAttempts(origin, searcher, tuple(attempts)))

    def _attempt_batch(self, items: Sequence[Attempt]) -> AttemptBatch:
        return AttemptBatch(
            self._clock(),
            tuple(item for item in items if isinstance(item, SearchAttempt)),
            tuple(item for item in items if isinstance(item, SubmitAttempt)),
        )


def _outcome_batch(items: Sequence[AttemptOutcome]) -> OutcomeBatch:
    return OutcomeBatch(
        tuple(item for item in items if isinstance(item, SearchResult)),
        tuple(item for item in items if isinstance(item, SubmitResult)),
        tuple(item for item in items if isinstance(item, AttemptFailed)),
    )


def _split_batches(items: list) -> list[list]:
    return [
        items[i : i + MAX_BATCH_ITEMS]
        for i in range(0, len(items), MAX_BATCH_ITEMS)
    ]

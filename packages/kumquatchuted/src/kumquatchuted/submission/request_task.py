"""The task that drives one non-idempotent request."""

import asyncio
from collections.abc import Callable
from typing import Any

import logbook

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.submission.child_messages import RequestEnded
from kumquatchuted.submission.child_messages import RequestSettled
from kumquatchuted.submission.child_messages import SendRequested
from kumquatchuted.submission import codec
from kumquatchuted.submission import decide
from kumquatchuted.submission.keys import record_name
from kumquatchuted.submission.messages import SubmissionCall
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.request_events import Action
from kumquatchuted.submission.request_events import CreateRecord
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import OutcomeReceived
from kumquatchuted.submission.request_events import ReadFailed
from kumquatchuted.submission.request_events import ReadRecord
from kumquatchuted.submission.request_events import RecordFound
from kumquatchuted.submission.request_events import RecordMissing
from kumquatchuted.submission.request_events import RecordWritten
from kumquatchuted.submission.request_events import ReplyToCaller
from kumquatchuted.submission.request_events import SendOnce
from kumquatchuted.submission.request_events import StartTimer
from kumquatchuted.submission.request_events import TimerFired
from kumquatchuted.submission.request_events import UpdateRecord
from kumquatchuted.submission.request_events import WriteConflicted
from kumquatchuted.submission.request_events import WriteFailed
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import has_replied
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import State
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SubmitResult

log = logbook.Logger("submission")


class RequestTask:
    """Claims a request, has its only attempt sent and records the outcome."""

    def __init__(
        self,
        pending_call: Ask[SubmissionCall],
        claim: Record,
        deadline: float,
        store: Store,
        parent: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param pending_call: call of the caller that waits for the result
        :param claim: record that names a new, unique attempt
        :param deadline: monotonic time in seconds
        :param parent: receives ``SendRequested``, ``RequestSettled`` and
            ``RequestEnded``
        :param clock: returns monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._pending_call = pending_call
        self._claim = claim
        self._deadline = deadline
        self._name = record_name(claim.caller, claim.key)
        self._store = store
        self._parent = parent
        self._clock = clock
        self._is_settled = False

    async def run(self) -> None:
        """Run until the record is final or given up."""
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, self._deadline - self._clock())
        timer = loop.call_later(
            remaining_s, self.mailbox.post, DeadlinePassed()
        )
        async with asyncio.TaskGroup() as group:
            self._group = group
            state, actions = decide.initial_step(self._claim, self._deadline)
            self._perform(actions)
            while not isinstance(state, Ended):
                event = _to_event(await self.mailbox.get())
                state, actions = decide.step(state, event, self._clock())
                self._perform(actions)
                self._report_settled(state)
        timer.cancel()
        self._parent(RequestEnded(self._claim.attempt))

    def _report_settled(self, state: State) -> None:
        is_running = isinstance(state, Running)
        if has_replied(state) and not is_running and not self._is_settled:
            self._is_settled = True
            self._parent(RequestSettled(self._claim.attempt))

    def _perform(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            match action:
                case CreateRecord(record=record):
                    self._group.create_task(self._create(record))
                case UpdateRecord(record=record, version=version):
                    self._group.create_task(self._update(record, version))
                case ReadRecord():
                    self._group.create_task(self._read())
                case SendOnce(expires_at=expires_at):
                    self._send(expires_at)
                case ReplyToCaller(result=result):
                    answer(self._pending_call, result)
                case StartTimer(delay_s=delay_s):
                    asyncio.get_running_loop().call_later(
                        delay_s, self.mailbox.post, TimerFired()
                    )

    def _send(self, expires_at: float) -> None:
        log.info(
            "request claimed attempt={} record={}",
            self._claim.attempt,
            self._name,
        )
        call = self._pending_call.request
        self._parent(
            SendRequested(
                call.service,
                self._claim.attempt,
                call.payload,
                expires_at,
                self.mailbox.post,
            )
        )

    async def _create(self, record: Record) -> None:
        result = await self._store.create(
            ObjectKind.SUBMISSIONS, self._name, codec.encode(record)
        )
        self.mailbox.post(_to_write_event(result))

    async def _update(self, record: Record, version: str) -> None:
        result = await self._store.update(
            ObjectKind.SUBMISSIONS, self._name, codec.encode(record), version
        )
        self.mailbox.post(_to_write_event(result))

    async def _read(self) -> None:
        result = await self._store.get(ObjectKind.SUBMISSIONS, self._name)
        self.mailbox.post(_to_read_event(result))


def _to_event(message: Any) -> Event:
    match message:
        case SubmitResult() | AttemptFailed():
            return OutcomeReceived(message)
        case _:
            return message


def _to_write_event(result: StoredObject | Conflict | Failure) -> Event:
    match result:
        case StoredObject(version=version):
            return RecordWritten(version)
        case Conflict() | Failure(kind=ErrorKind.NOT_FOUND):
            return WriteConflicted()
        case Failure(not_run=not_run):
            return WriteFailed(uncertain=not not_run)


def _to_read_event(result: StoredObject | Failure) -> Event:
    match result:
        case StoredObject(name=name, version=version, body=body):
            record = codec.decode(body)
            if record is None:
                log.error("record malformed name={}", name)
                return ReadFailed()
            return RecordFound(record, version)
        case Failure(kind=ErrorKind.NOT_FOUND):
            return RecordMissing()
        case Failure():
            return ReadFailed()

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
from kumquatchuted.submission.child_messages import SendWanted
from kumquatchuted.submission import codec
from kumquatchuted.submission import decide
from kumquatchuted.submission.keys import record_name
from kumquatchuted.submission.messages import SubmissionCall
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.request_events import Action
from kumquatchuted.submission.request_events import Conflicted
from kumquatchuted.submission.request_events import Create
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import Found
from kumquatchuted.submission.request_events import Missing
from kumquatchuted.submission.request_events import OutcomeCame
from kumquatchuted.submission.request_events import Read
from kumquatchuted.submission.request_events import ReadFailed
from kumquatchuted.submission.request_events import SendOnce
from kumquatchuted.submission.request_events import Tell
from kumquatchuted.submission.request_events import Update
from kumquatchuted.submission.request_events import Wait
from kumquatchuted.submission.request_events import Waited
from kumquatchuted.submission.request_events import WriteFailed
from kumquatchuted.submission.request_events import Written
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import has_replied
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import State
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SubmitResult

LOG = logbook.Logger("submission")


class RequestTask:
    """Claims a request, has its one attempt sent, records the outcome."""

    def __init__(
        self,
        asked: Ask[SubmissionCall],
        claim: Record,
        deadline: float,
        store: Store,
        parent: Post,
        clock: Callable[[], float],
    ) -> None:
        """Create the task.

        :param claim: record with an attempt that nobody else uses
        :param deadline: monotonic time in seconds
        :param parent: receives ``SendWanted``, ``RequestSettled`` and
            ``RequestEnded``
        """
        self.mailbox = Mailbox()
        self._asked = asked
        self._claim = claim
        self._deadline = deadline
        self._name = record_name(claim.caller, claim.key)
        self._store = store
        self._parent = parent
        self._clock = clock
        self._is_settled = False

    async def run(self) -> None:
        """Work until the record is in order."""
        loop = asyncio.get_running_loop()
        left_s = max(0.0, self._deadline - self._clock())
        timer = loop.call_later(left_s, self.mailbox.post, DeadlinePassed())
        async with asyncio.TaskGroup() as group:
            self._group = group
            state, actions = decide.begin(self._claim, self._deadline)
            self._perform(actions)
            while not isinstance(state, Ended):
                event = _event(await self.mailbox.get())
                state, actions = decide.step(state, event, self._clock())
                self._perform(actions)
                self._settle(state)
        timer.cancel()
        self._parent(RequestEnded(self._claim.attempt))

    def _settle(self, state: State) -> None:
        running = isinstance(state, Running)
        if has_replied(state) and not running and not self._is_settled:
            self._is_settled = True
            self._parent(RequestSettled(self._claim.attempt))

    def _perform(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            match action:
                case Create(record=record):
                    self._group.create_task(self._create(record))
                case Update(record=record, version=version):
                    self._group.create_task(self._update(record, version))
                case Read():
                    self._group.create_task(self._read())
                case SendOnce(expires=expires):
                    self._send(expires)
                case Tell(result=result):
                    answer(self._asked, result)
                case Wait(delay_s=delay_s):
                    asyncio.get_running_loop().call_later(
                        delay_s, self.mailbox.post, Waited()
                    )

    def _send(self, expires: float) -> None:
        LOG.info(
            "submission: attempt {} claimed {}",
            self._claim.attempt,
            self._name,
        )
        call = self._asked.request
        self._parent(
            SendWanted(
                call.service,
                self._claim.attempt,
                call.payload,
                expires,
                self.mailbox.post,
            )
        )

    async def _create(self, record: Record) -> None:
        result = await self._store.create(
            ObjectKind.SUBMISSIONS, self._name, codec.encode(record)
        )
        self.mailbox.post(_written(result))

    async def _update(self, record: Record, version: str) -> None:
        result = await self._store.update(
            ObjectKind.SUBMISSIONS, self._name, codec.encode(record), version
        )
        self.mailbox.post(_written(result))

    async def _read(self) -> None:
        result = await self._store.get(ObjectKind.SUBMISSIONS, self._name)
        self.mailbox.post(_read(result))


def _event(message: Any) -> Event:
    match message:
        case SubmitResult() | AttemptFailed():
            return OutcomeCame(message)
        case _:
            return message


def _written(result: StoredObject | Conflict | Failure) -> Event:
    match result:
        case StoredObject(version=version):
            return Written(version)
        case Conflict() | Failure(kind=ErrorKind.NOT_FOUND):
            return Conflicted()
        case Failure(not_run=not_run):
            return WriteFailed(uncertain=not not_run)


def _read(result: StoredObject | Failure) -> Event:
    match result:
        case StoredObject(name=name, version=version, body=body):
            record = codec.decode(body)
            if record is None:
                LOG.error("submission: record {} is not readable", name)
                return ReadFailed()
            return Found(record, version)
        case Failure(kind=ErrorKind.NOT_FOUND):
            return Missing()
        case Failure():
            return ReadFailed()

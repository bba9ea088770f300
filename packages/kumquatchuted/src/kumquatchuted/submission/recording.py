"""Decisions while the result of an attempt is written to its record."""

from dataclasses import replace

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.cleanup import CLEANUP_INTERVAL_S
from kumquatchuted.submission.cleanup import CLEANUP_TIMEOUT_S
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.record import RecordState
from kumquatchuted.submission.request_events import Action
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import ReadFailed
from kumquatchuted.submission.request_events import ReadRecord
from kumquatchuted.submission.request_events import RecordFound
from kumquatchuted.submission.request_events import RecordMissing
from kumquatchuted.submission.request_events import RecordWritten
from kumquatchuted.submission.request_events import ReplyToCaller
from kumquatchuted.submission.request_events import StartTimer
from kumquatchuted.submission.request_events import TimerFired
from kumquatchuted.submission.request_events import UpdateRecord
from kumquatchuted.submission.request_events import WriteConflicted
from kumquatchuted.submission.request_events import WriteFailed
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import Recording
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import Step


def record_abandoned(state: Running, failure: Failure, now: float) -> Step:
    """Record that the attempt did not run, so that a repeat can run.

    :param now: monotonic time in seconds
    """
    record = replace(state.claim, state=RecordState.ABANDONED)
    return record_result(state, record, failure, now)


def record_result(
    state: Running,
    record: Record,
    result: SubmissionOutcome | Failure,
    now: float,
) -> Step:
    """Write the result of the attempt to its record.

    :param record: record to write
    :param result: result for the caller
    :param now: monotonic time in seconds
    """
    recording = Recording(
        record, result, now + CLEANUP_TIMEOUT_S, state.replied
    )
    return recording, (UpdateRecord(record, state.version),)


def step_recording(state: Recording, event: Event, now: float) -> Step:
    """Return the next step while the result is being written.

    :param now: monotonic time in seconds
    """
    match event:
        case RecordWritten():
            return Ended(), _reply_once(state)
        case RecordFound(record=record, version=version) if (
            record.attempt == state.record.attempt
            and record.state is RecordState.CLAIMED
        ):
            return state, (UpdateRecord(state.record, version),)
        case RecordFound():
            return Ended(), _reply_once(state)
        case TimerFired() if now < state.cleanup_deadline:
            return state, (ReadRecord(),)
        case TimerFired():
            return Ended(), _reply_once(state)
        case (
            WriteConflicted() | RecordMissing() | WriteFailed() | ReadFailed()
        ):
            # The claim is in the store, so a read that misses it, or returns
            # a version that the store then refuses, was stale.
            waiting = replace(state, replied=True)
            return waiting, (
                *_reply_once(state),
                StartTimer(CLEANUP_INTERVAL_S),
            )
        case DeadlinePassed():
            return replace(state, replied=True), _reply_once(state)
    return state, ()


def _reply_once(state: Recording) -> tuple[Action, ...]:
    return () if state.replied else (ReplyToCaller(state.result),)

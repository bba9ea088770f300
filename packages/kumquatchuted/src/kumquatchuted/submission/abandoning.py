"""Decisions while a claim that will not be run may appear in the store."""

from dataclasses import replace

from kumquatchuted.submission.cleanup import CLEANUP_INTERVAL_S
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.record import RecordState
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import ReadFailed
from kumquatchuted.submission.request_events import ReadRecord
from kumquatchuted.submission.request_events import RecordFound
from kumquatchuted.submission.request_events import RecordMissing
from kumquatchuted.submission.request_events import RecordWritten
from kumquatchuted.submission.request_events import StartTimer
from kumquatchuted.submission.request_events import TimerFired
from kumquatchuted.submission.request_events import UpdateRecord
from kumquatchuted.submission.request_events import WriteConflicted
from kumquatchuted.submission.request_events import WriteFailed
from kumquatchuted.submission.request_states import Abandoning
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import Step


def step_abandoning(state: Abandoning, event: Event, now: float) -> Step:
    """Return the next step until the claim is abandoned or cannot appear.

    A claim that stayed in the store would keep a repeat from running.

    :param now: monotonic time in seconds
    """
    match event:
        case RecordWritten() if state.update_sent:
            return Ended(), ()
        case RecordWritten(version=version):
            return _mark_abandoned(state, version)
        case RecordFound(record=record, version=version):
            return _on_record_found(state, record, version)
        case WriteConflicted() if state.update_sent:
            # The preceding read returned a stale state.
            waiting = replace(state, update_sent=False)
            return waiting, (StartTimer(CLEANUP_INTERVAL_S),)
        case WriteConflicted():
            return state, (ReadRecord(),)
        case TimerFired() if now < state.cleanup_deadline:
            return state, (ReadRecord(),)
        case TimerFired():
            return Ended(), ()
        case RecordMissing() | WriteFailed() | ReadFailed():
            return state, (StartTimer(CLEANUP_INTERVAL_S),)
    return state, ()


def _on_record_found(state: Abandoning, record: Record, version: str) -> Step:
    is_own = record.attempt == state.claim.attempt
    match record.state:
        case RecordState.CLAIMED if is_own:
            return _mark_abandoned(state, version)
        case RecordState.ABANDONED if not is_own:
            # An update of this request may still take effect, because this
            # is the version that it replaces.
            return state, (StartTimer(CLEANUP_INTERVAL_S),)
        case _:
            return Ended(), ()


def _mark_abandoned(state: Abandoning, version: str) -> Step:
    record = replace(state.claim, state=RecordState.ABANDONED)
    return replace(state, update_sent=True), (UpdateRecord(record, version),)

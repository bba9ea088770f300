"""Decisions until the claim of a request is known to be in the store."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.submission.cleanup import CLEANUP_TIMEOUT_S
from kumquatchuted.submission.failures import key_reused
from kumquatchuted.submission.failures import not_recorded
from kumquatchuted.submission.failures import unknown_outcome
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.record import RecordState
from kumquatchuted.submission.recording import record_abandoned
from kumquatchuted.submission.request_events import CreateRecord
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
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
from kumquatchuted.submission.request_states import Abandoning
from kumquatchuted.submission.request_states import Claiming
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import Step

MAX_READ_BACK_DELAY_S = 1.0
# An attempt with less time left than this is not sent.
MIN_ATTEMPT_S = 0.02
# Time reserved for the outcome to reach the caller.
REPLY_MARGIN_S = 0.01


def step_claiming(state: Claiming, event: Event, now: float) -> Step:
    """Return the next step while the claim is not known to be recorded.

    :param now: monotonic time in seconds
    """
    match event:
        case RecordWritten(version=version):
            return _start_attempt(state, version, now)
        case RecordFound(record=record, version=version):
            return _on_record_found(state, record, version, now)
        case RecordMissing():
            # An earlier write may still take effect. Both writes name the same
            # attempt, so that either of them is the claim.
            return state, (CreateRecord(state.claim),)
        case WriteFailed(uncertain=uncertain):
            updated = replace(state, uncertain=state.uncertain or uncertain)
            if updated.uncertain:
                return _schedule_read(updated)
            return Ended(), (ReplyToCaller(not_recorded()),)
        case ReadFailed():
            return _schedule_read(state)
        case WriteConflicted() if state.had_conflict:
            # The preceding read returned a stale state. Without a delay,
            # reads and refused writes would alternate in a tight loop.
            return _schedule_read(state)
        case WriteConflicted():
            return replace(state, had_conflict=True), (ReadRecord(),)
        case TimerFired():
            return state, (ReadRecord(),)
        case DeadlinePassed():
            return _on_deadline_passed(state, now)
    return state, ()


def _on_record_found(
    state: Claiming, record: Record, version: str, now: float
) -> Step:
    match record:
        case Record(attempt=attempt, state=RecordState.CLAIMED) if (
            attempt == state.claim.attempt
        ):
            return _start_attempt(state, version, now)
        case Record(digest=digest) if digest != state.claim.digest:
            return Ended(), (ReplyToCaller(key_reused()),)
        case Record(state=RecordState.ABANDONED):
            reclaiming = replace(state, other_claim_seen=False)
            return reclaiming, (UpdateRecord(state.claim, version),)
        case Record(state=RecordState.CLAIMED):
            # Another attempt holds the record under a newer version, so no
            # earlier write of this request can take effect any longer.
            waiting = replace(state, other_claim_seen=True, uncertain=False)
            return _schedule_read(waiting)
        case Record(state=RecordState.DONE, outcome=outcome) if outcome:
            return Ended(), (ReplyToCaller(outcome),)
        case _:
            failure = unknown_outcome(
                "an earlier request with this key got no response"
            )
            return Ended(), (ReplyToCaller(failure),)


def _schedule_read(state: Claiming) -> Step:
    """Read the record after a delay that doubles up to a limit."""
    waiting = replace(
        state, read_delay_s=min(2 * state.read_delay_s, MAX_READ_BACK_DELAY_S)
    )
    return waiting, (StartTimer(state.read_delay_s),)


def _on_deadline_passed(state: Claiming, now: float) -> Step:
    """Reply with a failure, then abandon the claim if it still appears."""
    if state.other_claim_seen:
        failure = unknown_outcome(
            "an earlier request with this key is still running"
        )
    else:
        failure = not_recorded()
    abandoning = Abandoning(state.claim, now + CLEANUP_TIMEOUT_S)
    return abandoning, (ReplyToCaller(failure),)


def _start_attempt(state: Claiming, version: str, now: float) -> Step:
    running = Running(state.claim, state.deadline, version)
    if state.deadline - now < MIN_ATTEMPT_S:
        failure = Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            "no time was left after the request was recorded",
            not_run=True,
        )
        return record_abandoned(running, failure, now)
    return running, (SendOnce(state.deadline - REPLY_MARGIN_S),)

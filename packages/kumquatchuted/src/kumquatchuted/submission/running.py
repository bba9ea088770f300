"""Decisions while the only attempt of a request runs."""

from dataclasses import replace

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.failures import unknown_outcome
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.record import RecordState
from kumquatchuted.submission.recording import record_abandoned
from kumquatchuted.submission.recording import record_result
from kumquatchuted.submission.request_events import CannotSend
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import OutcomeReceived
from kumquatchuted.submission.request_events import ReplyToCaller
from kumquatchuted.submission.request_events import StartTimer
from kumquatchuted.submission.request_events import TimerFired
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import Step
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SubmitResult

# An outcome that arrives within this time after the deadline is recorded.
OUTCOME_GRACE_S = 5.0


def step_running(state: Running, event: Event, now: float) -> Step:
    """Return the next step while the attempt is in flight.

    :param now: monotonic time in seconds
    """
    match event:
        case CannotSend(failure=failure):
            return record_abandoned(state, failure, now)
        case OutcomeReceived(outcome=SubmitResult() as result):
            outcome = SubmissionOutcome(
                result.attempt, result.status, result.result
            )
            record = replace(
                state.claim, state=RecordState.DONE, outcome=outcome
            )
            return record_result(state, record, outcome, now)
        case OutcomeReceived(
            outcome=AttemptFailed(not_run=True) as attempt_failure
        ):
            failure = Failure(
                attempt_failure.kind, attempt_failure.reason, not_run=True
            )
            return record_abandoned(state, failure, now)
        case OutcomeReceived(outcome=AttemptFailed(reason=reason)):
            failure = unknown_outcome(reason)
            return record_result(
                state, _with_unknown_outcome(state.claim), failure, now
            )
        case DeadlinePassed() if not state.replied:
            failure = unknown_outcome("the searcher did not answer in time")
            waiting = replace(state, replied=True)
            return waiting, (
                ReplyToCaller(failure),
                StartTimer(OUTCOME_GRACE_S),
            )
        case TimerFired():
            failure = unknown_outcome("the searcher did not answer in time")
            return record_result(
                state, _with_unknown_outcome(state.claim), failure, now
            )
    return state, ()


def _with_unknown_outcome(claim: Record) -> Record:
    return replace(claim, state=RecordState.UNKNOWN)

"""Decisions while the one attempt of a request runs."""

from dataclasses import replace

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.failures import unknown_outcome
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.record import RecordState
from kumquatchuted.submission.recording import abandon
from kumquatchuted.submission.recording import record_end
from kumquatchuted.submission.request_events import CannotSend
from kumquatchuted.submission.request_events import DeadlinePassed
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_events import OutcomeCame
from kumquatchuted.submission.request_events import Tell
from kumquatchuted.submission.request_events import Wait
from kumquatchuted.submission.request_events import Waited
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import Step
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import SubmitResult

# An outcome can arrive after the caller's deadline; it is still recorded.
LATE_OUTCOME_S = 5.0


def step_running(state: Running, event: Event, now: float) -> Step:
    """Return what follows while the attempt is under way.

    :param now: monotonic time in seconds
    """
    match event:
        case CannotSend(failure=failure):
            return abandon(state, failure, now)
        case OutcomeCame(outcome=SubmitResult() as result):
            outcome = SubmissionOutcome(
                result.attempt, result.status, result.result
            )
            record = replace(
                state.claim, state=RecordState.DONE, outcome=outcome
            )
            return record_end(state, record, outcome, now)
        case OutcomeCame(outcome=AttemptFailed(not_run=True) as refused):
            failure = Failure(refused.kind, refused.reason, not_run=True)
            return abandon(state, failure, now)
        case OutcomeCame(outcome=AttemptFailed(reason=reason)):
            failure = unknown_outcome(reason)
            return record_end(state, _unknown(state.claim), failure, now)
        case DeadlinePassed() if not state.replied:
            failure = unknown_outcome("the searcher has not answered")
            late = replace(state, replied=True)
            return late, (Tell(failure), Wait(LATE_OUTCOME_S))
        case Waited():
            failure = unknown_outcome("the searcher has not answered")
            return record_end(state, _unknown(state.claim), failure, now)
    return state, ()


def _unknown(claim: Record) -> Record:
    return replace(claim, state=RecordState.UNKNOWN)

"""Decisions for one non-idempotent request.

Only the attempt that the record in the store names may run. A request task
whose write got no response reads the record back and recognises its own claim
by the attempt.
"""

from kumquatchuted.submission.abandoning import step_abandoning
from kumquatchuted.submission.claiming import step_claiming
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.recording import step_recording
from kumquatchuted.submission.request_events import CreateRecord
from kumquatchuted.submission.request_events import Event
from kumquatchuted.submission.request_states import Abandoning
from kumquatchuted.submission.request_states import Claiming
from kumquatchuted.submission.request_states import Ended
from kumquatchuted.submission.request_states import Recording
from kumquatchuted.submission.request_states import Running
from kumquatchuted.submission.request_states import State
from kumquatchuted.submission.request_states import Step
from kumquatchuted.submission.running import step_running


def initial_step(claim: Record, deadline: float) -> Step:
    """Return the first state and the action that claims the request.

    :param claim: record that names a new attempt
    :param deadline: monotonic time in seconds
    """
    return Claiming(claim, deadline), (CreateRecord(claim),)


def step(state: State, event: Event, now: float) -> Step:
    """Return the state and the actions that follow an event.

    :param now: monotonic time in seconds
    """
    match state:
        case Claiming():
            return step_claiming(state, event, now)
        case Running():
            return step_running(state, event, now)
        case Recording():
            return step_recording(state, event, now)
        case Abandoning():
            return step_abandoning(state, event, now)
        case Ended():
            return state, ()

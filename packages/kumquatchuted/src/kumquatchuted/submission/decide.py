"""Decisions for one non-idempotent request.

The claim in the store decides who may run the request. It names the attempt,
so that a write whose response was lost is recognised when read back.
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
    """Claim a request.

    :param claim: record with a new attempt
    :param deadline: monotonic time in seconds
    """
    return Claiming(claim, deadline), (CreateRecord(claim),)


def step(state: State, event: Event, now: float) -> Step:
    """Return the next state and what to do.

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

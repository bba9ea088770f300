"""States of one non-idempotent request."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.request_events import Action

INITIAL_READ_BACK_DELAY_S = 0.05


@dataclass(frozen=True)
class Claiming:
    """The claim is not known to be in the store.

    :param claim: record that names the attempt of this request
    :param deadline: monotonic time in seconds
    :param uncertain: an earlier write of this request may still take effect
    :param other_claim_seen: another attempt holds the claim
    :param had_conflict: the store has refused a write of this request
    :param read_delay_s: delay before the next read, in seconds
    """

    claim: Record
    deadline: float
    uncertain: bool = False
    other_claim_seen: bool = False
    had_conflict: bool = False
    read_delay_s: float = INITIAL_READ_BACK_DELAY_S


@dataclass(frozen=True)
class Running:
    """The only attempt of the request was sent.

    :param deadline: monotonic time in seconds
    :param version: version of the claim in the store
    :param replied: the caller has received an unknown outcome
    """

    claim: Record
    deadline: float
    version: str
    replied: bool = False


@dataclass(frozen=True)
class Recording:
    """The result of the attempt is being written to the record.

    :param record: record to write
    :param result: result for the caller
    :param cleanup_deadline: monotonic time in seconds at which writing is
        given up
    :param replied: the caller has a result
    """

    record: Record
    result: SubmissionOutcome | Failure
    cleanup_deadline: float
    replied: bool = False


@dataclass(frozen=True)
class Abandoning:
    """The claim will not be run, but may still appear in the store.

    :param cleanup_deadline: monotonic time in seconds after which the store
        is no longer checked for it
    :param update_sent: the record was found and is being marked as abandoned
    """

    claim: Record
    cleanup_deadline: float
    update_sent: bool = False


@dataclass(frozen=True)
class Ended:
    """The request and its record are finished."""


State = Claiming | Running | Recording | Abandoning | Ended
Step = tuple[State, tuple[Action, ...]]


def has_replied(state: State) -> bool:
    """Return True if the caller has a result."""
    match state:
        case Claiming():
            return False
        case Running(replied=replied) | Recording(replied=replied):
            return replied
        case Abandoning() | Ended():
            return True

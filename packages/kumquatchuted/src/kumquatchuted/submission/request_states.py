"""States of one non-idempotent request."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.record import Record
from kumquatchuted.submission.request_events import Action

INITIAL_READ_BACK_DELAY_S = 0.05


@dataclass(frozen=True)
class Claiming:
    """Our claim is not known to be in the store.

    :param claim: the record that makes the request ours
    :param deadline: monotonic time in seconds
    :param uncertain: an earlier write of ours may still take effect
    :param seen_other: another attempt holds the claim
    :param conflicted: the store refused a write of ours before
    :param wait_s: time before the next read
    """

    claim: Record
    deadline: float
    uncertain: bool = False
    other_claim_seen: bool = False
    had_conflict: bool = False
    read_delay_s: float = INITIAL_READ_BACK_DELAY_S


@dataclass(frozen=True)
class Running:
    """The one attempt was sent.

    :param version: of the claim in the store
    :param replied: the caller was told that the outcome is unknown
    """

    claim: Record
    deadline: float
    version: str
    replied: bool = False


@dataclass(frozen=True)
class Recording:
    """The end of the attempt is being written.

    :param record: what the store is to hold
    :param result: what the caller receives
    :param until: monotonic time in seconds at which writing is given up
    """

    record: Record
    result: SubmissionOutcome | Failure
    cleanup_deadline: float
    replied: bool = False


@dataclass(frozen=True)
class Abandoning:
    """The claim may appear in the store, but is never run.

    :param until: monotonic time in seconds after which nobody looks for it
    :param abandoning: the record was found and is being marked
    """

    claim: Record
    cleanup_deadline: float
    update_sent: bool = False


@dataclass(frozen=True)
class Ended:
    """Nothing is left to do."""


State = Claiming | Running | Recording | Abandoning | Ended
Step = tuple[State, tuple[Action, ...]]


def has_replied(state: State) -> bool:
    """Return True once the caller has a result."""
    match state:
        case Claiming():
            return False
        case Running(replied=replied) | Recording(replied=replied):
            return replied
        case Abandoning() | Ended():
            return True

"""Events and actions of one non-idempotent request."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.record import Record
from kumquatchuted.targets.messages import AttemptOutcome


@dataclass(frozen=True)
class RecordWritten:
    """A write of this request took effect."""

    version: str


@dataclass(frozen=True)
class WriteConflicted:
    """The store refused a write because it holds another version."""


@dataclass(frozen=True)
class WriteFailed:
    """A write failed.

    :param uncertain: the write may still take effect
    """

    uncertain: bool


@dataclass(frozen=True)
class RecordFound:
    """The record was read."""

    record: Record
    version: str


@dataclass(frozen=True)
class RecordMissing:
    """The store has no record of the request."""


@dataclass(frozen=True)
class ReadFailed:
    """A read got no response or returned a malformed record."""


@dataclass(frozen=True)
class CannotSend:
    """No searcher can receive the attempt, so nothing was sent."""

    failure: Failure


@dataclass(frozen=True)
class OutcomeReceived:
    """The outcome of the attempt arrived."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class TimerFired:
    """The delay of a ``StartTimer`` has passed."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The deadline of the caller has passed."""


Event = (
    RecordWritten
    | WriteConflicted
    | WriteFailed
    | RecordFound
    | RecordMissing
    | ReadFailed
    | CannotSend
    | OutcomeReceived
    | TimerFired
    | DeadlinePassed
)


@dataclass(frozen=True)
class CreateRecord:
    """Create the record."""

    record: Record


@dataclass(frozen=True)
class UpdateRecord:
    """Replace the record if it still has this version."""

    record: Record
    version: str


@dataclass(frozen=True)
class ReadRecord:
    """Read the record."""


@dataclass(frozen=True)
class SendOnce:
    """Send the attempt to one searcher.

    :param expires_at: monotonic time in seconds at which the attempt expires
    """

    expires_at: float


@dataclass(frozen=True)
class ReplyToCaller:
    """Return the result to the caller."""

    result: SubmissionOutcome | Failure


@dataclass(frozen=True)
class StartTimer:
    """Send ``TimerFired`` after a delay."""

    delay_s: float


Action = (
    CreateRecord
    | UpdateRecord
    | ReadRecord
    | SendOnce
    | ReplyToCaller
    | StartTimer
)

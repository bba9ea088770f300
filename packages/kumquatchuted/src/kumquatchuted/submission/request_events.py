"""Events and actions of one non-idempotent request."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchuted.submission.record import Record
from kumquatchuted.targets.messages import AttemptOutcome


@dataclass(frozen=True)
class RecordWritten:
    """A write of ours took effect."""

    version: str


@dataclass(frozen=True)
class WriteConflicted:
    """The store refused a write: it holds another version."""


@dataclass(frozen=True)
class WriteFailed:
    """A write failed.

    :param uncertain: it may still take effect
    """

    uncertain: bool


@dataclass(frozen=True)
class RecordFound:
    """The record was read."""

    record: Record
    version: str


@dataclass(frozen=True)
class RecordMissing:
    """There is no record."""


@dataclass(frozen=True)
class ReadFailed:
    """The store did not answer a read."""


@dataclass(frozen=True)
class CannotSend:
    """No searcher may receive the attempt, and nothing was sent."""

    failure: Failure


@dataclass(frozen=True)
class OutcomeReceived:
    """The outcome of the attempt arrived."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class TimerFired:
    """The time of a ``Wait`` is over."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller waits no longer."""


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

    :param expires: monotonic time in seconds
    """

    expires: float


@dataclass(frozen=True)
class ReplyToCaller:
    """Give the caller the result."""

    result: SubmissionOutcome | Failure


@dataclass(frozen=True)
class StartTimer:
    """Send ``Waited`` after a time."""

    delay_s: float


Action = (
    CreateRecord
    | UpdateRecord
    | ReadRecord
    | SendOnce
    | ReplyToCaller
    | StartTimer
)

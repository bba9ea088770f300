"""What a failed call to the platform means for the caller."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.platform.store import Conflict

MAX_REASON_CHARS = 200
# The platform refuses these before it applies a write.
REFUSALS = {
    400: ErrorKind.MALFORMED,
    401: ErrorKind.UNAVAILABLE,
    403: ErrorKind.UNAVAILABLE,
    404: ErrorKind.NOT_FOUND,
    405: ErrorKind.MALFORMED,
    413: ErrorKind.TOO_LARGE,
    415: ErrorKind.MALFORMED,
    422: ErrorKind.MALFORMED,
    429: ErrorKind.UNAVAILABLE,
}


@dataclass(frozen=True)
class NotSent:
    """No connection was made, so that no byte of the request was sent."""

    reason: str


@dataclass(frozen=True)
class NoAnswer:
    """The request may have been received, and no usable answer came."""

    reason: str


@dataclass(frozen=True)
class Answered:
    """The platform answered with an error."""

    status: int


Fault = NotSent | NoAnswer | Answered


def read_failure(fault: Fault) -> Failure:
    """Return the failure of a read, which never has an effect."""
    match fault:
        case Answered(status=404):
            reason = "the platform holds no such object"
            return Failure(ErrorKind.NOT_FOUND, reason, not_run=True)
        case Answered(status=status):
            reason = f"the platform answered {status}"
        case NotSent(reason=reason) | NoAnswer(reason=reason):
            pass
    return Failure(ErrorKind.UNAVAILABLE, _short(reason), not_run=True)


def write_failure(name: str, fault: Fault) -> Conflict | Failure:
    """Return the result of a write that did not succeed.

    A status of 500 and above does not tell whether the write took effect:
    a gateway answers so when it lost the platform after passing a request on.

    :param name: name of the object
    """
    match fault:
        case NotSent(reason=reason):
            return Failure(ErrorKind.UNAVAILABLE, _short(reason), not_run=True)
        case NoAnswer(reason=reason):
            return Failure(ErrorKind.OUTCOME_UNKNOWN, _short(reason))
        case Answered(status=409):
            return Conflict(name)
        case Answered(status=status) if status in REFUSALS:
            reason = f"the platform refused {name} with {status}"
            return Failure(REFUSALS[status], _short(reason), not_run=True)
        case Answered(status=status):
            reason = f"the platform answered {status}"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, _short(reason))


def _short(reason: str) -> str:
    return reason[:MAX_REASON_CHARS]

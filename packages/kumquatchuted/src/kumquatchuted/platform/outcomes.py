"""What a failed call to the platform means for the caller."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.platform.store import Conflict

MAX_REASON_CHARS = 200
# The platform refuses these before it applies a write.
REJECTION_KINDS = {
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
class NoResponse:
    """The request may have been received, and no usable answer came."""

    reason: str


@dataclass(frozen=True)
class ErrorResponse:
    """The platform answered with an error."""

    status: int


FailedCall = NotSent | NoResponse | ErrorResponse


def interpret_failed_read(failed_call: FailedCall) -> Failure:
    """Return the failure of a read, which never has an effect."""
    match failed_call:
        case ErrorResponse(status=404):
            reason = "the platform holds no such object"
            return Failure(ErrorKind.NOT_FOUND, reason, not_run=True)
        case ErrorResponse(status=status):
            reason = f"the platform answered {status}"
        case NotSent(reason=reason) | NoResponse(reason=reason):
            pass
    return Failure(ErrorKind.UNAVAILABLE, _truncate(reason), not_run=True)


def interpret_failed_write(
    name: str, failed_call: FailedCall
) -> Conflict | Failure:
    """Return the result of a write that did not succeed.

    A status of 500 and above does not tell whether the write took effect:
    a gateway answers so when it lost the platform after passing a request on.

    :param name: name of the object
    """
    match failed_call:
        case NotSent(reason=reason):
            return Failure(
                ErrorKind.UNAVAILABLE, _truncate(reason), not_run=True
            )
        case NoResponse(reason=reason):
            return Failure(ErrorKind.OUTCOME_UNKNOWN, _truncate(reason))
        case ErrorResponse(status=409):
            return Conflict(name)
        case ErrorResponse(status=status) if status in REJECTION_KINDS:
            reason = f"the platform refused {name} with {status}"
            return Failure(
                REJECTION_KINDS[status], _truncate(reason), not_run=True
            )
        case ErrorResponse(status=status):
            reason = f"the platform answered {status}"
            return Failure(ErrorKind.OUTCOME_UNKNOWN, _truncate(reason))


def _truncate(reason: str) -> str:
    return reason[:MAX_REASON_CHARS]

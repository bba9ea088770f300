"""Maps failed calls to the platform to the results of reads and writes."""

from dataclasses import dataclass

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.platform.store import Conflict

MAX_REASON_CHARS = 200
# Statuses with which the platform rejects a write before applying it.
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
    """No connection was made, so no byte of the request was sent."""

    reason: str


@dataclass(frozen=True)
class NoResponse:
    """The request may have been received, but no usable response came."""

    reason: str


@dataclass(frozen=True)
class ErrorResponse:
    """The platform responded with an error status."""

    status: int


FailedCall = NotSent | NoResponse | ErrorResponse


def interpret_failed_read(failed_call: FailedCall) -> Failure:
    """Return the failure of a read.

    Its ``not_run`` is True, since a read has no effect.
    """
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

    A status of 500 or above does not show whether the write took effect: an
    HTTP gateway also returns one if it loses the connection to the platform
    after it has forwarded the request.

    :param name: name of the object
    :returns: ``Conflict`` if the name exists or the version did not match,
        otherwise a ``Failure``: of kind ``OUTCOME_UNKNOWN`` if the write may
        have taken effect, with ``not_run`` True if it has not
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

"""Error kinds, with the HTTP status and the exit status of each."""

from dataclasses import dataclass
from enum import Enum
from enum import IntEnum


class ErrorKind(Enum):
    """Every way in which a request can fail."""

    MALFORMED = "malformed"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_DC = "unknown_dc"
    UNKNOWN_HOST = "unknown_host"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NOT_CURRENT = "not_current"
    NOT_OWNER = "not_owner"
    TARGET_OUT = "target_out"
    TARGET_SHED = "target_shed"
    TARGET_FAILED = "target_failed"
    WRONG_VERSION = "wrong_version"
    UNAVAILABLE = "unavailable"
    TICKET_TAKEN = "ticket_taken"
    TICKET_GAP = "ticket_gap"
    TICKET_CONFLICT = "ticket_conflict"
    TOO_FEW_NODES = "too_few_nodes"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STOPPING = "stopping"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class ExitStatus(IntEnum):
    """Exit statuses of the command line."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


@dataclass(frozen=True)
class ErrorStatus:
    """HTTP status and exit status that report an error kind."""

    http_status: int
    exit_status: ExitStatus


ERROR_STATUSES = {
    ErrorKind.MALFORMED: ErrorStatus(400, ExitStatus.USAGE),
    ErrorKind.UNAUTHENTICATED: ErrorStatus(401, ExitStatus.REFUSED),
    ErrorKind.FORBIDDEN: ErrorStatus(403, ExitStatus.REFUSED),
    ErrorKind.NOT_FOUND: ErrorStatus(404, ExitStatus.REFUSED),
    ErrorKind.UNKNOWN_SERVICE: ErrorStatus(404, ExitStatus.USAGE),
    ErrorKind.UNKNOWN_DC: ErrorStatus(422, ExitStatus.USAGE),
    ErrorKind.UNKNOWN_HOST: ErrorStatus(422, ExitStatus.USAGE),
    ErrorKind.TOO_LARGE: ErrorStatus(413, ExitStatus.USAGE),
    ErrorKind.OVERLOADED: ErrorStatus(429, ExitStatus.UNAVAILABLE),
    ErrorKind.DEADLINE_EXCEEDED: ErrorStatus(504, ExitStatus.UNAVAILABLE),
    ErrorKind.NOT_CURRENT: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.NOT_OWNER: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.TARGET_OUT: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.TARGET_SHED: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.TARGET_FAILED: ErrorStatus(502, ExitStatus.UNAVAILABLE),
    ErrorKind.WRONG_VERSION: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.UNAVAILABLE: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.TICKET_TAKEN: ErrorStatus(409, ExitStatus.CONFLICT),
    ErrorKind.TICKET_GAP: ErrorStatus(409, ExitStatus.CONFLICT),
    ErrorKind.TICKET_CONFLICT: ErrorStatus(409, ExitStatus.CONFLICT),
    ErrorKind.TOO_FEW_NODES: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.OUTCOME_UNKNOWN: ErrorStatus(504, ExitStatus.UNKNOWN),
    ErrorKind.STOPPING: ErrorStatus(503, ExitStatus.UNAVAILABLE),
    ErrorKind.CANCELLED: ErrorStatus(499, ExitStatus.ERROR),
    ErrorKind.INTERNAL: ErrorStatus(500, ExitStatus.ERROR),
}


@dataclass(frozen=True)
class Failure:
    """A failure, returned in place of a result.

    :param reason: one sentence for people
    :param not_run: True only if the request certainly had no effect and
        will have none, for example because it was never sent, or because
        each searcher that received it refused to run it
    """

    kind: ErrorKind
    reason: str
    not_run: bool = False


@dataclass(frozen=True)
class TemporaryFailure(Failure):
    """A failure with a known end.

    :param retry_after_s: time after which a retry may succeed, in seconds
    """

    retry_after_s: float = 0.0

"""Messages of the submission slice."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SubmissionCall:
    """A non-idempotent request. Result: ``SubmissionOutcome`` or ``Failure``.

    :param caller: identity that belongs to the bearer token
    :param key: idempotency key, a UUIDv7
    :param deadline_ms: deadline in milliseconds after ``received_at``
    :param received_at: monotonic time in seconds
    """

    caller: str
    service: str
    key: str
    payload: str
    deadline_ms: int
    received_at: float


@dataclass(frozen=True)
class StopSubmissions:
    """Refuse new submissions.

    Result: None once every running request has been answered.
    """

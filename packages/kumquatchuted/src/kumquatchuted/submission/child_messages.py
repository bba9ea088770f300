"""Messages between the submission task and its child tasks."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class SendRequested:
    """A request task asks for its attempt to be sent to a searcher.

    :param expires_at: monotonic time in seconds at which the attempt expires
    :param reply: receives the outcome, or ``CannotSend``
    """

    service: str
    attempt: str
    payload: str
    expires_at: float
    reply: Post


@dataclass(frozen=True)
class RequestSettled:
    """A request task has answered its caller and runs no attempt."""

    attempt: str


@dataclass(frozen=True)
class RequestEnded:
    """A request task has ended: its record is final or was given up."""

    attempt: str

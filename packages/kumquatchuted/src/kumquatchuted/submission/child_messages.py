"""Messages between the submission task and its child tasks."""

from dataclasses import dataclass

from kumquatchuted.mailbox import Post


@dataclass(frozen=True)
class SendRequested:
    """From a request: send its attempt to a searcher.

    :param expires: monotonic time in seconds
    :param reply: receives the outcome, or ``CannotSend``
    """

    service: str
    attempt: str
    payload: str
    expires: float
    reply: Post


@dataclass(frozen=True)
class RequestSettled:
    """From a request: the caller has a result and nothing is running."""

    attempt: str


@dataclass(frozen=True)
class RequestEnded:
    """From a request: the record is in order, or was given up."""

    attempt: str

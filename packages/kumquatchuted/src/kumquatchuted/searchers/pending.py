"""Attempts without a result, and the timers that concern them."""

from dataclasses import dataclass

from kumquatchuted.searchers.connection import Connection
from kumquatchuted.searchers.messages import SendAttempt


@dataclass(frozen=True, slots=True)
class PendingAttempt:
    """An attempt without a result.

    :param message: the message that requested it
    :param searcher: name of the chosen searcher
    :param started_at: monotonic time in seconds
    :param connection: carries the request, or will once it is open
    :param is_sent: whether the request was written to the connection
    :param is_abandoned: whether its request has ended, so that no task uses
        the response
    """

    message: SendAttempt
    searcher: str
    started_at: float
    connection: Connection
    is_sent: bool
    is_abandoned: bool = False


@dataclass(frozen=True, slots=True)
class LingerExpired:
    """The linger time of an abandoned attempt is over."""

    key: object


@dataclass(frozen=True, slots=True)
class ReconnectDue:
    """An attempt without a connection is to get one."""

    key: object

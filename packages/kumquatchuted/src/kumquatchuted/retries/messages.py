"""Messages to the tasks of requests."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeadlineMoved:
    """The answer must leave at an earlier time than planned.

    :param deadline: monotonic time in seconds; a later one than planned has no
        effect
    """

    deadline: float


def earliest_deadline(deadline: float, messages: Iterable[object]) -> float:
    """Return the deadline after the messages that move it.

    :param deadline: monotonic time in seconds
    :param messages: messages to the task of a request, of any kind
    """
    for message in messages:
        if isinstance(message, DeadlineMoved):
            deadline = min(deadline, message.deadline)
    return deadline

"""Messages to the tasks of requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DeadlineMoved:
    """The answer must leave at an earlier time than planned.

    :param deadline: monotonic time in seconds; a later one than planned has no
        effect
    """

    deadline: float

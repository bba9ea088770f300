"""Messages of the drain slice."""

from dataclasses import dataclass
from enum import Enum

from kumquatchute_model.errors import Failure


class Step(Enum):
    """Steps of a graceful shutdown in order, performed by other tasks."""

    SEARCHES = "end running searches"
    SUBMISSIONS = "end running submissions"
    MEMBERSHIP = "leave the membership"
    TARGETS = "end attempts on targets"
    LEASE = "release the lease"


@dataclass(frozen=True)
class StopRequested:
    """A signal asked the process to stop."""


@dataclass(frozen=True)
class ReadyChanged:
    """Whether the load balancer should send requests to this node.

    :param reason: why the node is not ready, empty if ready
    :param stopping: True once the process was asked to stop
    """

    ready: bool
    reason: str = ""
    stopping: bool = False


@dataclass(frozen=True)
class StepDone:
    """A step of the shutdown ended.

    :param failure: why it had no effect, None if it succeeded
    """

    step: Step
    failure: Failure | None = None


@dataclass(frozen=True)
class TimerFired:
    """The time that ``next_wake`` returned has passed."""


@dataclass(frozen=True)
class RunStep:
    """Action: ask the responsible task to perform a step."""

    step: Step


@dataclass(frozen=True)
class Close:
    """Action: end the process.

    :param complete: True if every step succeeded
    :param reason: why the shutdown is incomplete, empty if complete
    """

    complete: bool
    reason: str = ""

"""Messages and state of the listeners."""

from dataclasses import dataclass

from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.table import RouteTable


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process was told to stop."""


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A caller's request was received."""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A caller's request was answered, or its caller has left."""


@dataclass(frozen=True, slots=True)
class FrontState:
    """What the listeners need to know.

    :param table: routes in force; None before the first manifest
    :param has_searchers: whether searchers have been listed
    :param is_stopping: whether the process was told to stop
    """

    table: RouteTable | None
    limits: CallerLimits
    has_searchers: bool
    is_stopping: bool

    def is_ready(self) -> bool:
        """Return whether new callers are welcome."""
        return (
            self.table is not None
            and self.has_searchers
            and not self.is_stopping
        )

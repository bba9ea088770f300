"""Messages and state of the listeners."""

from dataclasses import dataclass

from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.table import RouteTable


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process received a stop signal."""


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A caller's request was received."""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A caller's request was answered, or its caller disconnected."""


@dataclass(frozen=True, slots=True)
class FrontState:
    """State that the listeners read.

    :param table: routes in force; None before the first manifest
    :param limits: limits of callers' requests in force
    :param has_searchers: whether any searcher has been listed so far
    :param is_stopping: whether the process received a stop signal
    """

    table: RouteTable | None
    limits: CallerLimits
    has_searchers: bool
    is_stopping: bool

    def is_ready(self) -> bool:
        """Return whether the node accepts new callers."""
        return (
            self.table is not None
            and self.has_searchers
            and not self.is_stopping
        )

"""Messages and state of the listeners."""

from dataclasses import dataclass

from kumquatchuted.front.shutdown import ShutdownPlan
from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.table import RouteTable


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The process received a stop signal."""


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request of a caller or of another node was received."""


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The request was answered, or its sender disconnected."""


@dataclass(frozen=True, slots=True)
class FrontState:
    """State that the listeners read.

    :param table: routes in force; None before the first manifest
    :param limits: limits of callers' requests in force
    :param has_searchers: whether any searcher has been listed so far
    :param shutdown: plan of the graceful shutdown; None before a stop signal
    """

    table: RouteTable | None
    limits: CallerLimits
    has_searchers: bool
    shutdown: ShutdownPlan | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the process received a stop signal."""
        return self.shutdown is not None

    def is_ready(self) -> bool:
        """Return whether the node accepts new callers."""
        return (
            self.table is not None
            and self.has_searchers
            and not self.is_stopping
        )

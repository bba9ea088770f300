"""Interface between a target task and the client of its searcher."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kumquatchute_model.errors import Failure
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import AttemptOutcome


@dataclass(frozen=True)
class Completed:
    """The searcher ran the attempt and returned a complete response.

    :param cold: True if the searcher reports a cold start
    """

    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class Rejected:
    """The searcher returned an error or a response that cannot be used.

    :param cold: True if the searcher reports a cold start
    :param draining: True if the searcher reports that it is shutting down
    """

    incarnation: str = ""
    cold: bool = False
    draining: bool = False


@dataclass(frozen=True)
class NotConnected:
    """The connection was refused or failed; no byte was sent."""


@dataclass(frozen=True)
class Disconnected:
    """The connection failed after bytes were sent."""


@dataclass(frozen=True)
class Aborted:
    """The attempt was cancelled in flight: its outcome was not needed.

    It gives no information about the state of the searcher.
    """


@dataclass(frozen=True)
class TimedOut:
    """No complete response arrived in time, after bytes were sent."""


@dataclass(frozen=True)
class Unproven:
    """A response came that names no request or another one.

    The searcher may still run the attempt.
    """


@dataclass(frozen=True)
class NotSent:
    """The attempt ended before any byte was sent."""


ExchangeResult = (
    Completed
    | Rejected
    | NotConnected
    | Disconnected
    | TimedOut
    | Unproven
    | Aborted
    | NotSent
)


@dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    :param outcome: outcome for the node that sent the attempt
    :param exchange: how the exchange with the searcher ended
    """

    outcome: AttemptOutcome
    exchange: ExchangeResult


@dataclass(frozen=True)
class Report:
    """Health and load as reported by a searcher; may be stale or wrong."""

    healthy: bool
    cold: bool
    incarnation: str


@dataclass(frozen=True)
class Cancelled:
    """The attempt does not run and will not run.

    :param incarnation: incarnation of the process that confirmed it, empty if
        the process is gone
    """

    incarnation: str = ""


Admit = Callable[[bool], Awaitable[Failure | None]]
"""Returns a failure if an attempt may not be sent now.

The argument is True if the connection was opened for this attempt.
"""


class TargetClient(Protocol):
    """Connections to one searcher. No method raises or retries."""

    async def run(
        self, attempt: Attempt, timeout_s: float, admit: Admit
    ) -> AttemptResult:
        """Send an attempt and read the whole response.

        Cancelling the call closes its connection.

        :param timeout_s: time limit for the whole response in seconds
        :param admit: awaited directly before the first byte is sent; nothing
            is sent if it returns a failure
        """

    async def cancel(self, attempt: str, timeout_s: float) -> Cancelled | None:
        """Ask the searcher to stop an attempt.

        :param timeout_s: time limit for the response in seconds
        :returns: None if the attempt may still run
        """

    async def read_report(
        self, timeout_s: float
    ) -> Report | NotConnected | None:
        """Read health and load.

        :param timeout_s: time limit for each response in seconds
        :returns: None if there was no usable response
        """

    def has_verified_connection(self) -> bool:
        """Return True while a connection to a known process is open.

        Its process is known if the connection was opened before the request
        that was answered last.
        """

    def is_connected(self) -> bool:
        """Return True while a connection is open or being opened."""

    async def close(self) -> None:
        """Close all connections."""

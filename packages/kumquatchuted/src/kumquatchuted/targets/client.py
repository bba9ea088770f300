"""The interface through which a target task reaches its searcher."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from kumquatchute_model.errors import Failure
from kumquatchuted.targets.messages import Attempt
from kumquatchuted.targets.messages import AttemptOutcome


@dataclass(frozen=True)
class Completed:
    """The searcher ran the attempt and answered in full.

    :param cold: True if it says that it is in a cold start
    """

    incarnation: str = ""
    cold: bool = False


@dataclass(frozen=True)
class Rejected:
    """The searcher answered that it did not do what was asked.

    :param cold: True if it says that it is in a cold start
    :param draining: True if it says that it is shutting down
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
    """Nobody waited any more; says nothing about the searcher."""


@dataclass(frozen=True)
class TimedOut:
    """No complete answer in time, after bytes were sent."""


@dataclass(frozen=True)
class NotSent:
    """The attempt was given up before any byte was sent."""


ExchangeResult = (
    Completed
    | Rejected
    | NotConnected
    | Disconnected
    | TimedOut
    | Aborted
    | NotSent
)


@dataclass(frozen=True)
class AttemptResult:
    """Result of an attempt.

    :param outcome: what the waiting node receives
    :param exchange: what it says about the searcher
    """

    outcome: AttemptOutcome
    exchange: ExchangeResult


@dataclass(frozen=True)
class Report:
    """What a searcher says about itself; may be old or wrong."""

    healthy: bool
    cold: bool
    incarnation: str


@dataclass(frozen=True)
class Cancelled:
    """The attempt certainly neither runs nor will run.

    :param incarnation: of the process that said so, empty if it is gone
    """

    incarnation: str = ""


Admit = Callable[[bool], Awaitable[Failure | None]]
"""Whether an attempt may be sent now, given that its connection is new."""


class TargetClient(Protocol):
    """Connections to one searcher. No method raises or retries."""

    async def run(
        self, attempt: Attempt, timeout_s: float, admit: Admit
    ) -> AttemptResult:
        """Send an attempt and read the whole answer.

        Cancelling the call closes its connection.

        :param timeout_s: time for the whole answer in seconds
        :param admit: awaited directly before the first byte is sent, with
            True if the connection was opened for this attempt; nothing is
            sent if it returns a failure
        """

    async def cancel(self, attempt: str, timeout_s: float) -> Cancelled | None:
        """Ask the searcher to stop an attempt.

        :returns: None if the attempt may still run
        """

    async def read_report(
        self, timeout_s: float
    ) -> Report | NotConnected | None:
        """Read health and load.

        :returns: None if there was no usable answer
        """

    def has_verified_connection(self) -> bool:
        """Return True while a connection is open that an answer vouches for.

        It was open before the last answered request was sent.
        """

    def is_connected(self) -> bool:
        """Return True while a connection is open or being opened."""

    async def close(self) -> None:
        """Close all connections."""

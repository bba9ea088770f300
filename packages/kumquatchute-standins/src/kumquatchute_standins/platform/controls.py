"""Faults and controls of the platform that ``POST /control`` accepts."""

from dataclasses import dataclass
from enum import Enum

from kumquatchute_standins.platform.messages import Loss
from kumquatchute_standins.platform.messages import Verb


class DownMode(Enum):
    """How the platform behaves while it is down.

    ``REFUSE`` closes the listener and resets all connections, ``ERROR``
    answers 503, ``HANG`` accepts requests and never answers.
    """

    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"


@dataclass(frozen=True)
class SetDown:
    """Take the platform down, or bring it back with ``None``."""

    mode: DownMode | None = DownMode.ERROR


@dataclass(frozen=True)
class SetDelay:
    """Delay every answer.

    :param delay_ms: delay in milliseconds, 0 for no delay
    """

    delay_ms: float = 0.0


@dataclass(frozen=True)
class LoseAnswers:
    """Lose the answers to the next writes after they have taken effect.

    :param count: number of answers to lose
    """

    count: int = 1
    loss: Loss = Loss.RESET


@dataclass(frozen=True)
class ExecuteLate:
    """Leave the next writes unanswered and carry them out later.

    :param count: number of writes
    :param after_s: delay of each write in seconds
    """

    count: int = 1
    after_s: float = 1.0


@dataclass(frozen=True)
class SetEndpointLag:
    """Serve outdated entries of searchers.

    :param lag_s: age of the entries in seconds, 0 for the current ones
    """

    lag_s: float = 0.0


@dataclass(frozen=True)
class ServeOlder:
    """Hide the newest changes of each kind from reads and watches.

    :param changes: number of hidden changes, 0 for none
    :param kind: only this kind; empty for all kinds
    """

    changes: int = 0
    kind: str = ""


@dataclass(frozen=True)
class SetRate:
    """Answer 429 to calls above a rate; ``None`` removes the limit.

    :param reads_per_s: limit for get, list and opening a watch
    :param writes_per_s: limit for create, update and delete
    """

    reads_per_s: float | None = None
    writes_per_s: float | None = None


@dataclass(frozen=True)
class FreezeWatches:
    """Neither answer nor close the watches that are open now."""


@dataclass(frozen=True)
class SilenceWatches:
    """Freeze the open watches, and those that open until ``ClearFaults``.

    :param kind: only watches of this kind; empty for all kinds
    """

    kind: str = ""


@dataclass(frozen=True)
class DropHistory:
    """Drop all history, so that watches from older revisions get 410."""


@dataclass(frozen=True)
class ClearFaults:
    """End all faults. Watches that are frozen stay frozen."""


@dataclass(frozen=True)
class ReadCounts:
    """Read the counters of calls. Result: ``Counts``."""


@dataclass(frozen=True)
class ResetCounts:
    """Set the counters of calls to zero."""


Fault = (
    SetDown
    | SetDelay
    | LoseAnswers
    | ExecuteLate
    | SetEndpointLag
    | ServeOlder
    | SilenceWatches
    | SetRate
    | ClearFaults
)
Control = Fault | FreezeWatches | DropHistory | ReadCounts | ResetCounts


@dataclass(frozen=True)
class CallCount:
    """Number of calls of one verb on one kind."""

    verb: Verb
    kind: str
    count: int


@dataclass(frozen=True)
class Counts:
    """Calls that arrived while the platform accepted connections.

    A client that watches sends one request after another; each is a call.

    :param pending_watches: number of watches that are open now
    :param limited: number of calls that were answered with 429
    """

    calls: tuple[CallCount, ...] = ()
    pending_watches: int = 0
    limited: int = 0

    def total(self, verb: Verb | None = None, kind: str = "") -> int:
        """Return the number of calls.

        :param verb: only calls of this verb, None for all
        :param kind: only calls on this kind, empty for all
        """
        return sum(
            call.count
            for call in self.calls
            if verb in (None, call.verb) and kind in ("", call.kind)
        )

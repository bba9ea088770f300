"""Faults and controls of the platform, as ``POST /control`` accepts them."""

from dataclasses import dataclass
from enum import Enum

from kumquatchute_standins.platform.messages import Loss
from kumquatchute_standins.platform.messages import Verb


class DownMode(Enum):
    """How the platform fails while it is down.

    ``REFUSE`` closes the listener and resets all connections, ``ERROR``
    answers 503, ``HANG`` accepts requests and never answers.
    """

    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"


@dataclass(frozen=True)
class SetDown:
    """Take the platform down. ``None`` brings it back."""

    mode: DownMode | None = DownMode.ERROR


@dataclass(frozen=True)
class SetDelay:
    """Delay every answer.

    :param delay_ms: delay in milliseconds, 0 for none
    """

    delay_ms: float = 0.0


@dataclass(frozen=True)
class LoseAnswers:
    """Lose the answers of the next writes after they have taken effect."""

    count: int = 1
    loss: Loss = Loss.RESET


@dataclass(frozen=True)
class ExecuteLate:
    """Leave the next writes unanswered and carry them out later.

    :param after_s: time until then in seconds
    """

    count: int = 1
    after_s: float = 1.0


@dataclass(frozen=True)
class SetEndpointLag:
    """Serve the entries of searchers as they were some time ago.

    :param lag_s: age in seconds, 0 for none
    """

    lag_s: float = 0.0


@dataclass(frozen=True)
class ServeOlder:
    """Leave the newest changes of each kind out of reads and watches.

    :param changes: number of changes left out, 0 for none
    :param kind: only this kind; empty for all
    """

    changes: int = 0
    kind: str = ""


@dataclass(frozen=True)
class SetRate:
    """Answer 429 above a rate; ``None`` removes the limit.

    :param reads_per_s: limit for get, list and the start of a watch
    :param writes_per_s: limit for create, update and delete
    """

    reads_per_s: float | None = None
    writes_per_s: float | None = None


@dataclass(frozen=True)
class FreezeWatches:
    """Answer the watches that are open now no more, nor close them."""


@dataclass(frozen=True)
class SilenceWatches:
    """Freeze all watches, also those that begin before ``ClearFaults``."""


@dataclass(frozen=True)
class DropHistory:
    """Forget all changes, so that watches from older versions get 410."""


@dataclass(frozen=True)
class ClearFaults:
    """End all faults; frozen watches stay frozen."""


@dataclass(frozen=True)
class ReadCounts:
    """Result: ``Counts``."""


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
    """Calls of one verb on one kind."""

    verb: Verb
    kind: str
    count: int


@dataclass(frozen=True)
class Counts:
    """All calls that arrived while the platform accepted connections.

    A watch is counted at each of its calls.

    :param pending_watches: watches that are open now
    :param limited: calls that were answered with 429
    """

    calls: tuple[CallCount, ...] = ()
    pending_watches: int = 0
    limited: int = 0

    def total(self, verb: Verb | None = None, kind: str = "") -> int:
        """Return the calls of a verb on a kind, of any if empty."""
        return sum(
            call.count
            for call in self.calls
            if verb in (None, call.verb) and kind in ("", call.kind)
        )

"""Controls of searchers that ``POST /control`` accepts, faults among them."""

from dataclasses import dataclass

from kumquatchute_standins.searcher.config import ShardData


@dataclass(frozen=True)
class Restart:
    """Reset all connections and continue cold with a new incarnation."""


@dataclass(frozen=True)
class SetUp:
    """Close the listener and reset all connections, or listen again.

    A searcher that listens again is cold and has a new incarnation.
    """

    up: bool = False


@dataclass(frozen=True)
class SetIndex:
    """Load another version of the index.

    :param shards: new data; None keeps the data of the newest version
    :param keep_previous: whether earlier versions can still be searched
    """

    index_version: int
    map_version: int
    shards: tuple[ShardData, ...] | None = None
    keep_previous: bool = False


@dataclass(frozen=True)
class HangConnections:
    """Send no more responses on the connections that are open now."""


@dataclass(frozen=True)
class SetDraining:
    """Refuse new calls and finish accepted ones, or accept calls again."""

    draining: bool = True


@dataclass(frozen=True)
class SetSlow:
    """Multiply all service times by a factor."""

    factor: float = 1.0


@dataclass(frozen=True)
class SetPartial:
    """Report only a fraction of the documents of each shard as searched."""

    fraction: float = 1.0


@dataclass(frozen=True)
class LoseAnswers:
    """Run the next calls and reset their connections without answering."""

    count: int = 1


@dataclass(frozen=True)
class RepeatAnswers:
    """Send the answers of the next calls twice.

    :param count: number of calls
    :param delay_ms: time between the two copies in milliseconds
    """

    count: int = 1
    delay_ms: float = 20.0


@dataclass(frozen=True)
class SetReport:
    """Report fixed values in ``/health`` and ``/load``.

    None reports the true value.
    """

    healthy: bool | None = None
    cold: bool | None = None
    in_flight: int | None = None


@dataclass(frozen=True)
class ClearRecords:
    """Delete all records and reset all totals."""


StateFault = (
    Restart | SetIndex | SetDraining | SetSlow | SetPartial | SetReport
)
Control = (
    StateFault
    | SetUp
    | HangConnections
    | LoseAnswers
    | RepeatAnswers
    | ClearRecords
)


@dataclass(frozen=True)
class FleetControl:
    """A control for some searchers of a fleet.

    :param searchers: names of searchers; empty means all
    """

    control: Control
    searchers: tuple[str, ...] = ()

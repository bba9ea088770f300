"""Events and actions of the query state machine."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.targets.messages import AttemptOutcome
from kumquatchuted.targets.messages import SearchAttempt


@dataclass(frozen=True)
class QueryTiming:
    """How a query spends its time.

    :param deadline: monotonic time in seconds of the last possible answer
    :param soft_deadline: time at which a partial answer is given, or None
    :param hedge_delay: seconds after which a late shard is hedged, or None
    :param expected_s: time that an attempt usually takes, in seconds
    """

    started: float
    deadline: float
    soft_deadline: float | None
    hedge_delay: float | None
    expected_s: float = 0.0


@dataclass(frozen=True)
class Started:
    """The query begins."""


@dataclass(frozen=True)
class TimerFired:
    """A moment that was asked for by ``WakeAt`` has come."""


@dataclass(frozen=True)
class OutcomeArrived:
    """An attempt ended."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class ExtrasGranted:
    """The budget allows this many hedges or retries."""

    count: int


@dataclass(frozen=True)
class Replanned:
    """A newer snapshot to start again with, or None if there is none."""

    plan: Plan | None


@dataclass(frozen=True)
class CallerGone:
    """Nobody waits for the answer any more."""


Event = (
    Started
    | CallerGone
    | TimerFired
    | OutcomeArrived
    | ExtrasGranted
    | Replanned
    | RoutingChanged
)


@dataclass(frozen=True)
class Send:
    """Send an attempt to the node that owns its searcher."""

    node: str
    attempt: SearchAttempt
    extra: bool


@dataclass(frozen=True)
class Withdraw:
    """Cancel attempts that are no longer needed."""

    attempts: tuple[str, ...]


@dataclass(frozen=True)
class RequestExtras:
    """Ask the budget for hedges or retries."""

    count: int


@dataclass(frozen=True)
class RequestPlan:
    """Ask for a plan on a newer snapshot."""


@dataclass(frozen=True)
class WakeAt:
    """Send ``TimePassed`` at a monotonic time in seconds."""

    at: float


@dataclass(frozen=True)
class Finish:
    """The query ends with this result."""

    result: SearchAnswer | Failure
    stats: "QueryStats"


@dataclass(frozen=True)
class QueryStats:
    """What a query used, for budgets and metrics.

    Attempts that certainly reached no searcher are left out.

    :param first_attempts: at most one per shard
    :param failed: attempts that may have run and gave no result
    :param overloaded: shards that were shed or late
    """

    shards: int
    first_attempts: int
    extra_attempts: int
    answered: int
    failed: int
    overloaded: int


Action = Send | Withdraw | RequestExtras | RequestPlan | WakeAt | Finish

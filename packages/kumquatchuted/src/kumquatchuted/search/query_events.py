"""Events, actions and statistics of the query state machine."""

from dataclasses import dataclass

from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SearchAnswer
from kumquatchuted.search.plan import Plan
from kumquatchuted.search.routing import RoutingChanged
from kumquatchuted.targets.messages import AttemptOutcome
from kumquatchuted.targets.messages import SearchAttempt


@dataclass(frozen=True)
class QueryTiming:
    """Start, deadlines and delays of a query.

    :param started: monotonic time in seconds at which the call was received
    :param deadline: monotonic time in seconds at which the query ends
    :param soft_deadline: monotonic time in seconds from which a partial
        answer is sufficient, or None if never
    :param hedge_delay: seconds after which an unanswered shard is hedged, or
        None without hedging
    :param expected_s: usual duration of an attempt in seconds
    """

    started: float
    deadline: float
    soft_deadline: float | None
    hedge_delay: float | None
    expected_s: float = 0.0


@dataclass(frozen=True)
class Started:
    """The query starts."""


@dataclass(frozen=True)
class TimerFired:
    """A timer that ``WakeAt`` set has expired."""


@dataclass(frozen=True)
class OutcomeArrived:
    """An attempt ended with a result or a failure."""

    outcome: AttemptOutcome


@dataclass(frozen=True)
class ExtrasGranted:
    """The budget granted a number of hedges or retries.

    :param count: attempts granted, possibly fewer than requested
    """

    count: int


@dataclass(frozen=True)
class Replanned:
    """Reply to ``RequestPlan``.

    :param plan: plan on the newest snapshot, or None if there is none
    """

    plan: Plan | None


@dataclass(frozen=True)
class CallerGone:
    """The caller no longer waits for the answer."""


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
    """Send an attempt to the node that owns its searcher.

    :param extra: True for load beyond the first attempt on the shard
    """

    node: str
    attempt: SearchAttempt
    extra: bool


@dataclass(frozen=True)
class Withdraw:
    """Cancel attempts whose outcomes are no longer needed.

    :param attempts: their identifiers
    """

    attempts: tuple[str, ...]


@dataclass(frozen=True)
class RequestExtras:
    """Ask the budget for hedges or retries.

    :param count: attempts wanted
    """

    count: int


@dataclass(frozen=True)
class RequestPlan:
    """Ask for a plan on the newest snapshot."""


@dataclass(frozen=True)
class WakeAt:
    """Send ``TimerFired`` at a given time.

    :param at: monotonic time in seconds
    """

    at: float


@dataclass(frozen=True)
class Finish:
    """End the query with this result."""

    result: SearchAnswer | Failure
    stats: "QueryStats"


@dataclass(frozen=True)
class QueryStats:
    """Counts of a finished query, for budgets and metrics.

    Attempts that certainly did not run are excluded.

    :param shards: number of shards of the plan
    :param first_attempts: at most one per shard
    :param extra_attempts: all others: hedges, retries of attempts that may
        have run, and attempts after a restart
    :param answered: attempts that gave a result
    :param failed: attempts that may have run and gave no result
    :param overloaded: shards that are missing because of overload
    """

    shards: int
    first_attempts: int
    extra_attempts: int
    answered: int
    failed: int
    overloaded: int


Action = Send | Withdraw | RequestExtras | RequestPlan | WakeAt | Finish

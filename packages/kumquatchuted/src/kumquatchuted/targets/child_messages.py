"""Messages between the targets task and its child tasks."""

from dataclasses import dataclass

from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.client import AttemptResult
from kumquatchuted.targets.client import NotConnected
from kumquatchuted.targets.client import Report
from kumquatchuted.targets.limiter import AttemptKey
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import TargetStatus


@dataclass(frozen=True)
class EligibilityChanged:
    """To a child: the new conditions for sending to its searcher."""

    eligibility: Eligibility


@dataclass(frozen=True)
class Retire:
    """To a child: refuse new attempts, finish those in flight, close, end."""


@dataclass(frozen=True)
class TargetReleased:
    """From a child: nothing is in flight and its connections are closed."""

    searcher: str


@dataclass(frozen=True)
class StatusReported:
    """From a child, once a second: the status of its searcher."""

    status: TargetStatus


@dataclass(frozen=True)
class HealthReported:
    """From a child: the health report of its searcher."""

    searcher: str
    healthy: bool


@dataclass(frozen=True)
class StatusDue:
    """Timer of the targets task: the status is due."""


@dataclass(frozen=True)
class Tick:
    """Timer of a child: a queued attempt expires or a report is due."""


@dataclass(frozen=True)
class AttemptEnded:
    """An attempt of a child ended.

    :param generation: generation of the warm-up state when it was sent
    :param elapsed_s: time since it got its slot, in seconds; includes the
        wait for a connection
    :param may_still_run: the searcher may still be working on it;
        ``SlotFreed`` follows
    """

    run: RunAttempt
    result: AttemptResult
    generation: int
    elapsed_s: float
    may_still_run: bool = True


@dataclass(frozen=True)
class CancelAccepted:
    """The searcher accepted the cancellation of an attempt.

    :param incarnation: incarnation of the process that accepted it, empty if
        the process is gone
    """

    incarnation: str


@dataclass(frozen=True)
class SlotFreed:
    """The searcher no longer works on an attempt or a probe."""

    key: AttemptKey


@dataclass(frozen=True)
class ReportRead:
    """A probe, which reads the health and load of the searcher, ended.

    :param report: None if there was no usable response
    :param generation: generation of the warm-up state when it was sent
    """

    report: Report | NotConnected | None
    generation: int

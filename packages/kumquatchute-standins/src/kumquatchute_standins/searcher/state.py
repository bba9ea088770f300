"""State of a searcher, and the actions that its changes require."""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from types import MappingProxyType

from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.controls import SetReport
from kumquatchute_standins.searcher.index import Index
from kumquatchute_standins.searcher.messages import Call
from kumquatchute_standins.searcher.messages import CallRecord
from kumquatchute_standins.searcher.messages import Result


@dataclass(frozen=True)
class Job:
    """A call that waits or runs.

    :param key: unique within the process
    :param arrived: monotonic time in seconds
    :param service_s: service time on a warm searcher in seconds
    :param deadline: monotonic time in seconds
    :param was_cold: whether the searcher was cold when the call arrived
    :param index: index that the call searches
    :param is_over_limit: whether it runs over the limit of a cold searcher and
        will fail
    :param started: monotonic time in seconds, None while it waits
    :param peak: maximum number of running calls while it ran
    """

    key: int
    call: Call
    arrived: float
    service_s: float
    deadline: float
    was_cold: bool
    index: Index
    is_over_limit: bool = False
    started: float | None = None
    peak: int = 0


@dataclass(frozen=True)
class SearcherState:
    """State of a searcher.

    :param indexes: versions that it can search, oldest first
    :param served_since_cold: calls completed since its start or since the last
        overload while cold
    :param slow_factor: factor on all service times
    :param covered_fraction: fraction of its documents that a search covers
    :param report_overrides: values to report in place of the true ones
    :param running: jobs that run, by key
    :param waiting: jobs that wait for a slot, in order of arrival
    :param cancelled_attempts: attempts to refuse if they arrive later
    """

    cfg: SearcherConfig
    incarnation: str
    indexes: tuple[Index, ...]
    served_since_cold: int = 0
    draining: bool = False
    slow_factor: float = 1.0
    covered_fraction: float = 1.0
    report_overrides: SetReport = SetReport()
    running: Mapping[int, Job] = field(
        default_factory=lambda: MappingProxyType({})
    )
    waiting: tuple[Job, ...] = ()
    cancelled_attempts: tuple[str, ...] = ()

    @property
    def is_cold(self) -> bool:
        """Return whether too few calls have been completed to be warm."""
        return self.served_since_cold < self.cfg.warm_after

    @property
    def newest_index(self) -> Index:
        """Return the newest index, whose version is reported."""
        return self.indexes[-1]

    @property
    def busy_count(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self.running) + len(self.waiting)


@dataclass(frozen=True)
class StartTimer:
    """Call ``finish_job`` for a job after a delay.

    :param delay_s: delay in seconds
    """

    key: int
    delay_s: float


@dataclass(frozen=True)
class Respond:
    """Answer the call of a job and record it."""

    key: int
    result: Result
    record: CallRecord


Action = StartTimer | Respond


def initial_state(
    cfg: SearcherConfig, incarnation: str, index: Index
) -> SearcherState:
    """Return the state of a searcher that has just started."""
    served_since_cold = cfg.warm_after if cfg.starts_warm else 0
    return SearcherState(cfg, incarnation, (index,), served_since_cold)

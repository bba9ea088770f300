"""State of a searcher and what changes it has to carry out."""

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
    :param service_s: time it takes on a warm searcher in seconds
    :param deadline: monotonic time in seconds
    :param was_cold: whether the searcher was cold when it arrived
    :param is_over_limit: it runs over the limit of a cold searcher and fails
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
    """Everything that changes in a searcher.

    :param served_since_cold: calls served in full since it became cold
    :param indexes: versions that it can search, oldest first
    :param cancelled_attempts: attempts that are refused if they arrive late
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
        """Return whether it is in a cold start."""
        return self.served_since_cold < self.cfg.warm_after

    @property
    def newest_index(self) -> Index:
        """Return the index whose version it reports."""
        return self.indexes[-1]

    @property
    def busy_count(self) -> int:
        """Return the calls that run or wait."""
        return len(self.running) + len(self.waiting)


@dataclass(frozen=True)
class StartTimer:
    """Call ``finish`` for a job after a time.

    :param delay_s: time in seconds
    """

    key: int
    delay_s: float


@dataclass(frozen=True)
class Respond:
    """Answer a job and record it."""

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

"""Processes of searchers that have stated that they leave.

A process that leaves never returns; a new one under the same name has another
start time. What a process stated therefore holds whatever the store lists.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from kumquatchuted.notices.messages import ProcessId

# How long a process is remembered that the store no longer lists. An outage of
# the store can remove entries and bring them back.
KEEP_UNLISTED_S = 600.0


@dataclass(frozen=True, slots=True)
class LeavingProcesses:
    """Processes that leave, with the time at which they were last listed.

    :param listed_at: monotonic times in seconds
    """

    listed_at: Mapping[ProcessId, float] = field(default_factory=dict)

    def __contains__(self, process: ProcessId) -> bool:
        """Return whether a process has stated that it leaves."""
        return process in self.listed_at


def add_processes(
    leaving: LeavingProcesses, processes: Iterable[ProcessId], now: float
) -> LeavingProcesses:
    """Return the state with more processes that leave.

    :param now: monotonic time in seconds
    """
    return LeavingProcesses(
        {**leaving.listed_at, **dict.fromkeys(processes, now)}
    )


def set_listed(
    leaving: LeavingProcesses, listed: Collection[ProcessId], now: float
) -> LeavingProcesses:
    """Return the state after a listing, without processes long gone.

    :param listed: all processes that the store lists
    :param now: monotonic time in seconds
    """
    kept = {}
    for process, listed_at in leaving.listed_at.items():
        if process in listed:
            kept[process] = now
        elif now - listed_at < KEEP_UNLISTED_S:
            kept[process] = listed_at
    return LeavingProcesses(kept)

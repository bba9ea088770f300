"""Processes of searchers that leave, through listings and restarts."""

import pytest

from kumquatchuted.notices.leaving import add_processes
from kumquatchuted.notices.leaving import KEEP_UNLISTED_S
from kumquatchuted.notices.leaving import LeavingProcesses
from kumquatchuted.notices.leaving import set_listed
from kumquatchuted.notices.messages import ProcessId

OLD = ProcessId("i-1", 1)
NEW = ProcessId("i-1", 2)


@pytest.mark.report("withdrawn used after a restart")
def test_listing_does_not_undo_what_a_process_stated() -> None:
    """Guards against a leaving searcher that is used again.

    Its entry lapses while the store is down and comes back as ready.
    """
    leaving = add_processes(LeavingProcesses(), (OLD,), 1.0)
    leaving = set_listed(leaving, {OLD}, 2.0)
    leaving = set_listed(leaving, set(), 30.0)
    leaving = set_listed(leaving, {OLD}, 60.0)
    assert OLD in leaving


def test_restart_under_the_same_name_starts_clean() -> None:
    """Guards against a new process that is never used."""
    leaving = add_processes(LeavingProcesses(), (OLD,), 1.0)
    leaving = set_listed(leaving, {NEW}, 2.0)
    assert NEW not in leaving


def test_processes_long_gone_are_forgotten() -> None:
    """Guards against memory that grows with each replaced searcher."""
    leaving = add_processes(LeavingProcesses(), (OLD,), 1.0)
    leaving = set_listed(leaving, {NEW}, 1.0 + KEEP_UNLISTED_S)
    assert not leaving.listed_at

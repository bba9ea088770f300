"""Changes of the settings file while a node runs."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.reload import ReloadTask
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS


def test_changed_settings_are_posted_once() -> None:
    """Guards against nodes that keep the former address of the store.

    If the same settings were posted at each check, every task would replace
    its settings every two seconds.
    """
    moved = replace(EXAMPLE_SETTINGS, store="10.9.9.9:2")
    posted: list = []
    task = ReloadTask(EXAMPLE_SETTINGS, lambda: moved, (posted.append,))
    task.check_file()
    task.check_file()
    assert posted == [SettingsChanged(moved)]


def test_unreadable_file_leaves_the_settings_in_force() -> None:
    """Guards against a node that loses its settings to an unfinished file.

    The file can be read while it is being written; the next check finds it
    complete.
    """
    results: list = [Failure(ErrorKind.MALFORMED, "cut"), EXAMPLE_SETTINGS]
    posted: list = []
    task = ReloadTask(
        EXAMPLE_SETTINGS, lambda: results.pop(0), (posted.append,)
    )
    task.check_file()
    task.check_file()
    assert not posted

"""Changes of the settings file while a node runs."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.reload import ReloadTask
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS


def test_changed_settings_are_posted_once() -> None:
    """Guards against nodes that keep the former address of the store."""
    moved = replace(EXAMPLE_SETTINGS, store="10.9.9.9:2")
    posted: list = []
    task = ReloadTask(EXAMPLE_SETTINGS, lambda: moved, (posted.append,))
    task.check_file()
    task.check_file()
    assert posted == [SettingsChanged(moved)]


def test_unreadable_file_leaves_the_settings_in_force() -> None:
    """Guards against a file that is read while it is being written."""
    results: list = [Failure(ErrorKind.MALFORMED, "cut"), EXAMPLE_SETTINGS]
    posted: list = []
    task = ReloadTask(
        EXAMPLE_SETTINGS, lambda: results.pop(0), (posted.append,)
    )
    task.check_file()
    task.check_file()
    assert not posted

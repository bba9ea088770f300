"""Changes of the settings file while a node runs."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.reload import ReloadTask
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.gateway.tests.example import CFG


def test_changed_settings_are_posted_once() -> None:
    """Guards against a store that moves without the nodes."""
    moved = replace(CFG, store="10.9.9.9:2")
    posted: list = []
    task = ReloadTask(CFG, lambda: moved, (posted.append,))
    task.look()
    task.look()
    assert posted == [SettingsChanged(moved)]


def test_unreadable_file_leaves_the_settings_in_force() -> None:
    """Guards against a file that is read while it is written."""
    found: list = [Failure(ErrorKind.MALFORMED, "cut"), CFG]
    posted: list = []
    task = ReloadTask(CFG, lambda: found.pop(0), (posted.append,))
    task.look()
    task.look()
    assert not posted

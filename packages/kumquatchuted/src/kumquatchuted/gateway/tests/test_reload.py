"""Changes of the settings file while a node runs."""

from dataclasses import replace

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.reload import ReloadTask
from kumquatchuted.gateway.settings import GatewayLimits
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.gateway.settings import SettingsChanged

CFG = GatewaySettings(
    node="n1",
    data_centre="a",
    callers="10.0.0.1:1",
    readiness="10.0.0.1:2",
    metrics=None,
    peers="10.0.0.1:3",
    seeds=(),
    store="10.9.9.9:1",
    limits=GatewayLimits(3.0, 3.0, 6.0, 0.2, 58, 10, 1.5, 5),
)


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

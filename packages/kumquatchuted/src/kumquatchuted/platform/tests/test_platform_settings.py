"""Tests of the settings file that the platform writes."""

from pathlib import Path

from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.platform.settings import read_settings

TEXT = """\
node = "front-a-1"
zone = "a"
ip = "10.1.0.9"
internalPorts = [7380, 7395]
seeds = ["10.2.0.21:8106"]
unknown = "ignored"
[listenAddrs]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
control = "10.1.0.9:8106"
[bounds]
drainMs = 3000
graceS = 6
configApplyMs = 5000
retryBudgetRatio = 0.2
retrySlack = 220
[platform]
address = "10.200.1.7:8102"
"""


def test_fields_are_decoded_with_their_units(tmp_path: Path) -> None:
    """Guards against milliseconds that are taken for seconds.

    A node would have 3,000 s in place of 3 s to drain.
    """
    path = tmp_path / "settings.toml"
    path.write_text(TEXT)
    cfg = read_settings(str(path))
    assert isinstance(cfg, GatewaySettings)
    assert cfg.limits.apply_s == 5.0
    assert cfg.limits.drain_s == 3.0
    assert cfg.limits.grace_s == 6
    assert cfg.limits.retry_slack == 220
    assert cfg.metrics == "10.1.0.9:7380"
    assert (cfg.node, cfg.data_centre) == ("front-a-1", "a")


def test_invalid_settings_file_is_reported(tmp_path: Path) -> None:
    """Guards against a node that starts without valid settings.

    The file is missing, is not TOML or has a field of the wrong type.
    """
    path = tmp_path / "settings.toml"
    assert isinstance(read_settings(str(path)), Failure)
    path.write_text("node = ")
    assert isinstance(read_settings(str(path)), Failure)
    path.write_text(TEXT.replace("graceS = 6", 'graceS = "long"'))
    assert isinstance(read_settings(str(path)), Failure)

"""Tests the metric of the attempts in flight at cold targets."""

from kumquatchuted.metrics import Metrics
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.messages import TargetStatus
from kumquatchuted.targets.target_metrics import record_targets


def test_only_cold_targets_count_in_the_in_flight_peak():
    """Guards against a peak that is never updated or counts warm targets.

    Operators could not see whether cold targets get too much load.
    """
    metrics = Metrics()
    cold = TargetStatus("s1", "console", False, 1, 1, 0)
    warm = TargetStatus("s2", "console", True, 5, 4, 0)
    record_targets(metrics, OwnedTargetsStatus((cold, warm)))
    peak = 'cold_target_in_flight_peak{service="console"} 1.0'
    assert peak in metrics.render().decode()

"""Records the load of cold targets in the metrics."""

from kumquatchuted.metrics import Metrics
from kumquatchuted.targets.messages import OwnedTargetsStatus


def record_targets(metrics: Metrics, message: OwnedTargetsStatus) -> None:
    """Update the peak of attempts in flight at targets that are not warm."""
    for target in message.targets:
        if not target.warm:
            metrics.update_cold_peak(target.service, target.in_flight)

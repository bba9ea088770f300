"""Adds the load of cold targets to the measures."""

from kumquatchuted.metrics import Metrics
from kumquatchuted.targets.messages import OwnedTargetsStatus


def record_targets(metrics: Metrics, message: OwnedTargetsStatus) -> None:
    """Add what the owned targets report once a second."""
    for target in message.targets:
        if not target.warm:
            metrics.update_cold_peak(target.service, target.in_flight)

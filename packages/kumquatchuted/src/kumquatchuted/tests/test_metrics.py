"""Tests of the node's metrics."""

from kumquatchute_model.errors import ErrorKind
from kumquatchuted.metrics import Metrics


def test_metrics_are_rendered_with_bounded_labels():
    """Guards against metrics that miscount or have unbounded labels.

    First attempts count as attempts too, and a lower load on cold targets must
    not lower the peak.
    """
    metrics = Metrics()
    metrics.add_first_attempts("quiz", 10)
    metrics.add_extra_attempts("quiz")
    metrics.update_cold_peak("quiz", 2)
    metrics.update_cold_peak("quiz", 1)
    metrics.add_latency("quiz", 0.08)
    metrics.add_coverage("quiz", 1.0)
    metrics.add_refusal(ErrorKind.STOPPING)
    text = metrics.render().decode()
    for line in (
        'kumquatchute_attempts_total{service="quiz"} 11.0',
        'kumquatchute_first_attempts_total{service="quiz"} 10.0',
        'kumquatchute_cold_target_in_flight_peak{service="quiz"} 2.0',
        'kumquatchute_search_coverage_ratio_count{service="quiz"} 1.0',
        'kumquatchute_refusals_total{kind="stopping"} 1.0',
    ):
        assert line in text


def test_registries_are_independent():
    """Guards against nodes in one process that share their counts.

    The metrics of each would show the sum over all of them.
    """
    Metrics().add_refusal(ErrorKind.INTERNAL)
    assert b'kind="internal"' not in Metrics().render()

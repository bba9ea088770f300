"""Tests of the metrics that a node renders."""

from kumquatchuted.gateway.metrics import GatewayMetrics


def test_age_of_a_topic_is_read_at_each_rendering() -> None:
    """Guards against a gauge that shows the age at its registration.

    A topic whose watch is silent would look as current as at the start.
    """
    metrics = GatewayMetrics()
    ages = [15.7, 2.0]
    metrics.report_topic_age("searchers", ages.pop)
    line = 'kumquatchute_topic_age_seconds{topic="searchers"}'
    assert f"{line} 2.0" in metrics.render().decode()
    assert f"{line} 15.7" in metrics.render().decode()

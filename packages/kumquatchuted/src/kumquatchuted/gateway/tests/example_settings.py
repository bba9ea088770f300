"""Settings of a node for tests."""

from kumquatchuted.gateway.settings import GatewayLimits
from kumquatchuted.gateway.settings import GatewaySettings

EXAMPLE_SETTINGS = GatewaySettings(
    node="n1",
    data_centre="a",
    callers="10.0.0.1:1",
    readiness="10.0.0.1:2",
    metrics=None,
    peers="10.0.0.1:3",
    seeds=(),
    store="10.9.9.9:1",
    limits=GatewayLimits(
        apply_s=3.0,
        drain_s=3.0,
        grace_s=6.0,
        retry_ratio=0.2,
        retry_slack=58,
        retry_window_s=10,
        warmup_factor=1.5,
        warmup_slack=5,
        memory_bytes=560 * 1024 * 1024,
    ),
)

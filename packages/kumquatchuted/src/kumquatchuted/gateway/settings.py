"""Settings of a node on the users' platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Limits that the platform's operators set for all nodes together.

    :param apply_s: time until a manifest must be in force, in seconds
    :param drain_s: time until a leaving searcher receives nothing, in seconds
    :param grace_s: time between the stop signal and the kill, in seconds
    :param retry_ratio: allowed retries as a share of the requests
    :param retry_slack: retries allowed beyond that share in each window
    :param retry_window_s: length of that window, in seconds
    :param warmup_factor: allowed multiple of the rate that a cold searcher
        sustains
    :param warmup_slack: requests per second to a cold searcher that are
        allowed beyond that multiple
    :param memory_bytes: memory that the process may use; a change takes effect
        at the next start
    """

    apply_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    warmup_factor: float
    warmup_slack: float
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one node.

    :param node: name of the node
    :param callers: address of the listener for callers
    :param readiness: address of the listener for the readiness check, which
        also serves the metrics
    :param metrics: address of a further listener for metrics; None if there is
        none
    :param peers: address of the listener for other nodes
    :param seeds: addresses of a few other nodes, some of which may be down
    :param store: address of the platform's store
    """

    node: str
    data_centre: str
    callers: str
    readiness: str
    metrics: str | None
    peers: str
    seeds: tuple[str, ...]
    store: str
    limits: GatewayLimits


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """The settings file has changed.

    Changed addresses of listeners take effect only at the next start.
    """

    cfg: GatewaySettings

"""Settings of a node on the users' platform."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewayLimits:
    """Limits that the platform's operators set for all nodes together.

    :param apply_s: time until a manifest must be in force, seconds
    :param drain_s: time until a leaving searcher receives nothing, seconds
    :param grace_s: time between the stop signal and the kill, seconds
    :param retry_ratio: repeated sends as a share of the requests
    :param retry_slack: repeated sends beyond that share in a window
    :param retry_window_s: length of that window, seconds
    :param warmup_factor: tolerated multiple of a searcher's cold rate
    :param warmup_slack: requests per second tolerated beyond it
    """

    apply_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    warmup_factor: float
    warmup_slack: float


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a node learns when it starts.

    :param callers: address of the listener for callers
    :param readiness: address of the listener for the readiness check
    :param metrics: address of the listener for metrics
    :param peers: address of the listener for other nodes
    :param seeds: addresses of a few other nodes, which can be down
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

    Addresses of listeners stay as they were at the start.
    """

    cfg: GatewaySettings

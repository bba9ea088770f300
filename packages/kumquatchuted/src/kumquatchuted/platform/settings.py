"""Decodes the settings file that the platform writes for a process."""

from pathlib import Path
import tomllib

import msgspec

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.settings import GatewayLimits
from kumquatchuted.gateway.settings import GatewaySettings

SETTINGS_VARIABLE = "KUMQUATCHUTE_SETTINGS"
MS_PER_S = 1000
BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_MB = 256.0


class _Listeners(msgspec.Struct):
    front: str
    ready: str
    # Internal address for requests of other nodes.
    control: str


class _Bounds(msgspec.Struct, rename="camel"):
    # Ratio and slack of the retry budget apply to all nodes together, in each
    # budget window.
    config_apply_ms: float
    drain_ms: float
    grace_s: float
    retry_budget_ratio: float = 0.2
    retry_slack: float = 0.0
    budget_window_s: float = 10.0
    warmup_factor: float = 1.0
    warmup_slack: float = 0.0


class _Limits(msgspec.Struct, rename="camel", frozen=True):
    memory_mb: float = DEFAULT_MEMORY_MB


class _Platform(msgspec.Struct):
    address: str


class _Settings(msgspec.Struct, rename="camel"):
    node: str
    ip: str
    zone: str
    listen_addrs: _Listeners
    bounds: _Bounds
    platform: _Platform
    limits: _Limits = _Limits()
    internal_ports: list[int] = []
    # Addresses of a few other nodes; some can be outdated or down.
    seeds: list[str] = []


def read_settings(path: str) -> GatewaySettings | Failure:
    """Read and check a settings file.

    :param path: TOML file; unknown fields are ignored
    :returns: a failure of kind ``MALFORMED`` if the file cannot be read or is
        invalid
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        raw = msgspec.convert(tomllib.loads(text), _Settings)
    except (OSError, ValueError, msgspec.ValidationError) as exc:
        return Failure(ErrorKind.MALFORMED, f"settings {path}: {exc}")
    bounds = raw.bounds
    return GatewaySettings(
        node=raw.node,
        data_centre=raw.zone,
        callers=raw.listen_addrs.front,
        readiness=raw.listen_addrs.ready,
        metrics=(
            f"{raw.ip}:{raw.internal_ports[0]}" if raw.internal_ports else None
        ),
        peers=raw.listen_addrs.control,
        seeds=tuple(raw.seeds),
        store=raw.platform.address,
        limits=GatewayLimits(
            apply_s=bounds.config_apply_ms / MS_PER_S,
            drain_s=bounds.drain_ms / MS_PER_S,
            grace_s=bounds.grace_s,
            retry_ratio=bounds.retry_budget_ratio,
            retry_slack=bounds.retry_slack,
            retry_window_s=bounds.budget_window_s,
            warmup_factor=bounds.warmup_factor,
            warmup_slack=bounds.warmup_slack,
            memory_bytes=int(raw.limits.memory_mb * BYTES_PER_MB),
        ),
    )

"""Checks that settings are consistent with each other."""

from collections.abc import Iterable
from collections.abc import Iterator
from enum import Enum
from typing import Any

from kumquatchute_model.address import parse_address
from kumquatchute_model.settings import Settings
from kumquatchute_model.settings_file import SettingsFault


class Invalid(Enum):
    """Placeholder for a value that is missing or invalid.

    Checks skip it, so the other values can still be checked against each
    other and all faults are reported at once.
    """

    VALUE = "faulty"


def check_consistency(cfg: Settings) -> tuple[SettingsFault, ...]:
    """Find combinations of settings that cannot work together.

    :param cfg: settings; any value can be ``Invalid.VALUE``
    :returns: all faults found
    """
    checks = (
        _check_node_dc,
        _check_listen_addresses,
        _check_duplicates,
        _check_service_deadlines,
        _check_plain_peers,
        _check_drain_limits,
    )
    return tuple(fault for check in checks for fault in check(cfg))


def _all_valid(*values: Any) -> bool:
    return Invalid.VALUE not in values


def _check_node_dc(cfg: Settings) -> Iterator[SettingsFault]:
    if _all_valid(cfg.node.dc, *cfg.dcs) and cfg.node.dc not in cfg.dcs:
        yield SettingsFault("node.dc", "one of the data centres in dcs")


def _check_listen_addresses(cfg: Settings) -> Iterator[SettingsFault]:
    checked = []
    for key in ("callers", "peers", "metrics"):
        text = getattr(cfg.listen, key)
        if not _all_valid(text):
            continue
        address = parse_address(text)
        for other_key, other in checked:
            if address.overlaps(other):
                yield SettingsFault(
                    f"listen.{key}",
                    f"a port other than that of listen.{other_key}",
                )
        checked.append((key, address))


def _check_duplicates(cfg: Settings) -> Iterator[SettingsFault]:
    dcs = ((f"dcs[{i}]", dc) for i, dc in enumerate(cfg.dcs))
    yield from _find_duplicates(dcs, "each data centre once")
    services = (
        (f"services[{i}].name", service.name)
        for i, service in enumerate(cfg.services)
    )
    yield from _find_duplicates(services, "each service once")
    names = (
        (f"peers[{i}].name", peer.name) for i, peer in enumerate(cfg.peers)
    )
    yield from _find_duplicates(names, "each peer once")
    addresses = (
        (f"peers[{i}].address", peer.address)
        for i, peer in enumerate(cfg.peers)
    )
    yield from _find_duplicates(addresses, "a unique address for each peer")
    tokens = (
        (f"security.tokens[{i}].sha256", token.sha256)
        for i, token in enumerate(cfg.security.tokens)
    )
    yield from _find_duplicates(tokens, "each token once")


def _find_duplicates(
    values: Iterable[tuple[str, Any]], expected: str
) -> Iterator[SettingsFault]:
    seen = set()
    for key, value in values:
        if value in seen:
            yield SettingsFault(key, expected)
        if _all_valid(value):
            seen.add(value)


def _check_service_deadlines(cfg: Settings) -> Iterator[SettingsFault]:
    for i, service in enumerate(cfg.services):
        deadline_ms = service.default_deadline_ms
        for key in ("soft_deadline_ms", "expected_ms"):
            value = getattr(service, key)
            if _all_valid(value, deadline_ms) and value > deadline_ms:
                yield SettingsFault(
                    f"services[{i}].{key}",
                    "at most the service's default_deadline_ms",
                )


def _check_plain_peers(cfg: Settings) -> Iterator[SettingsFault]:
    security = cfg.security
    address = cfg.listen.peers
    if not _all_valid(address, security.allow_plain_peers):
        return
    if security.curve_keys_file or security.allow_plain_peers:
        return
    if not parse_address(address).ip.is_loopback:
        yield SettingsFault(
            "listen.peers",
            "a loopback address, unless security.curve_keys_file is set or "
            "security.allow_plain_peers is true",
        )


def _check_drain_limits(cfg: Settings) -> Iterator[SettingsFault]:
    drain = cfg.drain
    if _all_valid(drain.notice_s, drain.limit_s) and (
        drain.limit_s < drain.notice_s
    ):
        yield SettingsFault("drain.limit_s", "at least drain.notice_s")

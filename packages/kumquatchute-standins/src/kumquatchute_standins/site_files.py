"""Builds and writes the configuration files of a site of processes."""

from dataclasses import dataclass
import hashlib
from pathlib import Path

import yaml


@dataclass(frozen=True)
class SiteNode:
    """A node of a site: its addresses and its settings file.

    :param callers: address of the listener for callers
    :param peers: address of the listener for other nodes
    :param metrics: address of the listener for metrics
    """

    name: str
    dc: str
    callers: str
    peers: str
    metrics: str
    settings: Path


@dataclass(frozen=True)
class SharedSettings:
    """Settings that all nodes of a site share.

    :param platform: content of ``platform``
    :param services: entries of ``services``
    :param peers: all nodes of the site; a node's settings omit itself
    :param drain: content of ``drain``
    """

    platform: dict
    dcs: tuple[str, ...]
    services: list[dict]
    peers: tuple[SiteNode, ...]
    caller_token: str
    operator_token: str
    drain: dict


def settings_document(node: SiteNode, shared: SharedSettings) -> dict:
    """Return the content of a node's settings file.

    It contains the digests of the tokens, not the tokens themselves.
    """
    return {
        "node": {
            "name": node.name,
            "host": f"host-{node.name}",
            "dc": node.dc,
            "region": "atl",
        },
        "listen": {
            "callers": node.callers,
            "peers": node.peers,
            "metrics": node.metrics,
        },
        "platform": shared.platform,
        "dcs": list(shared.dcs),
        "services": shared.services,
        "peers": [
            {"name": other.name, "address": other.peers}
            for other in shared.peers
            if other.name != node.name
        ],
        "security": {
            "tokens": [
                _token_entry("dispatcher", "interactive", shared.caller_token),
                _token_entry("amna", "operator", shared.operator_token),
            ]
        },
        "drain": shared.drain,
    }


def write_yaml(path: Path, content: dict) -> None:
    """Write a configuration file in YAML."""
    path.write_text(yaml.safe_dump(content, sort_keys=False))


def _token_entry(identity: str, role: str, token: str) -> dict:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {"identity": identity, "role": role, "sha256": digest}

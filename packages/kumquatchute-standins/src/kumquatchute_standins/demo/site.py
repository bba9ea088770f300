"""Describes a small site: its addresses and its configuration files."""

from dataclasses import dataclass
from pathlib import Path

from kumquatchute_standins.ports import allocate_ports
from kumquatchute_standins.site_files import settings_document
from kumquatchute_standins.site_files import SharedSettings
from kumquatchute_standins.site_files import SiteNode
from kumquatchute_standins.site_files import write_yaml

CALLER_TOKEN = "demo-caller-token"
OPERATOR_TOKEN = "demo-operator-token"
SERVICE = "console"
DCS = ("atl-north", "atl-east", "atl-south")
NODE_COUNT = 4
SHARD_COUNT = 6
REPLICA_COUNT = 2

DOCUMENT_NAMES = (
    "Tran Thi Nguyen",
    "Shaquille Oduya",
    "Maria Gonzalez",
    "Wojciech Kowalczyk",
    "Siobhan Gallagher",
    "Deepika Ramaswamy",
)
DOCUMENTS_PER_SHARD = 20


@dataclass(frozen=True)
class Site:
    """Addresses and configuration files of a site.

    :param platform: address of the platform stand-in
    :param platform_control: address of its control listener
    :param searcher_control: address of the control listener of the searchers
    :param searcher_config: configuration file of the searchers
    """

    platform: str
    platform_control: str
    searcher_control: str
    searcher_config: Path
    nodes: tuple[SiteNode, ...]


def write_site(
    folder: Path, node_count: int = NODE_COUNT, prefer: str = "latency"
) -> Site:
    """Allocate addresses and write the configuration files of all processes.

    :param folder: existing folder for the files
    :param prefer: preference of the service, ``latency`` or ``coverage``
    """
    ports = iter(
        allocate_ports(3 + 3 * node_count + REPLICA_COUNT * SHARD_COUNT)
    )
    platform = f"127.0.0.1:{next(ports)}"
    platform_control = f"127.0.0.1:{next(ports)}"
    searcher_control = f"127.0.0.1:{next(ports)}"
    nodes = tuple(
        SiteNode(
            f"n{i + 1}",
            DCS[i % len(DCS)],
            f"127.0.0.1:{next(ports)}",
            f"127.0.0.1:{next(ports)}",
            f"127.0.0.1:{next(ports)}",
            folder / f"n{i + 1}.yaml",
        )
        for i in range(node_count)
    )
    searcher_config = folder / "searchers.yaml"
    site = Site(
        platform, platform_control, searcher_control, searcher_config, nodes
    )
    addresses = [f"127.0.0.1:{port}" for port in ports]
    write_yaml(searcher_config, _searcher_config(site, addresses))
    for node in nodes:
        write_yaml(node.settings, _node_settings(site, node, prefer))
    return site


def list_searchers() -> list[tuple[str, str]]:
    """Return the name and the data centre of each searcher."""
    return [
        (f"{SERVICE}-{shard}{'ab'[replica]}", _replica_dc(shard, replica))
        for shard in range(SHARD_COUNT)
        for replica in range(REPLICA_COUNT)
    ]


def _replica_dc(shard: int, replica: int) -> str:
    return DCS[(shard + replica) % len(DCS)]


def _searcher_config(site: Site, addresses: list[str]) -> dict:
    searchers = [
        {
            "name": name,
            "service": SERVICE,
            "listen": address,
            "host": f"host-{name}",
            "dc": dc,
            "slots": 2,
            "cold_slots": 1,
            "max_conns": 25,
            "conn_cost_ms": 6,
        }
        for (name, dc), address in zip(list_searchers(), addresses)
    ]
    return {
        "seed": 1,
        "control": site.searcher_control,
        "platform": {"url": f"http://{site.platform}"},
        "searchers": searchers,
        "indexes": [
            {
                "service": SERVICE,
                "index_version": 1,
                "map_version": 1,
                "shards": [_shard_data(i) for i in range(SHARD_COUNT)],
            }
        ],
    }


def _shard_data(number: int) -> dict:
    documents = [
        {
            "doc": f"doc-{number}-{i}",
            "name": DOCUMENT_NAMES[(number + i) % len(DOCUMENT_NAMES)],
            "text": f"walkthrough note {number}-{i}",
        }
        for i in range(DOCUMENTS_PER_SHARD)
    ]
    replicas = [
        f"{SERVICE}-{number}{letter}" for letter in "ab"[:REPLICA_COUNT]
    ]
    return {
        "shard": f"s{number}",
        "replicas": replicas,
        "documents": documents,
    }


def _node_settings(site: Site, node: SiteNode, prefer: str) -> dict:
    return settings_document(
        node,
        SharedSettings(
            platform={"url": f"http://{site.platform}"},
            dcs=DCS,
            services=[{"name": SERVICE, "prefer": prefer}],
            peers=site.nodes,
            caller_token=CALLER_TOKEN,
            operator_token=OPERATOR_TOKEN,
            drain={"notice_s": 1.0, "limit_s": 15.0},
        ),
    )

"""Decides where a node reads the store's objects: the store or other nodes.

Each call of the store is charged, and its rate limits grow more slowly than
the fleet. Therefore only a few nodes of each data centre read the store, and
the others read from those nodes. A node that cannot reach its preferred
source takes the next one.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

from kumquatchuted.membership.messages import Node

# One reader is enough: if it fails, the other nodes read from a reader in
# another data centre or from the store itself.
READERS_PER_DATA_CENTRE = 1
# Maximum number of other nodes among the sources of a node.
MAX_RELAYS = 4
# Other nodes that are tried before the store: the reader of the same data
# centre and one of another.
RELAYS_BEFORE_STORE = 2


@dataclass(frozen=True, slots=True)
class Source:
    """Address that serves the store's objects.

    :param is_store: whether it is the store itself and not another node
    """

    address: str
    is_store: bool


@dataclass(frozen=True, slots=True)
class SourceSilent:
    """A node that relays the objects did not respond to a follower."""

    source: Source


def order_sources(
    node: str,
    own_address: str,
    data_centre: str,
    nodes: Mapping[str, Node],
    seeds: tuple[str, ...],
    store: str,
) -> tuple[Source, ...]:
    """Return the sources of a node, the preferred one first.

    A reader prefers the store; other nodes prefer a relay, if one is known.

    :param node: name of the node
    :param own_address: address of its listener for other nodes
    :param data_centre: data centre of the node
    :param nodes: known nodes by name
    :param seeds: addresses of nodes that the settings name; they can include
        this node
    :param store: address of the store
    """
    others = [item for name, item in nodes.items() if name != node]
    # The list of nodes may lack this node, or name an address at which others
    # reach it, so that its entry alone does not identify it among the seeds.
    own_addresses = {own_address}
    if node in nodes:
        own_addresses.add(nodes[node].address)
    others.sort(
        key=lambda item: (
            item.data_centre != data_centre,
            _rank(node, item.name),
        )
    )
    readers = _select_all_readers(node, data_centre, nodes)
    addresses = [item.address for item in others if item.name in readers]
    addresses += [item.address for item in others if item.name not in readers]
    addresses += [address for address in seeds if address not in own_addresses]
    relays = [
        Source(address, is_store=False) for address in dict.fromkeys(addresses)
    ]
    relays = relays[:MAX_RELAYS]
    store_source = Source(store, is_store=True)
    if node in readers:
        return (store_source, *relays)
    return (
        *relays[:RELAYS_BEFORE_STORE],
        store_source,
        *relays[RELAYS_BEFORE_STORE:],
    )


def _select_all_readers(
    node: str, data_centre: str, nodes: Mapping[str, Node]
) -> set[str]:
    names_by_data_centre: dict[str, set[str]] = {data_centre: {node}}
    for name, item in nodes.items():
        names_by_data_centre.setdefault(item.data_centre, set()).add(name)
    readers: set[str] = set()
    for names in names_by_data_centre.values():
        readers |= select_readers(names)
    return readers


def select_readers(names: set[str]) -> set[str]:
    """Return which nodes of one data centre read the store.

    Nodes that know the same names select the same readers without
    coordination.

    :param names: names of the nodes of the data centre
    """
    ranked = sorted(names, key=lambda name: _rank("reader", name))
    return set(ranked[:READERS_PER_DATA_CENTRE])


def _rank(salt: str, name: str) -> int:
    # Rendezvous hashing: each salt orders the names differently, and a node
    # that joins or leaves does not change the order of the others.
    return xxhash.xxh64_intdigest(f"{salt}/{name}".encode())

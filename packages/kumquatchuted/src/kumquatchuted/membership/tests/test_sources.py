"""Order of the sources of a node: the store and other nodes."""

import pytest

from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.sources import order_sources
from kumquatchuted.membership.sources import Source

STORE = "10.9.9.9:80"


def make_nodes(*sizes: int) -> dict[str, Node]:
    """Return nodes of data centres dc0, dc1 and so on.

    :param sizes: number of nodes of each data centre
    """
    nodes = {}
    for number, size in enumerate(sizes):
        for index in range(size):
            name = f"n{number}-{index}"
            address = f"10.{number}.0.{index}:80"
            nodes[name] = Node(name, address, f"dc{number}")
    return nodes


def sources(name: str, nodes: dict[str, Node]) -> tuple[Source, ...]:
    """Return the sources of a node."""
    data_centre = nodes[name].data_centre
    return order_sources(
        name, nodes[name].address, data_centre, nodes, (), STORE
    )


def test_number_of_store_readers_does_not_grow_with_the_fleet() -> None:
    """Guards against store calls that grow with the number of nodes.

    Each call is charged, and the rate limits grow more slowly than the fleet.
    """
    for size in (1, 12, 260):
        nodes = make_nodes(size, size, size)
        readers = [name for name in nodes if sources(name, nodes)[0].is_store]
        assert len(readers) == 3


def test_every_node_can_fall_back_to_the_store() -> None:
    """Guards against a data centre that stops reading with its reader.

    A node that knows only relays has no source when they fail. A node that
    lists itself among its sources would read its own outdated state.
    """
    nodes = make_nodes(5, 3)
    for name in nodes:
        found = sources(name, nodes)
        assert Source(STORE, is_store=True) in found
        assert nodes[name].address not in {item.address for item in found}
        assert len(set(found)) == len(found)


def test_node_without_known_nodes_reads_the_store_and_the_seeds() -> None:
    """Guards against a node without state after a restart in an outage.

    It has not yet read the list of nodes, and the store does not respond; only
    the nodes that its settings name can give it their state.
    """
    found = order_sources(
        "n1", "10.0.0.1:80", "dc", {}, ("10.0.0.5:80",), STORE
    )
    assert found == (
        Source(STORE, is_store=True),
        Source("10.0.0.5:80", is_store=False),
    )


@pytest.mark.parametrize("lists_itself", [False, True])
def test_node_among_the_seeds_does_not_read_from_itself(
    lists_itself: bool,
) -> None:
    """Guards against a node that waits for changes at its own relay.

    The settings of all nodes name the same seeds. In soak seed 3200003 a node
    whose entry did not have the address of its seed followed itself for 2.5 s
    and knew two of four nodes meanwhile. The list can also lack the node.
    """
    nodes = make_nodes(2)
    seeds = tuple(node.address for node in nodes.values())
    own_address = nodes["n0-0"].address
    if lists_itself:
        nodes["n0-0"] = Node("n0-0", "10.7.7.7:80", "dc0")
    else:
        del nodes["n0-0"]
    found = order_sources("n0-0", own_address, "dc0", nodes, seeds, STORE)
    assert own_address not in {item.address for item in found}

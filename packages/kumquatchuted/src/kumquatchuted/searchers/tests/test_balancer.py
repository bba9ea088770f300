"""Restarts of searchers that a node infers from failed connections."""

import random

from kumquatchuted.gateway.tests.example_settings import EXAMPLE_SETTINGS
from kumquatchuted.membership.messages import MembersChanged
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.balancer import LoadBalancer

ROUTE = Route("r", "h", "/", True, 1.0, 0.1, 0, 2, OneService("s"))


def balancer_of(
    searchers: int, nodes: int = 4, data_centre: str = "a"
) -> LoadBalancer:
    """Return a balancer of warm searchers of service s.

    :param data_centre: of the searchers and nodes, except for this node
    """
    balancer = LoadBalancer(EXAMPLE_SETTINGS, random.Random(1))
    members = {
        f"i-{number}": RegisteredSearcher(
            f"i-{number}",
            "s",
            "10.0.0.1",
            80 + number,
            data_centre,
            SearcherState.READY,
            2,
            0.0,
            None,
        )
        for number in range(searchers)
    }
    peers = {
        f"n{n}": Node(f"n{n}", "10.1.0.1:1", data_centre) for n in range(nodes)
    }
    balancer.set_members(MembersChanged(members, {}, frozenset(), peers), 0.0)
    return balancer


def count_sends(balancer: LoadBalancer, name: str, start: float) -> int:
    """Return how many requests a searcher is sent within a second."""
    others = {f"i-{number}" for number in range(20)} - {name}
    count = 0
    for step in range(50):
        now = start + step * 0.02
        if balancer.choose(ROUTE, "s", others, now) is not None:
            balancer.on_attempt_started(name, now)
            balancer.on_attempt_succeeded(name, ROUTE, now, now + 0.001)
            count += 1
    return count


def test_searcher_that_refused_connections_counts_as_cold() -> None:
    """Guards against full load on a process that has just started.

    A host refuses connections while the process of a searcher restarts. Until
    the store reports the restart, a node that does not infer it would send as
    much as to the warm process.
    """
    balancer = balancer_of(10)
    balancer.on_attempt_started("i-1", 1.0)
    balancer.on_connect_failed("i-1", 1.0, was_refused=True, now=1.0)
    assert count_sends(balancer, "i-1", 1.5) <= 2
    assert count_sends(balancer, "i-1", 9.0) == 50


def test_searcher_that_closes_new_connections_counts_as_cold() -> None:
    """Guards against full load after a restart that the store does not report.

    In soak seeds 122 and 147 the watches of the store stopped delivering. A
    searcher crashed behind a proxy that accepts connections, so that no
    connect failed. It was still chosen for each query and got 21 requests a
    second after its restart.
    """
    balancer = balancer_of(10)
    balancer.on_attempt_started("i-1", 1.0)
    balancer.on_first_response_lost("i-1", 1.0, 1.0)
    assert count_sends(balancer, "i-1", 1.02) < 50
    balancer = balancer_of(10)
    for at in (1.0, 1.2):
        balancer.on_attempt_started("i-1", at)
        balancer.on_first_response_lost("i-1", at, at)
    assert count_sends(balancer, "i-1", 3.0) <= 2


def test_many_unreachable_searchers_do_not_count_as_restarted() -> None:
    """Guards against a node that treats all searchers as cold.

    In a network partition a node cannot reach the searchers, although they
    keep running. If they counted as restarted, the node would refuse most
    requests after the partition because of the limit of cold searchers.
    """
    balancer = balancer_of(10)
    for number in range(10):
        name = f"i-{number}"
        balancer.on_attempt_started(name, 1.0)
        balancer.on_connect_failed(name, 1.0, was_refused=False, now=1.0)
    assert count_sends(balancer, "i-9", 2.0) == 50

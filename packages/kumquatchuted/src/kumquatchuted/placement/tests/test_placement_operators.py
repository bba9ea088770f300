"""Tests hand-over, restart and join with contradictory tickets."""

import pytest

from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.placement.messages import TicketStatus
from kumquatchuted.placement.tests.simulation import SEARCHERS
from kumquatchuted.placement.tests.simulation import started_cluster

ALL_SEARCHERS = frozenset(SEARCHERS)
OPERATORS_RACING = "operators racing"
SEED = 1
RECOVERY_S = 40.0


def leave(cluster):
    node, other = cluster.processes[:2]
    cluster.post_event(node, LeaveMembership())
    cluster.run(0.2)
    cluster.post_event(node, ReleaseLease())
    cluster.run(0.1)
    cluster.kill(node)
    return other


def restart(cluster):
    node = cluster.processes[0]
    member = node.state.local
    cluster.kill(node)
    return cluster.start(node.name, member.dc, member.address)


def join(cluster):
    return cluster.start("n9", "dc0")


# Each step returns the process whose data centre the tickets concern.
STEPS = [
    pytest.param(step, marks=pytest.mark.proves(name, OPERATORS_RACING))
    for name, step in (
        ("start and stop: hand over", leave),
        ("start and stop: restart", restart),
        ("start and stop: join", join),
    )
]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("tickets", [3, 4], ids=["out", "in"])
@pytest.mark.parametrize("pause_s", [0.5, 2.0, 5.0])
def test_last_ticket_decides_whether_a_node_owns(step, tickets, pause_s):
    """Guards against an older ticket that wins, and against two owners.

    Tickets take the data centre of a node out of service and back while
    another node hands over to it, or while it starts.
    """
    cluster = started_cluster(4, SEED)
    node = step(cluster)
    for number in range(1, tickets + 1):
        out = number % 2 == 1
        for process in cluster.alive():
            is_out = out and process is node
            cluster.post_event(
                process, TicketStatus(number, f"d{number}", is_out)
            )
            cluster.run(pause_s / 4)
    cluster.run(RECOVERY_S)
    assert cluster.serving() == ALL_SEARCHERS
    assert bool(node.sendable) == (not out)


@pytest.mark.proves("start and stop: restart", OPERATORS_RACING)
@pytest.mark.proves("start and stop: join", OPERATORS_RACING)
@pytest.mark.parametrize("name", ["n0", "n9"])
def test_second_process_of_a_name_waits_until_the_first_has_ended(name):
    """Guards against a name that alternates between two live processes.

    Each would replace the other in the membership, and the searchers would
    change owners without end.
    """
    cluster = started_cluster(4, SEED)
    cluster.kill(cluster.processes[0])
    first = cluster.start(name, "dc0")
    second = cluster.start(name, "dc0")
    cluster.run(RECOVERY_S)
    assert bool(first.sendable) != bool(second.sendable)
    holder, waiting = (first, second) if first.sendable else (second, first)
    epoch = holder.placement.membership.epoch
    cluster.run(RECOVERY_S)
    assert holder.placement.membership.epoch == epoch
    cluster.kill(holder)
    cluster.run(RECOVERY_S)
    assert cluster.serving() == ALL_SEARCHERS and waiting.sendable

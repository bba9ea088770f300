"""Status of a node, as reported to operators."""

from dataclasses import dataclass


@dataclass(frozen=True)
class MemberStatus:
    """A member of the newest epoch known to the node.

    :param incarnation: identifier of its process, new at every start
    :param leaving: True once it is shutting down
    """

    node: str
    dc: str
    incarnation: str
    leaving: bool


@dataclass(frozen=True)
class NodeStatus:
    """Status of a node.

    :param ready: whether it accepts requests from the load balancer
    :param reason: why it is not ready, empty if it is
    :param current: whether it may send new work to targets
    :param confirmation_age_s: seconds since its permission to send work was
        last extended, None before the first time
    :param ticket: number of the newest ticket in force, 0 before the first
    :param ticket_digest: digest of that ticket, empty before the first
    :param epoch: number of the newest epoch known
    :param dcs_out: data centres that are out of service
    :param hosts_out: hosts that are out of service
    :param cold_targets: searchers that it owns and that are not warm yet
    :param leaving_nodes: members that are shutting down
    :param leaving_targets: searchers that the platform lists as leaving
    """

    node: str
    host: str
    dc: str
    ready: bool
    reason: str
    current: bool
    confirmation_age_s: float | None
    ticket: int
    ticket_digest: str
    epoch: int
    members: tuple[MemberStatus, ...]
    dcs_out: tuple[str, ...]
    hosts_out: tuple[str, ...]
    cold_targets: tuple[str, ...]
    leaving_nodes: tuple[str, ...]
    leaving_targets: tuple[str, ...]

"""State of the node that the HTTP listeners report."""

import dataclasses
from dataclasses import dataclass
from typing import Any

from kumquatchute_model.settings import NodeSettings
from kumquatchute_model.status import MemberStatus
from kumquatchute_model.status import NodeStatus
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.messages import TargetStatus
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

INFINITE_PAST = float("-inf")


@dataclass(frozen=True)
class HttpState:
    """Latest state that other tasks have reported.

    :param current_until: monotonic time in seconds until which the node is
        current
    :param confirmed_at: monotonic time in seconds of the last extension of
        ``current_until``, None before the first
    """

    ready: ReadyChanged = ReadyChanged(False, "starting")
    view: View = View()
    membership: Membership = Membership(0)
    catalog: Catalog = Catalog()
    targets: tuple[TargetStatus, ...] = ()
    current_until: float = INFINITE_PAST
    confirmed_at: float | None = None


def apply_message(
    state: HttpState, message: Any, now: float
) -> HttpState | None:
    """Return the state after a message, None if the message is unknown.

    :param now: monotonic time in seconds
    """
    match message:
        case ReadyChanged():
            return dataclasses.replace(state, ready=message)
        case ViewChanged(view=view):
            return dataclasses.replace(state, view=view)
        case PlacementChanged(placement=placement):
            return dataclasses.replace(state, membership=placement.membership)
        case CatalogChanged(catalog=catalog):
            return dataclasses.replace(state, catalog=catalog)
        case OwnedTargetsStatus(targets=targets):
            return dataclasses.replace(state, targets=targets)
        case CurrentUntil(until=until):
            is_extended = until > max(state.current_until, now)
            return dataclasses.replace(
                state,
                current_until=until,
                confirmed_at=now if is_extended else state.confirmed_at,
            )
        case _:
            return None


def node_status(
    state: HttpState, node: NodeSettings, now: float
) -> NodeStatus:
    """Return the status of the node for operators.

    :param now: monotonic time in seconds
    """
    members = state.membership.members
    searchers = state.catalog.searchers.values()
    age_s = None if state.confirmed_at is None else now - state.confirmed_at
    return NodeStatus(
        node=node.name,
        host=node.host,
        dc=node.dc,
        ready=state.ready.ready,
        reason=state.ready.reason,
        current=now < state.current_until,
        confirmation_age_s=age_s,
        ticket=state.view.number,
        ticket_digest=state.view.digest,
        epoch=state.membership.epoch,
        members=tuple(
            MemberStatus(
                member.node, member.dc, member.incarnation, member.leaving
            )
            for member in members
        ),
        dcs_out=tuple(sorted(state.view.dcs_out)),
        hosts_out=tuple(sorted(state.view.hosts_out)),
        cold_targets=tuple(
            sorted(
                target.searcher for target in state.targets if not target.warm
            )
        ),
        leaving_nodes=tuple(
            sorted(member.node for member in members if member.leaving)
        ),
        leaving_targets=tuple(
            sorted(searcher.name for searcher in searchers if searcher.leaving)
        ),
    )

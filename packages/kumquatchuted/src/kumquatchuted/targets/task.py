"""The task that keeps one child task for each searcher it owns."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.catalog.messages import EMPTY_MAPPING
from kumquatchuted.mailbox import answer
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.mailbox import Post
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import EpochReleased
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.targets.admission import Eligibility
from kumquatchuted.targets.admission import is_out
from kumquatchuted.targets.child_messages import GateChanged
from kumquatchuted.targets.child_messages import HealthSeen
from kumquatchuted.targets.child_messages import Retire
from kumquatchuted.targets.child_messages import StatusDue
from kumquatchuted.targets.child_messages import StatusSeen
from kumquatchuted.targets.child_messages import TargetReleased
from kumquatchuted.targets.client import TargetClient
from kumquatchuted.targets import health
from kumquatchuted.targets.messages import AttemptDone
from kumquatchuted.targets.messages import AttemptFailed
from kumquatchuted.targets.messages import CancelAttempts
from kumquatchuted.targets.messages import OwnedTargetsStatus
from kumquatchuted.targets.messages import RunAttempt
from kumquatchuted.targets.messages import StopTargets
from kumquatchuted.targets.messages import TargetStatus
from kumquatchuted.targets.target_task import TargetTask
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

STATUS_INTERVAL_S = 1.0
DEFAULT_EXPECTED_MS = 5.0

Owner = Callable[[Placement, str], Member | None]
MayStart = Callable[[Placement, str], bool]


@dataclass(frozen=True)
class Child:
    """A child task as its parent sees it.

    :param retired: True once it was told to end
    """

    searcher: Searcher
    post: Post
    gate: Eligibility
    retired: bool = False
    healthy: bool = True
    status: TargetStatus | None = None


class TargetsTask:
    """Routes attempts to the child that owns the searcher."""

    def __init__(
        self,
        node: str,
        connect: Callable[[Searcher], TargetClient],
        post: Post,
        clock: Callable[[], float],
        owner: Owner,
        may_start: MayStart,
        expected_ms: Mapping[str, float] = EMPTY_MAPPING,
    ) -> None:
        """Create the task.

        :param node: this node
        :param connect: makes the client of a searcher, without connecting
        :param post: receives ``AttemptDone``, ``EpochReleased`` and
            ``OwnedTargetsStatus``
        :param clock: monotonic time in seconds
        :param expected_ms: usual time of an attempt for each service, in
            milliseconds
        """
        self.mailbox = Mailbox()
        self._node = node
        self._connect = connect
        self._post = post
        self._clock = clock
        self._owner = owner
        self._may_start = may_start
        self._expected_ms = expected_ms
        self._placement = Placement(node, "", Membership(0))
        self._catalog = Catalog()
        self._owned: frozenset[str] = frozenset()
        self._view = View()
        self._until = clock()
        self._children: dict[str, Child] = {}
        # Epochs not yet reported, with the children that must end before.
        self._unreleased: dict[int, frozenset[str]] = {}
        self._stops: tuple[Ask[StopTargets], ...] = ()

    async def run(self) -> None:
        """Work until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            self._arm()
            while True:
                self._handle(await self.mailbox.get())

    def _handle(self, message: Any) -> None:
        match message:
            case RunAttempt():
                self._on_run(message)
            case CancelAttempts(searcher=searcher):
                if child := self._children.get(searcher):
                    child.post(message)
            case PlacementChanged(placement=placement):
                self._on_placement(placement)
            case CatalogChanged(catalog=catalog):
                self._catalog = catalog
                self._find_owned()
                self._refresh()
            case ViewChanged(view=view):
                self._view = view
                self._refresh()
            case CurrentUntil(until=until):
                self._until = until
                self._refresh()
            case Ask(request=StopTargets()):
                self._stops += (message,)
                self._refresh()
            case TargetReleased(searcher=searcher):
                self._on_released(searcher)
            case HealthSeen(searcher=searcher, healthy=healthy):
                self._on_health(searcher, healthy)
            case StatusSeen(status=status):
                self._update(status.searcher, status=status)
            case StatusDue():
                self._publish_status()

    def _on_run(self, run: RunAttempt) -> None:
        child = self._children.get(run.attempt.searcher)
        if child is None or child.retired:
            self._post(AttemptDone(run.origin, _not_owner(run)))
            return
        child.post(run)

    def _on_placement(self, placement: Placement) -> None:
        is_new = placement.membership.epoch > self._placement.membership.epoch
        self._placement = placement
        self._find_owned()
        self._refresh()
        if is_new:
            ending = frozenset(
                name for name, child in self._children.items() if child.retired
            )
            self._unreleased[placement.membership.epoch] = ending
            self._report_epochs()

    def _refresh(self) -> None:
        for name, child in list(self._children.items()):
            if not child.retired and not self._keeps(child):
                child.post(Retire())
                self._update(name, retired=True)
        unhealthy = self._unhealthy()
        for name in () if self._stops else self._owned:
            searcher = self._catalog.searchers[name]
            self._refresh_child(searcher, name in unhealthy)
        self._answer_stop()

    def _keeps(self, child: Child) -> bool:
        listed = self._catalog.searchers.get(child.searcher.name)
        return (
            not self._stops
            and listed is not None
            # Another process may answer at a new address.
            and listed.address == child.searcher.address
            and child.searcher.name in self._owned
        )

    def _find_owned(self) -> None:
        owners = {
            name: self._owner(self._placement, name)
            for name in self._catalog.searchers
        }
        self._owned = frozenset(
            name
            for name, member in owners.items()
            if member is not None and member.node == self._node
        )

    def _refresh_child(self, searcher: Searcher, unhealthy: bool) -> None:
        child = self._children.get(searcher.name)
        gate = replace(self._gate(searcher), is_unhealthy=unhealthy)
        if child is None:
            self._start(searcher, gate)
        elif not child.retired and child.gate != gate:
            child.post(GateChanged(gate))
            self._update(searcher.name, gate=gate)

    def _start(self, searcher: Searcher, gate: Eligibility) -> None:
        task = TargetTask(
            searcher,
            gate,
            self._connect,
            self._post,
            self.mailbox.post,
            self._clock,
        )
        self._children[searcher.name] = Child(
            searcher, task.mailbox.post, gate
        )
        self._group.create_task(task.run())

    def _gate(self, searcher: Searcher) -> Eligibility:
        return Eligibility(
            searcher=searcher,
            until=self._until,
            is_owner=True,
            may_start=self._may_start(self._placement, searcher.name),
            is_out=is_out(searcher, self._view),
            expected_s=self._expected_ms.get(
                searcher.service, DEFAULT_EXPECTED_MS
            )
            / 1000,
        )

    def _unhealthy(self) -> frozenset[str]:
        reports: dict[str, dict[str, bool]] = {}
        for name, child in self._children.items():
            service = reports.setdefault(child.searcher.service, {})
            service[name] = child.healthy
        return frozenset().union(*map(health.heeded, reports.values()))

    def _on_health(self, name: str, healthy: bool) -> None:
        child = self._children.get(name)
        if child is not None and child.healthy != healthy:
            self._update(name, healthy=healthy)
            self._refresh()

    def _update(self, name: str, **changes: Any) -> None:
        child = self._children.get(name)
        if child is not None:
            self._children[name] = replace(child, **changes)

    def _on_released(self, name: str) -> None:
        self._children.pop(name, None)
        for epoch, ending in self._unreleased.items():
            self._unreleased[epoch] = ending - {name}
        self._report_epochs()
        self._refresh()

    def _report_epochs(self) -> None:
        done = [e for e, ending in self._unreleased.items() if not ending]
        for epoch in sorted(done):
            del self._unreleased[epoch]
            self._post(EpochReleased(epoch))

    def _answer_stop(self) -> None:
        if not self._children:
            for stop in self._stops:
                answer(stop, None)

    def _publish_status(self) -> None:
        self._arm()
        statuses = (child.status for child in self._children.values())
        self._post(
            OwnedTargetsStatus(tuple(s for s in statuses if s is not None))
        )

    def _arm(self) -> None:
        asyncio.get_running_loop().call_later(
            STATUS_INTERVAL_S, self.mailbox.post, StatusDue()
        )


def _not_owner(run: RunAttempt) -> AttemptFailed:
    return AttemptFailed(
        run.attempt.attempt,
        ErrorKind.NOT_OWNER,
        "this node is not the owner",
        not_run=True,
    )

"""The task that runs one child task for each searcher it owns."""

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
from kumquatchuted.targets.admission import is_out_of_service
from kumquatchuted.targets.child_messages import EligibilityChanged
from kumquatchuted.targets.child_messages import HealthReported
from kumquatchuted.targets.child_messages import Retire
from kumquatchuted.targets.child_messages import StatusDue
from kumquatchuted.targets.child_messages import StatusReported
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

OwnerLookup = Callable[[Placement, str], Member | None]
MaySend = Callable[[Placement, str], bool]


@dataclass(frozen=True)
class Child:
    """State of a child task as seen by the targets task.

    :param eligibility: conditions last sent to it
    :param retired: True once ``Retire`` was sent to it
    :param healthy: newest health report of its searcher
    :param status: newest status, None before the first
    """

    searcher: Searcher
    post: Post
    eligibility: Eligibility
    retired: bool = False
    healthy: bool = True
    status: TargetStatus | None = None


class TargetsTask:
    """Starts and retires child tasks and passes attempts to them."""

    def __init__(
        self,
        node: str,
        connect: Callable[[Searcher], TargetClient],
        post: Post,
        clock: Callable[[], float],
        find_owner: OwnerLookup,
        may_send: MaySend,
        expected_ms: Mapping[str, float] = EMPTY_MAPPING,
    ) -> None:
        """Create the task.

        :param node: this node
        :param connect: makes the client of a searcher, without connecting
        :param post: receives ``AttemptDone``, ``EpochReleased`` and
            ``OwnedTargetsStatus``
        :param clock: monotonic time in seconds
        :param find_owner: returns the owner of a searcher in a placement
        :param may_send: returns True if this node may send to a searcher
            while it is current
        :param expected_ms: expected time of an attempt for each service, in
            milliseconds
        """
        self.mailbox = Mailbox()
        self._node = node
        self._connect = connect
        self._post = post
        self._clock = clock
        self._find_owner = find_owner
        self._may_send = may_send
        self._expected_ms = expected_ms
        self._placement = Placement(node, "", Membership(0))
        self._catalog = Catalog()
        self._owned: frozenset[str] = frozenset()
        self._view = View()
        self._current_until = clock()
        self._children: dict[str, Child] = {}
        # Epochs not yet reported as released, with the retired children that
        # have to end first.
        self._unreleased_epochs: dict[int, frozenset[str]] = {}
        self._stop_requests: tuple[Ask[StopTargets], ...] = ()

    async def run(self) -> None:
        """Process messages until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            self._schedule_status()
            while True:
                self._handle(await self.mailbox.get())

    def _handle(self, message: Any) -> None:
        match message:
            case RunAttempt():
                self._on_run_attempt(message)
            case CancelAttempts(searcher=searcher):
                if child := self._children.get(searcher):
                    child.post(message)
            case PlacementChanged(placement=placement):
                self._on_placement_changed(placement)
            case CatalogChanged(catalog=catalog):
                self._catalog = catalog
                self._update_owned()
                self._update_children()
            case ViewChanged(view=view):
                self._view = view
                self._update_children()
            case CurrentUntil(until=until):
                self._current_until = until
                self._update_children()
            case Ask(request=StopTargets()):
                self._stop_requests += (message,)
                self._update_children()
            case TargetReleased(searcher=searcher):
                self._on_target_released(searcher)
            case HealthReported(searcher=searcher, healthy=healthy):
                self._on_health_reported(searcher, healthy)
            case StatusReported(status=status):
                self._replace_child(status.searcher, status=status)
            case StatusDue():
                self._publish_status()

    def _on_run_attempt(self, run: RunAttempt) -> None:
        child = self._children.get(run.attempt.searcher)
        if child is None or child.retired:
            self._post(AttemptDone(run.origin, _not_owner(run)))
            return
        child.post(run)

    def _on_placement_changed(self, placement: Placement) -> None:
        is_new_epoch = (
            placement.membership.epoch > self._placement.membership.epoch
        )
        self._placement = placement
        self._update_owned()
        self._update_children()
        if is_new_epoch:
            retired = frozenset(
                name for name, child in self._children.items() if child.retired
            )
            self._unreleased_epochs[placement.membership.epoch] = retired
            self._report_epochs()

    def _update_children(self) -> None:
        for name, child in list(self._children.items()):
            if not child.retired and not self._should_keep(child):
                child.post(Retire())
                self._replace_child(name, retired=True)
        unhealthy = self._unhealthy_searchers()
        for name in () if self._stop_requests else self._owned:
            searcher = self._catalog.searchers[name]
            self._update_child(searcher, name in unhealthy)
        self._answer_stop_requests()

    def _should_keep(self, child: Child) -> bool:
        listed = self._catalog.searchers.get(child.searcher.name)
        return (
            not self._stop_requests
            and listed is not None
            # A new address may belong to another process.
            and listed.address == child.searcher.address
            and child.searcher.name in self._owned
        )

    def _update_owned(self) -> None:
        owners = {
            name: self._find_owner(self._placement, name)
            for name in self._catalog.searchers
        }
        self._owned = frozenset(
            name
            for name, member in owners.items()
            if member is not None and member.node == self._node
        )

    def _update_child(self, searcher: Searcher, unhealthy: bool) -> None:
        child = self._children.get(searcher.name)
        eligibility = replace(
            self._eligibility(searcher), is_unhealthy=unhealthy
        )
        if child is None:
            self._start_child(searcher, eligibility)
        elif not child.retired and child.eligibility != eligibility:
            child.post(EligibilityChanged(eligibility))
            self._replace_child(searcher.name, eligibility=eligibility)

    def _start_child(
        self, searcher: Searcher, eligibility: Eligibility
    ) -> None:
        task = TargetTask(
            searcher,
            eligibility,
            self._connect,
            self._post,
            self.mailbox.post,
            self._clock,
        )
        self._children[searcher.name] = Child(
            searcher, task.mailbox.post, eligibility
        )
        self._group.create_task(task.run())

    def _eligibility(self, searcher: Searcher) -> Eligibility:
        return Eligibility(
            searcher=searcher,
            current_until=self._current_until,
            is_owner=True,
            may_send=self._may_send(self._placement, searcher.name),
            is_out_of_service=is_out_of_service(searcher, self._view),
            expected_s=self._expected_ms.get(
                searcher.service, DEFAULT_EXPECTED_MS
            )
            / 1000,
        )

    def _unhealthy_searchers(self) -> frozenset[str]:
        reports_by_service: dict[str, dict[str, bool]] = {}
        for name, child in self._children.items():
            service = reports_by_service.setdefault(child.searcher.service, {})
            service[name] = child.healthy
        return frozenset().union(
            *map(health.credible_unhealthy, reports_by_service.values())
        )

    def _on_health_reported(self, name: str, healthy: bool) -> None:
        child = self._children.get(name)
        if child is not None and child.healthy != healthy:
            self._replace_child(name, healthy=healthy)
            self._update_children()

    def _replace_child(self, name: str, **changes: Any) -> None:
        child = self._children.get(name)
        if child is not None:
            self._children[name] = replace(child, **changes)

    def _on_target_released(self, name: str) -> None:
        self._children.pop(name, None)
        for epoch, retired in self._unreleased_epochs.items():
            self._unreleased_epochs[epoch] = retired - {name}
        self._report_epochs()
        self._update_children()

    def _report_epochs(self) -> None:
        done = [
            epoch
            for epoch, retired in self._unreleased_epochs.items()
            if not retired
        ]
        for epoch in sorted(done):
            del self._unreleased_epochs[epoch]
            self._post(EpochReleased(epoch))

    def _answer_stop_requests(self) -> None:
        if not self._children:
            for request in self._stop_requests:
                answer(request, None)

    def _publish_status(self) -> None:
        self._schedule_status()
        statuses = (child.status for child in self._children.values())
        self._post(
            OwnedTargetsStatus(tuple(s for s in statuses if s is not None))
        )

    def _schedule_status(self) -> None:
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

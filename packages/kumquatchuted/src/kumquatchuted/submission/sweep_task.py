"""The task that deletes expired submission records."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.submission.admission import SUBMISSIONS_PER_S
from kumquatchuted.submission.keys import minute_prefix
from kumquatchuted.submission import sweep

SWEEP_INTERVAL_S = 60.0
# Records are deleted as fast as they are admitted, so that they do not
# accumulate.
DELETE_INTERVAL_S = 1 / SUBMISSIONS_PER_S

log = logbook.Logger("submission")


@dataclass(frozen=True)
class SweepDue:
    """Timer message: delete expired records."""


class SweepTask:
    """Deletes expired records at a limited rate."""

    def __init__(
        self, node: str, store: Store, wall_clock: Callable[[], float]
    ) -> None:
        """Create the task.

        :param node: name of this node
        :param wall_clock: returns seconds since 1970
        """
        self.mailbox = Mailbox()
        self._node = node
        self._store = store
        self._wall_clock = wall_clock
        self._state = sweep.SweepState()

    async def run(self) -> None:
        """Run until cancelled."""
        self._set_timer()
        while True:
            await self._handle(await self.mailbox.get())

    async def _handle(self, message: Any) -> None:
        match message:
            case PlacementChanged(placement=placement):
                self._state = sweep.apply_placement(self._state, placement)
            case SweepDue():
                await self._delete_expired()
                self._set_timer()

    async def _delete_expired(self) -> None:
        now = self._wall_clock()
        for minute in sweep.due_minutes(self._state, self._node, now):
            if not await self._delete_minute(minute):
                return
            self._state = sweep.mark_done(self._state, minute)

    async def _delete_minute(self, minute: int) -> bool:
        """Delete the records of a minute; return False if the store failed."""
        listed = await self._store.list(
            ObjectKind.SUBMISSIONS, minute_prefix(minute)
        )
        if isinstance(listed, Failure):
            return False
        for stored in listed.objects:
            await asyncio.sleep(DELETE_INTERVAL_S)
            result = await self._store.delete(
                ObjectKind.SUBMISSIONS, stored.name, stored.version
            )
            if _has_failed(result):
                return False
        if listed.objects:
            log.info("expired records deleted count={}", len(listed.objects))
        return True

    def _set_timer(self) -> None:
        asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self.mailbox.post, SweepDue()
        )


def _has_failed(result: Conflict | Failure | None) -> bool:
    match result:
        case Failure(kind=ErrorKind.NOT_FOUND) | Conflict() | None:
            return False
        case Failure():
            return True

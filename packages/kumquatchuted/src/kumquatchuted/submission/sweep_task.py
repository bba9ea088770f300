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
from kumquatchuted.submission.admission import ADMITTED_PER_S
from kumquatchuted.submission.keys import bucket_prefix
from kumquatchuted.submission import sweep

INTERVAL_S = 60.0
# As fast as records are admitted, so that they cannot pile up.
DELETE_PAUSE_S = 1 / ADMITTED_PER_S

LOG = logbook.Logger("submission")


@dataclass(frozen=True)
class SweepDue:
    """Timer: look for expired records."""


class SweepTask:
    """Deletes at a bounded rate."""

    def __init__(
        self, node: str, store: Store, wall_clock: Callable[[], float]
    ) -> None:
        """Create the task.

        :param wall_clock: seconds since 1970
        """
        self.mailbox = Mailbox()
        self._node = node
        self._store = store
        self._wall_clock = wall_clock
        self._sweep = sweep.Sweep()

    async def run(self) -> None:
        """Work until cancelled."""
        self._arm()
        while True:
            await self._handle(await self.mailbox.get())

    async def _handle(self, message: Any) -> None:
        match message:
            case PlacementChanged(placement=placement):
                self._sweep = sweep.with_placement(self._sweep, placement)
            case SweepDue():
                await self._delete_expired()
                self._arm()

    async def _delete_expired(self) -> None:
        now = self._wall_clock()
        for bucket in sweep.due_buckets(self._sweep, self._node, now):
            if not await self._delete_bucket(bucket):
                return
            self._sweep = sweep.done(self._sweep, bucket)

    async def _delete_bucket(self, bucket: int) -> bool:
        listed = await self._store.list(
            ObjectKind.SUBMISSIONS, bucket_prefix(bucket)
        )
        if isinstance(listed, Failure):
            return False
        for stored in listed.objects:
            await asyncio.sleep(DELETE_PAUSE_S)
            result = await self._store.delete(
                ObjectKind.SUBMISSIONS, stored.name, stored.version
            )
            if _has_failed(result):
                return False
        if listed.objects:
            LOG.info("submission: {} records expired", len(listed.objects))
        return True

    def _arm(self) -> None:
        asyncio.get_running_loop().call_later(
            INTERVAL_S, self.mailbox.post, SweepDue()
        )


def _has_failed(result: Conflict | Failure | None) -> bool:
    match result:
        case Failure(kind=ErrorKind.NOT_FOUND) | Conflict() | None:
            return False
        case Failure():
            return True

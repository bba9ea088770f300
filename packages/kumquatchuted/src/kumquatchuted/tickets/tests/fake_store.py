"""In-memory store with faults that tests switch on."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket_codec import encode_ticket
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.tickets.codec import ticket_name

UNAVAILABLE = Failure(
    ErrorKind.UNAVAILABLE, "connection refused", not_run=True
)
OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "connection reset")


@dataclass
class FakeStore:
    """Store that holds objects by kind and name.

    :param down: every call fails without effect
    :param unresponsive: no call is answered or takes effect
    :param hang_creates: number of next creates that take effect but are never
        answered
    :param stalled_watches: watches deliver nothing
    :param delay_s: seconds before each call takes effect
    :param down_after_create: the store is down after the next create
    :param started_creates: number of creates that were called
    :param lose_creates: number of next creates that take effect but whose
        answer is lost
    :param drop_creates: number of next creates that are lost before they take
        effect
    :param fail_after: number of calls that succeed before all others fail,
        None if calls do not fail
    :param stale_objects: older state that reads return, None for the newest
    :param watchers: kind and event queue of each open watch
    :param revision: number of writes so far
    """

    objects: dict = field(default_factory=dict)
    down: bool = False
    unresponsive: bool = False
    hang_creates: int = 0
    stalled_watches: bool = False
    delay_s: float = 0.0
    down_after_create: bool = False
    started_creates: int = 0
    lose_creates: int = 0
    drop_creates: int = 0
    stale_objects: dict | None = None
    fail_after: int | None = None
    watchers: list = field(default_factory=list)
    revision: int = 0

    async def _begin_call(self):
        await asyncio.sleep(self.delay_s)
        if self.unresponsive:
            await asyncio.Event().wait()
        if self.fail_after is not None:
            self.fail_after -= 1
            if self.fail_after < 0:
                return UNAVAILABLE
        return UNAVAILABLE if self.down else None

    def put_ticket(self, ticket):
        name = ticket_name(ticket.number)
        self._put(ObjectKind.TICKETS, name, encode_ticket(ticket))

    def names(self, kind):
        return [
            name for object_kind, name in self.objects if object_kind is kind
        ]

    def _put(self, kind: ObjectKind, name: str, body: bytes):
        self.revision += 1
        stored = StoredObject(name, str(self.revision), body)
        self.objects[(kind, name)] = stored
        for watched_kind, queue in self.watchers:
            if watched_kind is kind and not self.stalled_watches:
                queue.put_nowait(stored)
        return stored

    async def get(self, kind, name):
        if failure := await self._begin_call():
            return failure
        source = (
            self.objects if self.stale_objects is None else self.stale_objects
        )
        missing = Failure(ErrorKind.NOT_FOUND, f"no {name}", not_run=True)
        return source.get((kind, name), missing)

    async def version(self, kind):
        if failure := await self._begin_call():
            return failure
        return str(self.revision)

    async def list(self, kind, prefix=""):
        if failure := await self._begin_call():
            return failure
        found = (
            stored
            for (object_kind, name), stored in sorted(
                self.objects.items(), key=lambda item: item[0][1]
            )
            if object_kind is kind and name.startswith(prefix)
        )
        return ObjectList(str(self.revision), tuple(found))

    async def create(self, kind, name, body):
        self.started_creates += 1
        if failure := await self._begin_call():
            return failure
        if self.drop_creates:
            self.drop_creates -= 1
            return OUTCOME_UNKNOWN
        if (kind, name) in self.objects:
            return Conflict(name)
        stored = self._put(kind, name, body)
        if self.down_after_create:
            self.down = True
        if self.hang_creates:
            self.hang_creates -= 1
            await asyncio.Event().wait()
        if self.lose_creates:
            self.lose_creates -= 1
            return OUTCOME_UNKNOWN
        return stored

    async def update(self, kind, name, body, version):
        if failure := await self._begin_call():
            return failure
        if self.objects[(kind, name)].version != version:
            return Conflict(name)
        return self._put(kind, name, body)

    async def delete(self, kind, name, version):
        if failure := await self._begin_call():
            return failure
        self.objects.pop((kind, name))
        return None

    async def watch(self, kind, version):
        queue = asyncio.Queue()
        watcher = (kind, queue)
        self.watchers.append(watcher)
        try:
            while True:
                yield await queue.get()
        finally:
            self.watchers.remove(watcher)

    async def close(self):
        """Do nothing; the fake holds no connection."""

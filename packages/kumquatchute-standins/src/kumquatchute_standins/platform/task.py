"""The task that owns the objects, the faults and the open watches."""

import asyncio
from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass
from dataclasses import replace
import time
from typing import Any

from kumquatchute_standins.platform.controls import CallCount
from kumquatchute_standins.platform.controls import Counts
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import FreezeWatches
from kumquatchute_standins.platform.controls import ReadCounts
from kumquatchute_standins.platform.controls import ResetCounts
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.faults import Faults
from kumquatchute_standins.platform.faults import is_silent
from kumquatchute_standins.platform.faults import set_fault
from kumquatchute_standins.platform.faults import take_token
from kumquatchute_standins.platform.messages import CloseWatch
from kumquatchute_standins.platform.messages import CreateObject
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import GetObject
from kumquatchute_standins.platform.messages import Hang
from kumquatchute_standins.platform.messages import LateWrite
from kumquatchute_standins.platform.messages import ListObjects
from kumquatchute_standins.platform.messages import OpenWatch
from kumquatchute_standins.platform.messages import PutObject
from kumquatchute_standins.platform.messages import Read
from kumquatchute_standins.platform.messages import ReadNames
from kumquatchute_standins.platform.messages import RemoveObject
from kumquatchute_standins.platform.messages import ReplaceObject
from kumquatchute_standins.platform.messages import Reply
from kumquatchute_standins.platform.messages import Request
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import Verb
from kumquatchute_standins.platform.messages import WatchBatch
from kumquatchute_standins.platform.messages import WatchOpened
from kumquatchute_standins.platform.messages import WatchPosition
from kumquatchute_standins.platform.messages import Write
from kumquatchute_standins.platform.table import HISTORY_EXPIRED
from kumquatchute_standins.platform.table import SEARCHER_KIND
from kumquatchute_standins.platform.table import Table
from kumquatchuted.mailbox import Ask
from kumquatchuted.mailbox import ask
from kumquatchuted.mailbox import Mailbox

# Interval at which watches are checked for changes that SetEndpointLag hid.
LAG_POLL_INTERVAL_S = 0.02


@dataclass(frozen=True)
class Watch:
    """An open watch.

    :param revision: changes up to this revision have been sent
    :param post: called with each ``WatchBatch``
    :param frozen: whether nothing more is sent
    """

    kind: str
    revision: int
    post: Callable[[Any], None]
    frozen: bool = False


class PlatformTask:
    """Handles requests one at a time, so that the store orders all writes."""

    def __init__(
        self,
        table: Table | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the task.

        :param table: objects at the start
        :param clock: monotonic time in seconds
        """
        self.mailbox = Mailbox()
        self._table = table or Table()
        self._clock = clock
        self._faults = Faults()
        self._watches: dict[int, Watch] = {}
        self._next_watch_id = 1
        self._call_counts: Counter[tuple[Verb, str]] = Counter()
        self._rate_limited_count = 0

    async def ask(self, request: Any) -> Any:
        """Post a request or control message and wait for its result."""
        return await ask(self.mailbox.post, request)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            message = await self._next_message()
            match message:
                case Ask(request=request, fut=fut):
                    result = self._handle(request)
                    if not fut.done():
                        fut.set_result(result)
                case CloseWatch(watch=watch):
                    self._watches.pop(watch, None)
                case None:
                    # The poll interval is over. Hidden changes may now be
                    # visible.
                    pass
                case _:
                    self._handle(message)
            self._send_changes()

    async def _next_message(self) -> Any:
        if not self._faults.endpoint_lag_s:
            return await self.mailbox.get()
        try:
            return await asyncio.wait_for(
                self.mailbox.get(), LAG_POLL_INTERVAL_S
            )
        except TimeoutError:
            return None

    def _handle(self, request: Any) -> Any:
        match request:
            case ReadCounts():
                return self._build_counts()
            case ResetCounts():
                self._call_counts.clear()
                self._rate_limited_count = 0
            case WatchPosition(watch=watch_id):
                return self._watch_position(watch_id)
            case FreezeWatches():
                self._freeze_watches(SilenceWatches())
            case SilenceWatches():
                self._freeze_watches(request)
                self._faults = set_fault(self._faults, request, self._clock())
            case DropHistory():
                self._table.drop_history()
            case (
                GetObject()
                | ListObjects()
                | OpenWatch()
                | CreateObject()
                | ReplaceObject()
                | DeleteObject()
            ):
                return self._handle_call(request)
            case PutObject(kind=kind, name=name, spec=spec):
                return self._table.put(kind, name, spec, self._clock())
            case RemoveObject(kind=kind, name=name):
                removal = DeleteObject(kind, name)
                return self._table.write(removal, self._clock())
            case LateWrite(request=write):
                self._table.write(write, self._clock())
            case ReadNames(kind=kind):
                return set(self._table.kind(kind).objects)
            case _:
                now = self._clock()
                self._faults = set_fault(self._faults, request, now)
        return None

    def _handle_call(self, request: Request) -> Reply:
        now = self._clock()
        self._call_counts[(_verb_of(request), request.kind)] += 1
        delay_s = self._faults.delay_s
        if error := self._find_error(request, now):
            return Reply(error, delay_s)
        match request:
            case OpenWatch():
                return Reply(self._open_watch(request), delay_s)
            case GetObject() | ListObjects():
                return Reply(self._read(request, now), delay_s)
        if self._faults.late_writes.count:
            self._schedule_late_write(request)
            return Reply(Hang())
        result = self._table.write(request, now)
        if self._faults.answers_to_lose and not isinstance(
            result, StatusError
        ):
            self._faults = replace(
                self._faults, answers_to_lose=self._faults.answers_to_lose - 1
            )
            return Reply(result, delay_s, self._faults.loss)
        return Reply(result, delay_s)

    def _schedule_late_write(self, request: Write) -> None:
        late_writes = self._faults.late_writes
        self._faults = replace(
            self._faults,
            late_writes=replace(late_writes, count=late_writes.count - 1),
        )
        asyncio.get_running_loop().call_later(
            late_writes.after_s, self.mailbox.post, LateWrite(request)
        )

    def _freeze_watches(self, silence: SilenceWatches) -> None:
        self._watches = {
            watch_id: replace(
                watch, frozen=watch.frozen or is_silent(silence, watch.kind)
            )
            for watch_id, watch in self._watches.items()
        }

    def _find_error(
        self, request: Request, now: float
    ) -> StatusError | Hang | None:
        """Return how a call fails, None if it takes a token and is served."""
        match self._faults.down:
            case DownMode.HANG:
                return Hang()
            case DownMode.ERROR | DownMode.REFUSE:
                return StatusError(503, "the platform is down")
        match request:
            case CreateObject() | ReplaceObject() | DeleteObject():
                bucket = take_token(self._faults.write_bucket, now)
                if bucket is not None:
                    self._faults = replace(self._faults, write_bucket=bucket)
                    return None
            case _:
                bucket = take_token(self._faults.read_bucket, now)
                if bucket is not None:
                    self._faults = replace(self._faults, read_bucket=bucket)
                    return None
        self._rate_limited_count += 1
        return StatusError(429, "too many calls", retry_after_s=1)

    def _visible_revision(self, kind: str, now: float) -> int:
        older_state = self._faults.older_state
        is_affected = older_state.kind in ("", kind)
        is_lagging = self._faults.endpoint_lag_s and kind == SEARCHER_KIND
        return self._table.visible_revision(
            kind,
            now - self._faults.endpoint_lag_s if is_lagging else None,
            older_state.changes if is_affected else 0,
        )

    def _read(self, request: Read, now: float) -> Any:
        revision = self._visible_revision(request.kind, now)
        match request:
            case GetObject(kind=kind, name=name):
                return self._table.get(kind, name, revision)
            case ListObjects():
                return self._table.page(request, revision)

    def _open_watch(self, request: OpenWatch) -> WatchOpened | StatusError:
        history_start = self._table.kind(request.kind).history_start
        # A revision that is not reached yet comes from a table whose data was
        # lost.
        if not history_start <= request.revision <= self._table.revision:
            return HISTORY_EXPIRED
        watch_id = self._next_watch_id
        self._next_watch_id += 1
        self._watches[watch_id] = Watch(
            request.kind,
            request.revision,
            request.post,
            is_silent(self._faults.silent_watches, request.kind),
        )
        return WatchOpened(watch_id)

    def _watch_position(self, watch_id: int) -> int | None:
        watch = self._watches.get(watch_id)
        if watch is None or watch.frozen or self._faults.down is not None:
            return None
        return watch.revision

    def _send_changes(self) -> None:
        if self._faults.down is not None:
            return
        now = self._clock()
        for watch_id, watch in self._watches.items():
            if watch.frozen:
                continue
            until = self._visible_revision(watch.kind, now)
            if until <= watch.revision:
                continue
            changes = self._table.kind(watch.kind).changes_between(
                watch.revision, until
            )
            self._watches[watch_id] = replace(watch, revision=until)
            if changes:
                watch.post(WatchBatch(tuple(changes), until))

    def _build_counts(self) -> Counts:
        return Counts(
            tuple(
                CallCount(verb, kind, count)
                for (verb, kind), count in sorted(
                    self._call_counts.items(),
                    key=lambda item: (item[0][0].value, item[0][1]),
                )
            ),
            len(self._watches),
            self._rate_limited_count,
        )


def _verb_of(request: Request) -> Verb:
    match request:
        case GetObject():
            return Verb.GET
        case ListObjects():
            return Verb.LIST
        case OpenWatch():
            return Verb.WATCH
        case CreateObject():
            return Verb.CREATE
        case ReplaceObject():
            return Verb.UPDATE
        case DeleteObject():
            return Verb.DELETE

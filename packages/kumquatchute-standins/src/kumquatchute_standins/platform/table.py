"""Objects of the platform with their revisions and history."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from kumquatchute_standins.platform.messages import Change
from kumquatchute_standins.platform.messages import CreateObject
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import ListObjects
from kumquatchute_standins.platform.messages import ObjectRevision
from kumquatchute_standins.platform.messages import Page
from kumquatchute_standins.platform.messages import ReplaceObject
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import Write

MAX_OBJECT_BYTES = 1024 * 1024
# A page ends with the object that reaches one of these limits.
PAGE_OBJECTS = 500
PAGE_BYTES = 1024 * 1024
# Number of changes of a kind above which the older half is dropped.
MAX_HISTORY = 5000
# Kind of the entries that searchers write about themselves.
SEARCHER_KIND = "servers"

HISTORY_EXPIRED = StatusError(410, "the history after this revision is gone")


class KindTable:
    """Owns the objects of one kind and their history."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.objects: dict[str, ObjectRevision] = {}
        self.history: list[Change] = []
        # The history holds all changes after this revision.
        self.history_start = 0

    def as_of(self, revision: int) -> dict[str, ObjectRevision]:
        """Return the objects as they were at a revision.

        :param revision: at least ``history_start``
        """
        objects = dict(self.objects)
        for change in reversed(self.history):
            if change.revision <= revision:
                break
            if change.previous is None:
                objects.pop(change.item.name, None)
            else:
                objects[change.previous.name] = change.previous
        return objects

    def changes_between(self, after: int, until: int) -> Sequence[Change]:
        """Return the changes after one revision, up to another one."""
        changes = []
        for change in reversed(self.history):
            if change.revision <= after:
                break
            if change.revision <= until:
                changes.append(change)
        return changes[::-1]

    def record(self, change: Change) -> None:
        """Apply a change and append it to the history."""
        if change.removed:
            del self.objects[change.item.name]
        else:
            self.objects[change.item.name] = change.item
        self.history.append(change)
        if len(self.history) > MAX_HISTORY:
            dropped = MAX_HISTORY // 2
            self.history_start = self.history[dropped - 1].revision
            del self.history[:dropped]


class Table:
    """Owns all objects. One revision counter orders writes of all kinds."""

    def __init__(self, page_objects: int = PAGE_OBJECTS) -> None:
        """Create an empty table.

        :param page_objects: maximum number of objects in a page of a list
        """
        self.revision = 1
        self.kinds: dict[str, KindTable] = {}
        self._page_objects = page_objects
        # Start of the history of kinds that have no objects yet.
        self._history_start = 0

    def kind(self, kind: str) -> KindTable:
        """Return the table of a kind, an empty one for a new kind."""
        if kind not in self.kinds:
            self.kinds[kind] = KindTable()
            self.kinds[kind].history_start = self._history_start
        return self.kinds[kind]

    def visible_revision(
        self, kind: str, committed_until: float | None, skipped: int
    ) -> int:
        """Return the newest revision that reads may see.

        :param committed_until: hide changes after this monotonic time in
            seconds; None hides none
        :param skipped: number of newest changes that are hidden
        """
        kind_table = self.kind(kind)
        visible_count = len(kind_table.history) - skipped
        if committed_until is not None:
            while (
                visible_count > 0
                and kind_table.history[visible_count - 1].committed_at
                > committed_until
            ):
                visible_count -= 1
        if visible_count >= len(kind_table.history):
            return self.revision
        return (
            kind_table.history[visible_count - 1].revision
            if visible_count > 0
            else kind_table.history_start
        )

    def get(
        self, kind: str, name: str, revision: int
    ) -> ObjectRevision | StatusError:
        """Return an object as it was at a revision."""
        return self._objects_at(kind, revision).get(name) or _not_found(name)

    def page(self, request: ListObjects, revision: int) -> Page:
        """Return a page of the objects as they were at a revision."""
        objects = self._objects_at(request.kind, revision)
        names = sorted(name for name in objects if name > request.after)
        items: list[ObjectRevision] = []
        size = 0
        for name in names[: self._page_objects]:
            items.append(objects[name])
            size += objects[name].size
            if size >= PAGE_BYTES:
                break
        return Page(revision, tuple(items), len(items) < len(names))

    def write(
        self, request: Write, now: float
    ) -> ObjectRevision | StatusError:
        """Apply a write if its conditions are met.

        :param now: monotonic time in seconds
        """
        match request:
            case CreateObject(size=size) | ReplaceObject(size=size) if (
                size > MAX_OBJECT_BYTES
            ):
                message = f"an object has at most {MAX_OBJECT_BYTES} bytes"
                return StatusError(413, message)
            case CreateObject(kind=kind, name=name, spec=spec):
                existing = self.kind(kind).objects.get(name)
                if existing is not None:
                    return _conflict(existing)
                return self._commit(kind, name, spec, request.size, now)
            case ReplaceObject(kind=kind, name=name, spec=spec):
                existing = self.kind(kind).objects.get(name)
                if existing is None:
                    return _not_found(name)
                if request.revision not in (None, existing.revision):
                    return _conflict(existing)
                return self._commit(kind, name, spec, request.size, now)
            case DeleteObject(kind=kind, name=name):
                existing = self.kind(kind).objects.get(name)
                if existing is None:
                    return _not_found(name)
                if request.revision not in (None, existing.revision):
                    return _conflict(existing)
                self.revision += 1
                self.kind(kind).record(
                    Change(
                        self.revision, now, existing, existing, removed=True
                    )
                )
                return existing

    def put(
        self, kind: str, name: str, spec: Any, now: float, size: int = 0
    ) -> ObjectRevision:
        """Create or replace an object unconditionally.

        :param now: monotonic time in seconds
        :param size: length of the encoded object in bytes
        """
        return self._commit(kind, name, spec, size, now)

    def drop_history(self) -> None:
        """Drop the history of all kinds; watches from before it get 410."""
        self._history_start = self.revision
        for kind_table in self.kinds.values():
            kind_table.history_start = self.revision
            kind_table.history.clear()

    def _objects_at(
        self, kind: str, revision: int
    ) -> Mapping[str, ObjectRevision]:
        kind_table = self.kind(kind)
        if revision >= self.revision:
            return kind_table.objects
        return kind_table.as_of(revision)

    def _commit(
        self, kind: str, name: str, spec: Any, size: int, now: float
    ) -> ObjectRevision:
        """Store an object; a spec that is unchanged gets no new revision."""
        previous = self.kind(kind).objects.get(name)
        if previous is not None and previous.document["spec"] == spec:
            return previous
        self.revision += 1
        created = self.revision
        if previous is not None:
            created = previous.document["meta"]["created"]
        meta = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        document = {"meta": meta, "spec": spec, "status": None}
        item = ObjectRevision(name, self.revision, document, size)
        self.kind(kind).record(Change(self.revision, now, item, previous))
        return item


def _not_found(name: str) -> StatusError:
    return StatusError(404, f"there is no object {name}")


def _conflict(existing: ObjectRevision) -> StatusError:
    message = f"the object {existing.name} is at revision {existing.revision}"
    return StatusError(409, message, existing=existing)

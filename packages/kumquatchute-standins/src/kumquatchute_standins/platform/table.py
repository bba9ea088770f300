"""The objects of the platform, their versions and their history."""

from collections.abc import Mapping
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any
import uuid

from kumquatchute_standins.platform.messages import Change
from kumquatchute_standins.platform.messages import ChangeType
from kumquatchute_standins.platform.messages import CreateObject
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import ListObjects
from kumquatchute_standins.platform.messages import Manifest
from kumquatchute_standins.platform.messages import Page
from kumquatchute_standins.platform.messages import ReplaceObject
from kumquatchute_standins.platform.messages import Scope
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import Write

MAX_OBJECT_BYTES = 1024 * 1024
MAX_HISTORY = 5000

CUSTOM_GROUP = "search.kumquatchute.example"
DISCOVERY_GROUP = "discovery.k8s.io"
ENDPOINT_SLICES = "endpointslices"
KINDS: Mapping[str, str] = MappingProxyType(
    {
        "tickets": "Ticket",
        "views": "View",
        "memberships": "Membership",
        "nodeleases": "NodeLease",
        "submissions": "Submission",
        "shardmaps": "ShardMap",
        ENDPOINT_SLICES: "EndpointSlice",
    }
)


EXPIRED = StatusError(
    410, "Expired", "too old resource version, list the collection again"
)


def group_of(plural: str) -> str:
    """Return the API group of a collection."""
    return DISCOVERY_GROUP if plural == ENDPOINT_SLICES else CUSTOM_GROUP


class ScopeTable:
    """Owns the objects of one scope and their changes."""

    def __init__(self) -> None:
        """Create without objects."""
        self.objects: dict[str, Manifest] = {}
        self.history: list[Change] = []
        # History is complete only after this version.
        self.floor = 0

    def as_of(self, version: int) -> dict[str, Manifest]:
        """Return the objects as they were at a version."""
        objects = dict(self.objects)
        for change in reversed(self.history):
            if change.version <= version:
                break
            if change.before is None:
                objects.pop(change.manifest.name, None)
            else:
                objects[change.before.name] = change.before
        return objects

    def after(self, version: int, until: int) -> Sequence[Change]:
        """Return the changes after a version, up to another one."""
        found = []
        for change in reversed(self.history):
            if change.version <= version:
                break
            if change.version <= until:
                found.append(change)
        return found[::-1]

    def record(self, change: Change) -> None:
        """Apply a change and append it to the history."""
        if change.type is ChangeType.DELETED:
            del self.objects[change.manifest.name]
        else:
            self.objects[change.manifest.name] = change.manifest
        self.history.append(change)
        if len(self.history) > MAX_HISTORY:
            cut = MAX_HISTORY // 2
            self.floor = self.history[cut - 1].version
            del self.history[:cut]


class Table:
    """All objects. One version counter orders the writes of all scopes."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.version = 1
        self.scopes: dict[Scope, ScopeTable] = {}

    def scope(self, scope: Scope) -> ScopeTable:
        """Return the table of a scope."""
        return self.scopes.setdefault(scope, ScopeTable())

    def visible(
        self, scope: Scope, before: float | None, left_out: int
    ) -> int:
        """Return the version that reads see.

        :param before: monotonic time in seconds, None for the present
        :param left_out: number of newest changes that reads don't see
        """
        table = self.scope(scope)
        seen = len(table.history) - left_out
        if before is not None:
            while seen > 0 and table.history[seen - 1].at > before:
                seen -= 1
        if seen >= len(table.history):
            return self.version
        return table.history[seen - 1].version if seen > 0 else table.floor

    def get(
        self, scope: Scope, name: str, version: int
    ) -> Manifest | StatusError:
        """Return an object as it was at a version."""
        objects = self._objects(scope, version)
        return objects.get(name) or _not_found(scope, name)

    def page(self, request: ListObjects, version: int) -> Page | StatusError:
        """Return a page of objects; all pages show the same version.

        :param version: version of the first page
        """
        after = ""
        if request.token:
            first, _, after = request.token.partition("/")
            version = int(first) if first.isdigit() else 0
        if version < self.scope(request.scope).floor:
            return EXPIRED
        objects = self._objects(request.scope, version)
        names = sorted(name for name in objects if name > after)
        shown = names[: request.limit or None]
        token = f"{version}/{shown[-1]}" if len(shown) < len(names) else ""
        return Page(version, tuple(objects[name] for name in shown), token)

    def _objects(self, scope: Scope, version: int) -> Mapping[str, Manifest]:
        table = self.scope(scope)
        if version >= self.version:
            return table.objects
        return table.as_of(version)

    def write(self, request: Write, now: float) -> Manifest | StatusError:
        """Apply a write, if its conditions hold.

        :param now: monotonic time in seconds
        """
        match request:
            case CreateObject(size=size) | ReplaceObject(size=size) if (
                size > MAX_OBJECT_BYTES
            ):
                return StatusError(
                    413,
                    "RequestEntityTooLarge",
                    f"limit is {MAX_OBJECT_BYTES} bytes",
                )
            case CreateObject(scope=scope, document=document):
                return self._create(scope, document, now)
            case ReplaceObject(scope=scope, name=name, document=document):
                return self._replace(scope, name, document, now)
            case DeleteObject(scope=scope, name=name):
                return self._delete(scope, name, request, now)

    def put(
        self, scope: Scope, name: str, document: Mapping[str, Any], now: float
    ) -> Manifest:
        """Create or replace an object without conditions.

        :param now: monotonic time in seconds
        """
        old = self.scope(scope).objects.get(name)
        if old is None:
            added, uid = ChangeType.ADDED, str(uuid.uuid4())
            return self._record(added, scope, name, uid, document, None, now)
        return self._record(
            ChangeType.MODIFIED, scope, name, old.uid, document, old, now
        )

    def drop_history(self) -> None:
        """Forget all changes."""
        for table in self.scopes.values():
            table.floor = self.version
            table.history.clear()

    def _create(
        self, scope: Scope, document: Mapping[str, Any], now: float
    ) -> Manifest | StatusError:
        name = document.get("metadata", {}).get("name")
        if not name or not isinstance(name, str):
            return StatusError(422, "Invalid", "metadata.name is required")
        if name in self.scope(scope).objects:
            return StatusError(
                409,
                "AlreadyExists",
                f'{scope.plural} "{name}" already exists',
            )
        uid = str(uuid.uuid4())
        return self._record(
            ChangeType.ADDED, scope, name, uid, document, None, now
        )

    def _replace(
        self,
        scope: Scope,
        name: str,
        document: Mapping[str, Any],
        now: float,
    ) -> Manifest | StatusError:
        old = self.scope(scope).objects.get(name)
        if old is None:
            return _not_found(scope, name)
        meta = document.get("metadata", {})
        if meta.get("name", name) != name:
            return StatusError(400, "BadRequest", "the names don't match")
        version = meta.get("resourceVersion", "")
        if version != str(old.version):
            return _conflict(scope, name)
        return self._record(
            ChangeType.MODIFIED, scope, name, old.uid, document, old, now
        )

    def _delete(
        self, scope: Scope, name: str, request: DeleteObject, now: float
    ) -> Manifest | StatusError:
        old = self.scope(scope).objects.get(name)
        if old is None:
            return _not_found(scope, name)
        if request.version not in ("", str(old.version)):
            return _conflict(scope, name)
        if request.uid not in ("", old.uid):
            return _conflict(scope, name)
        return self._record(
            ChangeType.DELETED, scope, name, old.uid, old.document, old, now
        )

    def _record(
        self,
        type_: ChangeType,
        scope: Scope,
        name: str,
        uid: str,
        document: Mapping[str, Any],
        before: Manifest | None,
        now: float,
    ) -> Manifest:
        self.version += 1
        meta = dict(document.get("metadata", {}))
        meta |= {
            "name": name,
            "namespace": scope.namespace,
            "uid": uid,
            "resourceVersion": str(self.version),
        }
        stored = dict(document)
        stored |= {
            "apiVersion": f"{group_of(scope.plural)}/v1",
            "kind": KINDS[scope.plural],
            "metadata": meta,
        }
        manifest = Manifest(name, self.version, uid, stored)
        change = Change(type_, self.version, now, manifest, before)
        self.scope(scope).record(change)
        return manifest


def _not_found(scope: Scope, name: str) -> StatusError:
    return StatusError(404, "NotFound", f'{scope.plural} "{name}" not found')


def _conflict(scope: Scope, name: str) -> StatusError:
    return StatusError(
        409,
        "Conflict",
        f'{scope.plural} "{name}": the object has been modified',
    )

"""Interface of the platform's object store, as far as nodes use it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from kumquatchute_model.errors import Failure


class ObjectKind(Enum):
    """Kinds of objects that nodes read or write in the store."""

    TICKETS = "tickets"
    VIEWS = "views"
    MEMBERSHIPS = "memberships"
    LEASES = "nodeleases"
    SUBMISSIONS = "submissions"
    SHARD_MAPS = "shardmaps"
    SEARCHERS = "servers"
    NODES = "querynodes"


@dataclass(frozen=True)
class StoredObject:
    """An object and its version.

    :param version: opaque version for conditional updates
    :param body: JSON document
    """

    name: str
    version: str
    body: bytes


@dataclass(frozen=True)
class ObjectDeleted:
    """A watched object was deleted."""

    name: str


@dataclass(frozen=True)
class ObjectList:
    """Objects of a kind and the version from which to watch them."""

    version: str
    objects: tuple[StoredObject, ...]


WatchEvent = StoredObject | ObjectDeleted


class Store(Protocol):
    """Object store with conditional writes.

    Methods return errors instead of raising them: ``Conflict`` if the name
    exists or the version did not match, otherwise a ``Failure``. Among its
    kinds are ``NOT_FOUND``, ``UNAVAILABLE`` and, if a write may have taken
    effect, ``OUTCOME_UNKNOWN``; ``not_run`` is True if the request certainly
    had no effect.
    """

    async def get(
        self, kind: ObjectKind, name: str
    ) -> "StoredObject | Failure":
        """Read the newest state of an object."""

    async def list(
        self, kind: ObjectKind, prefix: str = ""
    ) -> "ObjectList | Failure":
        """Read all objects of a kind whose names start with ``prefix``."""

    async def version(self, kind: ObjectKind) -> "str | Failure":
        """Return the version from which to watch, without the objects."""

    async def create(
        self, kind: ObjectKind, name: str, body: bytes
    ) -> "StoredObject | Conflict | Failure":
        """Create an object unless the name exists."""

    async def update(
        self, kind: ObjectKind, name: str, body: bytes, version: str
    ) -> "StoredObject | Conflict | Failure":
        """Replace an object whose version is still ``version``."""

    async def delete(
        self, kind: ObjectKind, name: str, version: str
    ) -> "None | Conflict | Failure":
        """Delete an object whose version is still ``version``."""

    def watch(
        self, kind: ObjectKind, version: str
    ) -> AsyncIterator["WatchEvent | Failure"]:
        """Yield changes after ``version``; ends after a ``Failure``."""

    async def close(self) -> None:
        """Close the connections."""


@dataclass(frozen=True)
class Conflict:
    """The name exists, or the version is no longer the newest."""

    name: str

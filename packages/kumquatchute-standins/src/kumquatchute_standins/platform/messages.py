"""Messages of the platform stand-in: requests and results."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Verb(Enum):
    """Operation of a call; calls are counted by verb and kind."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True)
class ObjectRevision:
    """One revision of an object.

    :param document: whole JSON object as served; never changed in place
    :param size: length of the encoded object in bytes
    """

    name: str
    revision: int
    document: Mapping[str, Any]
    size: int


@dataclass(frozen=True)
class Change:
    """An entry in the history of a kind.

    :param revision: revision of the store after the change
    :param committed_at: monotonic time in seconds
    :param item: new revision of the object; the last one if it was removed
    :param previous: replaced revision of the object, None for a creation
    """

    revision: int
    committed_at: float
    item: ObjectRevision
    previous: ObjectRevision | None
    removed: bool = False


# Requests and their results.


@dataclass(frozen=True)
class GetObject:
    """Result: ``ObjectRevision`` or ``StatusError``."""

    kind: str
    name: str


@dataclass(frozen=True)
class ListObjects:
    """Result: ``Page``.

    :param after: the page starts after this name; empty for the first page
    """

    kind: str
    after: str = ""


@dataclass(frozen=True)
class CreateObject:
    """Result: ``ObjectRevision`` or ``StatusError``.

    :param size: length of the encoded object in bytes
    """

    kind: str
    name: str
    spec: Any
    size: int = 0


@dataclass(frozen=True)
class ReplaceObject:
    """Result: ``ObjectRevision`` or ``StatusError``.

    :param revision: required current revision, None for any
    :param size: length of the encoded object in bytes
    """

    kind: str
    name: str
    spec: Any
    revision: int | None = None
    size: int = 0


@dataclass(frozen=True)
class DeleteObject:
    """Result: the deleted ``ObjectRevision`` or ``StatusError``.

    :param revision: required current revision, None for any
    """

    kind: str
    name: str
    revision: int | None = None


@dataclass(frozen=True)
class OpenWatch:
    """Result: ``WatchOpened`` or ``StatusError``.

    :param revision: only changes after it are sent
    :param post: called with each ``WatchBatch``
    """

    kind: str
    revision: int
    post: Callable[[Any], None]


@dataclass(frozen=True)
class WatchPosition:
    """Result: revision up to which all changes were sent to a watch.

    None if the watch must stay unanswered: it is frozen, or the platform is
    down.
    """

    watch: int


@dataclass(frozen=True)
class CloseWatch:
    """Close a watch: it was answered or its client is gone."""

    watch: int


@dataclass(frozen=True)
class PutObject:
    """Create or replace an object regardless of faults, without counting it.

    Result: ``ObjectRevision``.
    """

    kind: str
    name: str
    spec: Any


@dataclass(frozen=True)
class RemoveObject:
    """Delete an object regardless of faults, without counting it.

    Result: ``ObjectRevision`` or ``StatusError``.
    """

    kind: str
    name: str


@dataclass(frozen=True)
class ReadNames:
    """Result: set of the names of a kind, regardless of faults."""

    kind: str


@dataclass(frozen=True)
class LateWrite:
    """Carry out a write that was delayed by ``ExecuteLate``.

    Its client gets no answer.
    """

    request: "Write"


Read = GetObject | ListObjects
Write = CreateObject | ReplaceObject | DeleteObject
Request = Read | Write | OpenWatch


@dataclass(frozen=True)
class Page:
    """Objects of a kind at one revision, ordered by name.

    :param revision: revision of the store
    :param has_more: whether another page follows
    """

    revision: int
    items: tuple[ObjectRevision, ...]
    has_more: bool = False


@dataclass(frozen=True)
class WatchOpened:
    """A watch is open until ``CloseWatch``.

    :param watch: number of the watch
    """

    watch: int


@dataclass(frozen=True)
class WatchBatch:
    """Changes for one watch.

    :param revision: revision from which the client watches next
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class StatusError:
    """An error that is answered with an HTTP status.

    :param code: HTTP status
    :param retry_after_s: value of ``Retry-After`` in seconds
    :param existing: current revision of the object after a conflict
    """

    code: int
    message: str
    retry_after_s: int | None = None
    existing: ObjectRevision | None = None


class Loss(Enum):
    """How an answer is lost: the connection is reset or stays open."""

    RESET = "reset"
    SILENT = "silent"


@dataclass(frozen=True)
class Hang:
    """Leave a request unanswered and its connection open."""


@dataclass(frozen=True)
class Reply:
    """How the HTTP handler answers a request.

    :param result: result to encode, or ``Hang``
    :param delay_s: delay of the answer in seconds
    :param loss: how the answer is lost, None if it is sent
    """

    result: Any
    delay_s: float = 0.0
    loss: Loss | None = None

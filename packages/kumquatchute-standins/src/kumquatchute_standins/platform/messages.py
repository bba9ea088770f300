"""Messages of the platform stand-in: requests and results."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Verb(Enum):
    """Kinds of calls that are counted."""

    GET = "get"
    LIST = "list"
    WATCH = "watch"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"


@dataclass(frozen=True)
class ObjectRevision:
    """One state of one object.

    :param document: whole JSON object as served; never changed in place
    :param size: length of what was written, in bytes
    """

    name: str
    revision: int
    document: Mapping[str, Any]
    size: int


@dataclass(frozen=True)
class Change:
    """An entry in the log of a kind.

    :param revision: revision that the change created
    :param at: monotonic time in seconds
    :param item: the object, in its last state if it was removed
    :param before: state that the change replaced, None for a creation
    """

    revision: int
    committed_at: float
    item: ObjectRevision
    previous: ObjectRevision | None
    removed: bool = False


# Requests and their results.


@dataclass(frozen=True)
class GetObject:
    """Result: ``Item`` or ``StatusError``."""

    kind: str
    name: str


@dataclass(frozen=True)
class ListObjects:
    """Result: ``Page``.

    :param after: name before the first object, empty for the first page
    """

    kind: str
    after: str = ""


@dataclass(frozen=True)
class CreateObject:
    """Result: ``Item`` or ``StatusError``.

    :param size: length of the encoded object in bytes
    """

    kind: str
    name: str
    spec: Any
    size: int = 0


@dataclass(frozen=True)
class ReplaceObject:
    """Result: ``Item`` or ``StatusError``.

    :param revision: required revision, None for any
    """

    kind: str
    name: str
    spec: Any
    revision: int | None = None
    size: int = 0


@dataclass(frozen=True)
class DeleteObject:
    """Result: the last ``Item`` or ``StatusError``.

    :param revision: required revision, None for any
    """

    kind: str
    name: str
    revision: int | None = None


@dataclass(frozen=True)
class OpenWatch:
    """Result: ``WatchOpened`` or ``StatusError``.

    :param revision: only changes after it are sent
    :param post: receives ``WatchBatch``
    """

    kind: str
    revision: int
    post: Callable[[Any], None]


@dataclass(frozen=True)
class WatchPosition:
    """Result: revision up to which a watch is complete.

    None if the watch is frozen or the platform is down, so that it is not
    answered.
    """

    watch: int


@dataclass(frozen=True)
class CloseWatch:
    """The client of a watch is gone."""

    watch: int


@dataclass(frozen=True)
class PutObject:
    """Set an object as the platform itself would, past faults and counters.

    Result: ``Item``.
    """

    kind: str
    name: str
    spec: Any


@dataclass(frozen=True)
class RemoveObject:
    """Delete an object as the platform itself would.

    Result: ``Item`` or ``StatusError``.
    """

    kind: str
    name: str


@dataclass(frozen=True)
class ReadNames:
    """Result: set of the names of a kind, past faults and counters."""

    kind: str


@dataclass(frozen=True)
class LateWrite:
    """A write whose client has long given up is carried out now."""

    request: "Write"


Read = GetObject | ListObjects
Write = CreateObject | ReplaceObject | DeleteObject
Request = Read | Write | OpenWatch


@dataclass(frozen=True)
class Page:
    """Objects of a kind at one revision.

    :param has_more: whether objects follow the last one by name
    """

    revision: int
    items: tuple[ObjectRevision, ...]
    has_more: bool = False


@dataclass(frozen=True)
class WatchOpened:
    """A watch runs; it ends with ``CloseWatch``."""

    watch: int


@dataclass(frozen=True)
class WatchBatch:
    """Changes for one watch.

    :param revision: revision from which the watch continues
    """

    changes: tuple[Change, ...]
    revision: int


@dataclass(frozen=True)
class StatusError:
    """An error as the store states it.

    :param retry_after_s: value of ``Retry-After`` in seconds
    :param found: the object that a conditional write met
    """

    code: int
    message: str
    retry_after_s: int | None = None
    existing: ObjectRevision | None = None


class Loss(Enum):
    """How an answer is lost: the connection is reset or stays silent."""

    RESET = "reset"
    SILENT = "silent"


@dataclass(frozen=True)
class Hang:
    """The request gets no answer and its connection stays open."""


@dataclass(frozen=True)
class Reply:
    """What the front end does with a request.

    :param result: result to encode, or ``Hang``
    :param delay_s: time to wait before answering in seconds
    :param lost: how the answer is lost, None if it is sent
    """

    result: Any
    delay_s: float = 0.0
    loss: Loss | None = None

"""JSON documents of the platform's object store.

An object is ``{meta: {name, revision}, spec}`` with more fields that are not
read. A listing is ``{items: [objects], hasMore, asOf}``, the answer of a
watch ``{events: [{object, removed}], asOf}``.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


@dataclass(frozen=True)
class Item:
    """An object of the store.

    :param revision: revision of its last change
    :param content: the whole object, never changed in place
    """

    name: str
    revision: int
    content: Mapping[str, Any]

    @property
    def spec(self) -> Any:
        """Return what the writer of the object stored."""
        return self.content.get("spec")


@dataclass(frozen=True)
class Page:
    """Part of a listing.

    :param revision: the store's revision when the page was read
    :param has_more: whether further objects follow the last one by name
    :param skipped: number of objects without a name or a revision
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool
    skipped: int


@dataclass(frozen=True)
class Event:
    """A change of an object; ``item`` is its last state if removed."""

    item: Item
    removed: bool


@dataclass(frozen=True)
class EventBatch:
    """Answer of a watch.

    :param revision: revision from which the watch continues
    :param skipped: number of events without a name or a revision
    """

    events: tuple[Event, ...]
    revision: int
    skipped: int


class _Page(msgspec.Struct, rename="camel"):
    items: list[Any]
    as_of: int
    has_more: bool = False


class _EventBatch(msgspec.Struct, rename="camel"):
    events: list[Any]
    as_of: int


def encode_object(name: str, spec: bytes, revision: int | None) -> bytes:
    """Encode the body of a creation or replacement.

    :param spec: JSON document
    :param revision: required revision, None for any
    """
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta["revision"] = revision
    return msgspec.json.encode({"meta": meta, "spec": msgspec.Raw(spec)})


def decode_object(body: bytes) -> Item:
    """Decode an object.

    :raises msgspec.DecodeError: it has no name or no revision
    """
    item = _decode_item(msgspec.json.decode(body))
    if item is None:
        raise msgspec.ValidationError("object without name or revision")
    return item


def decode_page(body: bytes) -> Page:
    """Decode a part of a listing; objects without a name are left out.

    :raises msgspec.DecodeError: it is no listing
    """
    page = msgspec.json.decode(body, type=_Page)
    items = tuple(item for item in map(_decode_item, page.items) if item)
    skipped = len(page.items) - len(items)
    return Page(items, page.as_of, page.has_more, skipped)


def decode_events(body: bytes) -> EventBatch:
    """Decode the answer of a watch; events without a name are left out.

    :raises msgspec.DecodeError: it is no such answer
    """
    batch = msgspec.json.decode(body, type=_EventBatch)
    events = []
    for event in batch.events:
        if not isinstance(event, dict):
            continue
        item = _decode_item(event.get("object"))
        if item:
            events.append(Event(item, event.get("removed") is True))
    skipped = len(batch.events) - len(events)
    return EventBatch(tuple(events), batch.as_of, skipped)


def _decode_item(content: object) -> Item | None:
    meta = content.get("meta") if isinstance(content, dict) else None
    if not isinstance(meta, dict):
        return None
    name, revision = meta.get("name"), meta.get("revision")
    if not isinstance(name, str) or not name or type(revision) is not int:
        return None
    return Item(name, revision, content)

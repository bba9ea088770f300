"""JSON documents of the platform's object store.

An object is ``{meta: {name, revision}, spec}``; other fields are ignored. A
page of a listing is ``{items: [objects], hasMore, asOf}``, the response to a
watch is ``{events: [{object, removed}], asOf}``. A relay adds ``ageMs``, the
time since the store last responded to it for the kind.

Other systems write objects too. A value in one of them that cannot be decoded
reads as None and does not affect the other objects.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated
from typing import Any

import msgspec

from kumquatchute_model.decode_errors import DECODE_ERRORS
from kumquatchuted.platform.json_spans import split_array
from kumquatchuted.platform.json_spans import split_object


@dataclass(frozen=True)
class Item:
    """An object of the store.

    :param revision: revision of its last change
    :param content: the whole JSON object, not to be modified
    """

    name: str
    revision: int
    content: Mapping[str, Any]

    @property
    def spec(self) -> Any:
        """Return the content that the writer of the object stored."""
        return self.content.get("spec")


@dataclass(frozen=True)
class Page:
    """A page of a listing, in the order of names.

    :param revision: the store's revision when the page was read
    :param has_more: whether more objects follow the last one
    :param skipped: number of objects without a name or a revision
    :param age_s: time since the store confirmed the objects to the relay that
        sent the page, in seconds; 0 if the sender does not state it
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool
    skipped: int
    age_s: float = 0.0


@dataclass(frozen=True)
class Event:
    """A change of an object; ``item`` is its last state if it was removed."""

    item: Item
    removed: bool


@dataclass(frozen=True)
class EventBatch:
    """Response to a watch.

    :param revision: revision from which to continue the watch
    :param skipped: number of events without a name or a revision
    :param age_s: time since the store confirmed the objects to the relay that
        sent the response, in seconds; 0 if the sender does not state it
    """

    events: tuple[Event, ...]
    revision: int
    skipped: int
    age_s: float = 0.0


# The largest age, of thousands of years, keeps seconds within a float.
_AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Page(msgspec.Struct, rename="camel"):
    items: list[Any]
    as_of: int
    has_more: bool = False
    age_ms: _AgeMs = 0


class _EventBatch(msgspec.Struct, rename="camel"):
    events: list[Any]
    as_of: int
    age_ms: _AgeMs = 0


def encode_object(name: str, spec: bytes, revision: int | None) -> bytes:
    """Encode the body of a request that creates or replaces an object.

    :param spec: JSON document
    :param revision: revision that the stored object must have, None for any
    """
    meta: dict[str, Any] = {"name": name}
    if revision is not None:
        meta["revision"] = revision
    return msgspec.json.encode({"meta": meta, "spec": msgspec.Raw(spec)})


def decode_object(body: bytes) -> Item:
    """Decode an object.

    :raises msgspec.DecodeError: the body is malformed, or the object has no
        name or no revision
    """
    item = _decode_item(msgspec.json.decode(body))
    if item is None:
        raise msgspec.ValidationError("object without name or revision")
    return item


def decode_page(body: bytes) -> Page:
    """Decode a page of a listing.

    Objects without a name or a revision are skipped and counted.

    :raises msgspec.DecodeError: the body is not a page of a listing
    """
    page = _decode_document(body, _Page, "items", 1)
    items = tuple(item for item in map(_decode_item, page.items) if item)
    skipped = len(page.items) - len(items)
    age_s = page.age_ms / 1000
    return Page(items, page.as_of, page.has_more, skipped, age_s)


def decode_events(body: bytes) -> EventBatch:
    """Decode the response to a watch.

    Events without a name or a revision are skipped and counted.

    :raises msgspec.DecodeError: the body is not a response to a watch
    """
    batch = _decode_document(body, _EventBatch, "events", 2)
    events = []
    for event in batch.events:
        if not isinstance(event, dict):
            continue
        item = _decode_item(event.get("object"))
        if item:
            events.append(Event(item, event.get("removed") is True))
    skipped = len(batch.events) - len(events)
    age_s = batch.age_ms / 1000
    return EventBatch(tuple(events), batch.as_of, skipped, age_s)


def _decode_document(
    body: bytes, document_type: type, list_key: str, levels: int
) -> Any:
    """Decode a document, with None for values that cannot be decoded.

    :param list_key: key of the list in the document
    :param levels: levels of objects in each element of the list whose members
        are decoded one by one if the element cannot be decoded
    """
    try:
        return msgspec.json.decode(body, type=document_type)
    except DECODE_ERRORS:
        members = split_object(body)
    if list_key not in members:
        raise msgspec.ValidationError(f"document without {list_key}")
    elements = split_array(members.pop(list_key))
    document: dict[str, Any] = {
        key: msgspec.json.decode(value) for key, value in members.items()
    }
    document[list_key] = [_decode_value(raw, levels) for raw in elements]
    return msgspec.convert(document, document_type)


def _decode_value(raw: bytes, levels: int) -> Any:
    try:
        return msgspec.json.decode(raw)
    except DECODE_ERRORS:
        if levels == 0:
            return None
    try:
        members = split_object(raw)
    except DECODE_ERRORS:
        return None
    return {
        key: _decode_value(value, levels - 1) for key, value in members.items()
    }


def _decode_item(content: object) -> Item | None:
    meta = content.get("meta") if isinstance(content, dict) else None
    if not isinstance(meta, dict):
        return None
    name, revision = meta.get("name"), meta.get("revision")
    if not isinstance(name, str) or not name or type(revision) is not int:
        return None
    return Item(name, revision, content)

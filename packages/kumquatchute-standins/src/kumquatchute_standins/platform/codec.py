"""JSON of the store: objects, listings, events, errors and controls."""

from dataclasses import dataclass
from typing import Any

import msgspec

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import Control
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import ExecuteLate
from kumquatchute_standins.platform.controls import FreezeWatches
from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import ReadCounts
from kumquatchute_standins.platform.controls import ResetCounts
from kumquatchute_standins.platform.controls import ServeOlder
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetEndpointLag
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.messages import ObjectRevision
from kumquatchute_standins.platform.messages import Page
from kumquatchute_standins.platform.messages import StatusError
from kumquatchute_standins.platform.messages import WatchBatch

CONTROL_TYPES = {
    "set_down": SetDown,
    "set_delay": SetDelay,
    "lose_answers": LoseAnswers,
    "execute_late": ExecuteLate,
    "silence_watches": SilenceWatches,
    "set_endpoint_lag": SetEndpointLag,
    "serve_older": ServeOlder,
    "set_rate": SetRate,
    "freeze_watches": FreezeWatches,
    "drop_history": DropHistory,
    "clear_faults": ClearFaults,
    "read_counts": ReadCounts,
    "reset_counts": ResetCounts,
}


@dataclass(frozen=True)
class WriteBody:
    """Body of a creation or replacement.

    :param name: empty if the body names no object
    :param revision: required revision, None for any
    """

    name: str
    revision: int | None
    spec: Any


def encode_object(item: ObjectRevision) -> bytes:
    """Encode an object."""
    return msgspec.json.encode(item.document)


def encode_page(page: Page) -> bytes:
    """Encode a page of a listing."""
    return msgspec.json.encode(
        {
            "items": [item.document for item in page.items],
            "hasMore": page.has_more,
            "asOf": page.revision,
        }
    )


def encode_events(batch: WatchBatch) -> bytes:
    """Encode the answer of a watch."""
    return msgspec.json.encode(
        {
            "events": [
                {"object": change.item.document, "removed": change.removed}
                for change in batch.changes
            ],
            "asOf": batch.revision,
        }
    )


def encode_error(error: StatusError) -> bytes:
    """Encode an error; a conflict shows the object that was met."""
    if error.existing is not None:
        return encode_object(error.existing)
    return msgspec.json.encode({"error": error.message})


def decode_write_body(body: bytes) -> WriteBody | StatusError:
    """Decode the body of a creation or replacement."""
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        return StatusError(400, str(exc))
    meta = document.get("meta", {})
    if not isinstance(meta, dict):
        return StatusError(400, "meta is not an object")
    name, revision = meta.get("name", ""), meta.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int | None):
        return StatusError(400, "the name or the revision is of another type")
    return WriteBody(name, revision, document.get("spec"))


def decode_control(body: bytes) -> Control | StatusError:
    """Decode a control message: the entry ``do`` names it.

    Example: ``{"do": "lose_answers", "count": 2, "loss": "silent"}``.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
        control_type = CONTROL_TYPES[fields.pop("do", "")]
        return msgspec.convert(fields, control_type)
    except KeyError:
        known = ", ".join(CONTROL_TYPES)
        return StatusError(400, f"do is one of {known}")
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return StatusError(400, str(exc))

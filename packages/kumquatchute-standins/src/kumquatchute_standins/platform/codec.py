"""Encodes and decodes objects, lists, events, errors and controls as JSON."""

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
    """Decoded body of a create or replace request.

    :param name: name in the body, empty if it has none
    :param revision: required current revision, None for any
    """

    name: str
    revision: int | None
    spec: Any


def encode_object(item: ObjectRevision) -> bytes:
    """Encode an object."""
    return msgspec.json.encode(item.document)


def encode_page(page: Page) -> bytes:
    """Encode one page of a list."""
    return msgspec.json.encode(
        {
            "items": [item.document for item in page.items],
            "hasMore": page.has_more,
            "asOf": page.revision,
        }
    )


def encode_events(batch: WatchBatch) -> bytes:
    """Encode the answer to a watch."""
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
    """Encode an error; the body of a conflict is the existing object."""
    if error.existing is not None:
        return encode_object(error.existing)
    return msgspec.json.encode({"error": error.message})


def decode_write_body(body: bytes) -> WriteBody | StatusError:
    """Decode the body of a create or replace request.

    :returns: an error with status 400 if the body is malformed
    """
    try:
        document = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as exc:
        return StatusError(400, str(exc))
    meta = document.get("meta", {})
    if not isinstance(meta, dict):
        return StatusError(400, "meta is not a JSON object")
    name, revision = meta.get("name", ""), meta.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int | None):
        return StatusError(
            400, "name is not a string or revision is not an integer"
        )
    return WriteBody(name, revision, document.get("spec"))


def decode_control(body: bytes) -> Control | StatusError:
    """Decode a control message; the field ``do`` selects its type.

    Example: ``{"do": "lose_answers", "count": 2, "loss": "silent"}``.

    :returns: an error with status 400 if the message is malformed
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
        control_type = CONTROL_TYPES[fields.pop("do", "")]
        return msgspec.convert(fields, control_type)
    except KeyError:
        known = ", ".join(CONTROL_TYPES)
        return StatusError(400, f"do must be one of {known}")
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return StatusError(400, str(exc))

"""Tickets and views to and from bytes.

A compacted view is the JSON document of its entries, cut into chunks. Each
chunk is an object of its own, because the store holds values up to 1 MB and a
view can be larger. The head names the newest compacted view and its checksum,
so that chunks of different writers are never mixed.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import msgspec
import xxhash

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import decode_ticket
from kumquatchute_model.ticket_codec import entry_from_wire
from kumquatchute_model.ticket_codec import entry_to_wire
from kumquatchute_model.ticket_codec import WireEntry
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChunk
from kumquatchuted.tickets.view import build_view
from kumquatchuted.tickets.view import list_entries

HEAD_NAME = "head"
TICKET_PREFIX = "ticket-"
# The store holds JSON, in which bytes take 4/3 of their size as base64;
# 360,000 bytes become an object of 480,000 bytes.
CHUNK_BYTES = 360_000
MAX_CHUNKS = 200


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names the newest compacted view.

    :param chunks: number of chunk objects
    :param checksum: checksum of the encoded view
    """

    number: int
    digest: str
    chunks: int
    checksum: str


class Chunk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Part of a compacted view."""

    number: int
    index: int
    data: bytes


class _WireView(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    digest: str
    entries: tuple[WireEntry, ...]


def ticket_name(number: int) -> str:
    """Return the name of a ticket's object."""
    return f"{TICKET_PREFIX}{number:010d}"


def chunk_name(number: int, index: int) -> str:
    """Return the name of a chunk's object."""
    return f"view-{number:010d}-{index:04d}"


def decode_ticket_record(number: int, body: bytes) -> Ticket | Failure:
    """Read the object of a ticket and check its digest and number."""
    ticket = decode_ticket(body)
    if isinstance(ticket, Ticket) and ticket.number == number:
        return ticket
    reason = ticket.reason if isinstance(ticket, Failure) else "wrong number"
    return Failure(
        ErrorKind.TICKET_CONFLICT,
        f"the record of ticket {number} cannot be used: {reason}",
        not_run=True,
    )


def encode_view(view: View) -> bytes:
    """Return the JSON document of a view, the same for equal views."""
    entries = tuple(map(entry_to_wire, list_entries(view)))
    return msgspec.json.encode(_WireView(view.number, view.digest, entries))


def decode_view(body: bytes) -> View | Failure:
    """Read the JSON document of a view."""
    wire = _decode(body, _WireView)
    if isinstance(wire, Failure):
        return wire
    return build_view(
        wire.number, wire.digest, map(entry_from_wire, wire.entries)
    )


def split_view(view: View) -> tuple[ViewChunk, ...]:
    """Return the parts of a view, each with at most ``CHUNK_BYTES``."""
    body = encode_view(view)
    parts = [
        body[start : start + CHUNK_BYTES]
        for start in range(0, len(body), CHUNK_BYTES)
    ]
    checksum = xxhash.xxh3_128_hexdigest(body)
    return tuple(
        ViewChunk(view.number, view.digest, i, len(parts), checksum, part)
        for i, part in enumerate(parts)
    )


def join_chunks(parts: tuple[bytes, ...], checksum: str) -> View | Failure:
    """Return the view of all its parts in order."""
    body = b"".join(parts)
    if xxhash.xxh3_128_hexdigest(body) != checksum:
        return _internal_failure(
            "chunks do not match the checksum of the view"
        )
    return decode_view(body)


@dataclass(frozen=True)
class ChunkAssembly:
    """Parts of a view that have arrived from a peer.

    :param parts: bytes by position
    """

    count: int
    checksum: str
    parts: Mapping[int, bytes]

    @property
    def is_complete(self) -> bool:
        """Return whether all parts are there."""
        return len(self.parts) == self.count


def add_chunk(
    assembly: ChunkAssembly | None, chunk: ViewChunk
) -> ChunkAssembly:
    """Return the parts with one more; parts of another view are dropped."""
    if assembly is None or assembly.checksum != chunk.checksum:
        assembly = ChunkAssembly(chunk.count, chunk.checksum, {})
    if not 0 <= chunk.index < min(assembly.count, MAX_CHUNKS):
        return assembly
    parts = {**assembly.parts, chunk.index: chunk.body}
    return replace(assembly, parts=parts)


def assemble_view(assembly: ChunkAssembly) -> View | Failure:
    """Return the view of a complete assembly."""
    parts = (assembly.parts[i] for i in range(assembly.count))
    return join_chunks(tuple(parts), assembly.checksum)


def encode_chunk(chunk: ViewChunk) -> bytes:
    """Return the object of a chunk."""
    return msgspec.json.encode(Chunk(chunk.number, chunk.index, chunk.body))


def decode_chunk(body: bytes) -> Chunk | Failure:
    """Read the object of a chunk."""
    return _decode(body, Chunk)


def encode_head(chunk: ViewChunk) -> bytes:
    """Return the head object of the view to which a chunk belongs."""
    return msgspec.json.encode(
        Head(chunk.number, chunk.digest, chunk.count, chunk.checksum)
    )


def decode_head(body: bytes) -> Head | Failure:
    """Read the head object."""
    head = _decode(body, Head)
    if isinstance(head, Head) and not 0 < head.chunks <= MAX_CHUNKS:
        return _internal_failure(f"a view has 1 to {MAX_CHUNKS} chunks")
    return head


def _decode(body: bytes, kind: type) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return _internal_failure(str(exc))


def _internal_failure(reason: str) -> Failure:
    return Failure(ErrorKind.INTERNAL, reason, not_run=True)

"""Encoding of tickets and views for the store and for peers.

A compacted view is the JSON document of its entries, split into chunks. Each
chunk is a separate object, because the store accepts values up to 1 MB and a
view can be larger. The head names the newest compacted view and its checksum,
so that a reader never combines chunks of different writers.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

import msgspec
import xxhash

from kumquatchute_model.decode_errors import DECODE_ERRORS
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
# The store holds JSON, where bytes are base64 and take 4/3 of their size:
# 360,000 bytes become an object of 480,000 bytes.
CHUNK_BYTES = 360_000
MAX_CHUNKS = 200


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Object that names the newest compacted view.

    :param number: newest ticket in the view
    :param digest: digest of that ticket
    :param chunks: number of chunk objects
    :param checksum: XXH3-128 of the encoded view, hexadecimal
    """

    number: int
    digest: str
    chunks: int
    checksum: str


class Chunk(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Object that holds one chunk of a compacted view.

    :param number: newest ticket in the view
    :param index: position of the chunk, from 0
    """

    number: int
    index: int
    data: bytes


class _WireView(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int
    digest: str
    entries: tuple[WireEntry, ...]


def ticket_name(number: int) -> str:
    """Return the name of the object that holds a ticket."""
    return f"{TICKET_PREFIX}{number:010d}"


def chunk_name(number: int, index: int) -> str:
    """Return the name of the object that holds a chunk of a view."""
    return f"view-{number:010d}-{index:04d}"


def decode_ticket_record(number: int, body: bytes) -> Ticket | Failure:
    """Decode the object of a ticket and check its digest and number.

    :returns: the ticket, ``TICKET_CONFLICT`` if the object is not usable
    """
    ticket = decode_ticket(body)
    if isinstance(ticket, Ticket) and ticket.number == number:
        return ticket
    reason = (
        ticket.reason
        if isinstance(ticket, Failure)
        else "it has another number"
    )
    return Failure(
        ErrorKind.TICKET_CONFLICT,
        f"the record of ticket {number} is not usable: {reason}",
        not_run=True,
    )


def encode_view(view: View) -> bytes:
    """Return the JSON document of a view; equal views give equal bytes."""
    entries = tuple(map(entry_to_wire, list_entries(view)))
    return msgspec.json.encode(_WireView(view.number, view.digest, entries))


def decode_view(body: bytes) -> View | Failure:
    """Decode the JSON document of a view.

    :returns: the view, ``INTERNAL`` if the document is not usable
    """
    wire = _decode(body, _WireView)
    if isinstance(wire, Failure):
        return wire
    return build_view(
        wire.number, wire.digest, map(entry_from_wire, wire.entries)
    )


def split_view(view: View) -> tuple[ViewChunk, ...]:
    """Return the chunks of a view, each at most ``CHUNK_BYTES`` long."""
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
    """Return the view whose chunks are given in order.

    :returns: the view, ``INTERNAL`` if the checksum does not match or the
        document is not usable
    """
    body = b"".join(parts)
    if xxhash.xxh3_128_hexdigest(body) != checksum:
        return _internal_failure(
            "the chunks do not match the checksum of the view"
        )
    return decode_view(body)


@dataclass(frozen=True)
class ChunkAssembly:
    """Chunks of a view received so far from a peer.

    :param count: number of chunks of the view
    :param parts: bytes of each chunk by its position
    """

    count: int
    checksum: str
    parts: Mapping[int, bytes]

    @property
    def is_complete(self) -> bool:
        """Return True if all chunks were received."""
        return len(self.parts) == self.count


def add_chunk(
    assembly: ChunkAssembly | None, chunk: ViewChunk
) -> ChunkAssembly:
    """Return the chunks with one added.

    A chunk of another view replaces all chunks received before it. A chunk
    whose index is out of range is ignored.
    """
    if assembly is None or assembly.checksum != chunk.checksum:
        assembly = ChunkAssembly(chunk.count, chunk.checksum, {})
    if not 0 <= chunk.index < min(assembly.count, MAX_CHUNKS):
        return assembly
    parts = {**assembly.parts, chunk.index: chunk.body}
    return replace(assembly, parts=parts)


def assemble_view(assembly: ChunkAssembly) -> View | Failure:
    """Return the view of a complete assembly, as ``join_chunks`` does."""
    parts = (assembly.parts[i] for i in range(assembly.count))
    return join_chunks(tuple(parts), assembly.checksum)


def encode_chunk(chunk: ViewChunk) -> bytes:
    """Encode the object of a chunk."""
    return msgspec.json.encode(Chunk(chunk.number, chunk.index, chunk.body))


def decode_chunk(body: bytes) -> Chunk | Failure:
    """Decode the object of a chunk.

    :returns: the chunk, ``INTERNAL`` if the object is not usable
    """
    return _decode(body, Chunk)


def encode_head(chunk: ViewChunk) -> bytes:
    """Encode the head object of the view to which a chunk belongs."""
    return msgspec.json.encode(
        Head(chunk.number, chunk.digest, chunk.count, chunk.checksum)
    )


def decode_head(body: bytes) -> Head | Failure:
    """Decode the head object.

    :returns: the head, ``INTERNAL`` if the object is not usable
    """
    head = _decode(body, Head)
    if isinstance(head, Head) and not 0 < head.chunks <= MAX_CHUNKS:
        return _internal_failure(f"a view has 1 to {MAX_CHUNKS} chunks")
    return head


def _decode(body: bytes, struct_type: type) -> Any:
    try:
        return msgspec.json.decode(body, type=struct_type)
    except DECODE_ERRORS as exc:
        return _internal_failure(str(exc))


def _internal_failure(reason: str) -> Failure:
    return Failure(ErrorKind.INTERNAL, reason, not_run=True)

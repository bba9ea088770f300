"""Reads and writes the compacted view in the store.

A node that starts reads it and the tickets after it, not the whole log.
"""

import asyncio

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.tickets.codec import chunk_name
from kumquatchuted.tickets.codec import decode_chunk
from kumquatchuted.tickets.codec import decode_head
from kumquatchuted.tickets.codec import encode_chunk
from kumquatchuted.tickets.codec import encode_head
from kumquatchuted.tickets.codec import Head
from kumquatchuted.tickets.codec import HEAD_NAME
from kumquatchuted.tickets.codec import join_chunks
from kumquatchuted.tickets.codec import split_view
from kumquatchuted.tickets.compaction_schedule import TICKETS_PER_COMPACTION
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChunk
from kumquatchuted.tickets.store_calls import read_with_timeout
from kumquatchuted.tickets.store_calls import write_with_timeout


async def read_compacted_view(store: Store) -> View | None | Failure:
    """Read the newest compacted view.

    :returns: the view, None if there is none, ``UNAVAILABLE`` if a retry may
        succeed, ``INTERNAL`` if its content is not usable
    """
    found = await read_with_timeout(store.get(ObjectKind.VIEWS, HEAD_NAME))
    match found:
        case Failure(kind=ErrorKind.NOT_FOUND):
            return None
        case Failure():
            return found
    head = decode_head(found.body)
    if isinstance(head, Failure):
        return head
    parts = []
    for index in range(head.chunks):
        part = await _read_chunk(store, head.number, index)
        if isinstance(part, Failure):
            return part
        parts.append(part)
    return await asyncio.to_thread(join_chunks, tuple(parts), head.checksum)


async def write_compacted_view(store: Store, view: View) -> Failure | None:
    """Write a view as chunks, then the head that names them.

    A reader sees either the previous head or the new one with all its
    chunks, no matter at which call the writer stops. Nothing is written if
    the head names a newer view or one that is less than
    ``TICKETS_PER_COMPACTION`` tickets older.

    :returns: None if the store now holds this view or a recent one, otherwise
        why the view was not written
    """
    stored_head = await read_with_timeout(
        store.get(ObjectKind.VIEWS, HEAD_NAME)
    )
    head = _decode_stored_head(stored_head)
    if isinstance(head, Failure):
        return head
    if head and head.number > view.number - TICKETS_PER_COMPACTION:
        return None
    # Encoding a large view on the event loop would block it for too long.
    chunks = await asyncio.to_thread(split_view, view)
    for chunk in chunks:
        if failure := await _write_chunk(store, chunk):
            return failure
    if failure := await _write_head(
        store, encode_head(chunks[0]), stored_head
    ):
        return await _delete_unnamed_chunks(store, chunks[0], failure)
    if head:
        await _delete_chunks(store, head.number, head.chunks)
    return None


def _decode_stored_head(
    found: StoredObject | Failure,
) -> Head | None | Failure:
    match found:
        case StoredObject(body=body):
            head = decode_head(body)
            # A head that is not usable is overwritten.
            return None if isinstance(head, Failure) else head
        case Failure(kind=ErrorKind.NOT_FOUND):
            return None
        case _:
            return found


async def _read_chunk(
    store: Store, number: int, index: int
) -> bytes | Failure:
    name = chunk_name(number, index)
    found = await read_with_timeout(store.get(ObjectKind.VIEWS, name))
    match found:
        case Failure(kind=ErrorKind.NOT_FOUND):
            # Another node wrote a newer head and deleted this view's chunks.
            return Failure(
                ErrorKind.UNAVAILABLE,
                f"{name} was deleted by a newer compaction",
                True,
            )
        case Failure():
            return found
    chunk = decode_chunk(found.body)
    return chunk if isinstance(chunk, Failure) else chunk.data


async def _write_chunk(store: Store, chunk: ViewChunk) -> Failure | None:
    name = chunk_name(chunk.number, chunk.index)
    body = encode_chunk(chunk)
    result = await write_with_timeout(
        store.create(ObjectKind.VIEWS, name, body)
    )
    match result:
        case StoredObject():
            return None
        case Failure(not_run=True):
            return result
    # The name exists or the answer was lost. Equal content means success.
    found = await read_with_timeout(store.get(ObjectKind.VIEWS, name))
    match found:
        case StoredObject(body=same) if same == body:
            return None
        case StoredObject():
            return Failure(
                ErrorKind.INTERNAL, f"{name} exists with different content"
            )
        case _:
            return found


async def _write_head(
    store: Store, body: bytes, stored_head: StoredObject | Failure
) -> Failure | None:
    match stored_head:
        case StoredObject(version=version):
            call = store.update(ObjectKind.VIEWS, HEAD_NAME, body, version)
        case _:
            call = store.create(ObjectKind.VIEWS, HEAD_NAME, body)
    result = await write_with_timeout(call)
    match result:
        case Conflict():
            return Failure(
                ErrorKind.INTERNAL,
                "another node changed the head at the same time",
                not_run=True,
            )
        case Failure():
            return result
        case _:
            return None


async def _delete_unnamed_chunks(
    store: Store, chunk: ViewChunk, failure: Failure
) -> Failure | None:
    """Delete the new chunks if the head was certainly not written.

    :param chunk: first chunk of the new view
    :param failure: failure of the write of the head
    :returns: None if the head names the new view after all, otherwise the
        failure
    """
    found = await read_with_timeout(store.get(ObjectKind.VIEWS, HEAD_NAME))
    if isinstance(found, StoredObject) and found.body == encode_head(chunk):
        return None
    if failure.not_run:
        await _delete_chunks(store, chunk.number, chunk.count)
    return failure


async def _delete_chunks(store: Store, number: int, count: int) -> None:
    """Delete chunks that no head names; stop at the first failed read."""
    for index in range(count):
        name = chunk_name(number, index)
        found = await read_with_timeout(store.get(ObjectKind.VIEWS, name))
        if isinstance(found, Failure):
            return
        await write_with_timeout(
            store.delete(ObjectKind.VIEWS, name, found.version)
        )

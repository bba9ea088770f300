"""Store calls of the ticket slice, each with a bound on its duration.

Every function returns the event that the log expects, whatever the store
does. A read that is not answered in time is ``UNAVAILABLE``; a write that is
not answered in time is ``OUTCOME_UNKNOWN``.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import NO_DIGEST
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import encode_ticket
from kumquatchuted.mailbox import Post
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject
from kumquatchuted.tickets.actions import ReadNext
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import ReadRecords
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.codec import read_ticket
from kumquatchuted.tickets.codec import ticket_name
from kumquatchuted.tickets.codec import TICKET_PREFIX
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import NextRead
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import RecordsRead
from kumquatchuted.tickets.events import TicketSeen

CALL_LIMIT_S = 1.5
# Tickets read in one go, so that the mailbox gets progress in between.
READ_TICKETS = 50
LIST_BYTES = 4_000_000


async def bounded_read(call: Awaitable[Any]) -> Any:
    """Wait for a read; every fault but ``NOT_FOUND`` is ``UNAVAILABLE``."""
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            result = await call
    except TimeoutError:
        return _unavailable(f"no answer within {CALL_LIMIT_S:g} s")
    match result:
        case Failure(kind=ErrorKind.NOT_FOUND):
            return result
        case Failure(reason=reason):
            return _unavailable(reason)
        case _:
            return result


async def bounded_write(call: Awaitable[Any]) -> Any:
    """Wait for a write, whose effect is unknown without an answer."""
    try:
        async with asyncio.timeout(CALL_LIMIT_S):
            return await call
    except TimeoutError:
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            f"no answer from the store within {CALL_LIMIT_S:g} s",
        )


async def read_number(store: Store, number: int) -> Ticket | Failure:
    """Read the record of a ticket."""
    found = await bounded_read(
        store.get(ObjectKind.TICKETS, ticket_name(number))
    )
    if isinstance(found, Failure):
        return found
    return read_ticket(number, found.body)


async def read_next(
    store: Store, action: ReadNext, clock: Callable[[], float]
) -> NextRead:
    """Read the tickets after a number until there is none."""
    result = NextRead((), clock(), False, for_submit=action.for_submit)
    if action.for_submit and action.digest != NO_DIGEST:
        own = await read_number(store, action.after)
        match own:
            case Ticket():
                held = own.digest() == action.digest
            case Failure(kind=ErrorKind.UNAVAILABLE):
                return replace(result, failure=own)
            case _:
                held = False
        result = replace(result, own=held)
    for number in range(action.after + 1, action.after + 1 + READ_TICKETS):
        result = replace(result, at=clock())
        found = await read_number(store, number)
        match found:
            case Ticket():
                result = replace(result, tickets=(*result.tickets, found))
            case Failure(kind=ErrorKind.NOT_FOUND):
                return replace(result, complete=True)
            case Failure():
                return replace(result, failure=found)
    return result


async def create(store: Store, ticket: Ticket) -> CreateDone:
    """Create the record of a ticket."""
    body = encode_ticket(ticket)
    if isinstance(body, Failure):
        return CreateDone(ticket, body)
    result = await bounded_write(
        store.create(ObjectKind.TICKETS, ticket_name(ticket.number), body)
    )
    match result:
        case StoredObject():
            return CreateDone(ticket, CreateOutcome.CREATED)
        case Conflict():
            return CreateDone(ticket, CreateOutcome.EXISTS)
        case Failure() as fault:
            return CreateDone(ticket, fault)


async def read_record(store: Store, action: ReadRecord) -> RecordRead:
    """Read the record of one ticket."""
    found = await read_number(store, action.number)
    return RecordRead(action.number, action.ask, found)


async def read_records(store: Store, action: ReadRecords) -> RecordsRead:
    """Read tickets for a list, at least one unless the store fails."""
    tickets: list[Ticket] = []
    total = 0
    for number in range(action.after + 1, action.after + 1 + action.limit):
        found = await bounded_read(
            store.get(ObjectKind.TICKETS, ticket_name(number))
        )
        if isinstance(found, Failure):
            if tickets:
                break
            return RecordsRead(action.ask, _listing_failed(number, found))
        ticket = read_ticket(number, found.body)
        if isinstance(ticket, Failure):
            return RecordsRead(action.ask, ticket)
        total += len(found.body)
        if tickets and total > LIST_BYTES:
            break
        tickets.append(ticket)
    return RecordsRead(action.ask, tuple(tickets))


async def watch(store: Store, action: WatchTickets, post: Post) -> None:
    """Post the tickets that a watch delivers, until it fails."""
    # The version alone: a list would read the whole log. A ticket created
    # before the watch starts is in the version's past, so it is read.
    version = await bounded_read(store.version(ObjectKind.TICKETS))
    if isinstance(version, Failure):
        return
    missed = await read_number(store, action.after + 1)
    if isinstance(missed, Ticket):
        post(TicketSeen(missed))
    async for event in store.watch(ObjectKind.TICKETS, version):
        match event:
            case StoredObject():
                _post_seen(event, post)
            case Failure():
                return


def _post_seen(found: StoredObject, post: Post) -> None:
    """Post a ticket; a record that cannot be used is left to the poll."""
    digits = found.name.removeprefix(TICKET_PREFIX)
    if not digits.isdecimal():
        return
    ticket = read_ticket(int(digits), found.body)
    if isinstance(ticket, Ticket):
        post(TicketSeen(ticket))


def _listing_failed(number: int, fault: Failure) -> Failure:
    return Failure(
        ErrorKind.UNAVAILABLE,
        f"ticket {number} cannot be read: {fault.reason}",
        not_run=True,
    )


def _unavailable(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)

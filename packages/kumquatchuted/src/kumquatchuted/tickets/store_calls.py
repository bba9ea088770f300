"""Calls of the ticket slice to the store, each with a timeout.

The functions that run an action always return the event that the log expects,
also when the store fails. A read that times out is ``UNAVAILABLE``, a write
that times out is ``OUTCOME_UNKNOWN``.
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
from kumquatchuted.tickets.actions import ReadNewTickets
from kumquatchuted.tickets.actions import ReadRecord
from kumquatchuted.tickets.actions import ReadTicketList
from kumquatchuted.tickets.actions import WatchTickets
from kumquatchuted.tickets.codec import decode_ticket_record
from kumquatchuted.tickets.codec import ticket_name
from kumquatchuted.tickets.codec import TICKET_PREFIX
from kumquatchuted.tickets.events import CreateDone
from kumquatchuted.tickets.events import CreateOutcome
from kumquatchuted.tickets.events import NewTicketsRead
from kumquatchuted.tickets.events import RecordRead
from kumquatchuted.tickets.events import TicketDelivered
from kumquatchuted.tickets.events import TicketListRead

CALL_TIMEOUT_S = 1.5
# A longer log is read in several actions, so that the tickets read so far are
# applied in between.
MAX_TICKETS_PER_READ = 50
MAX_LIST_BYTES = 4_000_000


async def read_with_timeout(call: Awaitable[Any]) -> Any:
    """Wait for a read; failures except ``NOT_FOUND`` are ``UNAVAILABLE``."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            result = await call
    except TimeoutError:
        return _unavailable(f"no answer within {CALL_TIMEOUT_S:g} s")
    match result:
        case Failure(kind=ErrorKind.NOT_FOUND):
            return result
        case Failure(reason=reason):
            return _unavailable(reason)
        case _:
            return result


async def write_with_timeout(call: Awaitable[Any]) -> Any:
    """Wait for a write; return ``OUTCOME_UNKNOWN`` if it times out."""
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await call
    except TimeoutError:
        return Failure(
            ErrorKind.OUTCOME_UNKNOWN,
            f"no answer from the store within {CALL_TIMEOUT_S:g} s",
        )


async def read_ticket(store: Store, number: int) -> Ticket | Failure:
    """Read the record of a ticket.

    :returns: the ticket, or ``NOT_FOUND``, ``UNAVAILABLE`` or
        ``TICKET_CONFLICT`` if the record is not usable
    """
    found = await read_with_timeout(
        store.get(ObjectKind.TICKETS, ticket_name(number))
    )
    if isinstance(found, Failure):
        return found
    return decode_ticket_record(number, found.body)


async def read_new_tickets(
    store: Store, action: ReadNewTickets, clock: Callable[[], float]
) -> NewTicketsRead:
    """Read the tickets after a number up to the first missing one.

    At most ``MAX_TICKETS_PER_READ`` tickets are read.
    """
    result = NewTicketsRead((), clock(), False, for_submit=action.for_submit)
    if action.for_submit and action.digest != NO_DIGEST:
        newest = await read_ticket(store, action.after)
        match newest:
            case Ticket():
                is_held = newest.digest() == action.digest
            case Failure(kind=ErrorKind.UNAVAILABLE):
                return replace(result, failure=newest)
            case _:
                is_held = False
        result = replace(result, holds_newest=is_held)
    for number in range(
        action.after + 1, action.after + 1 + MAX_TICKETS_PER_READ
    ):
        result = replace(result, checked_at=clock())
        found = await read_ticket(store, number)
        match found:
            case Ticket():
                result = replace(result, tickets=(*result.tickets, found))
            case Failure(kind=ErrorKind.NOT_FOUND):
                return replace(result, complete=True)
            case Failure():
                return replace(result, failure=found)
    return result


async def create_record(store: Store, ticket: Ticket) -> CreateDone:
    """Create the record of a ticket."""
    body = encode_ticket(ticket)
    if isinstance(body, Failure):
        return CreateDone(ticket, body)
    result = await write_with_timeout(
        store.create(ObjectKind.TICKETS, ticket_name(ticket.number), body)
    )
    match result:
        case StoredObject():
            return CreateDone(ticket, CreateOutcome.CREATED)
        case Conflict():
            return CreateDone(ticket, CreateOutcome.EXISTS)
        case Failure() as failure:
            return CreateDone(ticket, failure)


async def read_record(store: Store, action: ReadRecord) -> RecordRead:
    """Read the record of one ticket."""
    found = await read_ticket(store, action.number)
    return RecordRead(action.number, action.request_id, found)


async def read_ticket_list(
    store: Store, action: ReadTicketList
) -> TicketListRead:
    """Read tickets for a list, at least one unless the store fails.

    The first ticket is returned even if it is larger than ``MAX_LIST_BYTES``.
    """
    tickets: list[Ticket] = []
    total = 0
    for number in range(action.after + 1, action.after + 1 + action.limit):
        found = await read_with_timeout(
            store.get(ObjectKind.TICKETS, ticket_name(number))
        )
        if isinstance(found, Failure):
            if tickets:
                break
            return TicketListRead(
                action.request_id, _list_failure(number, found)
            )
        ticket = decode_ticket_record(number, found.body)
        if isinstance(ticket, Failure):
            return TicketListRead(action.request_id, ticket)
        total += len(found.body)
        if tickets and total > MAX_LIST_BYTES:
            break
        tickets.append(ticket)
    return TicketListRead(action.request_id, tuple(tickets))


async def watch_tickets(
    store: Store, action: WatchTickets, post: Post
) -> None:
    """Post the tickets that a watch delivers, until the watch fails."""
    # Only the version is read, because a list would read the whole log. The
    # watch does not deliver a ticket created before that version, so the
    # ticket after ``after`` is read directly.
    version = await read_with_timeout(store.version(ObjectKind.TICKETS))
    if isinstance(version, Failure):
        return
    missed = await read_ticket(store, action.after + 1)
    if isinstance(missed, Ticket):
        post(TicketDelivered(missed))
    async for event in store.watch(ObjectKind.TICKETS, version):
        match event:
            case StoredObject():
                _post_ticket(event, post)
            case Failure():
                return


def _post_ticket(found: StoredObject, post: Post) -> None:
    """Post a ticket; the poll reports a record that is not usable."""
    digits = found.name.removeprefix(TICKET_PREFIX)
    if not digits.isdecimal():
        return
    ticket = decode_ticket_record(int(digits), found.body)
    if isinstance(ticket, Ticket):
        post(TicketDelivered(ticket))


def _list_failure(number: int, failure: Failure) -> Failure:
    return Failure(
        ErrorKind.UNAVAILABLE,
        f"ticket {number} cannot be read: {failure.reason}",
        not_run=True,
    )


def _unavailable(reason: str) -> Failure:
    return Failure(ErrorKind.UNAVAILABLE, reason, not_run=True)

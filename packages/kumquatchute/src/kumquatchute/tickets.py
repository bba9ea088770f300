"""Submits tickets.

Handles the choice of the number, lost answers and tickets of other operators.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
from pathlib import Path
from typing import Any
from typing import Protocol

import yaml

from kumquatchute.results import TicketAccepted
from kumquatchute.results import TicketDetails
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import check_entries
from kumquatchute_model.ticket import entry_key
from kumquatchute_model.ticket import MAX_TICKET_BYTES
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket import TicketEntry
from kumquatchute_model.ticket_codec import draft_entries
from kumquatchute_model.ticket_codec import draft_from_builtins
from kumquatchute_model.ticket_codec import make_draft
from kumquatchute_model.ticket_codec import TicketDraft

# A ticket is longer in YAML than in its recorded form.
MAX_FILE_BYTES = 2 * MAX_TICKET_BYTES
MAX_SUBMIT_ATTEMPTS = 10
# Nodes read the store every 2 s, so a recorded ticket is visible before the
# last lookup.
MAX_LOOKUPS = 6
LOOKUP_INTERVAL_S = 1.0

Sleep = Callable[[float], Awaitable[Any]]


class TicketClient(Protocol):
    """Calls to the nodes that submitting a ticket needs."""

    async def submit(self, draft: TicketDraft) -> Any:
        """Submit a ticket.

        :returns: an answer with number and digest, or a failure
        """

    async def read_ticket(self, number: int) -> TicketDetails | Failure:
        """Read one ticket."""

    async def list_tickets(self, after: int) -> tuple[Ticket, ...] | Failure:
        """Read the tickets after a number, at most one page of them."""

    async def read_newest_number(self) -> int | Failure:
        """Return the highest number of a ticket in force on any node."""


@dataclass(frozen=True)
class Retry:
    """No other ticket changed the same keys: try again with this number."""

    number: int


@dataclass(frozen=True)
class KeyConflict:
    """Another ticket changed some of the same keys."""

    ticket: Ticket
    keys: tuple[str, ...]


def read_draft(path: str) -> TicketDraft | Failure:
    """Read a ticket from a YAML or JSON file and validate it.

    :param path: path of the file; read as JSON if it ends with ``.json``
    :returns: the draft, or a failure whose reason names the file
    """
    try:
        with Path(path).open("rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        return _malformed(f"{path} cannot be read: {exc.strerror}")
    if len(text) > MAX_FILE_BYTES:
        return _malformed(f"{path} has more than {MAX_FILE_BYTES} bytes")
    try:
        value = (
            json.loads(text)
            if path.endswith(".json")
            else yaml.safe_load(text)
        )
    except (ValueError, RecursionError, yaml.YAMLError) as exc:
        return _malformed(f"{path}: {exc}")
    draft = draft_from_builtins(value)
    if isinstance(draft, Failure):
        return _malformed(f"{path}: {draft.reason}")
    if failure := check_entries(draft_entries(draft)):
        return Failure(failure.kind, f"{path}: {failure.reason}", not_run=True)
    return draft


async def submit(
    client: TicketClient,
    entries: tuple[TicketEntry, ...],
    number: int | None,
    sleep: Sleep,
) -> TicketAccepted | Failure:
    """Submit a ticket and determine its outcome, even if the answer is lost.

    The number is always chosen before the ticket is sent, so that the ticket
    can be looked up by its number if the answer is lost.

    :param number: number chosen by the operator; None for the next free one.
        If another ticket takes that number first, the next one is tried,
        unless the other ticket changed the same keys
    :param sleep: waits for a number of seconds between two lookups
    """
    next_number = number
    if next_number is None:
        newest = await client.read_newest_number()
        if isinstance(newest, Failure):
            return newest
        next_number = newest + 1
    result: TicketAccepted | Failure = _malformed("not tried")
    for _ in range(MAX_SUBMIT_ATTEMPTS):
        result = await _submit_once(client, entries, next_number, sleep)
        match result:
            case Failure(kind=ErrorKind.TICKET_TAKEN) if number is None:
                decision = await _resolve_taken_number(
                    client, entries, next_number
                )
            case _:
                return result
        match decision:
            case Retry(number=free_number):
                next_number = free_number
            case KeyConflict():
                return _conflict_failure(decision, result)
            case Failure():
                return result
    return result


def decide_retry(
    other_tickets: tuple[Ticket, ...],
    entries: tuple[TicketEntry, ...],
    number: int,
) -> Retry | KeyConflict:
    """Decide whether to try another number after ``number`` was taken.

    :param other_tickets: recorded tickets from ``number`` on
    """
    own_keys = set(map(entry_key, entries))
    for ticket in other_tickets:
        shared_keys = own_keys & set(map(entry_key, ticket.entries))
        if shared_keys:
            return KeyConflict(ticket, tuple(sorted(shared_keys)))
    return Retry(other_tickets[-1].number + 1 if other_tickets else number)


async def _resolve_taken_number(
    client: TicketClient, entries: tuple[TicketEntry, ...], number: int
) -> Retry | KeyConflict | Failure:
    """Read the tickets that took the number and those after it, and decide.

    :returns: a failure if these tickets cannot be read
    """
    other_tickets: tuple[Ticket, ...] = ()
    while True:
        after = other_tickets[-1].number if other_tickets else number - 1
        page = await client.list_tickets(after)
        if isinstance(page, Failure):
            return page
        if not page and not other_tickets:
            # The node that answered has not read the other ticket yet.
            return Failure(ErrorKind.UNAVAILABLE, "ticket not listed yet")
        if not page:
            return decide_retry(other_tickets, entries, number)
        other_tickets += page


async def _submit_once(
    client: TicketClient,
    entries: tuple[TicketEntry, ...],
    number: int,
    sleep: Sleep,
) -> TicketAccepted | Failure:
    response = await client.submit(make_draft(entries, number))
    match response:
        case Failure(not_run=True):
            return response
        case Failure():
            return await _look_up(client, entries, number, response, sleep)
        case _:
            return TicketAccepted(response.number, response.digest, entries)


async def _look_up(
    client: TicketClient,
    entries: tuple[TicketEntry, ...],
    number: int,
    submit_failure: Failure,
    sleep: Sleep,
) -> TicketAccepted | Failure:
    """Find out whether a ticket whose answer was lost took effect."""
    lookup: TicketDetails | Failure = submit_failure
    for attempt in range(MAX_LOOKUPS):
        if attempt:
            await sleep(LOOKUP_INTERVAL_S)
        lookup = await client.read_ticket(number)
        match lookup:
            case TicketDetails(ticket=ticket) if ticket.entries != entries:
                return Failure(
                    ErrorKind.TICKET_TAKEN,
                    f"this ticket did not take effect: ticket {number} was "
                    f"submitted by {ticket.author} with different content",
                    not_run=True,
                )
            case TicketDetails(ticket=ticket, accepted=True):
                return TicketAccepted(
                    number, ticket.digest(), entries, recovered=True
                )
    return _unknown_outcome(number, lookup, submit_failure)


def _unknown_outcome(
    number: int, lookup: TicketDetails | Failure, submit_failure: Failure
) -> Failure:
    hint = f"check later with `ticket show {number}`"
    match lookup:
        case TicketDetails(held_by=held_by):
            state = (
                f"ticket {number} is recorded with this content and takes "
                f"effect when nodes read it, {len(held_by)} hold it so far"
            )
        case Failure(kind=ErrorKind.NOT_FOUND):
            state = (
                f"ticket {number} is not recorded so far; it is safe to "
                f"submit this content again with number {number}"
            )
        case Failure(reason=reason):
            state = f"ticket {number} cannot be read: {reason}"
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN, f"{submit_failure.reason}; {state}; {hint}"
    )


def _conflict_failure(conflict: KeyConflict, refusal: Failure) -> Failure:
    ticket = conflict.ticket
    return Failure(
        ErrorKind.TICKET_TAKEN,
        f"not submitted, because ticket {ticket.number} of {ticket.author} "
        f"set {', '.join(conflict.keys)} in the meantime; {refusal.reason}",
        not_run=True,
    )


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)

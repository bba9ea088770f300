"""Submitting a ticket: number, lost answers and other operators' tickets."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import json
from pathlib import Path
from typing import Any
from typing import Protocol

import yaml

from kumquatchute.results import Accepted
from kumquatchute.results import Shown
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

# YAML takes more room than the recorded form.
MAX_FILE_BYTES = 2 * MAX_TICKET_BYTES
MAX_ATTEMPTS = 10
# Nodes read the store every 2 s, so a recorded ticket shows within this time.
LOOKUPS = 6
LOOKUP_PAUSE_S = 1.0

Sleep = Callable[[float], Awaitable[Any]]


class Nodes(Protocol):
    """The calls that a submission needs."""

    async def submit(self, draft: TicketDraft) -> Any:
        """Submit a ticket: an answer with number and digest, or Failure."""

    async def show(self, number: int) -> Shown | Failure:
        """Read one ticket."""

    async def tickets(self, after: int) -> tuple[Ticket, ...] | Failure:
        """Read the tickets after a number."""

    async def newest(self) -> int | Failure:
        """Return the number of the newest ticket."""


@dataclass(frozen=True)
class Retry:
    """No other ticket touched our keys: try again with this number."""

    number: int


@dataclass(frozen=True)
class Overtaken:
    """Another ticket touched one of our keys."""

    ticket: Ticket
    keys: tuple[str, ...]


def read_draft(path: str) -> TicketDraft | Failure:
    """Read a ticket from a YAML or JSON file and check it."""
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
    if fault := check_entries(draft_entries(draft)):
        return Failure(fault.kind, f"{path}: {fault.reason}", not_run=True)
    return draft


async def submit(
    nodes: Nodes,
    entries: tuple[TicketEntry, ...],
    number: int | None,
    sleep: Sleep,
) -> Accepted | Failure:
    """Submit entries and find out in any case what came of it.

    The number is always chosen before the ticket is sent, so that a lost
    answer can be looked up under it.

    :param number: number that the operator chose; None for the next one,
        which is then moved on while other tickets leave these keys alone
    """
    current = number
    if current is None:
        newest = await nodes.newest()
        if isinstance(newest, Failure):
            return newest
        current = newest + 1
    result: Accepted | Failure = _malformed("not tried")
    for _ in range(MAX_ATTEMPTS):
        result = await _submit_once(nodes, entries, current, sleep)
        match result:
            case Failure(kind=ErrorKind.TICKET_TAKEN) if number is None:
                verdict = await _judge(nodes, entries, current)
            case _:
                return result
        match verdict:
            case Retry(number=following):
                current = following
            case Overtaken():
                return _overtaken(verdict, result)
            case Failure():
                return result
    return result


def judge(
    others: tuple[Ticket, ...], entries: tuple[TicketEntry, ...], number: int
) -> Retry | Overtaken:
    """Decide whether to go on after the number was taken.

    :param others: tickets from ``number`` on
    """
    ours = set(map(entry_key, entries))
    for ticket in others:
        shared = ours & set(map(entry_key, ticket.entries))
        if shared:
            return Overtaken(ticket, tuple(sorted(shared)))
    return Retry(others[-1].number + 1 if others else number)


async def _judge(
    nodes: Nodes, entries: tuple[TicketEntry, ...], number: int
) -> Retry | Overtaken | Failure:
    others: tuple[Ticket, ...] = ()
    while True:
        after = others[-1].number if others else number - 1
        more = await nodes.tickets(after)
        if isinstance(more, Failure):
            return more
        if not more and not others:
            # The node that lists has not read the other ticket yet.
            return Failure(ErrorKind.UNAVAILABLE, "ticket not listed yet")
        if not more:
            return judge(others, entries, number)
        others += more


async def _submit_once(
    nodes: Nodes, entries: tuple[TicketEntry, ...], number: int, sleep: Sleep
) -> Accepted | Failure:
    answer = await nodes.submit(make_draft(entries, number))
    match answer:
        case Failure(not_run=True):
            return answer
        case Failure():
            return await _look_up(nodes, entries, number, answer, sleep)
        case _:
            return Accepted(answer.number, answer.digest, entries)


async def _look_up(
    nodes: Nodes,
    entries: tuple[TicketEntry, ...],
    number: int,
    lost: Failure,
    sleep: Sleep,
) -> Accepted | Failure:
    """Find out whether a ticket whose answer was lost took effect."""
    shown: Shown | Failure = lost
    for attempt in range(LOOKUPS):
        if attempt:
            await sleep(LOOKUP_PAUSE_S)
        shown = await nodes.show(number)
        match shown:
            case Shown(ticket=ticket) if ticket.entries != entries:
                return Failure(
                    ErrorKind.TICKET_TAKEN,
                    f"this ticket did not take effect: ticket {number} is "
                    f"one of {ticket.author} with other content",
                    not_run=True,
                )
            case Shown(ticket=ticket, accepted=True):
                return Accepted(
                    number, ticket.digest(), entries, recovered=True
                )
    return _undecided(number, shown, lost)


def _undecided(number: int, shown: Shown | Failure, lost: Failure) -> Failure:
    again = f"`ticket show {number}` tells more later"
    match shown:
        case Shown(held_by=held_by):
            found = (
                f"ticket {number} is recorded with this content and takes "
                f"effect as nodes read it, {len(held_by)} hold it so far"
            )
        case Failure(kind=ErrorKind.NOT_FOUND):
            found = (
                f"ticket {number} is not recorded so far; to submit this "
                f"content again with number {number} is safe"
            )
        case Failure(reason=reason):
            found = f"ticket {number} cannot be read: {reason}"
    return Failure(
        ErrorKind.OUTCOME_UNKNOWN, f"{lost.reason}; {found}; {again}"
    )


def _overtaken(verdict: Overtaken, refusal: Failure) -> Failure:
    other = verdict.ticket
    return Failure(
        ErrorKind.TICKET_TAKEN,
        f"not submitted, because ticket {other.number} of {other.author} "
        f"set {', '.join(verdict.keys)} in the meantime; {refusal.reason}",
        not_run=True,
    )


def _malformed(reason: str) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)

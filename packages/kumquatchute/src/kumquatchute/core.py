"""Runs a command and prints its result."""

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path
import sys

from kumquatchute.app import app
from kumquatchute.client import Client
from kumquatchute.commands import CheckSettings
from kumquatchute.commands import Command
from kumquatchute.commands import ExplainRequest
from kumquatchute.commands import ListTickets
from kumquatchute.commands import SearchName
from kumquatchute.commands import ShowStatus
from kumquatchute.commands import ShowTicket
from kumquatchute.commands import SubmitEntry
from kumquatchute.commands import SubmitFile
from kumquatchute.connection import ConnectionOptions
from kumquatchute.connection import read_connection_options
from kumquatchute.explain import explain
from kumquatchute.invocation import Invocation
from kumquatchute.output import get_exit_status
from kumquatchute.output import render
from kumquatchute.results import LogUnreadable
from kumquatchute.results import NodeStatuses
from kumquatchute.results import Result
from kumquatchute.results import SettingsChecked
from kumquatchute.results import TicketList
from kumquatchute.tickets import read_draft
from kumquatchute.tickets import submit
from kumquatchute_model.errors import ExitStatus
from kumquatchute_model.errors import Failure
from kumquatchute_model.search_codec import SearchBody
from kumquatchute_model.settings_check import check_settings_file
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import draft_entries


def main(args: Sequence[str], env: Mapping[str, str]) -> ExitStatus:
    """Run the command line.

    :param args: arguments without the name of the program
    :param env: environment variables
    :returns: the exit status; ``ERROR`` for one that is not listed in
        ``ExitStatus``
    """

    def run(invocation: Invocation) -> ExitStatus:
        return _run(invocation, env)

    try:
        app(args=list(args), prog_name="kumquatchute", obj=run)
    except SystemExit as exc:
        is_known = exc.code in list(ExitStatus)
        return ExitStatus(exc.code) if is_known else ExitStatus.ERROR
    return ExitStatus.SUCCESS


def _run(invocation: Invocation, env: Mapping[str, str]) -> ExitStatus:
    result = _execute(invocation, env)
    rendered = render(result, invocation.output)
    if rendered.out:
        print(rendered.out)
    if rendered.err:
        print(rendered.err, file=sys.stderr)
    return get_exit_status(result)


def _execute(invocation: Invocation, env: Mapping[str, str]) -> Result:
    match invocation.command:
        case CheckSettings(path=path):
            return SettingsChecked(path, check_settings_file(path))
        case ExplainRequest(request_id=request_id, paths=paths):
            return _explain(request_id, paths)
        case command:
            options = read_connection_options(
                invocation.nodes, invocation.token_file, env
            )
            if isinstance(options, Failure):
                return options
            return asyncio.run(_call_nodes(command, options))


def _explain(request_id: str, paths: tuple[str, ...]) -> Result:
    if not paths:
        return explain(request_id, sys.stdin)
    lines: list[str] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as exc:
            return LogUnreadable(path, exc.strerror or type(exc).__name__)
        name = Path(path).stem
        lines += [f"{name} {line}" for line in text.splitlines()]
    return explain(request_id, lines)


async def _call_nodes(command: Command, options: ConnectionOptions) -> Result:
    async with Client(options) as client:
        match command:
            case SubmitFile(path=path):
                return await _submit_file(client, path)
            case SubmitEntry(entry=entry):
                return await submit(client, (entry,), None, asyncio.sleep)
            case ShowTicket(number=number):
                return await client.read_ticket(number)
            case ListTickets(after=after, limit=limit):
                return await _list_tickets(client, after, limit)
            case ShowStatus():
                return NodeStatuses(await client.read_statuses())
            case SearchName(service, name, limit, deadline_ms):
                body = SearchBody(name, limit, deadline_ms)
                return await client.search(service, body)


async def _submit_file(client: Client, path: str) -> Result:
    draft = read_draft(path)
    if isinstance(draft, Failure):
        return draft
    entries = draft_entries(draft)
    return await submit(client, entries, draft.number, asyncio.sleep)


async def _list_tickets(
    client: Client, after: int, limit: int
) -> TicketList | Failure:
    tickets: tuple[Ticket, ...] = ()
    while len(tickets) < limit:
        page = await client.list_tickets(
            tickets[-1].number if tickets else after
        )
        if isinstance(page, Failure):
            return page
        if not page:
            break
        tickets += page
    return TicketList(tickets[:limit])

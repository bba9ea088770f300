"""Runs one call of the command line and returns its exit status."""

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
from kumquatchute.commands import SearchName
from kumquatchute.commands import SetState
from kumquatchute.commands import ShowLog
from kumquatchute.commands import ShowNumber
from kumquatchute.commands import ShowStatus
from kumquatchute.commands import SubmitFile
from kumquatchute.connection import Connection
from kumquatchute.connection import make_connection
from kumquatchute.explain import explain
from kumquatchute.invocation import Invocation
from kumquatchute.output import render
from kumquatchute.output import status_of
from kumquatchute.results import Listed
from kumquatchute.results import LogUnreadable
from kumquatchute.results import Result
from kumquatchute.results import SettingsChecked
from kumquatchute.results import Statuses
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
    """

    def run(invocation: Invocation) -> ExitStatus:
        return _run(invocation, env)

    try:
        app(args=list(args), prog_name="kumquatchute", obj=run)
    except SystemExit as exc:
        known = exc.code in list(ExitStatus)
        return ExitStatus(exc.code) if known else ExitStatus.ERROR
    return ExitStatus.SUCCESS


def _run(invocation: Invocation, env: Mapping[str, str]) -> ExitStatus:
    result = _result(invocation, env)
    rendered = render(result, invocation.output)
    if rendered.out:
        print(rendered.out)
    if rendered.err:
        print(rendered.err, file=sys.stderr)
    return status_of(result)


def _result(invocation: Invocation, env: Mapping[str, str]) -> Result:
    match invocation.command:
        case CheckSettings(path=path):
            return SettingsChecked(path, check_settings_file(path))
        case ExplainRequest(request_id=request_id, paths=paths):
            return _explain(request_id, paths)
        case command:
            connection = make_connection(
                invocation.nodes, invocation.token_file, env
            )
            if isinstance(connection, Failure):
                return connection
            return asyncio.run(_ask(command, connection))


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


async def _ask(command: Command, connection: Connection) -> Result:
    async with Client(connection) as client:
        match command:
            case SubmitFile(path=path):
                return await _submit_file(client, path)
            case SetState(entry=entry):
                return await submit(client, (entry,), None, asyncio.sleep)
            case ShowNumber(number=number):
                return await client.show(number)
            case ShowLog(after=after, limit=limit):
                return await _log(client, after, limit)
            case ShowStatus():
                return Statuses(await client.statuses())
            case SearchName(service, name, limit, deadline_ms):
                body = SearchBody(name, limit, deadline_ms)
                return await client.search(service, body)


async def _submit_file(client: Client, path: str) -> Result:
    draft = read_draft(path)
    if isinstance(draft, Failure):
        return draft
    entries = draft_entries(draft)
    return await submit(client, entries, draft.number, asyncio.sleep)


async def _log(client: Client, after: int, limit: int) -> Listed | Failure:
    found: tuple[Ticket, ...] = ()
    while len(found) < limit:
        more = await client.tickets(found[-1].number if found else after)
        if isinstance(more, Failure):
            return more
        if not more:
            break
        found += more
    return Listed(found[:limit])

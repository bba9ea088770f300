"""The commands of the command line, with arguments and help texts."""

from pathlib import Path
from typing import Annotated

import typer

from kumquatchute.commands import CheckSettings
from kumquatchute.commands import Command
from kumquatchute.commands import ExplainRequest
from kumquatchute.commands import ListTickets
from kumquatchute.commands import SearchName
from kumquatchute.commands import ShowStatus
from kumquatchute.commands import ShowTicket
from kumquatchute.commands import SubmitEntry
from kumquatchute.commands import SubmitFile
from kumquatchute.options import local_command
from kumquatchute.options import node_command
from kumquatchute_model.ticket import DcState
from kumquatchute_model.ticket import HostState

MAX_LOG_TICKETS = 10_000

Name = Annotated[str, typer.Argument(metavar="NAME")]

app = typer.Typer(
    name="kumquatchute",
    help="Search, and change what a search finds and where it runs.\n\n"
    "Every change is a numbered ticket. An accepted ticket takes effect "
    "once, on every node, and stays in force until another ticket changes "
    "the same name, data centre, host or setting.",
    no_args_is_help=True,
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
ticket_app = typer.Typer(
    help="Submit tickets and read the log of tickets.", no_args_is_help=True
)
dc_app = typer.Typer(
    help="Take a data centre out of service, or return it.",
    no_args_is_help=True,
)
host_app = typer.Typer(
    help="Take a host out of service, or return it.", no_args_is_help=True
)
config_app = typer.Typer(
    help="Work with the settings file of a node.", no_args_is_help=True
)
app.add_typer(ticket_app, name="ticket")
app.add_typer(dc_app, name="dc")
app.add_typer(host_app, name="host")
app.add_typer(config_app, name="config")


@node_command(ticket_app, "submit")
def submit_file(
    file: Annotated[
        Path, typer.Argument(metavar="FILE", help="YAML, or JSON in *.json.")
    ],
) -> Command:
    """Submit the ticket in FILE and wait until it is accepted.

    FILE lists entries, and each entry replaces the whole state of its name,
    data centre, host or setting. With "number: N" the ticket is submitted
    under that number only, and submitting it again is safe. Without a number
    it gets the next free one.
    """
    return SubmitFile(str(file))


@node_command(ticket_app, "show")
def show_ticket(
    number: Annotated[int, typer.Argument(metavar="N", min=1)],
) -> Command:
    """Show ticket N, which nodes hold it, and whether it is accepted."""
    return ShowTicket(number)


@node_command(ticket_app, "log")
def list_tickets(
    after: Annotated[
        int, typer.Option(min=0, help="Show tickets after this number.")
    ] = 0,
    limit: Annotated[
        int,
        typer.Option(
            min=1, max=MAX_LOG_TICKETS, help="Maximum number of tickets."
        ),
    ] = 100,
) -> Command:
    """List tickets in the order of their numbers."""
    return ListTickets(after, limit)


@node_command(dc_app, "out")
def dc_out(name: Name) -> Command:
    """Take data centre NAME out of service: it receives no new work."""
    return SubmitEntry(DcState(name, in_service=False))


@node_command(dc_app, "in")
def dc_in(name: Name) -> Command:
    """Return data centre NAME to service."""
    return SubmitEntry(DcState(name, in_service=True))


@node_command(host_app, "out")
def host_out(name: Name) -> Command:
    """Take host NAME out of service: it receives no new work."""
    return SubmitEntry(HostState(name, in_service=False))


@node_command(host_app, "in")
def host_in(name: Name) -> Command:
    """Return host NAME to service."""
    return SubmitEntry(HostState(name, in_service=True))


@node_command(app, "status")
def show_status() -> Command:
    """Show the status of every node given; fail if one does not answer."""
    return ShowStatus()


@node_command(app, "search")
def search(
    service: Annotated[str, typer.Argument(metavar="SERVICE")],
    name: Annotated[
        str, typer.Argument(metavar="NAME", help="In any of its spellings.")
    ],
    limit: Annotated[
        int, typer.Option(min=1, help="Maximum number of hits.")
    ] = 10,
    deadline_ms: Annotated[
        int | None,
        typer.Option(
            min=1,
            help="Time limit for the answer in milliseconds. "
            "Default: the one of the service.",
            show_default=False,
        ),
    ] = None,
) -> Command:
    """Search SERVICE for NAME and all its known spellings."""
    return SearchName(service, name, limit, deadline_ms)


@local_command(config_app, "check")
def check_settings(
    file: Annotated[Path, typer.Argument(metavar="FILE")],
) -> Command:
    """Check the settings in FILE and list all faults; needs no node."""
    return CheckSettings(str(file))


@local_command(app, "explain")
def explain_request(
    request_id: Annotated[
        str,
        typer.Argument(metavar="REQUEST-ID", help="As sent by the caller."),
    ],
    files: Annotated[
        list[Path] | None,
        typer.Argument(
            metavar="[FILE]...",
            help="Log files of the nodes. Default: standard input.",
            show_default=False,
        ),
    ] = None,
) -> Command:
    """Show the log lines of a request and the cause of its outcome."""
    return ExplainRequest(request_id, tuple(str(path) for path in files or ()))

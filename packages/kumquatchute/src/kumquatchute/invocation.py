"""A command together with the options that commands share."""

from collections.abc import Callable
from dataclasses import dataclass

from kumquatchute.commands import Command
from kumquatchute.output import OutputFormat
from kumquatchute_model.errors import ExitStatus


@dataclass(frozen=True)
class Invocation:
    """A command and the shared options, as given on the command line.

    :param nodes: base URLs of nodes, may be empty
    :param token_file: path of the file that holds the token, None if not
        given
    """

    command: Command
    output: OutputFormat = OutputFormat.TEXT
    nodes: tuple[str, ...] = ()
    token_file: str | None = None


RunInvocation = Callable[[Invocation], ExitStatus]

"""One call of the command line."""

from collections.abc import Callable
from dataclasses import dataclass

from kumquatchute.commands import Command
from kumquatchute.output import OutputFormat
from kumquatchute_model.errors import ExitStatus


@dataclass(frozen=True)
class Invocation:
    """A command with the options that all commands share.

    :param nodes: base URLs from the options
    :param token_file: path of the file with the token
    """

    command: Command
    output: OutputFormat = OutputFormat.TEXT
    nodes: tuple[str, ...] = ()
    token_file: str | None = None


RunInvocation = Callable[[Invocation], ExitStatus]

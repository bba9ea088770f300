"""Registers commands with the options that they share."""

from collections.abc import Callable
import inspect
from typing import Annotated
from typing import Any

import typer

from kumquatchute.commands import Command
from kumquatchute.invocation import Invocation
from kumquatchute.invocation import RunInvocation
from kumquatchute.output import OutputFormat

Nodes = Annotated[
    list[str] | None,
    typer.Option(
        "--node",
        metavar="URL",
        help="Base URL of a node, such as http://10.0.0.1:8080. Repeat it for "
        "several nodes; the next one is tried if one does not answer. "
        "Default: the addresses in KUMQUATCHUTE_NODES.",
        show_default=False,
    ),
]
TokenFile = Annotated[
    str | None,
    typer.Option(
        "--token-file",
        metavar="FILE",
        help="File that holds your token. Default: the token in "
        "KUMQUATCHUTE_TOKEN.",
        show_default=False,
    ),
]
Output = Annotated[
    OutputFormat,
    typer.Option("--output", help="Text for people or JSON for programs."),
]

CommandFactory = Callable[..., Command]


def node_command(
    group: typer.Typer, name: str
) -> Callable[[CommandFactory], CommandFactory]:
    """Register a command that calls nodes.

    The decorated function takes the arguments of the command and returns the
    command; its docstring is the help text.

    :param name: name of the command within the group
    """

    def decorate(factory: CommandFactory) -> CommandFactory:
        def invoke(
            ctx: typer.Context,
            node: Nodes = None,
            token_file: TokenFile = None,
            output: Output = OutputFormat.TEXT,
            **arguments: Any,
        ) -> None:
            nodes = tuple(node or ())
            command = factory(**arguments)
            _run(ctx, Invocation(command, output, nodes, token_file))

        _register(group, name, factory, invoke)
        return factory

    return decorate


def local_command(
    group: typer.Typer, name: str
) -> Callable[[CommandFactory], CommandFactory]:
    """Register a command that calls no node; see ``node_command``."""

    def decorate(factory: CommandFactory) -> CommandFactory:
        def invoke(
            ctx: typer.Context,
            output: Output = OutputFormat.TEXT,
            **arguments: Any,
        ) -> None:
            _run(ctx, Invocation(factory(**arguments), output))

        _register(group, name, factory, invoke)
        return factory

    return decorate


def _register(
    group: typer.Typer,
    name: str,
    factory: CommandFactory,
    invoke: Callable[..., None],
) -> None:
    """Add a command with its own arguments and the shared options.

    typer reads the parameters from the signature of ``invoke``, so those of
    ``factory`` are added to it.
    """
    ctx, *shared = [
        param
        for param in inspect.signature(invoke).parameters.values()
        if param.kind is not inspect.Parameter.VAR_KEYWORD
    ]
    own = inspect.signature(factory).parameters.values()
    parameters = [
        param.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for param in (*own, *shared)
    ]
    invoke.__signature__ = inspect.Signature([ctx, *parameters])
    group.command(name, help=inspect.getdoc(factory))(invoke)


def _run(ctx: typer.Context, invocation: Invocation) -> None:
    run: RunInvocation = ctx.obj
    raise typer.Exit(int(run(invocation)))

"""Entry point of the node daemon."""

import sys
from typing import Annotated

import typer

from kumquatchuted.core import run


def start(
    config: Annotated[
        str, typer.Option("--config", help="YAML file with the settings.")
    ],
) -> None:
    """Run a kumquatchute node until SIGTERM."""
    sys.exit(run(config))


def main() -> None:
    """Parse the command line and run the node."""
    typer.run(start)


if __name__ == "__main__":
    main()

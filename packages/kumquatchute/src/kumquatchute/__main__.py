"""Entry point of the ``kumquatchute`` command."""

import os
import sys

from kumquatchute.core import main as run


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(int(run(sys.argv[1:], os.environ)))


if __name__ == "__main__":
    main()

"""Entry point of a node on the users' platform."""

import os
import sys

from kumquatchuted.gateway.core import run
from kumquatchuted.platform.settings import SETTINGS_VARIABLE


def main() -> None:
    """Run the node with the settings file that the environment names."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    sys.exit(run(path))


if __name__ == "__main__":
    main()

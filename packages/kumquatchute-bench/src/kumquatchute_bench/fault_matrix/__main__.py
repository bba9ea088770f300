"""Entry point: ``python -m kumquatchute_bench.fault_matrix [--check]``."""

import argparse
from pathlib import Path
import sys

from kumquatchute_bench.fault_matrix.command import run


def main() -> None:
    """Run the command with the current directory as root."""
    parser = argparse.ArgumentParser(description="Write the fault matrix.")
    parser.add_argument(
        "--check",
        action="store_true",
        help="compare the committed page and write nothing",
    )
    sys.exit(run(Path.cwd(), parser.parse_args().check))


if __name__ == "__main__":
    main()

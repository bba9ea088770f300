"""Runs the platform stand-in: ``python -m kumquatchute_standins.platform``."""

import argparse
import asyncio
from pathlib import Path
import signal

from kumquatchute_standins.platform.datafile import load_table
from kumquatchute_standins.platform.datafile import save_table
from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.platform.table import Table


def main() -> None:
    """Parse the arguments and serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="kumquatchute_standins.platform")
    parser.add_argument("--listen", required=True, help="IP address and port")
    parser.add_argument(
        "--control",
        help="IP address and port of an extra listener for /control",
    )
    parser.add_argument(
        "--data",
        type=Path,
        help="YAML or JSON file of objects, read at start and written at stop",
    )
    args = parser.parse_args()
    asyncio.run(serve(args.listen, args.control, args.data))


async def serve(listen: str, control: str | None, data: Path | None) -> None:
    """Serve until a signal arrives.

    :param listen: IP address and port of the object API
    :param control: IP address and port of the extra control listener
    :param data: file of objects, read if it exists and written at the end;
        None keeps no objects
    """
    table = load_table(data) if data is not None and data.exists() else Table()
    server = PlatformServer(table)
    await server.start(listen, control)
    print(f"Platform stand-in listening on {server.url}.", flush=True)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await stop_requested.wait()
    await server.stop()
    if data is not None:
        save_table(table, data)


if __name__ == "__main__":
    main()

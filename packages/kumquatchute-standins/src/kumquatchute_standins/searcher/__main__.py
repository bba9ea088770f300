"""Runs searchers: ``python -m kumquatchute_standins.searcher --config FILE``.

Example of a configuration file::

    seed: 1
    control: 127.0.0.1:9100
    platform: {url: "http://127.0.0.1:9000"}
    searchers:
      - {name: console-1a, service: console, listen: "127.0.0.1:9201",
         host: h1, dc: atl-north, slots: 2, cold_slots: 1, max_conns: 25,
         conn_cost_ms: 6}
    indexes:
      - service: console
        index_version: 1
        map_version: 1
        shards:
          - shard: s0
            replicas: [console-1a]
            documents: [{doc: d1, name: Jon Smith, text: cleaner}]
"""

import argparse
import asyncio
from pathlib import Path
import signal

from kumquatchute_standins.searcher.fleet import Fleet
from kumquatchute_standins.searcher.fleet import load_config


def main() -> None:
    """Parse the arguments and serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="kumquatchute_standins.searcher")
    parser.add_argument("--config", type=Path, required=True)
    asyncio.run(serve(parser.parse_args().config))


async def serve(path: Path) -> None:
    """Serve the searchers of a configuration file until a signal arrives."""
    fleet = Fleet(load_config(path))
    await fleet.start()
    print(f"{len(fleet.searchers)} searchers are listening", flush=True)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await stop_requested.wait()
    await fleet.stop()


if __name__ == "__main__":
    main()

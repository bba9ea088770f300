"""Runs a node on the users' platform and returns an exit status."""

import asyncio
from collections.abc import Callable
import gc
import signal
import sys
import time

from logbook import Logger

from kumquatchute_model.errors import ExitStatus
from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.compose import build_gateway
from kumquatchuted.gateway.compose import Gateway
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.logs import install_logs
from kumquatchuted.logs import LogHandler
from kumquatchuted.platform.settings import read_settings

log = Logger("node")


def run(path: str) -> ExitStatus:
    """Run a node until a stop signal or the failure of a task ends it.

    :param path: settings file of the platform
    :returns: ``USAGE`` if the settings are invalid, ``ERROR`` if an address
        cannot be bound or a task failed, else ``SUCCESS``
    """
    install_logs(LogHandler(time.monotonic, sys.stdout))
    cfg = read_settings(path)
    if isinstance(cfg, Failure):
        log.error("settings rejected cause={}", cfg.reason)
        return ExitStatus.USAGE
    # Objects that the imports created live until the end, so the garbage
    # collector need not examine them in each collection.
    gc.freeze()
    return asyncio.run(_run(cfg, lambda: read_settings(path)))


async def _run(
    cfg: GatewaySettings, read: Callable[[], GatewaySettings | Failure]
) -> ExitStatus:
    stopped = asyncio.Event()
    gateway = build_gateway(cfg, read, stopped.set)
    failure = await gateway.open()
    if failure is not None:
        log.error("listen failed cause={}", failure.reason)
        return ExitStatus.ERROR
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, gateway.request_stop)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    log.info("started node={} data_centre={}", cfg.node, cfg.data_centre)
    status = await _supervise(gateway, stopped)
    await gateway.close()
    log.info("ended status={}", status.name.lower())
    return status


async def _supervise(gateway: Gateway, stopped: asyncio.Event) -> ExitStatus:
    """Run all tasks until the node has stopped or one of them ends.

    :returns: ``ERROR`` if a task ended before the node was stopped
    """
    tasks = [asyncio.ensure_future(run()) for run in gateway.task_functions]
    stop_waiter = asyncio.ensure_future(stopped.wait())
    done, _ = await asyncio.wait(
        [stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in (stop_waiter, *tasks):
        task.cancel()
    results = await asyncio.gather(stop_waiter, *tasks, return_exceptions=True)
    if stop_waiter in done:
        return ExitStatus.SUCCESS
    for result in results:
        if isinstance(result, Exception):
            log.error(
                "task failed",
                exc_info=(type(result), result, result.__traceback__),
            )
    return ExitStatus.ERROR

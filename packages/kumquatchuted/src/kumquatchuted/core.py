"""Runs a node from its settings file and returns an exit status."""

import asyncio
import ipaddress
import signal
import time

from logbook import Logger

from kumquatchute_model.errors import ExitStatus
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import Settings
from kumquatchute_model.settings_check import load_settings
from kumquatchute_model.settings_check import SettingsFaults
from kumquatchuted.compose import build_node
from kumquatchuted.compose import Node
from kumquatchuted.logs import install_logs
from kumquatchuted.logs import LogHandler
from kumquatchuted.peers.keys import load_keys
from kumquatchuted.peers.keys import PeerKeys

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = Logger("node")


def run(path: str) -> ExitStatus:
    """Run a node until a stop signal or the failure of a task ends it.

    :param path: settings file
    """
    handler = LogHandler(time.monotonic)
    install_logs(handler)
    cfg = load_settings(path)
    if isinstance(cfg, SettingsFaults):
        for line in cfg.lines():
            log.error("settings rejected cause={}", line)
        return ExitStatus.USAGE
    keys = _load_peer_keys(cfg)
    if isinstance(keys, Failure):
        log.error("peer keys rejected cause={}", keys.reason)
        return ExitStatus.USAGE
    return asyncio.run(_run_node(cfg, keys))


def _load_peer_keys(cfg: Settings) -> PeerKeys | None | Failure:
    """Read the CURVE keys of the links to peers.

    :returns: None for plain links, which valid settings have only on loopback
        or if they allow them explicitly
    """
    path = cfg.security.curve_keys_file
    if path is not None:
        return load_keys(path)
    host = cfg.listen.peers.rpartition(":")[0].strip("[]")
    if ipaddress.ip_address(host).is_loopback:
        return None
    if cfg.security.allow_plain_peers:
        log.warning(
            "peer links neither encrypted nor authenticated "
            "cause=allow_plain_peers"
        )
    return None


async def _run_node(cfg: Settings, keys: PeerKeys | None) -> ExitStatus:
    stopped = asyncio.Event()
    node = build_node(cfg, keys, stopped.set)
    failure = node.http.bind()
    if failure is not None:
        log.error("listen failed cause={}", failure.reason)
        return ExitStatus.ERROR
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, node.request_stop)
    return await _supervise(node, stopped)


async def _supervise(node: Node, stopped: asyncio.Event) -> ExitStatus:
    """Run all tasks until the node has stopped or one of them fails."""
    tasks = [asyncio.create_task(task.run()) for task in node.tasks]
    stop_waiter = asyncio.create_task(stopped.wait())
    done, _ = await asyncio.wait(
        [stop_waiter, *tasks], return_when=asyncio.FIRST_COMPLETED
    )
    for task in (stop_waiter, *tasks):
        task.cancel()
    await asyncio.gather(stop_waiter, *tasks, return_exceptions=True)
    await node.close()
    failed = [task for task in done if task is not stop_waiter]
    for task in failed:
        _log_task_end(task)
    if not failed:
        log.info("stopped")
    return ExitStatus.ERROR if failed else ExitStatus.SUCCESS


def _log_task_end(task: asyncio.Task) -> None:
    """Log why a task ended that should run as long as the node."""
    exc = None if task.cancelled() else task.exception()
    if exc is None:
        log.error("task ended unexpectedly")
    else:
        log.error("task failed", exc_info=(type(exc), exc, exc.__traceback__))

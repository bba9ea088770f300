"""Starts, controls and stops the processes of a site."""

import asyncio
import os
from pathlib import Path
import signal
import sys
from typing import Any

import aiohttp

from kumquatchute_standins.demo.site import OPERATOR_TOKEN
from kumquatchute_standins.demo.site import Site
from kumquatchute_standins.site_files import SiteNode

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 25.0


class SiteProcesses:
    """Owns the processes of a site.

    :param folder: folder for the output of each process
    """

    def __init__(self, site: Site, folder: Path) -> None:
        """Create the owner without starting a process."""
        self.site = site
        self._folder = folder
        self._processes: dict[str, asyncio.subprocess.Process] = {}

    async def start_platform(self) -> None:
        """Start the platform stand-in."""
        await self._start_process(
            "platform",
            "kumquatchute_standins.platform",
            "--listen",
            self.site.platform,
            "--control",
            self.site.platform_control,
        )
        await self._wait_for_port(self.site.platform)

    async def start_searchers(self) -> None:
        """Start all searchers in one process."""
        await self._start_process(
            "searchers",
            "kumquatchute_standins.searcher",
            "--config",
            str(self.site.searcher_config),
        )
        await self._wait_for_port(self.site.searcher_control)

    async def start_node(self, node: SiteNode) -> None:
        """Start a node."""
        await self._start_process(
            node.name, "kumquatchuted", "--config", str(node.settings)
        )

    async def start_all(self) -> None:
        """Start the whole site and wait until all nodes are ready."""
        await self.start_platform()
        await self.start_searchers()
        for node in self.site.nodes:
            await self.start_node(node)
        for node in self.site.nodes:
            await self.wait_ready(node)

    async def wait_ready(self, node: SiteNode) -> None:
        """Wait until a node is ready for callers.

        :raises TimeoutError: the node is not ready within ``READY_TIMEOUT_S``
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await is_ready(node):
                await asyncio.sleep(POLL_INTERVAL_S)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self._processes[name].send_signal(number)

    async def wait_stopped(self, name: str) -> int:
        """Wait for the end of a process and return its exit status.

        :raises TimeoutError: it still runs after ``STOP_TIMEOUT_S``
        """
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._processes.pop(name).wait()

    async def stop_all(self) -> None:
        """Kill all processes and wait for their end."""
        for process in self._processes.values():
            if process.returncode is None:
                process.kill()
        for process in self._processes.values():
            await process.wait()
        self._processes.clear()

    async def run_command(self, *args: str, timeout: float = 30.0):
        """Run a command of the command line for operators.

        :param timeout: time limit in seconds
        :returns: exit status, and standard output with standard error
        :raises TimeoutError: the command still runs after ``timeout``
        """
        nodes = ",".join(f"http://{node.callers}" for node in self.site.nodes)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kumquatchute",
            *args,
            env={
                **os.environ,
                "KUMQUATCHUTE_NODES": nodes,
                "KUMQUATCHUTE_TOKEN": OPERATOR_TOKEN,
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        async with asyncio.timeout(timeout):
            output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def control_platform(self, **control: Any) -> None:
        """Send a control to the platform, such as ``do="set_down"``."""
        await self._post_control(self.site.platform_control, control)

    async def control_searchers(self, **control: Any) -> None:
        """Send a control to the searchers, such as ``do="restart"``."""
        await self._post_control(self.site.searcher_control, control)

    async def read_records(self, searcher: str) -> dict:
        """Return the recorded calls and totals of a searcher."""
        url = f"http://{self.site.searcher_control}/records/{searcher}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as resp:
                resp.raise_for_status()
                return await resp.json()

    async def _post_control(self, address: str, control: dict) -> None:
        url = f"http://{address}/control"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=control) as resp:
                resp.raise_for_status()

    def read_log(self, name: str) -> str:
        """Return the output of a process up to now."""
        return (self._folder / f"{name}.log").read_text()

    async def _start_process(self, name: str, module: str, *args: str) -> None:
        with (self._folder / f"{name}.log").open("ab") as output:
            self._processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *args,
                stdout=output,
                stderr=output,
            )

    async def _wait_for_port(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(host, port)
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                writer.close()
                return


async def is_ready(node: SiteNode) -> bool:
    """Return whether a node reports that it is ready for callers."""
    try:
        async with aiohttp.ClientSession() as session:
            url = f"http://{node.metrics}/readyz"
            async with session.get(url) as resp:
                return resp.status == 200
    except aiohttp.ClientError:
        return False

"""The task that detects changes of the settings file."""

import asyncio
from collections.abc import Callable

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchuted.gateway.settings import GatewaySettings
from kumquatchuted.gateway.settings import SettingsChanged
from kumquatchuted.mailbox import Post

log = Logger("node")

# Time between two checks of the file, which can change without a signal. Their
# cost is negligible beside that of requests, and a changed address can wait
# that long.
CHECK_INTERVAL_S = 2.0


class ReloadTask:
    """Owns the settings in force and posts those that change."""

    def __init__(
        self,
        cfg: GatewaySettings,
        read: Callable[[], GatewaySettings | Failure],
        subscribers: tuple[Post, ...],
    ) -> None:
        """Create the task.

        :param cfg: settings in force
        :param read: reads and checks the settings file
        :param subscribers: mailboxes that receive ``SettingsChanged``
        """
        self._cfg = cfg
        self._read = read
        self._subscribers = subscribers
        self._reload_requested = asyncio.Event()
        self._last_error: str | None = None

    def reload(self) -> None:
        """Have the file checked now; called when a signal reports a change."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Check the file at intervals and on request, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._reload_requested.wait()
                log.info("reload requested")
            except TimeoutError:
                # The file may have changed without a signal.
                pass
            self._reload_requested.clear()
            self.check_file()

    def check_file(self) -> None:
        """Read the file and post its settings if they differ.

        If the file is invalid, the settings in force are kept.
        """
        cfg = self._read()
        if isinstance(cfg, Failure):
            if cfg.reason != self._last_error:
                log.warning("settings kept cause={}", cfg.reason)
            self._last_error = cfg.reason
            return
        self._last_error = None
        if cfg == self._cfg:
            return
        changed = [
            name
            for name in GatewaySettings.__dataclass_fields__
            if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        log.info("settings changed fields={}", ",".join(changed))
        self._cfg = cfg
        for post in self._subscribers:
            post(SettingsChanged(cfg))

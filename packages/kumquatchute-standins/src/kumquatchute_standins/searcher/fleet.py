"""Runs many searchers in one process and publishes them on the platform."""

from collections.abc import Iterable
from dataclasses import replace
from pathlib import Path
import time

from aiohttp import web
import msgspec
import yaml

from kumquatchute_standins.searcher.codec import decode_control
from kumquatchute_standins.searcher.codec import encode_result
from kumquatchute_standins.searcher.config import FleetConfig
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.controls import Control
from kumquatchute_standins.searcher.controls import FleetControl
from kumquatchute_standins.searcher.controls import Restart
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.controls import SetIndex
from kumquatchute_standins.searcher.controls import SetUp
from kumquatchute_standins.searcher.index import build_index
from kumquatchute_standins.searcher.messages import ReadHealth
from kumquatchute_standins.searcher.messages import Records
from kumquatchute_standins.searcher.messages import Refused
from kumquatchute_standins.searcher.publisher import Publisher
from kumquatchute_standins.searcher.server import SearcherServer


def load_config(path: Path) -> FleetConfig:
    """Read a configuration file in YAML.

    :raises msgspec.ValidationError: an entry is missing or has the wrong type
    """
    content = yaml.safe_load(path.read_text(encoding="utf-8"))
    return msgspec.convert(content, FleetConfig)


class Fleet:
    """All searchers of a configuration.

    ``searchers`` maps their names to their servers.
    """

    def __init__(self, cfg: FleetConfig) -> None:
        """Create a fleet that is not started."""
        self._cfg = cfg
        self._indexes = {index.service: index for index in cfg.indexes}
        self._publisher = Publisher(cfg.platform) if cfg.platform else None
        self._control_listener: web.AppRunner | None = None
        self.searchers: dict[str, SearcherServer] = {}
        # Last incarnation of each searcher and its start as Unix time in
        # milliseconds.
        self._incarnations: dict[str, tuple[str, int]] = {}
        for searcher in cfg.searchers:
            index_data = self._indexes.get(
                searcher.service, IndexData(searcher.service)
            )
            index = build_index(
                searcher.name,
                index_data.index_version,
                index_data.map_version,
                index_data.shards,
            )
            self.searchers[searcher.name] = SearcherServer(
                searcher, index, cfg.seed
            )

    async def start(self) -> None:
        """Start all searchers, then publish the shard maps and searchers."""
        for searcher in self.searchers.values():
            await searcher.start()
        if self._cfg.control:
            await self._start_control_listener(self._cfg.control)
        if self._publisher is None:
            return
        for index in self._indexes.values():
            await self._publisher.publish_index(index)
        for name in self.searchers:
            await self._publish_entry(name)

    async def stop(self) -> None:
        """Stop all searchers; published objects stay on the platform."""
        for searcher in self.searchers.values():
            await searcher.stop()
        if self._control_listener is not None:
            await self._control_listener.cleanup()
        if self._publisher is not None:
            await self._publisher.close()

    async def apply_control(
        self, control: Control, searchers: Iterable[str] = ()
    ) -> None:
        """Apply a control, and publish the entries that it changes.

        Those are the entries of searchers that drain, stop draining, restart
        or listen again.

        :param searchers: names of searchers; empty means all
        """
        for name in tuple(searchers) or tuple(self.searchers):
            await self.searchers[name].apply_control(control)
            match control:
                case SetDraining(draining=draining):
                    await self._publish_entry(name, draining)
                case Restart() | SetUp(up=True):
                    await self._publish_entry(name)

    async def load_index(
        self, index: IndexData, keep_previous: bool = False
    ) -> None:
        """Load an index on all searchers of its service, then publish it.

        :param keep_previous: whether earlier versions can still be searched
        """
        self._indexes[index.service] = index
        update = SetIndex(
            index.index_version,
            index.map_version,
            index.shards,
            keep_previous,
        )
        for searcher in self.searchers.values():
            if searcher.cfg.service == index.service:
                await searcher.apply_control(update)
        await self.publish_index(index)

    async def _load_for_all_searchers(self, update: SetIndex) -> None:
        """Load and publish an index of the only service of the fleet.

        :raises ValueError: the fleet has no index or several
        """
        (index,) = self._indexes.values()
        shards = index.shards if update.shards is None else update.shards
        loaded = replace(
            index,
            index_version=update.index_version,
            map_version=update.map_version,
            shards=shards,
        )
        await self.load_index(loaded, update.keep_previous)

    async def publish_index(self, index: IndexData) -> None:
        """Publish the shard map of an index without loading the index."""
        if self._publisher is not None:
            await self._publisher.publish_index(index)

    async def remove_entry(self, name: str) -> None:
        """Delete the entry of a searcher."""
        if self._publisher is not None:
            await self._publisher.remove_searcher(self.searchers[name].cfg)

    async def records(self, name: str) -> Records:
        """Return the recorded calls and totals of a searcher."""
        return await self.searchers[name].records()

    async def _publish_entry(self, name: str, draining: bool = False) -> None:
        if self._publisher is None:
            return
        searcher = self.searchers[name]
        state = await searcher.task.ask(ReadHealth())
        await self._publisher.publish_searcher(
            searcher.cfg,
            searcher.address,
            self._start_time_ms(name, state.incarnation),
            draining,
        )

    def _start_time_ms(self, name: str, incarnation: str) -> int:
        """Return when an incarnation started, as Unix time in milliseconds.

        It is always later than the start of the incarnation before.
        """
        last_incarnation, started_ms = self._incarnations.get(name, ("", 0))
        if last_incarnation != incarnation:
            started_ms = max(started_ms + 1, int(time.time() * 1000))
            self._incarnations[name] = (incarnation, started_ms)
        return started_ms

    async def _start_control_listener(self, address: str) -> None:
        app = web.Application()
        app.router.add_post("/control", self._on_control)
        app.router.add_get("/records/{searcher}", self._on_records)
        self._control_listener = web.AppRunner(app, access_log=None)
        await self._control_listener.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._control_listener, host, int(port)).start()

    async def _on_control(self, req: web.Request) -> web.Response:
        message = decode_control(await req.read())
        if isinstance(message, Refused):
            return web.Response(status=400, body=encode_result(message))
        unknown = set(message.searchers) - set(self.searchers)
        if unknown:
            refusal = Refused(
                404, "not_found", f"unknown searchers: {unknown}"
            )
            return web.Response(status=404, body=encode_result(refusal))
        match message:
            case FleetControl(control=SetIndex() as update, searchers=()):
                await self._load_for_all_searchers(update)
            case FleetControl(control=control, searchers=names):
                await self.apply_control(control, names)
        return web.Response(body=b"null", content_type="application/json")

    async def _on_records(self, req: web.Request) -> web.Response:
        searcher = self.searchers.get(req.match_info["searcher"])
        if searcher is None:
            return web.Response(status=404)
        records = await searcher.records()
        if req.query.get("summary") == "1":
            records = replace(records, records=())
        return web.Response(
            body=encode_result(records), content_type="application/json"
        )

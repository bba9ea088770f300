"""Many searchers in one process, and what they publish."""

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

    :raises msgspec.ValidationError: an entry has the wrong type
    """
    content = yaml.safe_load(path.read_text(encoding="utf-8"))
    return msgspec.convert(content, FleetConfig)


class Fleet:
    """All searchers of a configuration, by name in ``searchers``."""

    def __init__(self, cfg: FleetConfig) -> None:
        """Create a fleet that is not started."""
        self._cfg = cfg
        self._indexes = {index.service: index for index in cfg.indexes}
        self._publisher = Publisher(cfg.platform) if cfg.platform else None
        self._control_runner: web.AppRunner | None = None
        self.searchers: dict[str, SearcherServer] = {}
        # Last incarnation of each searcher and its time of start.
        self._starts: dict[str, tuple[str, int]] = {}
        for profile in cfg.searchers:
            data = self._indexes.get(
                profile.service, IndexData(profile.service)
            )
            index = build_index(
                profile.name,
                data.index_version,
                data.map_version,
                data.shards,
            )
            self.searchers[profile.name] = SearcherServer(
                profile, index, cfg.seed
            )

    async def start(self) -> None:
        """Start all searchers and publish them and the shard maps."""
        for searcher in self.searchers.values():
            await searcher.start()
        if self._cfg.control:
            await self._start_control(self._cfg.control)
        if self._publisher is None:
            return
        for index in self._indexes.values():
            await self._publisher.publish_index(index)
        for name in self.searchers:
            await self._publish(name)

    async def stop(self) -> None:
        """Stop all searchers; what is published stays."""
        for searcher in self.searchers.values():
            await searcher.stop()
        if self._control_runner is not None:
            await self._control_runner.cleanup()
        if self._publisher is not None:
            await self._publisher.close()

    async def apply_control(
        self, control: Control, searchers: Iterable[str] = ()
    ) -> None:
        """Set a fault, and publish what the platform would notice of it.

        :param searchers: names, empty for all
        """
        for name in tuple(searchers) or tuple(self.searchers):
            await self.searchers[name].apply_control(control)
            match control:
                case SetDraining(draining=draining):
                    await self._publish(name, draining)
                case Restart() | SetUp(up=True):
                    await self._publish(name)

    async def load_index(
        self, index: IndexData, keep_previous: bool = False
    ) -> None:
        """Load an index on all searchers of its service, then publish it."""
        self._indexes[index.service] = index
        message = SetIndex(
            index.index_version,
            index.map_version,
            index.shards,
            keep_previous,
        )
        for searcher in self.searchers.values():
            if searcher.profile.service == index.service:
                await searcher.apply_control(message)
        await self.publish_index(index)

    async def _load_for_all(self, new: SetIndex) -> None:
        """Load and publish an index of the one service of this fleet."""
        (index,) = self._indexes.values()
        shards = index.shards if new.shards is None else new.shards
        loaded = replace(
            index,
            index_version=new.index_version,
            map_version=new.map_version,
            shards=shards,
        )
        await self.load_index(loaded, new.keep_previous)

    async def publish_index(self, index: IndexData) -> None:
        """Publish a shard map without loading it."""
        if self._publisher is not None:
            await self._publisher.publish_index(index)

    async def withdraw(self, name: str) -> None:
        """Delete the entry of a searcher."""
        if self._publisher is not None:
            await self._publisher.remove_searcher(self.searchers[name].profile)

    async def records(self, name: str) -> Records:
        """Return what a searcher recorded."""
        return await self.searchers[name].records()

    async def _publish(self, name: str, draining: bool = False) -> None:
        if self._publisher is None:
            return
        searcher = self.searchers[name]
        state = await searcher.task.ask(ReadHealth())
        await self._publisher.publish_searcher(
            searcher.profile,
            searcher.address,
            self._born(name, state.incarnation),
            draining,
        )

    def _born(self, name: str, incarnation: str) -> int:
        """Return a time of start, a later one for each incarnation."""
        known, born = self._starts.get(name, ("", 0))
        if known != incarnation:
            born = max(born + 1, int(time.time() * 1000))
            self._starts[name] = (incarnation, born)
        return born

    async def _start_control(self, control: str) -> None:
        app = web.Application()
        app.router.add_post("/control", self._on_control)
        app.router.add_get("/records/{searcher}", self._on_records)
        self._control_runner = web.AppRunner(app, access_log=None)
        await self._control_runner.setup()
        host, _, port = control.rpartition(":")
        await web.TCPSite(self._control_runner, host, int(port)).start()

    async def _on_control(self, req: web.Request) -> web.Response:
        message = decode_control(await req.read())
        if isinstance(message, Refused):
            return web.Response(status=400, body=encode_result(message))
        unknown = set(message.searchers) - set(self.searchers)
        if unknown:
            refused = Refused(404, "not_found", f"no searcher {unknown}")
            return web.Response(status=404, body=encode_result(refused))
        match message:
            case FleetControl(control=SetIndex() as new, searchers=()):
                await self._load_for_all(new)
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

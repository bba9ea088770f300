"""Publishes the objects of a fleet on the platform."""

from typing import Any

import aiohttp

from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import PlatformEndpoint
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.platform_objects import searcher_entry
from kumquatchute_standins.searcher.platform_objects import shard_map_name
from kumquatchute_standins.searcher.platform_objects import shard_map_spec

SHARD_MAP_KIND = "shardmaps"
SEARCHER_KIND = "servers"
REQUEST_TIMEOUT_S = 5.0


class Publisher:
    """Creates, replaces and deletes objects of the platform over HTTP."""

    def __init__(self, endpoint: PlatformEndpoint) -> None:
        """Create a publisher that opens its session on first use."""
        self._endpoint = endpoint
        self._open_session: aiohttp.ClientSession | None = None

    async def publish_index(self, index: IndexData) -> None:
        """Create or replace the shard map of a service."""
        name = shard_map_name(index.service)
        await self._put(SHARD_MAP_KIND, name, shard_map_spec(index))

    async def publish_searcher(
        self,
        cfg: SearcherConfig,
        address: str,
        started_ms: int,
        draining: bool = False,
    ) -> None:
        """Create or replace the entry of a searcher.

        :param address: IP address and port
        :param started_ms: start of the searcher, Unix time in milliseconds
        """
        entry = searcher_entry(cfg, address, started_ms, draining)
        await self._put(SEARCHER_KIND, cfg.name, entry)

    async def remove_searcher(self, cfg: SearcherConfig) -> None:
        """Delete the entry of a searcher; a missing one is no error."""
        path = f"/objects/{SEARCHER_KIND}/{cfg.name}"
        async with self._session().delete(path) as resp:
            if resp.status != 404:
                resp.raise_for_status()

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._open_session is not None:
            await self._open_session.close()

    async def _put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        document = {"meta": {"name": name}, "spec": spec}
        path = f"/objects/{kind}"
        async with self._session().post(path, json=document) as resp:
            if resp.status != 409:
                resp.raise_for_status()
                return
        put = self._session().put(f"{path}/{name}", json=document)
        async with put as resp:
            resp.raise_for_status()

    def _session(self) -> aiohttp.ClientSession:
        if self._open_session is None:
            self._open_session = aiohttp.ClientSession(
                self._endpoint.url,
                timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
            )
        return self._open_session

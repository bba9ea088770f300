"""Writes the objects of a fleet into the platform, as its own parts would."""

from typing import Any

import aiohttp

from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import PlatformEndpoint
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.platform_objects import searcher_entry
from kumquatchute_standins.searcher.platform_objects import shard_map_name
from kumquatchute_standins.searcher.platform_objects import shard_map_spec

SHARD_MAPS = "shardmaps"
SEARCHERS = "servers"
TIMEOUT_S = 5.0


class Publisher:
    """Creates, replaces and deletes objects over HTTP."""

    def __init__(self, link: PlatformEndpoint) -> None:
        """Create a publisher that opens its session on first use."""
        self._link = link
        self._http: aiohttp.ClientSession | None = None

    async def publish_index(self, index: IndexData) -> None:
        """Write the shard map of a service."""
        name = shard_map_name(index.service)
        await self._put(SHARD_MAPS, name, shard_map_spec(index))

    async def publish_searcher(
        self,
        profile: SearcherConfig,
        address: str,
        born: int,
        draining: bool = False,
    ) -> None:
        """Write the entry of a searcher.

        :param address: IP address and port
        :param born: Unix time of its start in milliseconds
        """
        entry = searcher_entry(profile, address, born, draining)
        await self._put(SEARCHERS, profile.name, entry)

    async def remove_searcher(self, profile: SearcherConfig) -> None:
        """Delete the entry of a searcher."""
        path = f"/objects/{SEARCHERS}/{profile.name}"
        async with self._session().delete(path) as resp:
            if resp.status != 404:
                resp.raise_for_status()

    async def close(self) -> None:
        """Close the session."""
        if self._http is not None:
            await self._http.close()

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
        if self._http is None:
            self._http = aiohttp.ClientSession(
                self._link.url,
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
            )
        return self._http

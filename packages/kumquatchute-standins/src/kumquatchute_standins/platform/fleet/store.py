"""Store stand-in: serves a table over HTTP and can be disturbed."""

import asyncio
from dataclasses import dataclass

from aiohttp import web

from kumquatchute_standins.platform.fleet import table as tb

PAGE = 50
# Watches that wait need not end before the store does, in seconds.
STOP_S = 0.1


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """What is wrong with the store.

    :param refuse_status: every call is refused with it; None if none is
    :param delay_s: every answer is this late
    :param lose_writes: writes take effect and are not answered
    :param deaf: watches hear nothing and are not ended
    """

    refuse_status: int | None = None
    delay_s: float = 0.0
    lose_writes: bool = False
    deaf: bool = False


class StoreStandIn:
    """Owns the table and the listener of the store."""

    def __init__(self, address: str) -> None:
        """Create a store.

        :param address: IP address and port
        """
        self.address = address
        self.faults = StoreFaults()
        self.calls = 0
        self._table = tb.Table()
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/objects/{kind}", self._get)
        app.router.add_post("/objects/{kind}", self._post)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=STOP_S
        )
        await self._runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()

    async def stop(self) -> None:
        """Close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as an operator or a searcher does."""
        self._set(tb.put(self._table, kind, name, spec))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._set(tb.remove(self._table, kind, name))

    def drop_history(self) -> None:
        """Forget all changes."""
        self._set(tb.drop_history(self._table))

    def names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        return {name for at, name in dict(self._table.items) if at == kind}

    def _set(self, table: tb.Table) -> None:
        self._table = table
        self._changed.set()
        self._changed = asyncio.Event()

    async def _disturb(self) -> web.Response | None:
        self.calls += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.refuse_status is not None:
            return web.Response(status=self.faults.refuse_status)
        return None

    async def _get(self, req: web.Request) -> web.StreamResponse:
        refused = await self._disturb()
        if refused is not None:
            return refused
        kind = req.match_info["kind"]
        if "watch" not in req.query:
            after = req.query.get("after", "")
            return _answer(tb.list_kind(self._table, kind, after, PAGE))
        wait_s = int(req.query.get("waitMs", "0")) / 1000
        return await self._watch(kind, int(req.query["watch"]), wait_s)

    async def _watch(
        self, kind: str, revision: int, wait_s: float
    ) -> web.StreamResponse:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if self.faults.deaf:
                await asyncio.Event().wait()
            result = tb.changes_after(self._table, kind, revision)
            left_s = deadline - loop.time()
            if result is None and left_s <= 0:
                content = {"events": [], "asOf": self._table.revision}
                result = tb.Result(200, content)
            if result is not None:
                return _answer(result)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _post(self, req: web.Request) -> web.StreamResponse:
        refused = await self._disturb()
        if refused is not None:
            return refused
        body = await req.json()
        table, result = tb.create(self._table, req.match_info["kind"], body)
        return self._written(req, table, result)

    async def _put(self, req: web.Request) -> web.StreamResponse:
        refused = await self._disturb()
        if refused is not None:
            return refused
        kind, name = req.match_info["kind"], req.match_info["name"]
        table, result = tb.update(self._table, kind, name, await req.json())
        return self._written(req, table, result)

    def _written(
        self, req: web.Request, table: tb.Table, result: tb.Result
    ) -> web.StreamResponse:
        self._set(table)
        if self.faults.lose_writes:
            req.transport.abort()
        return _answer(result)


def _answer(result: tb.Result) -> web.Response:
    return web.json_response(result.content, status=result.status)

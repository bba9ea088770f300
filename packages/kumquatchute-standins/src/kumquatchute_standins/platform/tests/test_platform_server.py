"""Tests of the platform stand-in: API conventions and faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import aiohttp
import pytest

from kumquatchute_standins.platform.controls import ClearFaults
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import ServeOlder
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetEndpointLag
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.controls import SilenceWatches
from kumquatchute_standins.platform.datafile import load_table
from kumquatchute_standins.platform.datafile import save_table
from kumquatchute_standins.platform.messages import DeleteObject
from kumquatchute_standins.platform.messages import Verb
from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.platform.table import Table

TICKETS = "/objects/tickets"

Scenario = Callable[[PlatformServer, aiohttp.ClientSession], Awaitable[None]]


def run(scenario: Scenario) -> None:
    """Run a scenario against a server of its own."""

    async def main() -> None:
        server = PlatformServer()
        await server.start()
        timeout = aiohttp.ClientTimeout(total=3)
        try:
            async with aiohttp.ClientSession(
                server.url, timeout=timeout
            ) as http:
                await scenario(server, http)
        finally:
            await server.stop()

    asyncio.run(main())


def build_ticket(name, revision=None, **spec):
    meta = {"name": name}
    if revision is not None:
        meta["revision"] = revision
    return {"meta": meta, "spec": spec}


async def create_ticket(http, name, **spec):
    resp = await http.post(TICKETS, json=build_ticket(name, **spec))
    return resp.status, await resp.json()


async def watch(http, revision, wait_ms=2000, path=TICKETS):
    query = {"watch": str(revision), "waitMs": str(wait_ms)}
    resp = await http.get(path, params=query)
    return resp.status, await resp.json()


def test_only_one_of_two_creates_of_a_name_succeeds():
    """Guards against two tickets under one number.

    Two operators create the object of the same name.
    """

    async def scenario(server, http):
        status, first = await create_ticket(http, "t-1", x=1)
        assert status == 201
        status, body = await create_ticket(http, "t-1", x=2)
        assert (status, body) == (409, first)

    run(scenario)


def test_conditional_writes_with_an_old_revision_conflict():
    """Guards against lost updates, and deletion of a newer state.

    A client writes on the revision that it read before another one wrote.
    """

    async def scenario(server, http):
        _, first = await create_ticket(http, "t-1", x=1)
        old = first["meta"]["revision"]
        path = TICKETS + "/t-1"
        resp = await http.put(path, json=build_ticket("t-1", old, x=2))
        assert resp.status == 200
        resp = await http.put(path, json=build_ticket("t-1", old, x=3))
        assert resp.status == 409
        assert (await resp.json())["spec"] == {"x": 2}
        resp = await http.delete(path, params={"revision": str(old)})
        assert resp.status == 409
        assert (await (await http.get(path)).json())["spec"] == {"x": 2}

    run(scenario)


def test_write_that_changes_nothing_creates_no_event():
    """Guards against an event for a write that left the object as it was.

    The platform sends none. With one, tests would pass for clients that wait
    for the event of such a write.
    """

    async def scenario(server, http):
        _, first = await create_ticket(http, "t-1", x=1)
        revision = first["meta"]["revision"]
        resp = await http.put(TICKETS + "/t-1", json=build_ticket("t-1", x=1))
        assert (await resp.json())["meta"]["revision"] == revision
        status, body = await watch(http, revision, wait_ms=100)
        assert (status, body["events"]) == (200, [])

    run(scenario)


def test_watch_returns_changes_in_order():
    """Guards against lost changes between a list and the watch after it."""

    async def scenario(server, http):
        page = await (await http.get(TICKETS)).json()
        await create_ticket(http, "t-1")
        await create_ticket(http, "t-2")
        await http.delete(TICKETS + "/t-1")
        _, body = await watch(http, page["asOf"])
        received = [
            (event["object"]["meta"]["name"], event["removed"])
            for event in body["events"]
        ]
        assert received == [("t-1", False), ("t-2", False), ("t-1", True)]
        waiting = asyncio.ensure_future(watch(http, body["asOf"]))
        await asyncio.sleep(0.05)
        await create_ticket(http, "t-3")
        _, body = await waiting
        assert [e["object"]["meta"]["name"] for e in body["events"]] == ["t-3"]

    run(scenario)


def test_quiet_watch_ends_with_the_newest_revision():
    """Guards against a watch that expires because only other kinds change.

    It ends without the newest revision, and the next one starts from a
    revision that the history no longer holds.
    """

    async def scenario(server, http):
        waiting = asyncio.ensure_future(watch(http, 1, wait_ms=300))
        await asyncio.sleep(0.05)
        server.put("other", "o-1", {})
        status, body = await waiting
        assert (status, body) == (200, {"events": [], "asOf": 2})

    run(scenario)


def test_long_list_is_split_into_pages():
    """Guards against long lists on one page.

    Clients that read only the first page would pass the tests.
    """

    async def main():
        server = PlatformServer(Table(page_objects=2))
        await server.start()
        async with aiohttp.ClientSession(server.url) as http:
            for number in range(3):
                await create_ticket(http, f"t-{number}")
            first = await (await http.get(TICKETS)).json()
            query = {"after": "t-1"}
            second = await (await http.get(TICKETS, params=query)).json()
        await server.stop()
        assert (len(first["items"]), first["hasMore"]) == (2, True)
        assert (len(second["items"]), second["hasMore"]) == (1, False)

    asyncio.run(main())


def test_watch_from_a_dropped_revision_gets_410():
    """Guards against a watch that silently skips changes.

    It starts from a revision whose later changes are no longer in the history.
    """

    async def scenario(server, http):
        await create_ticket(http, "t-1")
        await server.apply_control(DropHistory())
        assert (await watch(http, 1))[0] == 410

    run(scenario)


def test_kind_without_objects_drops_its_history_too():
    """Guards against a watch that continues although changes were dropped.

    The history was dropped before the kind had its first object.
    """

    async def scenario(server, http):
        await create_ticket(http, "t-1")
        await server.apply_control(DropHistory())
        assert (await watch(http, 1, path="/objects/none"))[0] == 410

    run(scenario)


def test_silenced_watch_is_never_answered():
    """Guards against a fault that ends watches instead of silencing them."""

    async def scenario(server, http):
        await server.apply_control(SilenceWatches())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.3):
                await watch(http, 1, wait_ms=100)
        await server.apply_control(ClearFaults())
        assert (await watch(http, 1, wait_ms=100))[0] == 200

    run(scenario)


def test_lost_answer_leaves_the_write_in_effect():
    """Guards against a fault that also loses the write.

    No test would cover a write that took effect but got no answer.
    """

    async def scenario(server, http):
        await server.apply_control(LoseAnswers(1))
        with pytest.raises(aiohttp.ClientError):
            await create_ticket(http, "t-1")
        assert (await http.get(TICKETS + "/t-1")).status == 200
        assert (await create_ticket(http, "t-2"))[0] == 201

    run(scenario)


def test_connections_are_refused_until_the_outage_ends():
    """Guards against an outage in which requests are still answered.

    A connection that was opened before it stays open, or the listener does.
    """

    async def scenario(server, http):
        await server.apply_control(SetDown(DownMode.REFUSE))
        with pytest.raises(aiohttp.ClientConnectorError):
            await http.get(TICKETS)
        await server.apply_control(SetDown(None))
        assert (await http.get(TICKETS)).status == 200

    run(scenario)


def test_older_state_and_rate_limit_over_http():
    """Guards against faults that differ when they are set over HTTP.

    A control message is decoded to other values than tests set in-process.
    """

    async def scenario(server, http):
        await create_ticket(http, "t-1")
        await http.post("/control", json={"do": "serve_older", "changes": 1})
        assert (await http.get(TICKETS + "/t-1")).status == 404
        await server.apply_control(ServeOlder(0))
        assert (await http.get(TICKETS + "/t-1")).status == 200
        await server.apply_control(SetRate(reads_per_s=1))
        assert (await http.get(TICKETS)).status == 200
        resp = await http.get(TICKETS)
        assert (resp.status, resp.headers["Retry-After"]) == (429, "1")
        counts = await (await http.get("/control")).json()
        assert counts["limited"] == 1
        assert (await server.read_counts()).total(Verb.GET, "tickets") == 2

    run(scenario)


def test_list_of_searchers_lags_and_the_watch_delivers_late():
    """Guards against a lag that only delays reads or loses changes.

    A list hides a new entry, but a watch sends it at once or never.
    """

    async def scenario(server, http):
        path = "/objects/servers"
        await server.apply_control(SetEndpointLag(0.2))
        server.put("servers", "s", {"state": "ready"})
        assert (await (await http.get(path)).json())["items"] == []
        _, body = await watch(http, 1, path=path)
        assert not body["events"][0]["removed"]
        assert len((await (await http.get(path)).json())["items"]) == 1

    run(scenario)


def test_objects_over_the_limit_are_refused():
    """Guards against accepting writes that the platform would refuse.

    Nodes whose objects grow beyond 1 MiB would pass the tests.
    """

    async def scenario(server, http):
        status, _ = await create_ticket(http, "t-1", x="x" * (1024 * 1024))
        assert status == 413

    run(scenario)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b'{"meta":7}', b'{"meta":{"name":7}}', b'{"spec":{}}'],
)
def test_malformed_creation_is_refused(body):
    """Guards against accepting bodies that the platform would refuse.

    Nodes that send no name, or fields of another type, would pass the tests.
    """

    async def scenario(server, http):
        assert (await http.post(TICKETS, data=body)).status == 400

    run(scenario)


def test_revisions_continue_after_a_restart(tmp_path):
    """Guards against reuse of revisions that clients saw before.

    A watch from a revision of the previous run would skip changes of this one.
    """
    table = Table()
    table.put("tickets", "t-1", {"n": 1}, 0.0)
    table.put("tickets", "t-2", {"n": 2}, 0.0)
    table.write(DeleteObject("tickets", "t-2"), 0.0)
    for file in (tmp_path / "t.yaml", tmp_path / "t.json"):
        save_table(table, file)
        reloaded = load_table(file)
        assert reloaded.revision > table.revision
        ticket = reloaded.get("tickets", "t-1", reloaded.revision)
        assert ticket.document["spec"] == {"n": 1}
        assert reloaded.kind("tickets").history_start == reloaded.revision


def test_watch_from_a_future_revision_gets_410():
    """Guards against a client that waits for changes after data was lost.

    Its revision is ahead of the platform, whose changes seem old to it.
    """

    async def scenario(server, http):
        assert (await watch(http, 99))[0] == 410

    run(scenario)

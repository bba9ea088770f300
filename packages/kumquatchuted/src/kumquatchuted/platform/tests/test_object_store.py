"""Tests of the store client against the platform stand-in and its faults.

Most scenarios also run on ``MemoryStore``, so that slices tested with it get
the same results as from the real client.
"""

import asyncio
from contextlib import aclosing

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import PlatformSettings
from kumquatchute_standins.memory_store import MemoryStore
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import DropHistory
from kumquatchute_standins.platform.controls import ExecuteLate
from kumquatchute_standins.platform.controls import FreezeWatches
from kumquatchute_standins.platform.controls import LoseAnswers
from kumquatchute_standins.platform.controls import ReadCounts
from kumquatchute_standins.platform.controls import ServeOlder
from kumquatchute_standins.platform.controls import SetDelay
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.messages import Loss
from kumquatchute_standins.platform.messages import Verb
from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.platform.table import Table
from kumquatchuted.platform import object_store
from kumquatchuted.platform.object_store import ObjectStore
from kumquatchuted.platform.store import Conflict
from kumquatchuted.platform.store import ObjectDeleted
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import StoredObject

TICKETS = ObjectKind.TICKETS
TIMEOUT_MS = 200


def run_on_server(scenario):
    """Run a scenario with a store client that is connected to a server."""

    async def main():
        server = PlatformServer()
        await server.start()
        store = ObjectStore(
            PlatformSettings(server.url, timeout_ms=TIMEOUT_MS)
        )
        try:
            await scenario(store, server.apply_control)
        finally:
            await store.close()
            await server.stop()

    asyncio.run(main())


def run_in_memory(scenario):
    """Run a scenario with an in-memory store."""

    async def main():
        store = MemoryStore(timeout_s=TIMEOUT_MS / 1000)

        async def control(fault):
            if isinstance(fault, DropHistory):
                store.platform.drop_history()
            else:
                store.set_fault(fault)

        await scenario(store, control)

    asyncio.run(main())


on_both_stores = pytest.mark.parametrize(
    "run_scenario", [run_on_server, run_in_memory]
)


@on_both_stores
def test_conditional_writes_report_conflicts(run_scenario):
    """Guards against a lost update that looks like a success.

    Another writer has created or changed the object in between.
    """

    async def scenario(store, control):
        first = await store.create(TICKETS, "t-1", b'{"n":1}')
        assert first.body == b'{"n":1}'
        again = await store.create(TICKETS, "t-1", b'{"n":2}')
        assert again == Conflict("t-1")
        second = await store.update(TICKETS, "t-1", b"{}", first.version)
        assert second.version != first.version
        stale = await store.update(TICKETS, "t-1", b"{}", first.version)
        assert stale == Conflict("t-1")
        assert await store.delete(TICKETS, "t-1", first.version) == stale
        assert await store.delete(TICKETS, "t-1", second.version) is None
        gone = await store.get(TICKETS, "t-1")
        assert gone.kind is ErrorKind.NOT_FOUND

    run_scenario(scenario)


@on_both_stores
@pytest.mark.parametrize("loss", list(Loss))
def test_lost_response_to_a_write_is_an_unknown_outcome(run_scenario, loss):
    """Guards against a false "not run" and a retried write.

    The write took effect, but the connection was reset or went silent before
    its response.
    """

    async def scenario(store, control):
        stored = await store.create(TICKETS, "t-1", b'{"n":1}')
        await control(LoseAnswers(1, loss))
        failure = await store.update(
            TICKETS, "t-1", b'{"n":2}', stored.version
        )
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert not failure.not_run
        # A retried update would find its own effect and report a conflict.
        assert (await store.get(TICKETS, "t-1")).body == b'{"n":2}'

    run_scenario(scenario)


def test_http_library_does_not_retry_writes():
    """Guards against retries of PUT and DELETE inside aiohttp.

    The first request took effect and its response was lost. A retry would
    find that effect and report a conflict.
    """

    async def scenario(store, control):
        stored = await store.create(TICKETS, "t-1", b"{}")
        await control(LoseAnswers(2))
        await store.update(TICKETS, "t-1", b"{}", stored.version)
        newest = await store.get(TICKETS, "t-1")
        await store.delete(TICKETS, "t-1", newest.version)
        counts = await control(ReadCounts())
        assert counts.total(Verb.UPDATE) == 1
        assert counts.total(Verb.DELETE) == 1

    run_on_server(scenario)


@on_both_stores
def test_refused_connection_is_reported_as_not_run(run_scenario):
    """Guards against a known outcome that is reported as unknown.

    The store refuses the connection, so an operator can safely try again.
    """

    async def scenario(store, control):
        await control(SetDown(DownMode.REFUSE))
        failure = await store.create(TICKETS, "t-1", b"{}")
        assert (failure.kind, failure.not_run) == (
            ErrorKind.UNAVAILABLE,
            True,
        )
        await control(SetDown(None))
        found = await store.get(TICKETS, "t-1")
        assert found.kind is ErrorKind.NOT_FOUND

    run_scenario(scenario)


@on_both_stores
@pytest.mark.parametrize("mode", [DownMode.ERROR, DownMode.HANG])
def test_write_without_a_usable_response_is_an_unknown_outcome(
    run_scenario, mode
):
    """Guards against "not run" for a write that may have taken effect.

    A status of 503 can come from an HTTP gateway that lost the store after it
    forwarded the write; a store that hangs may still apply it.
    """

    async def scenario(store, control):
        await control(SetDown(mode))
        failure = await store.create(TICKETS, "t-1", b"{}")
        assert (failure.kind, failure.not_run) == (
            ErrorKind.OUTCOME_UNKNOWN,
            False,
        )
        read = await store.get(TICKETS, "t-1")
        assert (read.kind, read.not_run) == (ErrorKind.UNAVAILABLE, True)

    run_scenario(scenario)


@on_both_stores
def test_slow_write_takes_effect_with_unknown_outcome(run_scenario):
    """Guards against a slow platform that is taken for one that is down.

    The write takes effect after the client has stopped waiting.
    """

    async def scenario(store, control):
        await control(SetDelay(2 * TIMEOUT_MS))
        failure = await store.create(TICKETS, "t-1", b"{}")
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
        await control(SetDelay(0))
        assert isinstance(await store.get(TICKETS, "t-1"), StoredObject)

    run_scenario(scenario)


@on_both_stores
def test_rate_limited_write_has_no_effect(run_scenario):
    """Guards against a 429 that is taken for an unknown outcome.

    The store rejects a write over its rate limit before applying it.
    """

    async def scenario(store, control):
        await control(SetRate(reads_per_s=100, writes_per_s=1))
        assert isinstance(
            await store.create(TICKETS, "t-1", b"{}"), StoredObject
        )
        failure = await store.create(TICKETS, "t-2", b"{}")
        assert (failure.kind, failure.not_run) == (
            ErrorKind.UNAVAILABLE,
            True,
        )
        found = await store.get(TICKETS, "t-2")
        assert found.kind is ErrorKind.NOT_FOUND

    run_scenario(scenario)


@on_both_stores
def test_too_large_value_is_rejected(run_scenario):
    """Guards against a too large value that is reported as an outage.

    Its writer would retry a write that can never succeed.
    """

    async def scenario(store, control):
        body = b'"' + b"x" * (1024 * 1024) + b'"'
        failure = await store.create(TICKETS, "t-1", body)
        assert (failure.kind, failure.not_run) == (ErrorKind.TOO_LARGE, True)

    run_scenario(scenario)


@on_both_stores
def test_watch_after_a_list_misses_nothing(run_scenario):
    """Guards against changes lost between list and watch.

    An object is created after the list was read and before the watch starts.
    """

    async def scenario(store, control):
        first = await store.create(TICKETS, "t-1", b'{"n":1}')
        listed = await store.list(TICKETS, "t-")
        assert listed.objects == (first,)
        second = await store.create(TICKETS, "t-2", b'{"n":2}')
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            assert await anext(events) == second
            await store.delete(TICKETS, "t-1", first.version)
            assert await anext(events) == ObjectDeleted("t-1")

    run_scenario(scenario)


@on_both_stores
def test_watch_after_the_version_alone_misses_nothing(run_scenario):
    """Guards against changes lost when the objects are not listed.

    An object is created after the version was read and before the watch
    starts.
    """

    async def scenario(store, control):
        await store.create(TICKETS, "t-1", b'{"n":1}')
        await store.create(TICKETS, "t-2", b'{"n":2}')
        version = await store.version(TICKETS)
        third = await store.create(TICKETS, "t-3", b'{"n":3}')
        async with aclosing(store.watch(TICKETS, version)) as events:
            assert await anext(events) == third

    run_scenario(scenario)


@on_both_stores
def test_watch_from_a_dropped_version_fails(run_scenario):
    """Guards against a watch that continues after missing changes.

    The store no longer has the changes after the version, so the caller must
    list the objects again.
    """

    async def scenario(store, control):
        await store.create(TICKETS, "t-1", b"{}")
        await control(DropHistory())
        async with aclosing(store.watch(TICKETS, "1")) as events:
            failure = await anext(events)
            assert failure.kind is ErrorKind.UNAVAILABLE
            with pytest.raises(StopAsyncIteration):
                await anext(events)

    run_scenario(scenario)


@on_both_stores
def test_watch_ends_with_a_failure_when_the_platform_goes_down(run_scenario):
    """Guards against a task that waits for a watch that has ended.

    The store goes down and resets the connection of the watch.
    """

    async def scenario(store, control):
        listed = await store.list(TICKETS)
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            next_event = asyncio.ensure_future(anext(events))
            await asyncio.sleep(0.05)
            await control(SetDown(DownMode.REFUSE))
            assert isinstance(await next_event, Failure)

    run_scenario(scenario)


@on_both_stores
@pytest.mark.proves("ticket: spread", "connection silent for good")
def test_watch_that_stops_delivering_fails_in_time(run_scenario, monkeypatch):
    """Guards against changes that a node never sees.

    A connection of the watch goes silent without an error.
    """
    monkeypatch.setattr(object_store, "WATCH_WAIT_S", 1)

    async def scenario(store, control):
        listed = await store.list(TICKETS)
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            next_event = asyncio.ensure_future(anext(events))
            await asyncio.sleep(0.05)
            await control(FreezeWatches())
            await store.create(TICKETS, "t-1", b"{}")
            async with asyncio.timeout(2):
                assert isinstance(await next_event, Failure)

    run_scenario(scenario)


def test_watch_continues_over_several_calls(monkeypatch):
    """Guards against events that are lost or repeated between two calls."""
    monkeypatch.setattr(object_store, "WATCH_WAIT_S", 1)

    async def scenario(store, control):
        listed = await store.list(TICKETS)
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            for number in range(3):
                name = f"t-{number}"
                next_event = asyncio.ensure_future(anext(events))
                await asyncio.sleep(0.6)
                await store.create(TICKETS, name, b"{}")
                assert (await next_event).name == name
        assert (await control(ReadCounts())).total(Verb.WATCH) >= 2

    run_on_server(scenario)


def test_quiet_watch_does_not_expire(monkeypatch):
    """Guards against a new listing of a kind that did not change.

    Writes of other kinds advance the revision, and the store drops its
    history. A watch must continue from the revision of its last response.
    """
    monkeypatch.setattr(object_store, "WATCH_WAIT_S", 2)

    async def scenario(store, control):
        listed = await store.list(TICKETS)
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            next_event = asyncio.ensure_future(anext(events))
            await asyncio.sleep(0.1)
            await store.create(ObjectKind.LEASES, "n1", b"{}")
            await asyncio.sleep(1.2)
            await control(DropHistory())
            await asyncio.sleep(1)
            await store.create(TICKETS, "t-1", b"{}")
            assert (await next_event).name == "t-1"
        assert (await control(ReadCounts())).total(Verb.WATCH) == 2

    run_on_server(scenario)


@on_both_stores
def test_stale_state_is_returned_without_an_error(run_scenario):
    """Guards against a client that hides or rejects older state.

    The slices above must detect it themselves, and their tests rely on both
    stores to return it.
    """

    async def scenario(store, control):
        stored = await store.create(TICKETS, "t-1", b'{"n":1}')
        await store.update(TICKETS, "t-1", b'{"n":2}', stored.version)
        await control(ServeOlder(1))
        assert (await store.get(TICKETS, "t-1")).body == b'{"n":1}'
        assert (await store.list(TICKETS)).objects[0].body == b'{"n":1}'

    run_scenario(scenario)


def run_with_page_size(objects_per_page, scenario):
    """Run a scenario against a store with small pages."""

    async def main():
        server = PlatformServer(Table(objects_per_page))
        await server.start()
        store = ObjectStore(PlatformSettings(server.url))
        try:
            await scenario(store, server)
        finally:
            await store.close()
            await server.stop()

    asyncio.run(main())


def test_long_lists_are_read_page_by_page():
    """Guards against a list that is cut off after its first page."""

    async def scenario(store, server):
        for number in range(5):
            await store.create(TICKETS, f"t-{number}", b"{}")
        listed = await store.list(TICKETS)
        assert len(listed.objects) == 5
        assert (await server.read_counts()).total(Verb.LIST) == 3

    run_with_page_size(2, scenario)


def test_list_of_several_pages_has_one_version(monkeypatch):
    """Guards against a list that mixes states from before and after a write.

    An object of the first page is deleted and a last one is created while the
    pages are read. Without the changes since the first page, both would be
    listed.
    """

    async def scenario(store, server):
        for name in ("a", "b", "c"):
            await store.create(TICKETS, name, b"{}")
        read_page = store._read_page

        async def read_page_then_change(kind, after):
            page = await read_page(kind, after)
            if not after:
                first = page.items[0]
                await store.delete(TICKETS, "a", str(first.revision))
                await store.create(TICKETS, "d", b"{}")
            return page

        monkeypatch.setattr(store, "_read_page", read_page_then_change)
        listed = await store.list(TICKETS)
        assert [item.name for item in listed.objects] == ["b", "c", "d"]
        async with aclosing(store.watch(TICKETS, listed.version)) as events:
            last = await store.create(TICKETS, "e", b"{}")
            assert await anext(events) == last

    run_with_page_size(2, scenario)


def test_delayed_write_is_an_unknown_outcome():
    """Guards against a delayed write that is taken for lost and repeated.

    A read directly after the timeout does not find it; it takes effect later.
    """

    async def scenario(store, control):
        await control(ExecuteLate(1, after_s=0.4))
        failure = await store.create(TICKETS, "t-1", b'{"n":1}')
        assert (failure.kind, failure.not_run) == (
            ErrorKind.OUTCOME_UNKNOWN,
            False,
        )
        assert (await store.get(TICKETS, "t-1")).kind is ErrorKind.NOT_FOUND
        await asyncio.sleep(0.4)
        assert (await store.get(TICKETS, "t-1")).body == b'{"n":1}'

    run_on_server(scenario)


def test_delayed_write_does_not_undo_a_newer_one():
    """Guards against a delayed write that overwrites a newer one.

    It takes effect last, but its condition on the version no longer holds.
    """

    async def scenario(store, control):
        first = await store.create(TICKETS, "t-1", b'{"n":1}')
        await control(ExecuteLate(1, after_s=0.4))
        await store.update(TICKETS, "t-1", b'{"n":2}', first.version)
        await store.update(TICKETS, "t-1", b'{"n":3}', first.version)
        await asyncio.sleep(0.4)
        assert (await store.get(TICKETS, "t-1")).body == b'{"n":3}'

    run_on_server(scenario)


def test_spec_of_another_writer_is_returned_unchanged():
    """Guards against a list that fails because of one unusual object.

    Another system stores a list in place of an entry.
    """

    async def main():
        server = PlatformServer()
        await server.start()
        store = ObjectStore(PlatformSettings(server.url))
        server.put("servers", "odd", [None, "\u2603"])
        server.put("servers", "plain", {"service": "a"})
        listed = await store.list(ObjectKind.SEARCHERS)
        assert [item.body for item in listed.objects] == [
            '[null,"\u2603"]'.encode(),
            b'{"service":"a"}',
        ]
        await store.close()
        await server.stop()

    asyncio.run(main())


def test_namespaces_are_isolated_from_each_other():
    """Guards against two installations that read each other's objects."""

    async def main():
        server = PlatformServer()
        await server.start()
        stores = [
            ObjectStore(PlatformSettings(server.url, namespace=name))
            for name in (None, "n1")
        ]
        for store in stores:
            written = await store.create(TICKETS, "t-1", b"{}")
            assert isinstance(written, StoredObject)
        assert await server.list_names("tickets") == {"t-1"}
        assert await server.list_names("n1-tickets") == {"t-1"}
        for store in stores:
            await store.close()
        await server.stop()

    asyncio.run(main())

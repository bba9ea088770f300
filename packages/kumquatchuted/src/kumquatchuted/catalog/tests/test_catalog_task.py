"""The catalog follows the platform through its faults."""

import asyncio
import random

import msgspec
import pytest

from kumquatchute_model.settings import PlatformSettings
from kumquatchute_standins.memory_store import MemoryPlatform
from kumquatchute_standins.memory_store import MemoryStore
from kumquatchute_standins.platform.controls import DownMode
from kumquatchute_standins.platform.controls import ServeOlder
from kumquatchute_standins.platform.controls import SetDown
from kumquatchute_standins.platform.controls import SetEndpointLag
from kumquatchute_standins.platform.controls import SetRate
from kumquatchute_standins.platform.messages import Verb
from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.searcher.config import FleetConfig
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import PlatformEndpoint
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.config import ShardData
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.fleet import Fleet
from kumquatchute_standins.searcher.platform_objects import searcher_entry
from kumquatchute_standins.searcher.platform_objects import shard_map_spec
from kumquatchuted.catalog import backoff
from kumquatchuted.catalog.backoff import after_failure
from kumquatchuted.catalog.backoff import Backoff
from kumquatchuted.catalog.task import CatalogTask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.platform.object_store import ObjectStore
from kumquatchuted.platform.store import ObjectKind


class CatalogSubscriber:
    """Runs a catalog task and receives the catalogs that it sends."""

    def __init__(self, store):
        self.inbox = Mailbox()
        self.task = CatalogTask(
            store, (self.inbox.post,), rng=random.Random(1)
        )
        self.running = asyncio.create_task(self.task.run())

    async def wait_until(self, condition, timeout_s=3.0):
        """Wait for a catalog that meets a condition."""
        async with asyncio.timeout(timeout_s):
            while True:
                catalog = (await self.inbox.get()).catalog
                if condition(catalog):
                    return catalog

    async def receives_nothing(self, time_s=0.1):
        """Return whether no catalog is sent within a time."""
        await asyncio.sleep(time_s)
        try:
            self.inbox.get_nowait()
        except asyncio.QueueEmpty:
            return True
        return False

    async def stop(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


def publish_searcher(platform, name, **kwargs):
    searcher = SearcherConfig(name, "console", dc="atl-north", host="h1")
    body = searcher_entry(searcher, "127.0.0.1:1", 1_790_000_000_000, **kwargs)
    kind = ObjectKind.SEARCHERS
    platform.put(kind, name, msgspec.json.encode(body))


def publish_shard_map(platform, index_version, body=None):
    index = IndexData("console", index_version, 1, (ShardData("s0"),))
    body = body or msgspec.json.encode(shard_map_spec(index))
    platform.put(ObjectKind.SHARD_MAPS, "shardmap-console", body)


def run_scenario(scenario):
    """Run a scenario with a catalog task on an in-memory store."""

    async def main():
        platform = MemoryPlatform()
        store = MemoryStore(platform, timeout_s=0.1)
        publish_searcher(platform, "a")
        publish_shard_map(platform, 1)
        subscriber = CatalogSubscriber(store)
        await subscriber.wait_until(lambda c: c.maps and c.searchers)
        try:
            await scenario(platform, store, subscriber)
            assert not subscriber.running.done()
        finally:
            await subscriber.stop()

    asyncio.run(main())


def test_changes_and_leaving_searchers_arrive_by_watch():
    """Guards against a catalog that is updated only by lists.

    A watch that delivers nothing would go unnoticed, because lists read the
    same changes, only later.
    """

    async def scenario(platform, store, subscriber):
        publish_searcher(platform, "b")
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a", "b"})
        publish_searcher(platform, "b", draining=True)
        await subscriber.wait_until(lambda c: c.searchers["b"].leaving)
        publish_shard_map(platform, 2)
        await subscriber.wait_until(
            lambda c: c.maps["console"].index_version == 2
        )
        platform.remove(ObjectKind.SEARCHERS, "b")
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a"})
        assert store.calls[Verb.LIST] == 2

    run_scenario(scenario)


@pytest.mark.proves("search: plan", "store down")
def test_last_catalog_stays_during_an_outage_and_catches_up(monkeypatch):
    """Guards against an outage of the store that empties the catalog.

    Searches need no store, so they must continue with the last catalog.
    Changes during the outage are read after it.
    """
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, subscriber):
        store.set_fault(SetDown(DownMode.REFUSE))
        publish_searcher(platform, "b")
        assert await subscriber.receives_nothing(0.3)
        assert store.calls[Verb.LIST] > 4
        store.set_fault(SetDown(None))
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a", "b"})

    run_scenario(scenario)


def test_expired_version_leads_to_a_new_list(monkeypatch):
    """Guards against changes that are lost after 410 Gone.

    The platform has dropped the version from which the watch would continue.
    """
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, subscriber):
        publish_searcher(platform, "b")
        platform.drop_history()
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a", "b"})

    run_scenario(scenario)


@pytest.mark.proves("search: plan", "store answers older state")
def test_older_state_of_the_platform_does_not_revert_the_map(monkeypatch):
    """Guards against a shard map that a lagging replica reverts.

    After an outage the first list comes from a replica of the platform that
    still has the older map.
    """
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, subscriber):
        publish_shard_map(platform, 2)
        await subscriber.wait_until(
            lambda c: c.maps["console"].index_version == 2
        )
        store.set_fault(ServeOlder(1, ObjectKind.SHARD_MAPS.value))
        store.set_fault(SetDown(DownMode.REFUSE))
        await asyncio.sleep(0.1)
        store.set_fault(SetDown(None))
        list_calls = store.calls[Verb.LIST]
        assert await subscriber.receives_nothing(0.5)
        assert store.calls[Verb.LIST] > list_calls

    run_scenario(scenario)


def test_change_on_a_lagging_endpoint_is_not_lost():
    """Guards against a watch that skips delayed changes.

    The endpoint shows a change only 0.2 s after it was written.
    """

    async def scenario(platform, store, subscriber):
        store.set_fault(SetEndpointLag(0.2))
        publish_searcher(platform, "b")
        assert await subscriber.receives_nothing(0.1)
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a", "b"})

    run_scenario(scenario)


def test_rate_limit_slows_the_lists_down(monkeypatch):
    """Guards against nodes that keep the platform at its rate limit.

    If rejected list calls were repeated without a growing delay, the calls of
    all nodes would use up the limit, and none would succeed.
    """
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.1)

    async def scenario(platform, store, subscriber):
        store.set_fault(SetRate(reads_per_s=0.001))
        store.set_fault(SetDown(DownMode.REFUSE))
        await asyncio.sleep(0.01)
        store.set_fault(SetDown(None))
        list_calls = store.calls[Verb.LIST]
        await asyncio.sleep(0.6)
        # Two collections, with delays of at least 0.05, 0.1, 0.2 and 0.4 s.
        assert 2 <= store.calls[Verb.LIST] - list_calls <= 8

    run_scenario(scenario)


def test_malformed_object_leaves_the_last_valid_one_in_use():
    """Guards against a malformed object that stops the catalog.

    One faulty publisher must not end the task or remove its own last valid
    object.
    """

    async def scenario(platform, store, subscriber):
        publish_shard_map(platform, 2, b'{"shards":7}')
        platform.put(ObjectKind.SEARCHERS, "a", b'{"service":7}')
        assert await subscriber.receives_nothing()
        publish_searcher(platform, "b")
        await subscriber.wait_until(lambda c: set(c.searchers) == {"a", "b"})

    run_scenario(scenario)


def test_malformed_object_in_a_list_keeps_the_last_valid_one(monkeypatch):
    """Guards against a new list that drops a searcher as malformed.

    Objects that are missing from a list count as removed; a malformed one is
    still listed.
    """
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, subscriber):
        publish_searcher(platform, "b")
        publish_searcher(platform, "c")
        await subscriber.wait_until(lambda c: len(c.searchers) == 3)
        platform.put(ObjectKind.SEARCHERS, "a", b'{"service":7}')
        list_calls = store.calls[Verb.LIST]
        platform.drop_history()
        platform.notify_watches()
        assert await subscriber.receives_nothing(0.3)
        assert store.calls[Verb.LIST] > list_calls

    run_scenario(scenario)


def test_retry_delays_grow_to_a_limit_and_vary():
    """Guards against nodes that all list at once after an outage.

    Equal delays would keep the calls of all nodes in step and exceed the rate
    limit of the platform.
    """
    state, delays = Backoff(), []
    for _ in range(8):
        state, delay_s = after_failure(state, 0.0, 1.0)
        delays.append(delay_s)
    assert delays[:4] == [0.5, 1.0, 2.0, 4.0]
    assert delays[-1] == 10.0
    assert after_failure(state, 0.0, 0.0)[1] == 5.0
    assert after_failure(state, 60.0, 1.0)[1] == 0.5


def test_catalog_reads_what_the_fleet_publishes():
    """Guards against a catalog that fits only the fakes of its own tests.

    Here the stand-ins of searchers publish over HTTP, as in a deployment.
    """

    async def main():
        server = PlatformServer()
        await server.start()
        store = ObjectStore(PlatformSettings(server.url))
        subscriber = CatalogSubscriber(store)
        data = ShardData("s0", ("a",), count=5)
        fleet = Fleet(
            FleetConfig(
                (SearcherConfig("a", "console", dc="atl-north"),),
                (IndexData("console", 1, 1, (data,)),),
                platform=PlatformEndpoint(server.url),
            )
        )
        await fleet.start()
        catalog = await subscriber.wait_until(lambda c: c.maps and c.searchers)
        assert catalog.searchers["a"].address == fleet.searchers["a"].address
        assert catalog.maps["console"].total_documents == 5
        await fleet.apply_control(SetDraining())
        await subscriber.wait_until(lambda c: c.searchers["a"].leaving)
        await subscriber.stop()
        await store.close()
        await fleet.stop()
        await server.stop()

    asyncio.run(main())

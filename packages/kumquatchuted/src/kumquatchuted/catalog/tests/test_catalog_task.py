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
from kumquatchute_standins.searcher.config import PlatformLink
from kumquatchute_standins.searcher.config import Profile
from kumquatchute_standins.searcher.config import ShardData
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.fleet import Fleet
from kumquatchute_standins.searcher.manifests import searcher_entry
from kumquatchute_standins.searcher.manifests import shard_map_spec
from kumquatchuted.catalog import backoff
from kumquatchuted.catalog.backoff import after_failure
from kumquatchuted.catalog.backoff import Backoff
from kumquatchuted.catalog.task import CatalogTask
from kumquatchuted.mailbox import Mailbox
from kumquatchuted.platform.client import ObjectStore
from kumquatchuted.platform.store import ObjectKind


class Follower:
    """A catalog task and the newest catalog that it sent."""

    def __init__(self, store):
        self.inbox = Mailbox()
        self.task = CatalogTask(
            store, (self.inbox.post,), rng=random.Random(1)
        )
        self.running = asyncio.create_task(self.task.run())

    async def until(self, wanted, limit_s=3.0):
        """Wait for a catalog that meets a condition."""
        async with asyncio.timeout(limit_s):
            while True:
                catalog = (await self.inbox.get()).catalog
                if wanted(catalog):
                    return catalog

    async def is_silent(self, time_s=0.1):
        """Return whether no catalog is sent for a time."""
        await asyncio.sleep(time_s)
        try:
            self.inbox.get_nowait()
        except asyncio.QueueEmpty:
            return True
        return False

    async def stop(self):
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)


def publish(platform, name, **kwargs):
    profile = Profile(name, "console", dc="atl-north", host="h1")
    body = searcher_entry(profile, "127.0.0.1:1", 1_790_000_000_000, **kwargs)
    kind = ObjectKind.SEARCHERS
    platform.put(kind, name, msgspec.json.encode(body))


def publish_map(platform, index_version, body=None):
    index = IndexData("console", index_version, 1, (ShardData("s0"),))
    body = body or msgspec.json.encode(shard_map_spec(index))
    platform.put(ObjectKind.SHARD_MAPS, "shardmap-console", body)


def run(scenario):
    """Run a scenario with a catalog task on a store in memory."""

    async def main():
        platform = MemoryPlatform()
        store = MemoryStore(platform, timeout_s=0.1)
        publish(platform, "a")
        publish_map(platform, 1)
        follower = Follower(store)
        await follower.until(lambda c: c.maps and c.searchers)
        try:
            await scenario(platform, store, follower)
            assert not follower.running.done()
        finally:
            await follower.stop()

    asyncio.run(main())


def test_changes_and_leavers_arrive_by_watch():
    """Guards against a catalog that only lists."""

    async def scenario(platform, store, follower):
        publish(platform, "b")
        await follower.until(lambda c: set(c.searchers) == {"a", "b"})
        publish(platform, "b", draining=True)
        await follower.until(lambda c: c.searchers["b"].leaving)
        publish_map(platform, 2)
        await follower.until(lambda c: c.maps["console"].index_version == 2)
        platform.remove(ObjectKind.SEARCHERS, "b")
        await follower.until(lambda c: set(c.searchers) == {"a"})
        assert store.calls[Verb.LIST] == 2

    run(scenario)


@pytest.mark.proves("search: plan", "store down")
def test_last_catalog_stays_during_an_outage_and_catches_up(monkeypatch):
    """Guards against an outage of the store that empties the catalog."""
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, follower):
        store.fault(SetDown(DownMode.REFUSE))
        publish(platform, "b")
        assert await follower.is_silent(0.3)
        assert store.calls[Verb.LIST] > 4
        store.fault(SetDown(None))
        await follower.until(lambda c: set(c.searchers) == {"a", "b"})

    run(scenario)


def test_forgotten_version_leads_to_a_new_list(monkeypatch):
    """Guards against changes missed for good after 410 Gone."""
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, follower):
        publish(platform, "b")
        platform.drop_history()
        await follower.until(lambda c: set(c.searchers) == {"a", "b"})

    run(scenario)


@pytest.mark.proves("search: plan", "store answers older state")
def test_older_state_of_the_platform_does_not_revert_the_map(monkeypatch):
    """Guards against a lagging replica of the platform."""
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, follower):
        publish_map(platform, 2)
        await follower.until(lambda c: c.maps["console"].index_version == 2)
        store.fault(ServeOlder(1, ObjectKind.SHARD_MAPS.value))
        store.fault(SetDown(DownMode.REFUSE))
        await asyncio.sleep(0.1)
        store.fault(SetDown(None))
        lists = store.calls[Verb.LIST]
        assert await follower.is_silent(0.5)
        assert store.calls[Verb.LIST] > lists

    run(scenario)


def test_lagging_endpoint_list_arrives_late_but_arrives():
    """Guards against a watch that skips what lagged behind."""

    async def scenario(platform, store, follower):
        store.fault(SetEndpointLag(0.2))
        publish(platform, "b")
        assert await follower.is_silent(0.1)
        await follower.until(lambda c: set(c.searchers) == {"a", "b"})

    run(scenario)


def test_rate_limit_slows_the_lists_down(monkeypatch):
    """Guards against nodes that keep a limited platform at its limit."""
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.1)

    async def scenario(platform, store, follower):
        store.fault(SetRate(reads_per_s=0.001))
        store.fault(SetDown(DownMode.REFUSE))
        await asyncio.sleep(0.01)
        store.fault(SetDown(None))
        lists = store.calls[Verb.LIST]
        await asyncio.sleep(0.6)
        # Two collections, with delays of at least 0.05, 0.1, 0.2 and 0.4 s.
        assert 2 <= store.calls[Verb.LIST] - lists <= 8

    run(scenario)


def test_malformed_object_leaves_the_last_good_one_in_use():
    """Guards against one faulty object that stops the catalog."""

    async def scenario(platform, store, follower):
        publish_map(platform, 2, b'{"shards":7}')
        platform.put(ObjectKind.SEARCHERS, "a", b'{"service":7}')
        assert await follower.is_silent()
        publish(platform, "b")
        await follower.until(lambda c: set(c.searchers) == {"a", "b"})

    run(scenario)


def test_malformed_object_in_a_list_stays_as_it_was(monkeypatch):
    """Guards against a searcher lost to a faulty object and a new list."""
    monkeypatch.setattr(backoff, "FIRST_DELAY_S", 0.05)

    async def scenario(platform, store, follower):
        publish(platform, "b")
        publish(platform, "c")
        await follower.until(lambda c: len(c.searchers) == 3)
        platform.put(ObjectKind.SEARCHERS, "a", b'{"service":7}')
        lists = store.calls[Verb.LIST]
        platform.drop_history()
        platform.wake()
        assert await follower.is_silent(0.3)
        assert store.calls[Verb.LIST] > lists

    run(scenario)


def test_delays_grow_to_a_bound_and_differ_between_nodes():
    """Guards against all nodes listing at once when the platform returns."""
    state, delays = Backoff(), []
    for _ in range(8):
        state, delay_s = after_failure(state, 0.0, 1.0)
        delays.append(delay_s)
    assert delays[:4] == [0.5, 1.0, 2.0, 4.0]
    assert delays[-1] == 10.0
    assert after_failure(state, 0.0, 0.0)[1] == 5.0
    assert after_failure(state, 60.0, 1.0)[1] == 0.5


def test_fleet_and_catalog_meet_on_the_platform_stand_in():
    """Guards against parts that agree only with their own fakes."""

    async def main():
        server = PlatformServer()
        await server.start()
        store = ObjectStore(PlatformSettings(server.url))
        follower = Follower(store)
        data = ShardData("s0", ("a",), count=5)
        fleet = Fleet(
            FleetConfig(
                (Profile("a", "console", dc="atl-north"),),
                (IndexData("console", 1, 1, (data,)),),
                platform=PlatformLink(server.url),
            )
        )
        await fleet.start()
        catalog = await follower.until(lambda c: c.maps and c.searchers)
        assert catalog.searchers["a"].address == fleet.searchers["a"].address
        assert catalog.maps["console"].total_documents == 5
        await fleet.control(SetDraining())
        await follower.until(lambda c: c.searchers["a"].leaving)
        await follower.stop()
        await store.close()
        await fleet.stop()
        await server.stop()

    asyncio.run(main())

"""Tests of the relay: listings, watches and the age of its objects."""

import asyncio
import math

import msgspec

from kumquatchuted.platform.relay import FRESHNESS_S
from kumquatchuted.platform.relay import Relay
from kumquatchuted.platform.wire import decode_events
from kumquatchuted.platform.wire import decode_page
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time


class Clock:
    """Clock that is advanced by the tests."""

    now = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now


def make_item(name: str, revision: int) -> dict:
    """Return an object of the store."""
    return {"meta": {"name": name, "revision": revision}}


def make_relay() -> tuple[Relay, Clock]:
    """Return a relay that has just read two objects."""
    clock = Clock()
    relay = Relay(clock)
    relay.record_listing(
        "servers", {"a": make_item("a", 3), "b": make_item("b", 4)}, 5
    )
    return relay, clock


def test_listing_has_the_revision_of_the_store() -> None:
    """Guards against a node that cannot switch between relay and store.

    It continues a watch from the revision that its last source stated.
    """
    relay, _ = make_relay()
    response = relay.list_objects("servers")
    assert response.content["asOf"] == 5
    assert response.content["items"] == [make_item("a", 3), make_item("b", 4)]


def test_watch_returns_each_change_once() -> None:
    """Guards against changes that a node misses when it reads from a relay."""

    async def scenario() -> None:
        relay, _ = make_relay()
        relay.record_changes("servers", {"a": make_item("a", 6), "b": None}, 7)
        response = await relay.watch("servers", 5, 1.0)
        assert response.content == {
            "events": [
                {"removed": False, "object": make_item("a", 6)},
                {"removed": True, "object": make_item("b", 7)},
            ],
            "asOf": 7,
            "ageMs": 0,
        }
        response = await relay.watch("servers", 7, 0.0)
        assert response.content == {"events": [], "asOf": 7, "ageMs": 0}

    asyncio.run(scenario())


def test_nodes_can_decode_the_responses() -> None:
    """Guards against a removal that a node ignores when it reads from a relay.

    The client skips objects without a revision. A relay that leaves it out of
    removals makes nodes send requests to searchers that have left.
    """

    async def scenario() -> None:
        relay, _ = make_relay()
        page = decode_page(
            msgspec.json.encode(relay.list_objects("servers").content)
        )
        assert [item.name for item in page.items] == ["a", "b"]
        relay.record_changes("servers", {"a": make_item("a", 6), "b": None}, 7)
        response = await relay.watch("servers", 5, 1.0)
        batch = decode_events(msgspec.json.encode(response.content))
        assert [
            (event.item.name, event.removed) for event in batch.events
        ] == [
            ("a", False),
            ("b", True),
        ]
        assert (page.skipped, batch.skipped) == (0, 0)

    asyncio.run(scenario())


def test_responses_state_when_the_store_confirmed_them() -> None:
    """Guards against a node that takes the state of a relay for a new one.

    It would read from another source only after both their ages.
    """
    relay, clock = make_relay()
    clock.now += 2.25
    page = decode_page(
        msgspec.json.encode(relay.list_objects("servers").content)
    )
    response = asyncio.run(relay.watch("servers", 5, 0.0))
    batch = decode_events(msgspec.json.encode(response.content))
    assert (page.age_s, batch.age_s) == (2.25, 2.25)


def test_listing_that_the_store_never_confirmed_has_no_age() -> None:
    """Guards against a node that cannot start because no age can be stated.

    The relay has read the objects from another node in an outage.
    """
    relay = Relay(Clock())
    relay.record_listing("servers", {}, 5, is_from_store=False)
    content = relay.list_objects("servers", any_age=True).content
    assert content == {"items": [], "hasMore": False, "asOf": 5}


def test_new_listing_appears_as_changes() -> None:
    """Guards against lost removals when the store drops its history.

    The relay then reads a whole listing, in which a removed object is only
    missing; nodes that watch the relay need it as a change.
    """

    async def scenario() -> None:
        relay, _ = make_relay()
        relay.record_listing(
            "servers", {"a": make_item("a", 3), "c": make_item("c", 8)}, 9
        )
        response = await relay.watch("servers", 5, 0.0)
        assert [
            (event["removed"], event["object"]["meta"]["name"])
            for event in response.content["events"]
        ] == [(True, "b"), (False, "c")]

    asyncio.run(scenario())


def test_watch_from_before_the_first_listing_is_gone() -> None:
    """Guards against missed changes when a node switches its source.

    It asks for changes since a revision before the relay's first listing,
    which the relay does not know.
    """
    relay, _ = make_relay()
    assert asyncio.run(relay.watch("servers", 4, 0.0)).status == 410


def test_relay_without_the_store_is_unavailable() -> None:
    """Guards against nodes that follow a relay which has lost the store.

    They would miss changes without an error instead of changing the source.
    """
    relay, clock = make_relay()
    clock.now += FRESHNESS_S + 0.1
    assert relay.list_objects("servers").status == 503
    assert asyncio.run(relay.watch("servers", 5, 0.0)).status == 503


def test_relay_is_unavailable_for_a_kind_that_it_no_longer_reads() -> None:
    """Guards against an old manifest that a relay passes on as current.

    After an outage the node has read another kind from the store, and this one
    not yet or from another node.
    """
    relay, clock = make_relay()
    relay.record_listing("config", {"main": make_item("main", 2)}, 5)
    clock.now += FRESHNESS_S - 0.1
    relay.record_changes("servers", {}, 9)
    clock.now += 0.2
    assert relay.list_objects("config").status == 503
    assert asyncio.run(relay.watch("config", 5, 0.0)).status == 503
    assert relay.list_objects("servers").status == 200


def test_relay_without_the_store_serves_old_state_on_request() -> None:
    """Guards against a node that cannot start while the store is down.

    It accepts state of any age, because no source has a newer one.
    """
    relay, clock = make_relay()
    clock.now += 60
    assert relay.list_objects("servers", any_age=True).status == 200
    assert relay.list_objects("other", any_age=True).status == 503


def test_waiting_watch_returns_at_the_first_change() -> None:
    """Guards against a change that is delayed until the watch times out."""

    async def scenario() -> None:
        relay, _ = make_relay()
        watch = asyncio.ensure_future(relay.watch("servers", 5, 30.0))
        await asyncio.sleep(0)
        relay.record_changes("servers", {"a": make_item("a", 6)}, 6)
        response = await asyncio.wait_for(watch, 1.0)
        assert response.content["asOf"] == 6

    asyncio.run(scenario())


def test_watch_does_not_spin_before_its_objects_are_too_old() -> None:
    """Guards against a watch that waits for a time too short to pass.

    The clock was a rounding error before the time at which the objects are too
    old, and adding the rest to it changed nothing.
    """

    async def scenario() -> None:
        clock = Clock()
        readings = 0

        def count_reading() -> float:
            nonlocal readings
            readings += 1
            return clock.now

        relay = Relay(count_reading)
        relay.record_listing("servers", {}, 5)
        clock.now = math.nextafter(clock.now + FRESHNESS_S, 0.0)
        watch = asyncio.ensure_future(relay.watch("servers", 5, 2.0))
        for _ in range(100):
            await asyncio.sleep(0)
        assert readings < 10
        clock.now += 0.001
        assert (await watch).status == 503

    run_in_virtual_time(scenario())

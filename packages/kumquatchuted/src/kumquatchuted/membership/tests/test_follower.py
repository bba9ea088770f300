"""Followers of the store: lists, watches, outages and failed watches."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.membership import follower
from kumquatchuted.membership.follower import Follower
from kumquatchuted.membership.messages import DecodedObject
from kumquatchuted.membership.messages import StoreRecovered
from kumquatchuted.membership.messages import StoreUnavailable
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.messages import TopicChanged
from kumquatchuted.membership.messages import TopicListed
from kumquatchuted.membership.object_reader import Changes
from kumquatchuted.membership.object_reader import HistoryGone
from kumquatchuted.membership.object_reader import Listing
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.membership.sources import Source
from kumquatchuted.membership.state_age import MAX_STATE_AGE_S
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time

DECODER = TopicDecoder("things", lambda name, item: name)
STORE = Source("10.0.0.1:80", is_store=True)
RELAY = Source("10.0.0.2:80", is_store=False)
OTHER_RELAY = Source("10.0.0.3:80", is_store=False)
DOWN = Failure(ErrorKind.UNAVAILABLE, "down")


class ScriptedStore:
    """Returns its results in order; a watch without a result never ends."""

    def __init__(self, listings: list, watches: list) -> None:
        """Create a store.

        :param listings: results of the list calls
        :param watches: results of the watches
        """
        self.listings = listings
        self.watches = watches
        self.revisions: list[int] = []
        self.waits_s: list[float] = []
        self.listed_sources: list[Source] = []
        self.any_age: list[bool] = []

    async def list_all(
        self, source: Source, decoder: TopicDecoder, any_age: bool = False
    ) -> object:
        """Return the next listing."""
        self.listed_sources.append(source)
        self.any_age.append(any_age)
        return self.listings.pop(0)

    async def watch(
        self,
        source: Source,
        decoder: TopicDecoder,
        revision: int,
        wait_s: float,
    ) -> object:
        """Return the next result; wait forever if none is left."""
        self.revisions.append(revision)
        self.waits_s.append(wait_s)
        if not self.watches:
            await asyncio.Event().wait()
        return self.watches.pop(0)


async def run_follower(
    store: ScriptedStore,
    sources: Sequence[Source] = (STORE,),
    clock: Callable[[], float] = lambda: 0.0,
) -> tuple[list, Follower, asyncio.Task]:
    """Run a follower until it waits in the last watch.

    :returns: the messages that it posts, the follower, and its running task
    """
    posted: list = []

    async def no_sleep(seconds: float) -> None:
        await asyncio.sleep(0)

    follower = Follower(
        Topic.SEARCHERS,
        store,
        DECODER,
        lambda: sources,
        posted.append,
        random.Random(1),
        clock,
        2.0,
        no_sleep,
    )
    task = asyncio.ensure_future(follower.run())
    for _ in range(50):
        await asyncio.sleep(0)
    return posted, follower, task


def test_watch_continues_from_the_last_revision() -> None:
    """Guards against changes that are read twice or not at all.

    Each result states the revision from which the next watch must continue.
    """

    async def scenario() -> None:
        change = Changes((DecodedObject("a", "a"),), ("b",), 9)
        store = ScriptedStore([Listing((), 5)], [change])
        posted, _, task = await run_follower(store)
        task.cancel()
        assert store.revisions == [5, 9]
        assert posted == [
            TopicListed(Topic.SEARCHERS, ()),
            TopicChanged(Topic.SEARCHERS, (DecodedObject("a", "a"),), ("b",)),
        ]

    asyncio.run(scenario())


class UnresponsiveStore(ScriptedStore):
    """Does not respond to its first list calls."""

    def __init__(self, unanswered_calls: int) -> None:
        """Create a store.

        :param unanswered_calls: number of list calls that get no response
        """
        super().__init__([Listing((), 5)], [])
        self.unanswered_calls = unanswered_calls
        self.cancelled = 0

    async def list_all(
        self, source: Source, decoder: TopicDecoder, any_age: bool = False
    ) -> object:
        """Return the listing, or wait forever."""
        if self.unanswered_calls:
            self.unanswered_calls -= 1
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled += 1
        return await super().list_all(source, decoder, any_age)


def test_first_listing_does_not_wait_for_an_unanswered_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a first list that is delayed after an outage.

    When all nodes restarted while the store did not respond, each one waited
    for the timeout of a call that began before the store recovered, and
    refused all requests for up to 1.6 s.
    """
    monkeypatch.setattr(follower, "INITIAL_LIST_HEDGE_S", 0.01)

    async def scenario() -> None:
        store = UnresponsiveStore(2)
        posted, _, task = await run_follower(store)
        await asyncio.sleep(0.1)
        assert posted == [TopicListed(Topic.SEARCHERS, ())]
        assert store.cancelled == 2
        task.cancel()

    asyncio.run(scenario())


def test_lost_history_leads_to_a_new_listing() -> None:
    """Guards against a watch that continues from a dropped revision.

    The changes between that revision and the oldest that the store still has
    would never be read.
    """

    async def scenario() -> None:
        store = ScriptedStore(
            [Listing((), 5), Listing((), 40)], [HistoryGone()]
        )
        posted, _, task = await run_follower(store)
        task.cancel()
        assert store.revisions == [5, 40]
        assert len(posted) == 2

    asyncio.run(scenario())


def test_each_failure_and_the_recovery_are_posted() -> None:
    """Guards against an outage or a recovery that is not reported.

    During an outage the registry must not remove searchers, and after the
    recovery it must remove those that have really ended.
    """

    async def scenario() -> None:
        store = ScriptedStore([DOWN, DOWN, Listing((), 5)], [])
        posted, _, task = await run_follower(store)
        task.cancel()
        assert [type(item) for item in posted] == [
            StoreUnavailable,
            StoreUnavailable,
            StoreRecovered,
            TopicListed,
        ]

    asyncio.run(scenario())


def test_restart_replaces_a_watch_that_stopped_delivering() -> None:
    """Guards against a watch that the store dropped without closing it.

    Nothing arrives on such a watch any more. On day scale-1 one kept an
    outdated manifest in force for 2 s.
    """

    async def scenario() -> None:
        store = ScriptedStore([Listing((), 5)], [])
        _, follower, task = await run_follower(store)
        store.watches.append(Changes((), (), 8))
        follower.restart()
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        assert store.revisions == [5, 5, 8]

    asyncio.run(scenario())


def test_age_of_the_state_is_the_time_since_the_last_response() -> None:
    """Guards against a silent watch that no metric shows.

    The age starts at a listing or at the end of a watch, and grows while a
    watch is open.
    """

    async def scenario() -> None:
        now = [100.0]
        store = ScriptedStore([DOWN, Listing((), 5)], [Changes((), (), 6)])
        _, follower, task = await run_follower(store, clock=lambda: now[0])
        assert follower.state_age_s() == 0.0
        now[0] += 15.0
        assert follower.state_age_s() == 15.0
        store.watches.append(Changes((), (), 7))
        follower.restart()
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        assert follower.state_age_s() == 0.0

    asyncio.run(scenario())


def test_restart_switches_to_a_preferred_source() -> None:
    """Guards against nodes that keep reading the store once relays exist.

    On a day without faults, 36 nodes made 2,374 calls because none of them
    moved to a relay.
    """

    async def scenario() -> None:
        store = ScriptedStore([Listing((), 5), Listing((), 5)], [])
        sources = [STORE]
        _, follower, task = await run_follower(store, sources=sources)
        sources[:] = [RELAY, STORE]
        follower.restart()
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        assert store.listed_sources == [STORE, RELAY]

    asyncio.run(scenario())


def test_source_whose_watch_failed_is_listed_first_again() -> None:
    """Guards against two readers that follow each other's stale state.

    On day scale-2 every reader switched from the store to a relay whose state
    was as old as its own, and new searchers were read with a delay of 2 s.
    """

    async def scenario() -> None:
        store = ScriptedStore([Listing((), 5), Listing((), 7)], [DOWN])
        _, _, task = await run_follower(store, sources=(STORE, RELAY))
        task.cancel()
        assert store.listed_sources == [STORE, STORE]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("silent", "listed", "watches"),
    [(RELAY, [RELAY, STORE], 2), (OTHER_RELAY, [RELAY], 1)],
    ids=["watched", "other"],
)
def test_only_followers_of_a_silent_source_leave_it(
    silent: Source, listed: list[Source], watches: int
) -> None:
    """Guards against further calls of the store for each silent relay.

    A follower that watches another source would begin its watch again.
    """

    async def scenario() -> None:
        store = ScriptedStore([Listing((), 5), Listing((), 5)], [])
        _, follower, task = await run_follower(store, sources=(RELAY, STORE))
        follower.on_source_silent(silent)
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        assert store.listed_sources == listed
        assert len(store.revisions) == watches

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("age_s", "wait_s", "left_s"),
    [(0.0, 2.0, 2.65), (1.0, 1.3, 1.65), (2.4, 0.1, 0.25)],
)
def test_relay_must_confirm_its_state_before_that_is_too_old(
    age_s: float, wait_s: float, left_s: float
) -> None:
    """Guards against a state that is older than a change may take to apply.

    A relay sent a state of 2.2 s and was suspended; its watch was due 2 s
    later and had another 0.5 s for the response.
    """

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        listings = [Listing((), 5, age_s=age_s), Listing((), 5)]
        store = ScriptedStore(listings, [])
        started_at = clock()
        _, follower, task = await run_follower(
            store, sources=(RELAY, STORE), clock=clock
        )
        assert follower.state_age_s() == pytest.approx(age_s)
        assert store.waits_s == [pytest.approx(wait_s)]
        while len(store.listed_sources) == 1:
            await asyncio.sleep(0.01)
        task.cancel()
        assert store.listed_sources == [RELAY, STORE]
        assert clock() - started_at == pytest.approx(left_s, abs=0.011)

    run_in_virtual_time(scenario())


class SilentRelay(ScriptedStore):
    """Does not respond to a listing of a relay other than the first one."""

    async def list_all(
        self, source: Source, decoder: TopicDecoder, any_age: bool = False
    ) -> object:
        """Return the next listing, or wait forever."""
        result = await super().list_all(source, decoder, any_age)
        if source == OTHER_RELAY:
            await asyncio.Event().wait()
        return result


def test_silent_relay_leaves_time_to_list_the_store() -> None:
    """Guards against a change that is late because two relays are silent.

    The listing of the second relay may take only what is left of the time
    within which a change must apply.
    """

    async def scenario() -> None:
        clock = asyncio.get_running_loop().time
        listings = [Listing((), 5), DOWN, Listing((), 5)]
        store = SilentRelay(listings, [])
        started_at = clock()
        _, _, task = await run_follower(
            store, sources=(RELAY, OTHER_RELAY, STORE), clock=clock
        )
        while len(store.listed_sources) < 3:
            await asyncio.sleep(0.01)
        task.cancel()
        assert store.listed_sources == [RELAY, OTHER_RELAY, STORE]
        assert clock() - started_at < MAX_STATE_AGE_S

    run_in_virtual_time(scenario())


@pytest.mark.parametrize(
    ("relay_revision", "listed"),
    [(8, [STORE, RELAY, STORE]), (9, [STORE, RELAY])],
    ids=["older", "as-new"],
)
def test_listing_of_a_relay_is_not_read_if_older_than_the_state(
    relay_revision: int, listed: list[Source]
) -> None:
    """Guards against a searcher that counts as ready again after it left.

    In incident inc2 a node returned from the store to a relay that was behind,
    and to older entries. A relay that has the newest change is read, though
    the store has counted changes of other kinds since.
    """

    async def scenario() -> None:
        change = Changes((), ("a",), 12, newest_revision=9)
        store = ScriptedStore([Listing((), 5, newest_revision=5)], [change])
        sources = [STORE]
        posted, follower, task = await run_follower(store, sources=sources)
        store.listings += [Listing((), relay_revision), Listing((), 12)]
        sources[:] = [RELAY, STORE]
        follower.restart()
        for _ in range(50):
            await asyncio.sleep(0)
        task.cancel()
        assert store.listed_sources == listed
        assert [type(item) for item in posted] == [
            TopicListed,
            TopicChanged,
            TopicListed,
        ]

    asyncio.run(scenario())


def test_next_source_is_listed_when_the_first_one_fails() -> None:
    """Guards against a node without state because the store rejects it.

    Another node can relay the objects meanwhile.
    """

    async def scenario() -> None:
        store = ScriptedStore([DOWN, Listing((), 5)], [])
        posted, _, task = await run_follower(store, sources=(STORE, RELAY))
        task.cancel()
        assert store.listed_sources == [STORE, RELAY]
        assert posted == [TopicListed(Topic.SEARCHERS, ())]

    asyncio.run(scenario())


def test_started_node_reads_stale_state_during_an_outage() -> None:
    """Guards against a node that cannot serve after a restart in an outage.

    On day scale-2 a node that restarted while the store was down had no state
    for 4 s, while the others still served.
    """

    async def scenario() -> None:
        store = ScriptedStore(
            [DOWN, DOWN, Listing((), 5), DOWN, DOWN, Listing((), 9)], []
        )
        posted, _, task = await run_follower(store, sources=(STORE, RELAY))
        task.cancel()
        assert store.any_age == [False, False, True, False, False, False]
        assert [type(item) for item in posted] == [
            TopicListed,
            StoreUnavailable,
            StoreUnavailable,
            StoreRecovered,
            TopicListed,
        ]

    asyncio.run(scenario())

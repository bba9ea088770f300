"""Follows one topic of the platform's store by lists and watches."""

import asyncio
from collections.abc import Callable
import random

from logbook import Logger

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import Post
from kumquatchuted.membership.messages import StoreRecovered
from kumquatchuted.membership.messages import StoreUnavailable
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.messages import TopicChanged
from kumquatchuted.membership.messages import TopicListed
from kumquatchuted.membership.object_reader import Changes
from kumquatchuted.membership.object_reader import HistoryGone
from kumquatchuted.membership.object_reader import Listing
from kumquatchuted.membership.object_reader import ObjectReader
from kumquatchuted.membership.object_reader import SourceUnresponsive
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.membership.sources import Source
from kumquatchuted.membership.sources import SourceSilent
from kumquatchuted.membership.state_age import plan_listing
from kumquatchuted.membership.state_age import plan_watch
from kumquatchuted.timeouts import wait_until_done

# Delay before the next watch after changes, so that one call reads several
# changes that follow each other quickly: each watch call is charged. The delay
# is small against the seconds within which changes must apply.
BATCH_DELAY_S = 0.25
# First and longest delay before a retry after all sources failed. The longest
# one bounds the time until a change is read after an outage.
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 1.0
# A node that has no state sends another list call to the store if there is no
# response within this time. With the store fault that delays responses most, a
# response takes 0.4 s.
INITIAL_LIST_HEDGE_S = 0.4
# A source that failed is tried last for this time.
SOURCE_AVOID_S = 1.5
# After this time with another source, the preferred one is tried again.
MAX_FALLBACK_S = 2.0

OUTDATED = Failure(
    ErrorKind.UNAVAILABLE, "its state is older than what was read before"
)
TOO_LATE = Failure(
    ErrorKind.UNAVAILABLE, "no response before the state is too old"
)

log = Logger("membership")


class Follower:
    """Owns the calls for one topic and posts their results."""

    def __init__(
        self,
        topic: Topic,
        client: ObjectReader,
        decoder: TopicDecoder,
        sources: Callable[[], tuple[Source, ...]],
        post: Post,
        rng: random.Random,
        clock: Callable[[], float],
        wait_s: float,
        sleep: Callable = asyncio.sleep,
        phase_s: float = 0.0,
    ) -> None:
        """Create a follower.

        :param client: calls the sources
        :param decoder: kind of the topic's objects and their decoder
        :param sources: returns the sources, the preferred one first
        :param post: mailbox of the membership task
        :param rng: varies the retry delays, so that the nodes do not all call
            at once
        :param clock: monotonic time in seconds
        :param wait_s: longest duration of a watch, in seconds
        :param phase_s: a watch of another node ends when the clock is this far
            into a period of ``wait_s``, in seconds. With a phase for each
            topic, such a node has to respond several times in a period.
        """
        self._topic = topic
        self._client = client
        self._decoder = decoder
        self._sources = sources
        self._post = post
        self._rng = rng
        self._clock = clock
        self._wait_s = wait_s
        self._phase_s = phase_s
        self._sleep = sleep
        self._failure_count = 0
        self._has_state = False
        # Revision of the newest change that was posted.
        self._newest_revision = 0
        self._failed_at: dict[Source, float] = {}
        self._active_source: Source | None = None
        self._confirmed_at: float | None = None
        self._restart_requested = asyncio.Event()

    def restart(self) -> None:
        """End the current watch and begin another.

        It is called when another source has become the preferred one.
        """
        self._restart_requested.set()

    def on_source_silent(self, source: Source) -> None:
        """Leave a source that did not respond to the follower of a topic.

        The watch of this topic could stay silent for much longer.
        """
        self._failed_at[source] = self._clock()
        if source == self._active_source:
            self._restart_requested.set()

    def state_age_s(self) -> float:
        """Return the age of the state in seconds, from its last confirmation.

        A listing confirms it, and so does each watch that ends, with changes
        or without. A relay states how long ago the store confirmed to it what
        it sends. Before the first listing the age is infinite.
        """
        if self._confirmed_at is None:
            return float("inf")
        return self._clock() - self._confirmed_at

    async def run(self) -> None:
        """Follow the first source that responds, until cancelled."""
        while True:
            failure = await self._follow_once()
            if failure is not None:
                await self._back_off(failure)

    async def _follow_once(self) -> Failure | None:
        """List and watch the first source that responds.

        :returns: None when the watch has ended; the last failure if no source
            responded
        """
        sources = self._sources()
        failure = None
        for source in self._order_by_recent_failure(sources):
            listing = await self._list(source)
            if isinstance(listing, Failure):
                self._on_source_failed(source, listing)
                failure = listing
                continue
            if self._is_outdated(source, listing):
                self._failed_at[source] = self._clock()
                failure = OUTDATED
                log.info(
                    "listing rejected topic={} address={} revision={}"
                    " newest_revision={}",
                    self._topic.value,
                    source.address,
                    listing.revision,
                    self._newest_revision,
                )
                continue
            self._failed_at.pop(source, None)
            self._report_success(source)
            log.info(
                "topic listed topic={} address={} revision={} age_s={:.2f}",
                self._topic.value,
                source.address,
                listing.revision,
                self.state_age_s(),
            )
            self._confirm(listing.age_s)
            self._has_state = True
            self._advance_to(listing.newest_revision)
            self._post(TopicListed(self._topic, listing.objects))
            await self._watch(source, listing.revision, source != sources[0])
            return None
        if not self._has_state:
            await self._list_stale(sources)
        return failure

    def _is_outdated(self, source: Source, listing: Listing) -> bool:
        """Return whether a relay has not read a change that was posted.

        Its state would undo the change. The store's own listing is never
        older than what it has sent before.
        """
        return not source.is_store and (
            listing.revision < self._newest_revision
        )

    def _confirm(self, age_s: float) -> None:
        """Note that the state is that of the store ``age_s`` seconds ago."""
        confirmed_at = self._clock() - age_s
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _advance_to(self, revision: int) -> None:
        self._newest_revision = max(self._newest_revision, revision)

    async def _list(self, source: Source) -> Listing | Failure:
        """List a topic; send further calls while no state is known.

        A node that starts while the store does not respond cannot serve. A
        call that began before the store recovered ends only at its timeout,
        but a new call gets a response at once. Therefore another call is sent
        at intervals, and the first response is used.
        """
        if not source.is_store:
            return await self._list_relay(source)
        if self._has_state:
            return await self._client.list_all(source, self._decoder)
        calls: set[asyncio.Future] = set()
        try:
            while True:
                calls.add(
                    asyncio.ensure_future(
                        self._client.list_all(source, self._decoder)
                    )
                )
                done, _ = await asyncio.wait(
                    calls,
                    timeout=INITIAL_LIST_HEDGE_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    return done.pop().result()
        finally:
            for call in calls:
                call.cancel()

    async def _list_relay(self, source: Source) -> Listing | Failure:
        """List a topic at another node, as long as the state may age."""
        limit_s = plan_listing(self.state_age_s())
        if limit_s is None:
            return await self._client.list_all(source, self._decoder)
        listing = asyncio.ensure_future(
            self._client.list_all(source, self._decoder)
        )
        try:
            if not await wait_until_done(listing, limit_s):
                return TOO_LATE
            return listing.result()
        finally:
            listing.cancel()

    async def _list_stale(self, sources: tuple[Source, ...]) -> None:
        """Post the newest state that other nodes have kept in an outage.

        It may be out of date, but without it this node could not serve until
        the store recovers. The nodes do not know equally much: one may have
        lost its source before another.
        """
        relays = [source for source in sources if not source.is_store]
        results = await asyncio.gather(
            *(
                self._client.list_all(source, self._decoder, any_age=True)
                for source in relays
            )
        )
        listings = [
            (source, listing)
            for source, listing in zip(relays, results)
            if isinstance(listing, Listing)
        ]
        if not listings:
            return
        source, listing = max(listings, key=lambda item: item[1].revision)
        log.warning(
            "old state read topic={} address={} revision={}",
            self._topic.value,
            source.address,
            listing.revision,
        )
        self._has_state = True
        self._post(TopicListed(self._topic, listing.objects))

    def _order_by_recent_failure(
        self, sources: tuple[Source, ...]
    ) -> list[Source]:
        """Return the sources, those that failed recently last."""
        return sorted(sources, key=self._failed_recently)

    def _failed_recently(self, source: Source) -> bool:
        failed_at = self._failed_at.get(source)
        return (
            failed_at is not None
            and failed_at > self._clock() - SOURCE_AVOID_S
        )

    def _on_source_failed(self, source: Source, failure: Failure) -> None:
        self._failed_at[source] = self._clock()
        match failure:
            case SourceUnresponsive():
                self._post(SourceSilent(source))

    async def _watch(
        self, source: Source, revision: int, is_fallback: bool
    ) -> None:
        """Watch until the source fails, lacks history or is not preferred.

        :param revision: revision of the listing that the watch continues
        :param is_fallback: whether another source is preferred, which is tried
            again after ``MAX_FALLBACK_S``
        """
        started_at = self._clock()
        while True:
            if is_fallback and self._clock() >= started_at + MAX_FALLBACK_S:
                return
            if not is_fallback and source != self._sources()[0]:
                return
            if self._failed_recently(source):
                return
            result = await self._wait_for_changes(
                source, revision, is_fallback
            )
            if result is None:
                continue
            if isinstance(result, HistoryGone):
                log.info(
                    "history gone topic={} address={} revision={}",
                    self._topic.value,
                    source.address,
                    revision,
                )
                return
            if isinstance(result, Failure):
                if not source.is_store:
                    # A node that did not respond to a watch may be suspended,
                    # and a list call to it would only take more time. The
                    # store may still respond to one.
                    self._on_source_failed(source, result)
                log.info(
                    "watch failed topic={} address={} revision={} age_s={:.2f}"
                    " cause={}",
                    self._topic.value,
                    source.address,
                    revision,
                    self.state_age_s(),
                    result.reason,
                )
                return
            revision = result.revision
            self._confirm(result.age_s)
            self._advance_to(result.newest_revision)
            if result.written or result.removed:
                self._post(
                    TopicChanged(self._topic, result.written, result.removed)
                )
                await self._sleep(BATCH_DELAY_S)

    async def _wait_for_changes(
        self, source: Source, revision: int, is_fallback: bool
    ) -> Changes | HistoryGone | Failure | None:
        """Wait for changes; None if the watch is to be restarted.

        A relay must confirm the state before it is too old. Its other watches
        do not show that it is silent if their followers have left it.
        """
        wait_s = self._wait_s
        limit_s = None
        if not source.is_store:
            due_s = (self._phase_s - self._clock()) % self._wait_s
            wait_s, limit_s = plan_watch(due_s, wait_s, self.state_age_s())
        if is_fallback:
            wait_s = min(wait_s, MAX_FALLBACK_S)
        self._restart_requested.clear()
        watch = asyncio.ensure_future(
            self._client.watch(source, self._decoder, revision, wait_s)
        )
        restart = asyncio.ensure_future(self._restart_requested.wait())
        try:
            done, _ = await asyncio.wait(
                {watch, restart},
                timeout=limit_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and not await wait_until_done(watch, 0.0):
                return TOO_LATE
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            restart.cancel()

    def _report_success(self, source: Source) -> None:
        if source != self._active_source:
            log.info(
                "reading topic={} address={} store={}",
                self._topic.value,
                source.address,
                source.is_store,
            )
            self._active_source = source
        if self._failure_count:
            self._failure_count = 0
            self._post(StoreRecovered(self._topic))

    async def _back_off(self, failure: Failure) -> None:
        self._failure_count += 1
        self._post(StoreUnavailable(self._topic, failure.reason))
        delay_s = min(
            MAX_RETRY_DELAY_S,
            MIN_RETRY_DELAY_S * 2 ** min(self._failure_count - 1, 4),
        )
        await self._sleep(delay_s * self._rng.uniform(0.7, 1.0))

"""Follows one topic of the platform's store by listing and watching."""

import asyncio
from collections.abc import Callable
import random

from kumquatchute_model.errors import Failure
from kumquatchuted.mailbox import Post
from kumquatchuted.membership.messages import StoreLost
from kumquatchuted.membership.messages import StoreRegained
from kumquatchuted.membership.messages import Topic
from kumquatchuted.membership.messages import TopicChanged
from kumquatchuted.membership.messages import TopicListed
from kumquatchuted.membership.reading import Changes
from kumquatchuted.membership.reading import HistoryGone
from kumquatchuted.membership.reading import ObjectReader
from kumquatchuted.membership.reading import TopicReader

# Each watch call is paid for. Changes that come close together are read by
# one call; the delay is small against the seconds in which they must apply.
COLLECT_S = 0.25
# First and longest pause after a failed call. The longest one bounds how
# late a change is seen after an outage.
RETRY_S = 0.25
MAX_RETRY_S = 1.0


class Follower:
    """Owns the calls for one topic and posts what they return."""

    def __init__(
        self,
        topic: Topic,
        client: ObjectReader,
        reader: TopicReader,
        post: Post,
        rng: random.Random,
        wait_s: float,
        on_failure: Callable[[], None] = lambda: None,
        sleep: Callable = asyncio.sleep,
    ) -> None:
        """Create a follower.

        :param reader: names the kind and decodes its objects
        :param post: mailbox of the membership task
        :param wait_s: longest time of a watch, in seconds
        :param on_failure: called when a call fails after successful ones
        """
        self._topic = topic
        self._client = client
        self._reader = reader
        self._post = post
        self._rng = rng
        self._wait_s = wait_s
        self._on_failure = on_failure
        self._sleep = sleep
        self._failures = 0
        self._restart = asyncio.Event()

    def restart(self) -> None:
        """Begin the watch anew, because the present one may be dead."""
        self._restart.set()

    async def run(self) -> None:
        """List, then watch until the history is gone, for ever."""
        while True:
            listing = await self._client.list_all(self._reader)
            if isinstance(listing, Failure):
                await self._failed(listing)
                continue
            self._succeeded()
            self._post(TopicListed(self._topic, listing.objects))
            await self._watch(listing.revision)

    async def _watch(self, revision: int) -> None:
        while True:
            result = await self._next_changes(revision)
            if result is None:
                continue
            if isinstance(result, HistoryGone):
                return
            if isinstance(result, Failure):
                await self._failed(result)
                continue
            self._succeeded()
            revision = result.revision
            if result.written or result.removed:
                self._post(
                    TopicChanged(self._topic, result.written, result.removed)
                )
                await self._sleep(COLLECT_S)

    async def _next_changes(
        self, revision: int
    ) -> Changes | HistoryGone | Failure | None:
        """Wait for changes; None if the watch is to begin anew."""
        self._restart.clear()
        watch = asyncio.ensure_future(
            self._client.watch(self._reader, revision, self._wait_s)
        )
        restart = asyncio.ensure_future(self._restart.wait())
        try:
            await asyncio.wait(
                {watch, restart}, return_when=asyncio.FIRST_COMPLETED
            )
            return watch.result() if watch.done() else None
        finally:
            watch.cancel()
            restart.cancel()

    def _succeeded(self) -> None:
        if self._failures:
            self._failures = 0
            self._post(StoreRegained(self._topic))

    async def _failed(self, failure: Failure) -> None:
        self._failures += 1
        if self._failures == 1:
            self._on_failure()
        self._post(StoreLost(self._topic, failure.reason))
        pause = min(MAX_RETRY_S, RETRY_S * 2 ** min(self._failures - 1, 4))
        await self._sleep(pause * self._rng.uniform(0.7, 1.0))

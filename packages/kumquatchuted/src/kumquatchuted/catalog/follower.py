"""Follows one collection of the platform: list, watch, list again.

The collection is listed again when the watch ends or fails, for example
because the platform no longer has the version from which it continues.
"""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
import random

from logbook import Logger

from kumquatchute_model.errors import Failure
from kumquatchuted.catalog.backoff import after_failure
from kumquatchuted.catalog.backoff import Backoff
from kumquatchuted.mailbox import Post
from kumquatchuted.platform.store import ObjectDeleted
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import ObjectList
from kumquatchuted.platform.store import Store
from kumquatchuted.platform.store import StoredObject

log = Logger("catalog")


@dataclass(frozen=True)
class CollectionListed:
    """All objects of a collection, as one list returned them."""

    kind: ObjectKind
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class ObjectUpdated:
    """An object was created or changed."""

    kind: ObjectKind
    stored: StoredObject


@dataclass(frozen=True)
class ObjectRemoved:
    """An object was deleted."""

    kind: ObjectKind
    name: str


async def follow_collection(
    store: Store,
    kind: ObjectKind,
    post: Post,
    clock: Callable[[], float],
    rng: random.Random,
) -> None:
    """Post the objects and changes of a collection until cancelled.

    :param post: receives ``CollectionListed``, ``ObjectUpdated`` and
        ``ObjectRemoved``
    :param clock: monotonic time in seconds
    :param rng: varies the delays, so that the nodes do not all list at once
    """
    backoff = Backoff()
    while True:
        started_at = clock()
        failure = await _list_and_watch(store, kind, post)
        backoff, delay_s = after_failure(
            backoff, clock() - started_at, rng.random()
        )
        log.warning(
            "list retry kind={} delay_s={:.1f} cause={}",
            kind.value,
            delay_s,
            failure.reason if failure else "the watch ended",
        )
        await asyncio.sleep(delay_s)


async def _list_and_watch(
    store: Store, kind: ObjectKind, post: Post
) -> Failure | None:
    """List a collection and watch it.

    :returns: the failure of a call; None if the watch ended without one
    """
    match await store.list(kind):
        case Failure() as failure:
            return failure
        case ObjectList(version=version, objects=objects):
            post(CollectionListed(kind, objects))
    async with aclosing(store.watch(kind, version)) as events:
        async for event in events:
            match event:
                case Failure():
                    return event
                case ObjectDeleted(name=name):
                    post(ObjectRemoved(kind, name))
                case StoredObject():
                    post(ObjectUpdated(kind, event))
    return None

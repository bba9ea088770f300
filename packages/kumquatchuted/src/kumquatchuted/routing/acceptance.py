"""Decides when a newer manifest replaces the current one."""

from collections.abc import Mapping
from dataclasses import dataclass

from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Manifest

# The operators of the platform set the time within which a version must take
# effect. A node waits at most this share of it for new shards to warm up; the
# rest covers the delay of the watch.
WAIT_SHARE = 0.35


@dataclass(frozen=True, slots=True)
class PendingManifest:
    """A manifest that waits until its new shards are warm.

    :param apply_by: monotonic time by which it takes effect, in seconds
    """

    manifest: Manifest
    apply_by: float


def newer_manifest(current: Manifest | None, candidate: Manifest) -> Manifest:
    """Return the manifest with the greater version, or else the current one.

    The store can return an older version after a newer one, for example in a
    delayed response on an earlier connection. A version that was accepted is
    never reverted.

    :param current: None before the first manifest
    """
    if current is not None and candidate.version <= current.version:
        return current
    return candidate


def update_pending(
    pending: PendingManifest | None,
    candidate: Manifest,
    apply_within_s: float,
    now: float,
) -> PendingManifest:
    """Return the pending manifest after another version was read.

    A newer version replaces the pending one and keeps its ``apply_by``, so
    that a series of versions does not postpone the change.

    :param pending: None if no manifest is pending
    :param apply_within_s: time within which a version must take effect, in
        seconds
    :param now: monotonic time in seconds
    """
    if pending is None:
        return PendingManifest(candidate, now + apply_within_s * WAIT_SHARE)
    return PendingManifest(
        newer_manifest(pending.manifest, candidate), pending.apply_by
    )


def may_take_effect(
    pending: PendingManifest,
    current: Manifest | None,
    warm_at: Mapping[str, float],
    now: float,
) -> bool:
    """Return whether the new shards are warm or ``apply_by`` has passed.

    Until the new shards are warm, queries over them would be refused because
    of the limits of cold searchers, while the former shards still serve.

    :param current: the manifest in force; None before the first one, which
        does not wait
    :param warm_at: when the first searcher of each service is warm, in
        monotonic seconds
    :param now: monotonic time in seconds
    """
    if current is None or now >= pending.apply_by:
        return True
    new_shards = _shards_of(pending.manifest) - _shards_of(current)
    return all(
        warm_at.get(service, pending.apply_by) <= now for service in new_shards
    )


def _shards_of(manifest: Manifest) -> frozenset[str]:
    return frozenset(
        shard
        for route in manifest.routes
        if isinstance(route.destination, AllShards)
        for shard in route.destination.shards
    )

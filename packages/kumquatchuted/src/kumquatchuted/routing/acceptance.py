"""Decides when a manifest that was read replaces the one in force."""

from collections.abc import Mapping
from dataclasses import dataclass

from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Manifest

# A version may take effect within the seconds that the platform's operators
# allow. A node uses this part of them to wait for new shards to warm up; the
# rest covers the delay of the watch.
WAIT_SHARE = 0.35


@dataclass(frozen=True, slots=True)
class PendingManifest:
    """A manifest that waits for its new shards.

    :param apply_by: latest monotonic time at which it takes effect, in seconds
    """

    manifest: Manifest
    apply_by: float


def newer_manifest(current: Manifest | None, candidate: Manifest) -> Manifest:
    """Return the manifest with the greater version.

    Reads of the store can be older than an earlier one, for example when a
    late answer of a former connection arrives; an accepted version is never
    reverted.
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
    """Return the newest manifest that waits.

    A newer version takes the place of an older one that waits, and takes
    effect no later than that one would have.

    :param apply_s: time in which a version must take effect, in seconds
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
    """Return whether the new shards are warm or the time is over.

    While a new set of shards is still cold, queries over it would be refused
    for the cold limit, and the former set still serves them.

    :param warm_at: when the first searcher of a service is warm, in seconds
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

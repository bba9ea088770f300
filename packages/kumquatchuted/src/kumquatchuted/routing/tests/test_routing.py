"""Routes: matching, acceptance of manifests, weighted split."""

from collections import Counter
from dataclasses import replace

from kumquatchuted.routing.acceptance import may_take_effect
from kumquatchuted.routing.acceptance import newer_manifest
from kumquatchuted.routing.acceptance import update_pending
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import WeightedService
from kumquatchuted.routing.split import initial_split
from kumquatchuted.routing.split import next_service
from kumquatchuted.routing.table import build_table
from kumquatchuted.routing.table import find_route

LIMITS = CallerLimits(16_384, 262_144, 3.0, 15.0)


def route(host: str, prefix: str) -> Route:
    """Return a route that is named by its prefix."""
    return Route(
        prefix, host, prefix, True, 1.0, 0.1, 0, 2, OneService("billing")
    )


def manifest(version: int, *routes: Route) -> Manifest:
    """Return a manifest without services."""
    return Manifest(version, routes, {}, LIMITS)


def test_longest_prefix_of_the_host_matches() -> None:
    """Guards against a route that shadows a more specific one.

    The routes of a manifest are in no particular order. Hosts are compared
    without case and port.
    """
    table = build_table(
        manifest(
            1,
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/x/y/z/"),
        )
    )
    assert find_route(table, "a.example", "/x/y/z/1").prefix == "/x/y/"
    assert find_route(table, "A.example:80", "/x/z").prefix == "/x/"


def test_path_without_a_matching_route_has_none() -> None:
    """Guards against a prefix that matches within a path segment.

    The request would run on the searchers of another route instead of being
    answered with 404.
    """
    table = build_table(manifest(1, route("a.example", "/x/")))
    assert find_route(table, "a.example", "/xy") is None
    assert find_route(table, "c.example", "/x/") is None


def test_older_manifest_never_replaces_a_newer_one() -> None:
    """Guards against a delayed store response that reverts a version.

    Requests would be sent to services that the newer manifest no longer uses.
    """
    current = manifest(7)
    assert newer_manifest(current, manifest(5)) is current
    assert newer_manifest(current, manifest(7)) is current
    assert newer_manifest(current, manifest(12)).version == 12
    assert newer_manifest(None, manifest(3)).version == 3


def sharded_manifest(version: int, *shards: str) -> Manifest:
    """Return a manifest with one route over shards."""
    base = route("a.example", "/x/")
    return manifest(
        version, replace(base, destination=AllShards(shards, 5, 0.9))
    )


def test_manifest_waits_until_its_new_shards_are_warm() -> None:
    """Guards against refused queries while new shards are cold.

    On day scale-2 a manifest took effect 1 s before its shards were warm. 45
    queries were sent to cold shards while the former ones could still serve.
    """
    pending = update_pending(None, sharded_manifest(2, "s2"), 3.0, now=10.0)
    warm_at = {"s1": 0.0, "s2": 10.4}
    former = sharded_manifest(1, "s1")
    assert not may_take_effect(pending, former, warm_at, 10.3)
    assert may_take_effect(pending, former, warm_at, 10.4)
    assert may_take_effect(pending, None, warm_at, 10.0)


def test_manifest_takes_effect_in_time_with_cold_shards() -> None:
    """Guards against a version that waits for shards that never start.

    Each version that follows while another is pending must not extend the
    wait, or a series of them would never take effect.
    """
    pending = update_pending(None, sharded_manifest(2, "s2"), 3.0, now=10.0)
    newer_pending = update_pending(
        pending, sharded_manifest(3, "s3"), 3.0, now=10.9
    )
    assert newer_pending.manifest.version == 3
    assert may_take_effect(
        newer_pending, sharded_manifest(1, "s1"), {}, pending.apply_by
    )
    assert pending.apply_by < 10.0 + 3.0 / 2


def test_manifest_without_new_shards_does_not_wait() -> None:
    """Guards against a delay of changes that need no warm-up.

    A manifest that changes only weights or limits would wait until
    ``apply_by`` for shards that already serve queries.
    """
    pending = update_pending(None, sharded_manifest(2, "s1"), 3.0, now=10.0)
    assert may_take_effect(pending, sharded_manifest(1, "s1"), {}, 10.0)


def test_split_keeps_the_weights_in_any_run_of_requests() -> None:
    """Guards against proportions that hold only on average.

    With a random choice, a route with few requests could send all of them to
    one service.
    """
    state = initial_split((WeightedService("a", 3), WeightedService("b", 1)))
    chosen = []
    for _ in range(400):
        state, service = next_service(state)
        chosen.append(service)
    for start in range(0, 400, 8):
        assert Counter(chosen[start : start + 8]) == {"a": 6, "b": 2}

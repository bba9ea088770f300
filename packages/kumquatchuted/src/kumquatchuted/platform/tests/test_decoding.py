"""Tests of decoding objects of the store, including invalid ones."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.platform.decoding import decode_manifest
from kumquatchuted.platform.decoding import decode_searcher
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import SplitServices

ENTRY = {
    "service": "billing",
    "address": "10.128.0.9:8080",
    "zone": "atl-north",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seq": 4,
    "born": 1_790_000_000_000,
}
ROUTE = {
    "name": "r1",
    "host": "a.example",
    "pathPrefix": "/x/",
    "routeType": "idempotent",
    "timeoutMs": 800,
    "targetLatencyMs": 56,
    "priority": 2,
    "maxAttempts": 2,
}
MANIFEST = {
    "version": 7,
    "routes": [
        {**ROUTE, "gather": ["s1", "s2"], "topK": 5, "minCoverage": 0.75},
        {**ROUTE, "service": "s1", "routeType": "non_idempotent"},
        {**ROUTE, "trafficSplit": [{"service": "s1", "weight": 3}]},
    ],
    "services": [
        {"name": "s1", "maxConns": 26, "warmupS": 3.0, "coldPerS": 0.0}
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from([*ENTRY, *MANIFEST, *ROUTE, "meta", "spec"]),
            children,
            max_size=9,
        )
    ),
    max_leaves=20,
)


def test_searcher_entry_is_decoded_with_units() -> None:
    """Guards against fields that are decoded with the wrong unit.

    Milliseconds taken for seconds would keep a searcher cold for too long.
    """
    assert decode_searcher("i-1", {"spec": ENTRY}) == RegisteredSearcher(
        "i-1",
        "billing",
        "10.128.0.9",
        8080,
        "atl-north",
        SearcherState.READY,
        2,
        1.5,
        1_790_000_000_000,
    )


@pytest.mark.parametrize("field", [name for name in ENTRY if name != "born"])
def test_searcher_entry_with_a_missing_field_is_rejected(field: str) -> None:
    """Guards against requests to a searcher with an incomplete entry.

    Other systems write to the store too.
    """
    entry = {key: value for key, value in ENTRY.items() if key != field}
    assert decode_searcher("i-1", {"spec": entry}) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "melting"),
        ("capacity", "2"),
        ("capacity", 0),
        ("capacity", True),
        ("address", "nowhere"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:65536"),
        ("warmupLeftMs", None),
        ("warmupLeftMs", -1),
        ("born", 1.5),
        ("service", ""),
    ],
)
def test_searcher_entry_with_an_invalid_field_is_rejected(
    field: str, value: object
) -> None:
    """Guards against requests to a searcher with an invalid entry.

    Its state, capacity, address, warm-up time or service cannot be trusted.
    """
    assert decode_searcher("i-1", {"spec": {**ENTRY, field: value}}) is None


@pytest.mark.parametrize("name", ["i-1\r\nX-A: 1", "i 1", "i-\x00"])
def test_searcher_whose_name_does_not_fit_a_header_is_rejected(
    name: str,
) -> None:
    """Guards against a header or a request that an entry's name adds.

    Requests on a new connection state the name of the expected searcher.
    """
    assert decode_searcher(name, {"spec": ENTRY}) is None


def test_manifest_is_decoded_into_routes_and_limits() -> None:
    """Guards against route types or destinations that are mixed up.

    A request that may run only once would be sent again, or a query would
    reach one searcher in place of all shards.
    """
    manifest = decode_manifest("main", {"spec": MANIFEST})
    gather, single, split = manifest.routes
    assert manifest.version == 7
    assert gather.destination == AllShards(("s1", "s2"), 5, 0.75)
    assert gather.timeout_s == 0.8
    assert gather.objective_s == 0.056
    assert single.destination == OneService("s1")
    assert not single.idempotent
    assert isinstance(split.destination, SplitServices)
    assert manifest.services["s1"].max_connections == 26
    assert manifest.limits.idle_timeout_s == 15.0


def test_object_with_another_name_is_no_manifest() -> None:
    """Guards against a draft that is taken for the current manifest.

    Nodes would serve routes that operators have not put in force.
    """
    assert decode_manifest("draft", {"spec": MANIFEST}) is None


@given(JSON)
def test_decoders_never_raise(content: object) -> None:
    """Guards against an object of the store that crashes the process.

    Every node reads the same objects, so all of them would crash.
    """
    assert isinstance(
        decode_searcher("i-1", content), RegisteredSearcher | None
    )
    assert isinstance(decode_manifest("main", content), Manifest | None)
    spec = {"spec": content}
    assert isinstance(decode_searcher("i-1", spec), RegisteredSearcher | None)
    assert isinstance(decode_manifest("main", spec), Manifest | None)

"""Tests of decoding the entries of searchers for the catalog."""

import msgspec
import pytest

from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.platform_objects import searcher_entry
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.platform.searcher_entries import decode_entry

BORN = 1_790_000_000_000
CONFIG = SearcherConfig(
    "a", "quiz", host="h1", dc="pkc-a", slots=4, cold_slots=2, max_conns=45
)


def encode_entry(omitted=(), **changes):
    """Return an encoded entry with some fields changed or omitted."""
    entry = searcher_entry(CONFIG, "127.0.0.1:9000", BORN, True) | changes
    return msgspec.json.encode(
        {key: value for key, value in entry.items() if key not in omitted}
    )


def test_entry_is_decoded_with_place_and_limits():
    """Guards against a host or limits lost between searcher and node.

    Hosts are taken out of service by name, and limits bound the requests and
    connections to a searcher.
    """
    searcher = Searcher(
        "a", "quiz", "127.0.0.1:9000", "h1", "pkc-a", 4, 2, 45, True
    )
    assert decode_entry("a", encode_entry()) == SearcherEntry(searcher, BORN)


def test_entry_without_the_extra_fields_gets_defaults():
    """Guards against a searcher that is ignored for lack of a host.

    Other searchers write only the fields that the platform defines.
    """
    body = encode_entry(omitted=("host", "coldSlots", "maxConns"))
    entry = decode_entry("a", body)
    assert (entry.searcher.host, entry.searcher.cold_slots) == ("", 1)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": ""},
        {"address": 9000},
        {"address": "127.0.0.1"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:70000"},
        {"address": "a.b:9000"},
        {"state": "asleep"},
        {"born": "today"},
        {"omitted": ("service",)},
        {"omitted": ("address",)},
        {"omitted": ("state",)},
    ],
)
def test_malformed_entry_is_a_failure(changes):
    """Guards against a node that stops because of one invalid object."""
    assert isinstance(decode_entry("a", encode_entry(**changes)), Failure)


@pytest.mark.parametrize("key", ["capacity", "coldSlots", "maxConns"])
@pytest.mark.parametrize("limit", [0, -1, "two", "", 10**6, 10**30, None])
def test_limits_out_of_range_are_rejected(key, limit):
    """Guards against a target whose limit admits no request."""
    assert isinstance(decode_entry("a", encode_entry(**{key: limit})), Failure)


@pytest.mark.parametrize("body", [b"null", b"[" * 100_000, b"\xff", b"7"])
def test_body_that_is_no_entry_is_a_failure(body):
    """Guards against a node that stops because an object is no entry at all.

    The decoder must return a failure for any bytes, not raise.
    """
    assert isinstance(decode_entry("a", body), Failure)

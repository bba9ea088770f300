"""Entries of searchers as the catalog reads them."""

import msgspec
import pytest

from kumquatchute_model.errors import Failure
from kumquatchute_model.shards import Searcher
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.platform_objects import searcher_entry
from kumquatchuted.catalog.events import SearcherEntry
from kumquatchuted.platform.entries import decode_entry

BORN = 1_790_000_000_000
PROFILE = SearcherConfig(
    "a", "quiz", host="h1", dc="pkc-a", slots=4, cold_slots=2, max_conns=45
)


def document(without=(), **changes):
    """Return an encoded entry with some fields replaced or left out."""
    whole = searcher_entry(PROFILE, "127.0.0.1:9000", BORN, True) | changes
    return msgspec.json.encode(
        {key: value for key, value in whole.items() if key not in without}
    )


def test_published_entry_is_read_in_full():
    """Guards against limits or places lost between publisher and node."""
    searcher = Searcher(
        "a", "quiz", "127.0.0.1:9000", "h1", "pkc-a", 4, 2, 45, True
    )
    assert decode_entry("a", document()) == SearcherEntry(searcher, BORN)


def test_entry_in_the_form_of_the_platform_alone_is_read():
    """Guards against a searcher left out because its place is unknown."""
    body = document(without=("host", "coldSlots", "maxConns"))
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
        {"without": ("service",)},
        {"without": ("address",)},
        {"without": ("state",)},
    ],
)
def test_malformed_entry_is_a_failure(changes):
    """Guards against a node that stops because of one faulty object."""
    assert isinstance(decode_entry("a", document(**changes)), Failure)


@pytest.mark.parametrize("key", ["capacity", "coldSlots", "maxConns"])
@pytest.mark.parametrize("number", [0, -1, "two", "", 10**6, 10**30, None])
def test_slots_and_connections_are_at_least_one(key, number):
    """Guards against a target with a limit that never lets work through."""
    assert isinstance(decode_entry("a", document(**{key: number})), Failure)


@pytest.mark.parametrize("body", [b"null", b"[" * 100_000, b"\xff", b"7"])
def test_bytes_that_are_no_entry_are_a_failure(body):
    """Guards against a decoder that raises."""
    assert isinstance(decode_entry("a", body), Failure)

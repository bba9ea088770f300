"""Tests of the object store's documents, including malformed ones."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from kumquatchuted.platform.wire import DECODE_ERRORS
from kumquatchuted.platform.wire import decode_events
from kumquatchuted.platform.wire import decode_object
from kumquatchuted.platform.wire import decode_page
from kumquatchuted.platform.wire import encode_object

VALID = {"meta": {"name": "a", "revision": 3}, "spec": [1]}
INVALID = [
    7,
    {},
    {"meta": 7},
    {"meta": {"name": "b"}},
    {"meta": {"revision": 3}},
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["meta", "name", "revision", "items", "events", "asOf"]
            ),
            children,
            max_size=6,
        )
    ),
    max_leaves=20,
)


def test_objects_without_a_name_or_revision_are_counted():
    """Guards against an invalid object that hides others or is not counted.

    Other systems write to the store; a log line reports the count.
    """
    page = decode_page(
        msgspec.json.encode({"items": [*INVALID, VALID], "asOf": 9})
    )
    assert [item.name for item in page.items] == ["a"]
    assert (page.skipped, page.has_more, page.revision) == (5, False, 9)
    events = [{"object": item, "removed": True} for item in [*INVALID, VALID]]
    batch = decode_events(msgspec.json.encode({"events": events, "asOf": 9}))
    assert [event.item.name for event in batch.events] == ["a"]
    assert (batch.skipped, batch.revision) == (5, 9)


def test_encoded_object_holds_spec_and_revision():
    """Guards against an update that is sent without its condition.

    It would overwrite a newer state of the object.
    """
    body = encode_object("a", b'{"x":1}', 3)
    assert msgspec.json.decode(body) == {
        "meta": {"name": "a", "revision": 3},
        "spec": {"x": 1},
    }
    assert (
        "revision"
        not in msgspec.json.decode(encode_object("a", b"1", None))["meta"]
    )


@pytest.mark.parametrize("decode", [decode_object, decode_page, decode_events])
@given(content=JSON)
def test_any_json_decodes_or_raises_a_decode_error(decode, content):
    """Guards against a response that ends the task which reads it.

    Callers handle only ``DECODE_ERRORS``; the JSON has an unexpected shape.
    """
    try:
        decode(msgspec.json.encode(content))
    except DECODE_ERRORS:
        pass


@pytest.mark.parametrize("decode", [decode_object, decode_page, decode_events])
@given(body=st.binary(max_size=64))
def test_any_bytes_decode_or_raise_a_decode_error(decode, body):
    """Guards against a response that ends the task which reads it.

    Callers handle only ``DECODE_ERRORS``; the bytes need not be JSON.
    """
    try:
        decode(body)
    except DECODE_ERRORS:
        pass

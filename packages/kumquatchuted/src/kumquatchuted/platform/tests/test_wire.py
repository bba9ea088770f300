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


ODD_VALUES = {
    "deep array": "[" * 100_000 + "]" * 100_000,
    "deep object": '{"a":' * 100_000 + "1" + "}" * 100_000,
    "number": "1e999",
    "digits": "9" * 5_000,
    "escape": '"\\ud800"',
    "encoding": '"\xff"',
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES.keys())
def test_odd_object_does_not_hide_the_others(value: str) -> None:
    """Guards against one entry of another writer that stops all listings.

    A node would read no change any more, of any object of the kind. The odd
    object itself reads as one without content.
    """
    odd = '{"meta": {"name": "odd", "revision": 4}, "spec": {"seq": %s}}'
    objects = f"{odd % value}, {msgspec.json.encode(VALID).decode()}"
    body = f'{{"items": [{objects}], "hasMore": true, "asOf": 9}}'
    page = decode_page(body.encode("latin-1"))
    assert [item.name for item in page.items] == ["odd", "a"]
    assert [item.spec for item in page.items] == [None, [1]]
    assert (page.revision, page.has_more, page.skipped) == (9, True, 0)
    event = '{"removed": false, "object": %s}' % odd % value
    events = decode_events(
        f'{{"events": [{event}], "asOf": 9}}'.encode("latin-1")
    )
    assert [item.item.name for item in events.events] == ["odd"]
    assert events.events[0].item.spec is None


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


@pytest.mark.parametrize("age", ["-1", "1" + "0" * 400, "0.5", '"1"', "NaN"])
@pytest.mark.parametrize("element", ["", "{}", "1e999"])
def test_invalid_age_is_a_decode_error(age: str, element: str) -> None:
    """Guards against a node that ends because of a number from another one."""
    document = '{"%s":[%s],"asOf":5,"ageMs":%s}'
    with pytest.raises(DECODE_ERRORS):
        decode_page((document % ("items", element, age)).encode())
    with pytest.raises(DECODE_ERRORS):
        decode_events((document % ("events", element, age)).encode())


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

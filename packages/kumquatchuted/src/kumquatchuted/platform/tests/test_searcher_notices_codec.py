"""Decoding of what searchers state in the heads of their responses."""

import pytest

from kumquatchuted.notices.messages import Leaving
from kumquatchuted.notices.messages import MalformedNotice
from kumquatchuted.notices.messages import PauseRequested
from kumquatchuted.platform.searcher_codec import decode_notices


@pytest.mark.parametrize(
    ("status", "name", "value", "expected"),
    [
        (200, b"server-leaving", b"1", Leaving()),
        (500, b"server-leaving", b" 1 ", Leaving()),
        (503, b"retry-after", b"2", PauseRequested(2.0)),
        (503, b"retry-after", b"0.25", PauseRequested(0.25)),
        (503, b"retry-after", b"1000000000", PauseRequested(1e9)),
    ],
)
def test_notice_is_read(status, name, value, expected) -> None:
    """Guards against a notice that is not applied."""
    assert decode_notices(status, [(name, value)]) == (expected,)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"server-leaving", b"0"),
        (b"server-leaving", b""),
        (b"retry-after", b"-1"),
        (b"retry-after", b"1e9"),
        (b"retry-after", b"nan"),
        (b"retry-after", b"inf"),
        (b"retry-after", b""),
        (b"retry-after", b"1_0"),
        (b"retry-after", b"9" * 5000),
        (b"retry-after", b"Sat, 05 Dec 2026 16:00:00 GMT"),
        (b"retry-after", b"\xff"),
    ],
)
def test_odd_value_states_nothing(name: bytes, value: bytes) -> None:
    """Guards against a value that is misread or ends the process."""
    (notice,) = decode_notices(503, [(name, value)])
    assert isinstance(notice, MalformedNotice)
    assert notice.header == name.decode()


def test_other_heads_state_nothing() -> None:
    """Guards against a pause that no searcher requested.

    A response with status 421 comes from another process, and a searcher may
    add Retry-After to other responses for the caller.
    """
    assert not decode_notices(421, [(b"server-leaving", b"1")])
    assert not decode_notices(500, [(b"retry-after", b"3")])
    assert not decode_notices(200, [(b"content-length", b"3")])


def test_each_of_several_values_counts() -> None:
    """Guards against a header that hides an earlier one."""
    headers = [(b"retry-after", b"1"), (b"retry-after", b"3")]
    assert decode_notices(503, headers) == (
        PauseRequested(1.0),
        PauseRequested(3.0),
    )

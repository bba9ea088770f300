"""Which response is the one to the pending request."""

import pytest

from kumquatchuted.responses.matching import match_response
from kumquatchuted.responses.matching import NO_ID
from kumquatchuted.responses.matching import OTHER_ID
from kumquatchuted.responses.matching import SEVERAL_IDS
from kumquatchuted.responses.messages import Exchange
from kumquatchuted.responses.messages import Foreign
from kumquatchuted.responses.messages import MatchedAsFirst
from kumquatchuted.responses.messages import MatchedById
from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict


def match(
    *ids: bytes, request_id: bytes = b"r1", is_first: bool = False
) -> Verdict:
    """Return the verdict on a response that names some requests."""
    exchange = Exchange("k", request_id, True, is_first)
    return match_response(exchange, ids, () if is_first else (b"r0", b"r"))


@pytest.mark.parametrize("is_first", [False, True])
def test_response_that_names_the_request_is_taken(is_first: bool) -> None:
    """Guards against good responses that are lost."""
    assert match(b"r1", is_first=is_first) == MatchedById()
    assert match(b"r1", b"r1", is_first=is_first) == MatchedById()


def test_response_that_names_another_request_is_not_taken() -> None:
    """Guards against a caller that gets a late copy of another answer.

    What names a request that its connection has not carried is no late copy.
    Nothing else is due then, so that the request must not wait for more until
    its time limit.
    """
    assert match(b"r0") == Foreign(b"r0")
    assert match(b"r7") == Unproven(OTHER_ID)
    assert match(b"r0", is_first=True) == Unproven(OTHER_ID)
    # An id that is a part of the other one is another id.
    assert match(b"r") == Foreign(b"r")


def test_whitespace_around_an_id_does_not_count() -> None:
    """Guards against a response that is skipped for the space after its id.

    HTTP allows whitespace there.
    """
    assert match(b"r1 ") == MatchedById()
    assert match(b"\tr1") == MatchedById()


def test_empty_id_names_no_request() -> None:
    """Guards against a request that waits although its exchange has ended."""
    assert match(b"", is_first=True) == MatchedAsFirst()
    assert match(b"") == Unproven(NO_ID)


def test_response_without_an_id_is_taken_from_a_new_connection_only() -> None:
    """Guards against a late copy without an id on a connection in use again.

    A searcher that never names requests must still be served from.
    """
    assert match(is_first=True) == MatchedAsFirst()
    assert match() == Unproven(NO_ID)


def test_request_without_an_id_needs_a_new_connection() -> None:
    """Guards against any response that is taken for that to such a request."""
    assert match(request_id=b"", is_first=True) == MatchedAsFirst()
    assert match(b"r0", request_id=b"", is_first=True) == MatchedAsFirst()
    assert match(b"r0", request_id=b"") == Unproven(NO_ID)
    assert match(b"", request_id=b"") == Unproven(NO_ID)


def test_response_that_names_two_requests_proves_nothing() -> None:
    """Guards against joined heads in which one id is that of the request."""
    assert match(b"r0", b"r1") == Unproven(SEVERAL_IDS)

"""What responses are good for."""

import pytest

from kumquatchuted.responses.messages import SearcherResponse
from kumquatchuted.responses.quality import assess
from kumquatchuted.responses.quality import CONTRADICTION
from kumquatchuted.responses.quality import ENCODED_BODY
from kumquatchuted.responses.quality import Failed
from kumquatchuted.responses.quality import Good
from kumquatchuted.responses.quality import INVALID_STATUS
from kumquatchuted.responses.quality import NO_DIGEST
from kumquatchuted.responses.quality import NotRun
from kumquatchuted.responses.quality import Rejection
from kumquatchuted.responses.quality import Unusable


@pytest.mark.parametrize("status", range(200, 600))
def test_only_a_success_with_a_digest_is_good(status: int) -> None:
    """Guards against a failure, or an unverified body, that is relayed."""

    def response(stamp: bytes, **fields: bool) -> SearcherResponse:
        return SearcherResponse(
            status,
            stamp,
            b"body",
            fields.get("not_executed", False),
            False,
            (),
            is_encoded=fields.get("is_encoded", False),
        )

    not_run = assess(response(b"d", not_executed=True))
    if status >= 300:
        assert not_run == NotRun()
    if status < 300:
        # It may have run in spite of what it states.
        assert not_run == Unusable(CONTRADICTION)
        assert assess(response(b"d")) == Good()
        assert assess(response(b"")) == Unusable(NO_DIGEST)
        assert assess(response(b"d", is_encoded=True)) == Unusable(
            ENCODED_BODY
        )
        return
    expected = Rejection() if status < 500 else Failed()
    assert assess(response(b"d")) == assess(response(b"")) == expected


@pytest.mark.parametrize("status", [103, 600, 999])
def test_status_that_no_caller_can_read_is_unusable(status: int) -> None:
    """Guards against a connection that closes without an answer.

    The listener cannot encode such a status, and a caller waits on after one
    below 200.
    """
    response = SearcherResponse(status, b"d", b"body", False, False, ())
    assert assess(response) == Unusable(INVALID_STATUS)

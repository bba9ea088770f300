"""HTTP and exit statuses of the error kinds."""

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind


def test_every_error_kind_has_statuses():
    """Guards against a new kind that ends in a ``KeyError``.

    The caller would get an internal error in place of the reason.
    """
    assert set(ERROR_STATUSES) == set(ErrorKind)


def test_every_http_status_is_an_error():
    """Guards against callers that take a failed request for a success.

    Callers and load balancers read the status and not the body.
    """
    http_statuses = {status.http_status for status in ERROR_STATUSES.values()}
    assert min(http_statuses) >= 400

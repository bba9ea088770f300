"""Guards against an error kind without statuses."""

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind


def test_every_error_kind_has_statuses():
    assert set(ERROR_STATUSES) == set(ErrorKind)


def test_every_http_status_is_an_error():
    http_statuses = {status.http_status for status in ERROR_STATUSES.values()}
    assert min(http_statuses) >= 400

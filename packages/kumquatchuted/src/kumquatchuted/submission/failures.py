"""Failures that a caller of a submission receives."""

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure


def not_recorded() -> Failure:
    """Return the failure of a request whose claim was not written."""
    return Failure(
        ErrorKind.UNAVAILABLE,
        "the platform did not record the request",
        not_run=True,
    )


def key_reused() -> Failure:
    """Return the failure of a key that was used with another payload."""
    return Failure(
        ErrorKind.MALFORMED,
        "the idempotency key belongs to another request",
        not_run=True,
    )


def unknown_outcome(reason: str) -> Failure:
    """Return the failure of an attempt that may have run."""
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)

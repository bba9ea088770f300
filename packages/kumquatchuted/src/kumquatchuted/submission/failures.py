"""Failures reported to callers of submissions."""

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure


def not_recorded() -> Failure:
    """Return the failure for a request whose claim was not written."""
    return Failure(
        ErrorKind.UNAVAILABLE,
        "the platform did not record the request",
        not_run=True,
    )


def key_reused() -> Failure:
    """Return the failure for a key that was used with another payload."""
    return Failure(
        ErrorKind.MALFORMED,
        "the idempotency key was already used for another request",
        not_run=True,
    )


def unknown_outcome(reason: str) -> Failure:
    """Return the failure for an attempt that may have run."""
    return Failure(ErrorKind.OUTCOME_UNKNOWN, reason)

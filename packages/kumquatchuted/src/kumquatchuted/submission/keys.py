"""Idempotency keys and the names of submission records."""

import hashlib
from uuid import UUID

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure

# Keys that are older than this are refused.
RETENTION_S = 24 * 3600
# The clock of a caller may be ahead of that of the node by this much.
MAX_FUTURE_S = 5 * 60
# Records are kept for this long after their keys expire, because the clocks
# of nodes differ.
DELETE_MARGIN_S = 10 * 60
MINUTE_S = 60
_UUID_VERSION = 7
_UUID_VARIANT = "specified in RFC 4122"


def key_time_s(key: str) -> float | None:
    """Return the timestamp of a UUIDv7 in seconds since 1970.

    :returns: the timestamp, None if the text is not a UUIDv7
    """
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.version != _UUID_VERSION or uuid.variant != _UUID_VARIANT:
        return None
    return (uuid.int >> 80) / 1000


def check_key(key: str, wall_now: float) -> Failure | None:
    """Refuse keys outside the period for which records are kept.

    Without a record, a request that has already run would run again.

    :param wall_now: seconds since 1970
    :returns: why the key is refused, or None
    """
    created_at = key_time_s(key)
    if created_at is None:
        return _malformed("the idempotency key is not a UUIDv7", not_run=True)
    if created_at > wall_now + MAX_FUTURE_S:
        return _malformed(
            "the time of the idempotency key is in the future", not_run=True
        )
    if created_at <= wall_now - RETENTION_S:
        # A request with this key may have run; its record may be gone.
        return _malformed("the idempotency key is too old", not_run=False)
    return None


def record_name(caller: str, key: str) -> str:
    """Return the object name of a submission record.

    It begins with the minute of the key, so that expired records can be
    listed by prefix.

    :param key: a key that ``check_key`` accepts
    """
    canonical = str(UUID(key))
    text = f"{len(caller)}:{caller}{canonical}"
    digest = hashlib.sha256(text.encode()).hexdigest()[:40]
    return f"{minute_prefix(minute_of(key_time_s(key)))}{digest}"


def payload_digest(service: str, payload: str) -> str:
    """Return the digest that detects another request with the same key."""
    text = f"{len(service)}:{service}{payload}"
    return hashlib.sha256(text.encode()).hexdigest()


def minute_of(time_s: float) -> int:
    """Return the number of the minute that contains a time.

    :param time_s: seconds since 1970
    """
    return int(time_s // MINUTE_S)


def minute_prefix(minute: int) -> str:
    """Return the name prefix of all records of a minute."""
    return f"submission-{minute:08x}-"


def last_expired_minute(wall_now: float) -> int:
    """Return the newest minute whose keys no node accepts.

    :param wall_now: seconds since 1970
    """
    return minute_of(wall_now - RETENTION_S - DELETE_MARGIN_S) - 1


def _malformed(reason: str, not_run: bool) -> Failure:
    return Failure(ErrorKind.MALFORMED, reason, not_run)

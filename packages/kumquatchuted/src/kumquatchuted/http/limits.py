"""Limits on the requests of callers and operators."""

import asyncio
import uuid

import falcon.asgi

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import MAX_DEADLINE_MS
from kumquatchute_model.ticket import MAX_NAME_CHARS

MAX_BODY_BYTES = 1_000_000
MAX_HITS = 1_000
MAX_TICKET_NUMBER = 9_999_999_999
# Otherwise a caller that stops in the middle of a body delays a shutdown.
BODY_TIMEOUT_S = 10.0


def malformed(reason: str) -> Failure:
    """Return the failure for a malformed request, which was not run."""
    return Failure(ErrorKind.MALFORMED, reason, not_run=True)


async def read_body(req: falcon.asgi.Request) -> bytes | Failure:
    """Read the body of a request, without more memory than the limit allows.

    :returns: the body, ``TOO_LARGE`` if it exceeds ``MAX_BODY_BYTES``, or
        ``MALFORMED`` if it ends early or is not complete in time
    """
    content_length = req.content_length
    if content_length is not None and content_length > MAX_BODY_BYTES:
        return _too_large()
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            body = await req.stream.read(MAX_BODY_BYTES + 1)
    except TimeoutError:
        return malformed(f"the body was incomplete after {BODY_TIMEOUT_S:g} s")
    if len(body) > MAX_BODY_BYTES:
        return _too_large()
    if content_length is not None and len(body) < content_length:
        return malformed("the body is shorter than its Content-Length")
    return body


def check_name(name: str) -> Failure | None:
    """Check the name that a caller searches for."""
    if not name.strip() or len(name) > MAX_NAME_CHARS:
        return malformed(f"a name has 1 to {MAX_NAME_CHARS} characters")
    return None


def check_limit(limit: int) -> Failure | None:
    """Check the number of hits that a caller requests."""
    if not 1 <= limit <= MAX_HITS:
        return malformed(f"limit must be 1 to {MAX_HITS}")
    return None


def check_deadline(deadline_ms: int) -> Failure | None:
    """Check a deadline in milliseconds."""
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        return malformed(f"deadline_ms must be 1 to {MAX_DEADLINE_MS}")
    return None


def check_time_left(remaining_s: float) -> Failure | None:
    """Check that the deadline has not passed while the body arrived."""
    if remaining_s <= 0:
        return Failure(
            ErrorKind.DEADLINE_EXCEEDED,
            "the deadline passed before the request was complete",
            not_run=True,
        )
    return None


def parse_ticket_number(text: str) -> int | Failure:
    """Parse a ticket number from a path or a query parameter."""
    if text.isascii() and text.isdigit() and len(text) <= 10:
        return int(text)
    return malformed(f"a ticket number must be 0 to {MAX_TICKET_NUMBER}")


def parse_key(text: str | None) -> str | Failure:
    """Parse an idempotency key and return its canonical spelling.

    A retry may spell the key in another way, but must not run a second time.
    """
    try:
        key = uuid.UUID(text or "")
    except ValueError:
        key = None
    if key is None or key.variant != uuid.RFC_4122 or key.version != 7:
        return malformed("the header Idempotency-Key must be a UUIDv7")
    return str(key)


def _too_large() -> Failure:
    return Failure(
        ErrorKind.TOO_LARGE,
        f"the body exceeds {MAX_BODY_BYTES} bytes",
        not_run=True,
    )

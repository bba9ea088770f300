"""What is known of a response after bytes of it were read."""

from dataclasses import dataclass

from kumquatchuted.responses.messages import Unproven
from kumquatchuted.responses.messages import Verdict


@dataclass(frozen=True, slots=True)
class RawResponse:
    """A complete response as received; header names in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Incomplete:
    """The response has not arrived, or not all of it."""


@dataclass(frozen=True, slots=True)
class Slow:
    """The response is not complete and takes much processor time to read.

    :param rest: bytes that were not read yet
    """

    rest: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """The response to the pending request has arrived.

    :param verdict: what shows that it belongs to the request
    :param is_last: whether no other request may be sent after it
    """

    response: RawResponse
    verdict: Verdict
    is_last: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """No usable response can arrive any more.

    :param reason: cause for the log and for the caller
    :param rejected: why a response was not taken; None if there was none
    """

    reason: str
    rejected: Unproven | None = None


ReadResult = Incomplete | Slow | Complete | Broken
INCOMPLETE = Incomplete()

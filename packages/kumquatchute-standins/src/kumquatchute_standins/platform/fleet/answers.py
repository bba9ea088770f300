"""Content of the searchers' answers, and a ledger of those that were sent."""

from collections import defaultdict
from dataclasses import dataclass
import hashlib

RECORD_BYTES = 16
RECORDS_PER_ANSWER = 8
# Records begin with a byte below those of printable text, so that text which
# is read as a record ranks above them and appears in a merged answer.
FIRST_BYTE_MASK = 0x1F
ID_HEADER = "X-Request-Id"
STAMP_HEADER = "X-Server-Stamp"


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer as its searcher means it.

    :param headers: without those that state the length
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def encode_head(self, states_length: bool = True) -> bytes:
        """Return the head of the answer, with the blank line at its end.

        A header that states nothing comes first, so that a copy which is cut
        in it can be joined with the next answer without a contradiction.
        """
        lines = [f"HTTP/1.1 {self.status} Text", "Server: searcher"]
        if states_length:
            lines.append(f"Content-Length: {len(self.body)}")
        lines += [f"{name}: {value}" for name, value in self.headers]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class SentAnswer:
    """An answer that a searcher sent, for comparison with callers' results.

    :param digest: value of the stamp header, None without exactly one
    :param body: body as the searcher means it, also if it was sent in part
    :param is_good: whether it is a success with a digest and its whole body
    :param has_run: whether the searcher ran the request
    :param sent_at: time of the event loop in seconds
    """

    searcher: str
    service: str
    request_id: str
    status: int
    digest: str | None
    body: bytes
    is_good: bool
    has_run: bool
    sent_at: float


class AnswerLedger:
    """Holds the answers that were sent, by request id."""

    def __init__(self) -> None:
        """Create an empty ledger."""
        self._answers: defaultdict[str, list[SentAnswer]] = defaultdict(list)

    def add(self, answer: SentAnswer) -> None:
        """Record an answer."""
        self._answers[answer.request_id].append(answer)

    def answers_to(self, request_id: str) -> tuple[SentAnswer, ...]:
        """Return the answers that were sent to a request, in their order."""
        return tuple(self._answers.get(request_id, ()))


def build_stamp(
    service: str, request_id: str, searcher: str, number: int
) -> str:
    """Return the digest of an answer, different for each answer.

    :param number: number of the answer among those of its searcher
    """
    return f"{service}.{request_id}.{searcher}.{number}"


def expect_answer(
    stamp: str, service: str, request_id: str
) -> SentAnswer | None:
    """Return the good answer that a digest names.

    :returns: None if it is no digest of the service for this request
    """
    if not is_stamp_of(stamp, service, request_id):
        return None
    return SentAnswer(
        searcher=stamp.split(".")[-2],
        service=service,
        request_id=request_id,
        status=200,
        digest=stamp,
        body=build_records(stamp),
        is_good=True,
        has_run=True,
        sent_at=0.0,
    )


def is_stamp_of(stamp: str, service: str, request_id: str) -> bool:
    """Return whether a digest is that of an answer of a service to an id."""
    return stamp.rsplit(".", 2)[0] == f"{service}.{request_id}"


def build_records(stamp: str) -> bytes:
    """Return the records of the answer with a digest, different for each."""
    size = RECORD_BYTES * RECORDS_PER_ANSWER
    records = bytearray(hashlib.shake_128(stamp.encode()).digest(size))
    for offset in range(0, size, RECORD_BYTES):
        records[offset] &= FIRST_BYTE_MASK
    return bytes(records)


def greatest_records(bodies: list[bytes], count: int) -> bytes:
    """Return the greatest records of several bodies, greatest first."""
    records = [
        body[offset : offset + RECORD_BYTES]
        for body in bodies
        for offset in range(0, len(body), RECORD_BYTES)
    ]
    return b"".join(sorted(records, reverse=True)[:count])

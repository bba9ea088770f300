"""Tests of the answers that an emulated searcher sends and records."""

import asyncio

import pytest

from kumquatchute_standins.platform.fleet.answer_faults import ANSWER_FAULTS
from kumquatchute_standins.platform.fleet.answer_faults import AnswerDraw
from kumquatchute_standins.platform.fleet.answers import AnswerLedger
from kumquatchute_standins.platform.fleet.answers import build_records
from kumquatchute_standins.platform.fleet.searcher import EmulatedSearcher
from kumquatchute_standins.platform.fleet.searcher import SearcherFaults
from kumquatchute_standins.ports import allocate_ports

REQUEST = b"GET / HTTP/1.1\r\nX-Request-Id: %s\r\n%s\r\n"
# A little more than the greatest delay of a second copy.
COPY_TIMEOUT_S = 0.35


def receive(
    faults: SearcherFaults, extra: bytes = b""
) -> tuple[bytes, AnswerLedger, int]:
    """Send one request to a searcher and read until it is silent.

    :param extra: further header lines of the request
    :returns: received bytes, the ledger, and the number of runs
    """
    ledger, arrivals, received = AnswerLedger(), [], bytearray()

    async def run() -> None:
        port = next(iter(allocate_ports(1)))
        searcher = EmulatedSearcher(
            "i-1", "sh00", "a", port, arrivals.append, ledger.add
        )
        searcher.faults = faults
        await searcher.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % (b"q1", extra))
        try:
            async with asyncio.timeout(COPY_TIMEOUT_S):
                while data := await reader.read(4096):
                    received.extend(data)
        except (TimeoutError, ConnectionResetError):
            pass
        writer.close()
        await searcher.stop()

    asyncio.run(run())
    return bytes(received), ledger, len(arrivals)


@pytest.mark.parametrize(
    ("name", "copies", "ids", "is_good"),
    [
        ("no-id", 1, 0, True),
        ("no-digest", 1, 1, False),
        ("two-digests", 1, 1, False),
        ("copy", 2, 2, True),
        ("copy-pieces", 2, 2, True),
        ("until-close", 1, 1, True),
        ("until-reset", 1, 1, False),
        ("until-close-copy", 2, 2, True),
        ("broken-off-copy", 2, 2, False),
        ("failure", 1, 1, False),
        ("interim", 2, 1, True),
        ("failure-any", 1, 1, False),
        ("failure-no-digest", 1, 1, False),
        ("other-id", 1, 1, False),
    ],
)
def test_searcher_sends_and_records_the_fault(
    name: str, copies: int, ids: int, is_good: bool
) -> None:
    """Guards against a case that passes because its fault is not played.

    Status lines and echoed ids are counted; an interim response has no id.
    """
    faults = SearcherFaults(answers=AnswerDraw((name,)))
    received, ledger, runs = receive(faults)
    assert received.count(b"HTTP/1.1 ") == copies
    assert received.count(b"X-Request-Id: q1") == ids
    (sent,) = ledger.answers_to("q1")
    assert (sent.is_good, runs) == (is_good, 1)
    assert received.count(sent.body) >= 1


@pytest.mark.parametrize("name", list(ANSWER_FAULTS))
def test_draws_are_repeatable(name: str) -> None:
    """Guards against a seed that does not reproduce what was seen with it."""
    faults = SearcherFaults(answers=AnswerDraw((name,), seed=7))
    assert receive(faults)[0] == receive(faults)[0]


def test_refusals_echo_the_id_and_do_not_run() -> None:
    """Guards against stand-ins whose refusals differ from the protocol."""
    received, ledger, runs = receive(SearcherFaults(shed=True))
    assert b"503" in received and b"X-Request-Id: q1" in received
    assert (ledger.answers_to("q1")[0].has_run, runs) == (False, 0)
    mismatch = b"X-Expect-Instance: i-2\r\n"
    received, _, runs = receive(SearcherFaults(), mismatch)
    assert b"421" in received and b"X-Request-Id: q1" in received
    assert runs == 0


def test_bodies_differ_between_answers() -> None:
    """Guards against checks that cannot see the body of another answer."""
    stamps = ("sh00.q1.i-1.1", "sh00.q2.i-1.2", "sh01.q1.i-1.1")
    assert len({build_records(stamp) for stamp in stamps}) == len(stamps)

"""Guards the compacted view against a write that fails at any call."""

import asyncio
from functools import partial

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.compaction import read_head
from kumquatchuted.tickets.compaction import write_view
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets import records
from kumquatchuted.tickets.tests.fake_store import FakeStore
from kumquatchuted.tickets.view import apply_tickets

MOST_CALLS = 30
# A call without an answer takes all of this time.
LIMIT_S = 0.2
DOWN = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
LOST = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")


class Killed(Exception):
    """The writing process ended."""


class FaultyStore(FakeStore):
    """Meets a fault from its n-th call on.

    :param faults: by the number of the call
    :param late: calls that take effect after their answer was given up
    :param meanwhile: what other nodes do while the caller is paused
    """

    faults: dict[int, str] = {}
    calls = 0
    late: tuple = ()
    meanwhile = None

    async def _at(self, call):
        self.calls += 1
        match self.faults.get(self.calls):
            case "killed":
                raise Killed
            case "down":
                return DOWN
            case "slow":
                self.late += (call,)
                return LOST
            case "silent":
                await call()
                await asyncio.Event().wait()
            case "paused":
                await self.meanwhile()
                return await call()
            case "lost":
                await call()
                return LOST
            case _:
                return await call()

    async def get(self, kind, name):
        return await self._at(partial(super().get, kind, name))

    async def create(self, kind, name, body):
        return await self._at(partial(super().create, kind, name, body))

    async def update(self, kind, name, body, version):
        return await self._at(
            partial(super().update, kind, name, body, version)
        )

    async def delete(self, kind, name, version):
        return await self._at(partial(super().delete, kind, name, version))


def views():
    """Return the views of 50 and of 100 tickets, each of several chunks."""
    found, view, prev = [], View(), ""
    for number in range(1, 101):
        aliases = tuple(f"{number:04d}-{i:06d}" for i in range(2000))
        ticket = Ticket(number, prev, "amna", (NameState("N", aliases),))
        prev = ticket.digest()
        view = apply_tickets(view, (ticket,))
        if number % 50 == 0:
            found.append(view)
    return found


OLD, NEW = views()


async def write(store, view):
    try:
        return await write_view(store, view)
    except Killed:
        return LOST


async def compact(faults):
    store = FaultyStore()
    assert await write_view(store, OLD) is None
    store.calls, store.faults = 0, faults
    await write(store, NEW)
    store.faults = {}
    for call in store.late:
        await call()
    return store


STEP = "ticket: compact"
KILLED, DOWN_, ANSWER, SLOW, SILENT = (
    "node killed",
    "store down",
    "store answer lost after the write",
    "store slow",
    "connection silent for good",
)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param("killed", marks=pytest.mark.proves(STEP, KILLED)),
        pytest.param("down", marks=pytest.mark.proves(STEP, DOWN_)),
        pytest.param("lost", marks=pytest.mark.proves(STEP, ANSWER)),
        pytest.param("slow", marks=pytest.mark.proves(STEP, SLOW)),
        pytest.param("silent", marks=pytest.mark.proves(STEP, SILENT)),
    ],
)
def test_reader_finds_the_old_or_the_new_view_whole(fault, monkeypatch):
    """Guards against a head that names chunks which are not there."""
    monkeypatch.setattr(records, "CALL_LIMIT_S", LIMIT_S)

    async def scenario():
        seen = set()
        for call in range(1, MOST_CALLS):
            store = await compact({call: fault})
            found = await read_head(store)
            assert found in (OLD, NEW), (call, found)
            seen.add(found.number)
            await write(store, NEW)
            assert await read_head(store) == NEW, call
        assert NEW.number in seen

    asyncio.run(scenario())


@pytest.mark.proves(STEP, "node paused and resumed")
def test_writer_that_resumes_leaves_the_newer_view():
    """Guards against an older view, or none, after a pause at any call."""

    async def scenario():
        newest = []
        for call in range(1, MOST_CALLS):
            store = FaultyStore()
            store.faults = {call: "paused"}
            store.meanwhile = partial(write, store, NEW)
            await write(store, OLD)
            newest.append(NEW if store.calls >= call else OLD)
            store.faults = {}
            assert await read_head(store) == newest[-1], call
        assert NEW in newest and OLD in newest

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(
            ("lost", "lost"), marks=pytest.mark.proves(STEP, ANSWER, ANSWER)
        ),
        pytest.param(
            ("lost", "killed"), marks=pytest.mark.proves(STEP, ANSWER, KILLED)
        ),
        pytest.param(
            ("down", "killed"), marks=pytest.mark.proves(STEP, DOWN_, KILLED)
        ),
    ],
)
def test_two_faults_leave_a_view_that_can_be_read(faults):
    """Guards against a half-written view after a second fault."""

    async def scenario():
        for first in range(1, 8):
            for second in range(first + 1, 9):
                store = await compact({first: faults[0], second: faults[1]})
                assert await read_head(store) in (OLD, NEW)
                await write(store, NEW)
                assert await read_head(store) == NEW

    asyncio.run(scenario())


@pytest.mark.proves(STEP, "operators racing")
def test_two_nodes_that_compact_at_once_leave_one_whole_view():
    """Guards against chunks deleted that the other node's head names.

    Tickets of two operators at two nodes can start two compactions.
    """

    async def scenario():
        for _ in range(20):
            store = FaultyStore()
            await asyncio.gather(write(store, OLD), write(store, NEW))
            await asyncio.gather(write(store, NEW), write(store, NEW))
            assert await read_head(store) == NEW

    asyncio.run(scenario())

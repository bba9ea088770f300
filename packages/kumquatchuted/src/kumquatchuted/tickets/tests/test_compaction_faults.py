"""Guards against a damaged compacted view when a write fails at any call."""

import asyncio
from functools import partial

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.ticket import NameState
from kumquatchute_model.ticket import Ticket
from kumquatchuted.tickets.compaction import read_compacted_view
from kumquatchuted.tickets.compaction import write_compacted_view
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets import store_calls
from kumquatchuted.tickets.tests.fake_store import FakeStore
from kumquatchuted.tickets.view import apply_tickets

MAX_CALLS = 30
# Short, because every call without an answer waits for the whole timeout.
TIMEOUT_S = 0.2
UNAVAILABLE = Failure(ErrorKind.UNAVAILABLE, "down", not_run=True)
OUTCOME_UNKNOWN = Failure(ErrorKind.OUTCOME_UNKNOWN, "lost")


class WriterKilled(Exception):
    """The writing process was killed."""


class FaultyStore(FakeStore):
    """Store that fails chosen calls.

    :param faults: kind of fault by the number of the call, from 1
    :param calls: number of calls so far
    :param delayed_calls: calls that take effect only after the writer stopped
        waiting for their answer
    :param during_pause: coroutine function that does the work of other nodes
        while the writer is paused
    """

    faults: dict[int, str] = {}
    calls = 0
    delayed_calls: tuple = ()
    during_pause = None

    async def _run_call(self, call):
        self.calls += 1
        match self.faults.get(self.calls):
            case "killed":
                raise WriterKilled
            case "down":
                return UNAVAILABLE
            case "slow":
                self.delayed_calls += (call,)
                return OUTCOME_UNKNOWN
            case "silent":
                await call()
                await asyncio.Event().wait()
            case "paused":
                await self.during_pause()
                return await call()
            case "lost":
                await call()
                return OUTCOME_UNKNOWN
            case _:
                return await call()

    async def get(self, kind, name):
        return await self._run_call(partial(super().get, kind, name))

    async def create(self, kind, name, body):
        return await self._run_call(partial(super().create, kind, name, body))

    async def update(self, kind, name, body, version):
        return await self._run_call(
            partial(super().update, kind, name, body, version)
        )

    async def delete(self, kind, name, version):
        return await self._run_call(
            partial(super().delete, kind, name, version)
        )


def build_views():
    """Return the views after 50 and 100 tickets; each has several chunks."""
    found, view, prev = [], View(), ""
    for number in range(1, 101):
        aliases = tuple(f"{number:04d}-{i:06d}" for i in range(2000))
        ticket = Ticket(number, prev, "amna", (NameState("N", aliases),))
        prev = ticket.digest()
        view = apply_tickets(view, (ticket,))
        if number % 50 == 0:
            found.append(view)
    return found


OLD_VIEW, NEW_VIEW = build_views()


async def write_until_killed(store, view):
    try:
        return await write_compacted_view(store, view)
    except WriterKilled:
        return OUTCOME_UNKNOWN


async def compact_with_faults(faults):
    """Return a store after a compaction from ``OLD_VIEW`` with faults.

    Calls that the writer gave up have taken effect.
    """
    store = FaultyStore()
    assert await write_compacted_view(store, OLD_VIEW) is None
    store.calls, store.faults = 0, faults
    await write_until_killed(store, NEW_VIEW)
    store.faults = {}
    for call in store.delayed_calls:
        await call()
    return store


COMPACT_STEP = "ticket: compact"
NODE_KILLED, STORE_DOWN, ANSWER_LOST, STORE_SLOW, CONNECTION_SILENT = (
    "node killed",
    "store down",
    "store answer lost after the write",
    "store slow",
    "connection silent for good",
)


@pytest.mark.parametrize(
    "fault",
    [
        pytest.param(
            "killed", marks=pytest.mark.proves(COMPACT_STEP, NODE_KILLED)
        ),
        pytest.param(
            "down", marks=pytest.mark.proves(COMPACT_STEP, STORE_DOWN)
        ),
        pytest.param(
            "lost", marks=pytest.mark.proves(COMPACT_STEP, ANSWER_LOST)
        ),
        pytest.param(
            "slow", marks=pytest.mark.proves(COMPACT_STEP, STORE_SLOW)
        ),
        pytest.param(
            "silent", marks=pytest.mark.proves(COMPACT_STEP, CONNECTION_SILENT)
        ),
    ],
)
def test_reader_finds_the_old_or_the_new_view_complete(fault, monkeypatch):
    """Guards against a head that names chunks that do not exist.

    A node that starts would read that head and fail at its chunks on every
    retry. The fault occurs at each call of the writer in turn.
    """
    monkeypatch.setattr(store_calls, "CALL_TIMEOUT_S", TIMEOUT_S)

    async def scenario():
        numbers = set()
        for call in range(1, MAX_CALLS):
            store = await compact_with_faults({call: fault})
            found = await read_compacted_view(store)
            assert found in (OLD_VIEW, NEW_VIEW), (call, found)
            numbers.add(found.number)
            await write_until_killed(store, NEW_VIEW)
            assert await read_compacted_view(store) == NEW_VIEW, call
        assert NEW_VIEW.number in numbers

    asyncio.run(scenario())


@pytest.mark.proves(COMPACT_STEP, "node paused and resumed")
def test_writer_that_resumes_keeps_the_newer_view():
    """Guards against an older view, or none, after a pause at any call.

    While the writer is paused, another node writes a newer view and deletes
    the chunks of the older one.
    """

    async def scenario():
        newest = []
        for call in range(1, MAX_CALLS):
            store = FaultyStore()
            store.faults = {call: "paused"}
            store.during_pause = partial(write_until_killed, store, NEW_VIEW)
            await write_until_killed(store, OLD_VIEW)
            newest.append(NEW_VIEW if store.calls >= call else OLD_VIEW)
            store.faults = {}
            assert await read_compacted_view(store) == newest[-1], call
        assert NEW_VIEW in newest and OLD_VIEW in newest

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param(
            ("lost", "lost"),
            marks=pytest.mark.proves(COMPACT_STEP, ANSWER_LOST, ANSWER_LOST),
        ),
        pytest.param(
            ("lost", "killed"),
            marks=pytest.mark.proves(COMPACT_STEP, ANSWER_LOST, NODE_KILLED),
        ),
        pytest.param(
            ("down", "killed"),
            marks=pytest.mark.proves(COMPACT_STEP, STORE_DOWN, NODE_KILLED),
        ),
    ],
)
def test_two_faults_leave_a_readable_view(faults):
    """Guards against a partly written view after a second fault.

    A lost answer or an outage at one call is followed by another lost answer
    or the death of the writer at a later call.
    """

    async def scenario():
        for first in range(1, 8):
            for second in range(first + 1, 9):
                store = await compact_with_faults(
                    {first: faults[0], second: faults[1]}
                )
                assert await read_compacted_view(store) in (OLD_VIEW, NEW_VIEW)
                await write_until_killed(store, NEW_VIEW)
                assert await read_compacted_view(store) == NEW_VIEW

    asyncio.run(scenario())


@pytest.mark.proves(COMPACT_STEP, "operators racing")
def test_two_nodes_that_compact_at_once_leave_one_complete_view():
    """Guards against deletion of chunks that the head of another node names.

    Tickets of two operators on two nodes can start two compactions.
    """

    async def scenario():
        for _ in range(20):
            store = FaultyStore()
            await asyncio.gather(
                write_until_killed(store, OLD_VIEW),
                write_until_killed(store, NEW_VIEW),
            )
            await asyncio.gather(
                write_until_killed(store, NEW_VIEW),
                write_until_killed(store, NEW_VIEW),
            )
            assert await read_compacted_view(store) == NEW_VIEW

    asyncio.run(scenario())

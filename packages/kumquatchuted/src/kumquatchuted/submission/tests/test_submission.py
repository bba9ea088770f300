"""Tests at-most-once execution under faults, in virtual time."""

import asyncio
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import Any

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.query import SubmissionOutcome
from kumquatchute_model.shards import Searcher
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.mailbox import ask
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.submission.messages import StopSubmissions
from kumquatchuted.submission.messages import SubmissionCall
from kumquatchuted.submission.task import SubmissionTask
from kumquatchuted.submission.tests.fakes_submission import AttemptBehaviour
from kumquatchuted.submission.tests.fakes_submission import FakeSearchers
from kumquatchuted.submission.tests.fakes_submission import FakeStore
from kumquatchuted.submission.tests.fakes_submission import PlatformObjects
from kumquatchuted.submission.tests.fakes_submission import StoreFault
from kumquatchuted.targets.tests.virtual_loop import run_in_virtual_time
from kumquatchuted.tickets.messages import View
from kumquatchuted.tickets.messages import ViewChanged

WALL_S = 1_800_000_000.0
SEARCHERS = tuple(
    Searcher(name, "quiz", "", host, dc)
    for name, host, dc in (("s1", "h1", "north"), ("s2", "h2", "south"))
)
FIXED_EXAMPLES = settings(max_examples=400, deadline=None, derandomize=True)


def key_at(wall_s: float, number: int = 0) -> str:
    """Return a UUIDv7 with a timestamp in seconds since 1970."""
    millis = int(wall_s * 1000)
    text = f"{millis:012x}7{number:03x}8{0:015x}"
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:]}"


class SimulatedNode:
    """A submission task with a store client of its own.

    ``kill_step`` is the number of the step at which it is killed; steps are
    counted before and after requests to the store and attempts.
    """

    def __init__(
        self,
        number: int,
        objects: PlatformObjects,
        runs: list[str],
        faults: list[StoreFault],
        behaviours: list[AttemptBehaviour],
        kill_step: int | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.searchers = FakeSearchers(list(behaviours), runs)
        self.steps_left = kill_step
        store = FakeStore(objects, list(faults), self._step)
        self.task = SubmissionTask(
            f"n{number}",
            "1",
            store,
            self._post,
            lambda placement, searcher: Member("owner", "1", "north", ""),
            self.loop.time,
            lambda: WALL_S + self.loop.time(),
            Random(number),
        )
        self.send = self.task.mailbox.post
        listed = MappingProxyType({s.name: s for s in SEARCHERS})
        self.send(CatalogChanged(Catalog(searchers=listed)))
        member = Member(f"n{number}", "1", "north", "")
        self.send(
            PlacementChanged(
                Placement(member.node, "1", Membership(1, (member,)))
            )
        )
        self.send(CurrentUntil(self.loop.time() + 1e9))
        self.running = asyncio.create_task(self.task.run())

    def _post(self, message: Any) -> None:
        self._step()
        if self.running.cancelling():
            return
        self.searchers.post(message)
        self._step()

    def _step(self) -> None:
        if self.steps_left is None:
            return
        self.steps_left -= 1
        if self.steps_left == 0:
            self.running.cancel()

    async def call(
        self, key: str, deadline_s: float = 1.0, payload: str = "p"
    ) -> Any:
        """Submit; return None if the node was killed before it answered."""
        request = SubmissionCall(
            "c", "quiz", key, payload, int(deadline_s * 1000), self.loop.time()
        )
        call_task = asyncio.create_task(ask(self.send, request))
        done, _ = await asyncio.wait({call_task}, timeout=deadline_s + 30)
        if call_task not in done:
            call_task.cancel()
            return None
        return call_task.result()


@dataclass(frozen=True)
class RequestPlan:
    """A request of one caller to a node of its own, with faults.

    :param start_s: seconds until the request is sent
    :param faults: of the node's requests to the store, in order
    :param behaviours: of the searchers that get its attempts, in order
    :param kill_step: step at which the node is killed, None for never
    """

    start_s: float
    faults: tuple[StoreFault, ...]
    behaviours: tuple[AttemptBehaviour, ...]
    kill_step: int | None


REQUEST_PLANS = st.builds(
    RequestPlan,
    st.sampled_from([0.0, 0.001, 0.006, 0.02, 0.5, 2.0, 8.0, 40.0]),
    st.lists(st.sampled_from(StoreFault), max_size=5).map(tuple),
    st.lists(st.sampled_from(AttemptBehaviour), max_size=1).map(tuple),
    st.none() | st.integers(1, 9),
)


async def run_plans(
    plans: list[RequestPlan],
) -> tuple[list[Any], list[str], list[SimulatedNode]]:
    """Send requests with one key and wait until all cleanups have ended.

    :returns: results, attempts that ran, and the nodes
    """
    objects, runs = PlatformObjects(), []
    loop = asyncio.get_running_loop()
    key = key_at(WALL_S + loop.time())
    nodes = [
        SimulatedNode(
            number, objects, runs, plan.faults, plan.behaviours, plan.kill_step
        )
        for number, plan in enumerate(plans)
    ]

    async def submit(plan: RequestPlan, node: SimulatedNode) -> Any:
        await asyncio.sleep(plan.start_s)
        return await node.call(key)

    results = await asyncio.gather(*map(submit, plans, nodes))
    await asyncio.sleep(700)
    for node in nodes:
        node.running.cancel()
    await asyncio.gather(*(n.running for n in nodes), return_exceptions=True)
    return results, runs, nodes


def check_results(
    results: list[Any], runs: list[str], nodes: list[SimulatedNode]
) -> None:
    """Check that the results are true and that no attempt was sent late."""
    assert len(runs) <= 1, "the submission ran twice"
    for result, node in zip(results, nodes):
        assert node.searchers.sent_after_deadline == [], (
            "sent after the deadline"
        )
        sent = {message.attempt.attempt for message in node.searchers.sent}
        match result:
            case SubmissionOutcome(attempt=attempt):
                assert runs == [attempt]
            case Failure(not_run=True):
                assert not sent & set(runs), "ran after a not-run refusal"


# Two nodes claim an abandoned record at the same time.
CONCURRENT_CLAIMS = [
    RequestPlan(0.0, (), (AttemptBehaviour.REFUSED,), None),
    RequestPlan(5.0, (), (), None),
    RequestPlan(5.0, (), (), None),
]
# The node is paused after its claim beyond the deadline of the caller.
CLAIM_AFTER_PAUSE = [RequestPlan(0.0, (StoreFault.PAUSED,), (), None)]


@FIXED_EXAMPLES
@example(CONCURRENT_CLAIMS)
@example(CLAIM_AFTER_PAUSE)
@given(st.lists(REQUEST_PLANS, min_size=1, max_size=4))
@pytest.mark.proves("submission: claim", "store down")
@pytest.mark.proves("submission: claim", "store slow")
@pytest.mark.proves("submission: claim", "store answer lost after the write")
@pytest.mark.proves("submission: claim", "node killed")
@pytest.mark.proves("submission: claim", "node paused and resumed")
@pytest.mark.proves(
    "submission: claim",
    "store answer lost after the write",
    "store answer lost after the write",
)
@pytest.mark.proves(
    "submission: claim", "store answer lost after the write", "node killed"
)
@pytest.mark.proves("submission: send", "straggler")
@pytest.mark.proves("submission: send", "replica lost")
@pytest.mark.proves("submission: send", "connection silent for good")
@pytest.mark.proves("submission: send", "node killed")
@pytest.mark.proves("submission: record", "store down")
@pytest.mark.proves("submission: record", "store slow")
@pytest.mark.proves("submission: record", "store answer lost after the write")
@pytest.mark.proves("submission: record", "node killed")
@pytest.mark.proves(
    "submission: record", "store answer lost after the write", "node killed"
)
@pytest.mark.proves("submission: record", "store down", "node killed")
@pytest.mark.proves("submission: repeat", "store down")
@pytest.mark.proves("submission: repeat", "store slow")
@pytest.mark.proves("submission: repeat", "store answer lost after the write")
@pytest.mark.proves("submission: repeat", "node killed")
@pytest.mark.proves("submission: repeat", "node paused and resumed")
def test_submission_runs_at_most_once(plans):
    """Guards against a second run and a wrong "not run".

    Covers concurrent claims by several nodes, repeats, lost responses, late
    effects of writes, and nodes that are killed at any step or paused.
    """
    check_results(*run_in_virtual_time(run_plans(plans)))


def run_single(
    *faults: StoreFault, behaviours: tuple = (), **plan: Any
) -> Any:
    """Run one request and return its result and the attempts that ran."""

    async def main() -> tuple[Any, list[str]]:
        plans = [RequestPlan(0.0, faults, behaviours, plan.get("kill_step"))]
        results, runs, _ = await run_plans(plans)
        return results[0], runs

    return run_in_virtual_time(main())


@pytest.mark.proves("submission: claim", "store answer lost after the write")
def test_lost_claim_response_is_read_back_and_runs():
    """Guards against a refusal of a request whose claim is in the store."""
    result, runs = run_single(StoreFault.RESPONSE_LOST)
    assert isinstance(result, SubmissionOutcome)
    assert len(runs) == 1


@pytest.mark.proves("submission: claim", "store down")
def test_store_down_is_refused_as_not_run():
    """Guards against a run without a claim; a repeat would run as well."""
    result, runs = run_single(StoreFault.DOWN)
    assert (result.kind, result.not_run) == (ErrorKind.UNAVAILABLE, True)
    assert runs == []


def test_repeat_gets_the_recorded_outcome():
    """Guards against "outcome unknown" although the outcome is recorded."""
    first = RequestPlan(0.0, (), (), None)
    repeat = RequestPlan(5.0, (), (), None)

    async def main() -> None:
        results, runs, _ = await run_plans([first, repeat])
        assert results[0] == results[1]
        assert len(runs) == 1

    run_in_virtual_time(main())


def test_refused_attempt_can_be_claimed_again():
    """Guards against a key that can never run after a "not run"."""
    first = RequestPlan(0.0, (), (AttemptBehaviour.REFUSED,), None)
    repeat = RequestPlan(5.0, (), (), None)

    async def main() -> None:
        results, runs, _ = await run_plans([first, repeat])
        assert results[0].not_run
        assert isinstance(results[1], SubmissionOutcome)
        assert len(runs) == 1

    run_in_virtual_time(main())


@pytest.mark.proves("submission: claim", "store slow")
@pytest.mark.proves("submission: repeat", "store slow")
def test_claim_that_appears_late_is_abandoned():
    """Guards against a key that stays blocked by a claim that is not run."""
    lost = (StoreFault.LATE_EFFECT,) + (StoreFault.REQUEST_LOST,) * 9
    first = RequestPlan(0.0, lost, (), None)
    repeat = RequestPlan(40.0, (), (), None)

    async def main() -> None:
        results, runs, _ = await run_plans([first, repeat])
        assert results[0].kind is ErrorKind.UNAVAILABLE
        assert isinstance(results[1], SubmissionOutcome)
        assert len(runs) == 1

    run_in_virtual_time(main())


@pytest.mark.proves("submission: record", "straggler")
@pytest.mark.proves("submission: repeat", "straggler")
def test_outcome_after_the_deadline_is_recorded_for_repeats():
    """Guards against losing an outcome that arrives after the deadline."""
    first = RequestPlan(0.0, (), (AttemptBehaviour.LATE_RESPONSE,), None)
    repeat = RequestPlan(8.0, (), (), None)

    async def main() -> None:
        results, runs, _ = await run_plans([first, repeat])
        assert results[0].kind is ErrorKind.OUTCOME_UNKNOWN
        assert isinstance(results[1], SubmissionOutcome)
        assert len(runs) == 1

    run_in_virtual_time(main())


def run_with_node(scenario: Any) -> Any:
    """Run a scenario with one node and no faults."""

    async def main() -> None:
        objects, runs = PlatformObjects(), []
        node = SimulatedNode(0, objects, runs, [], [])
        try:
            await scenario(node, objects, runs)
        finally:
            node.running.cancel()
            await asyncio.gather(node.running, return_exceptions=True)

    run_in_virtual_time(main())


def test_key_outside_the_window_is_refused():
    """Guards against a second run after the record has been deleted."""

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        now = WALL_S + node.loop.time()
        expired = await node.call(key_at(now - 24 * 3600 - 1))
        future = await node.call(key_at(now + 301))
        other_version = await node.call("3f1c5b1e-0000-4000-8000-000000000000")
        for failure in (expired, future, other_version):
            assert failure.kind is ErrorKind.MALFORMED
        assert (expired.not_run, future.not_run) == (False, True)
        assert runs == []

    run_with_node(scenario)


def test_key_with_another_payload_is_refused():
    """Guards against answering one request with the outcome of another."""

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        key = key_at(WALL_S + node.loop.time())
        await node.call(key)
        other = await node.call(key, payload="q")
        assert other.kind is ErrorKind.MALFORMED

    run_with_node(scenario)


def test_admission_is_limited_to_20_per_second():
    """Guards against more writes than the platform's store can take.

    Leases and memberships are written to the same store.
    """

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        now = WALL_S + node.loop.time()
        for _ in range(100):
            calls = [node.call(key_at(now, i)) for i in range(10)]
            await asyncio.gather(*calls)
            now += 1
            await asyncio.sleep(0.02)
        assert len(runs) <= 20 + 20 * (node.loop.time() - 1000)
        assert len(runs) >= 20

    run_with_node(scenario)


def test_submissions_avoid_searchers_out_of_service():
    """Guards against new work for a host or data centre out of service.

    The attempt may be lost if operators then stop the host.
    """

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        now = WALL_S + node.loop.time()
        node.send(ViewChanged(View(dcs_out=frozenset({"north"}))))
        for number in range(20):
            await node.call(key_at(now, number))
        sent = {m.attempt.searcher for m in node.searchers.sent}
        assert sent == {"s2"}
        out = View(hosts_out=frozenset({"h1", "h2"}))
        node.send(ViewChanged(out))
        refused = await node.call(key_at(now, 99))
        assert (refused.kind, refused.not_run) == (ErrorKind.TARGET_OUT, True)

    run_with_node(scenario)


def test_node_that_is_not_current_refuses():
    """Guards against an attempt to a searcher that was taken out meanwhile.

    A node that is not current may lack the newest tickets and owners.
    """

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        node.send(CurrentUntil(node.loop.time()))
        refused = await node.call(key_at(WALL_S + node.loop.time()))
        assert (refused.kind, refused.not_run) == (ErrorKind.NOT_CURRENT, True)

    run_with_node(scenario)


def test_stop_waits_for_running_requests():
    """Guards against a planned stop that interrupts a running request.

    Its caller would not learn whether it ran.
    """

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        key = key_at(WALL_S + node.loop.time())
        calling = asyncio.create_task(node.call(key))
        await asyncio.sleep(0.002)
        assert await ask(node.send, StopSubmissions()) is None
        await asyncio.sleep(0.001)
        assert isinstance(calling.result(), SubmissionOutcome)
        refused = await node.call(key)
        assert (refused.kind, refused.not_run) == (ErrorKind.STOPPING, True)

    run_with_node(scenario)


def test_records_are_deleted_only_after_their_key_expires():
    """Guards against unlimited growth of records, and a second run.

    Keys are accepted for 24 h. A repeat whose record is deleted before that
    would run again.
    """

    async def scenario(
        node: SimulatedNode, objects: PlatformObjects, runs: list[str]
    ) -> None:
        created_at = WALL_S + node.loop.time()
        for number in range(30):
            await node.call(key_at(created_at, number))
            await asyncio.sleep(0.1)
        await asyncio.sleep(24 * 3600)
        assert len(objects.bodies) == len(runs)
        await asyncio.sleep(1200)
        assert objects.bodies == {}
        times = [at for at, _ in objects.deleted]
        gaps = [later - earlier for earlier, later in zip(times, times[1:])]
        assert min(gaps) >= 0.05

    run_with_node(scenario)

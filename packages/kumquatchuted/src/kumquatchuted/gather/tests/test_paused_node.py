"""Queries on a node that does not run for a while."""

from collections import Counter
import itertools
import random

import pytest

from kumquatchuted.gather.messages import Finish
from kumquatchuted.gather.task import GatherTask
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network
from kumquatchuted.searchers.tests.virtual_network import start_searchers

SHARDS = ("s0", "s1", "s2", "s3")
OBJECTIVE_S = 0.3
SOFT_DEADLINE_S = 0.9 * OBJECTIVE_S
TIMEOUT_S = 2.0
RESPONSE_S = 0.011
PAUSE_AT_S = 0.005
# Longer than the delay of a hedge, the soft deadline and the deadline.
PAUSES_S = (0.12, 0.34, 2.5)
# The searchers of the first shard.
SILENT_PORTS = (1, 2)
# Time that a query has left when the node stops.
STOP_S = 0.05
# Seeds of the order in which callbacks run that are ready at the same time.
SEEDS = range(20)


def play_query(
    pause_s: float,
    seed: int,
    silent_ports: tuple[int, ...] = (),
    paused_read: int | None = None,
    stopped_at_s: float | None = None,
) -> tuple[Finish, Counter[str], float]:
    """Run a query during which the node pauses once.

    :param pause_s: time for which the node does not run, in seconds
    :param silent_ports: ports of searchers that do not respond
    :param paused_read: the node pauses before the query reads the clock for
        this time, counted from 0; None if it pauses at ``PAUSE_AT_S``
    :param stopped_at_s: when the node is told to stop, and the query has
        ``STOP_S`` left; None if it is not
    :returns: result, counts of events of the node and duration in seconds
    """

    def respond(req: ReceivedRequest) -> Reply | None:
        if req.port in silent_ports:
            return None
        stamp = b"%d.%s" % (req.port, req.request_id)
        data = encode_response(200, req, stamp, b"0123456789abcdef")
        return Reply(RESPONSE_S, data)

    loop = NetworkLoop(respond, rng=random.Random(seed))
    counts: Counter[str] = Counter()
    reads = itertools.count()

    def read_clock() -> float:
        if next(reads) == paused_read:
            loop.pause(pause_s)
        return loop.time()

    async def main() -> tuple[Finish, float]:
        searchers, running = start_searchers(
            loop, build_members(SHARDS, 2), counts
        )
        shards = AllShards(SHARDS, 5, 0.5)
        route = Route(
            "r", "h", "/", True, TIMEOUT_S, OBJECTIVE_S, 0, 2, shards
        )
        head = b"GET / HTTP/1.1\r\nX-Request-Id: r1\r\n"
        started_at = loop.time()
        task = GatherTask(
            route,
            shards,
            OutgoingRequest(b"r1", b"GET", head, b""),
            started_at + SOFT_DEADLINE_S,
            started_at + TIMEOUT_S,
            searchers.mailbox.post,
            read_clock,
        )
        if paused_read is None:
            loop.call_later(PAUSE_AT_S, loop.pause, pause_s)
        if stopped_at_s is not None:
            moved = DeadlineMoved(started_at + stopped_at_s + STOP_S)
            loop.call_later(stopped_at_s, task.mailbox.post, moved)
        finish = await task.run()
        duration_s = loop.time() - started_at
        running.cancel()
        return finish, duration_s

    finish, duration_s = run_on_network(main(), loop)
    return finish, counts, duration_s


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_responses_that_arrive_during_a_pause_are_merged(
    pause_s: float,
) -> None:
    """Guards against answers without parts that the node has received.

    On a busy machine a node did not run for 0.34 s. All searchers had
    responded after 0.02 s, but the node took the first responses, found the
    soft deadline passed and answered with the minimum coverage.
    """
    for seed in SEEDS:
        finish, _, _ = play_query(pause_s, seed)
        assert finish.failure is None, seed
        assert finish.missing == 0, seed


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_pause_of_the_node_causes_no_hedges(pause_s: float) -> None:
    """Guards against hedges of attempts whose responses have arrived.

    They use up the retry budget, which is then missing for attempts on
    searchers that are slow.
    """
    for seed in SEEDS:
        _, counts, _ = play_query(pause_s, seed)
        assert not counts["repeats"], seed


@pytest.mark.parametrize("pause_s", PAUSES_S[1:])
def test_paused_node_does_not_wait_for_more_responses(pause_s: float) -> None:
    """Guards against an answer that is later than the pause makes it.

    The searchers of one shard do not respond. After the soft deadline the node
    answers with the other parts as soon as it runs.
    """
    for seed in SEEDS:
        finish, _, duration_s = play_query(pause_s, seed, SILENT_PORTS)
        assert finish.failure is None, seed
        assert finish.missing == 1, seed
        assert duration_s == pytest.approx(pause_s + PAUSE_AT_S), seed


@pytest.mark.parametrize("silent_ports", [(), SILENT_PORTS])
@pytest.mark.parametrize("paused_read", range(20))
def test_soft_deadline_that_passes_beside_a_decision_ends_the_query(
    paused_read: int, silent_ports: tuple[int, ...]
) -> None:
    """Guards against a query that misses its soft deadline.

    The node pauses before any read of the clock. If the soft deadline passed
    between a decision and the choice of the next time to wake up, the query
    waited for its deadline of 2 s.
    """
    for seed in SEEDS:
        finish, _, duration_s = play_query(
            0.34, seed, silent_ports, paused_read
        )
        assert finish.failure is None, seed
        assert finish.missing == bool(silent_ports), seed
        assert duration_s < SOFT_DEADLINE_S + 0.34 + RESPONSE_S, seed


def test_responses_are_merged_if_the_node_stops_before_its_pause() -> None:
    """Guards against a deadline that a stop has moved into the pause.

    The message that moves it is handled after the pause, when the deadline has
    passed.
    """
    for seed in SEEDS:
        finish, _, _ = play_query(0.12, seed, stopped_at_s=PAUSE_AT_S)
        assert finish.failure is None, seed
        assert finish.missing == 0, seed

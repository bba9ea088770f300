"""Requests to one searcher on a node that does not run for a while."""

from collections import Counter
import random

import pytest

from kumquatchuted.forward.decide import ForwardResult
from kumquatchuted.forward.task import ForwardTask
from kumquatchuted.retries.messages import DeadlineMoved
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.searchers.messages import OutgoingRequest
from kumquatchuted.searchers.tests.virtual_network import build_members
from kumquatchuted.searchers.tests.virtual_network import encode_response
from kumquatchuted.searchers.tests.virtual_network import NetworkLoop
from kumquatchuted.searchers.tests.virtual_network import ReceivedRequest
from kumquatchuted.searchers.tests.virtual_network import Reply
from kumquatchuted.searchers.tests.virtual_network import run_on_network
from kumquatchuted.searchers.tests.virtual_network import start_searchers

SERVICE = "console"
OBJECTIVE_S = 0.3
TIMEOUT_S = 2.0
RESPONSE_S = 0.011
PAUSE_AT_S = 0.005
# Longer than the delay of a hedge, and longer than the deadline.
PAUSES_S = (0.12, 2.5)
# Time that a request has left when the node stops.
STOP_S = 0.05
# Seeds of the order in which callbacks run that are ready at the same time.
SEEDS = range(20)


def play_request(
    pause_s: float,
    seed: int,
    idempotent: bool,
    is_silent: bool = False,
    stopped_at_s: float | None = None,
) -> tuple[ForwardResult, Counter[str], float]:
    """Run a request during which the node pauses once.

    :param pause_s: time for which the node does not run, in seconds
    :param is_silent: whether no searcher responds
    :param stopped_at_s: when the node is told to stop, and the request has
        ``STOP_S`` left; None if it is not
    :returns: result, counts of events of the node and duration in seconds
    """

    def respond(req: ReceivedRequest) -> Reply | None:
        if is_silent:
            return None
        return Reply(RESPONSE_S, encode_response(200, req, b"stamp", b"done"))

    loop = NetworkLoop(respond, rng=random.Random(seed))
    counts: Counter[str] = Counter()

    async def main() -> tuple[ForwardResult, float]:
        searchers, running = start_searchers(
            loop, build_members((SERVICE,), 3), counts
        )
        route = Route(
            "r",
            "h",
            "/",
            idempotent,
            TIMEOUT_S,
            OBJECTIVE_S,
            0,
            2,
            OneService(SERVICE),
        )
        head = b"GET / HTTP/1.1\r\nX-Request-Id: r1\r\n"
        started_at = loop.time()
        task = ForwardTask(
            route,
            SERVICE,
            OutgoingRequest(b"r1", b"GET", head, b""),
            started_at + TIMEOUT_S,
            searchers.mailbox.post,
            loop.time,
        )
        loop.call_later(PAUSE_AT_S, loop.pause, pause_s)
        if stopped_at_s is not None:
            moved = DeadlineMoved(started_at + stopped_at_s + STOP_S)
            loop.call_later(stopped_at_s, task.mailbox.post, moved)
        result = await task.run()
        duration_s = loop.time() - started_at
        running.cancel()
        return result, duration_s

    result, duration_s = run_on_network(main(), loop)
    return result, counts, duration_s


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_response_that_arrives_during_a_pause_is_relayed(
    pause_s: float, idempotent: bool
) -> None:
    """Guards against a failure although the response has arrived.

    After the pause, the timer of the deadline and the response are due in the
    same turn of the event loop, in any order.
    """
    for seed in SEEDS:
        result, _, duration_s = play_request(pause_s, seed, idempotent)
        assert result.failure is None, seed
        assert duration_s == pytest.approx(pause_s + PAUSE_AT_S), seed


@pytest.mark.parametrize("pause_s", PAUSES_S)
def test_pause_of_the_node_causes_no_hedge(pause_s: float) -> None:
    """Guards against a hedge of an attempt whose response has arrived.

    It uses up the retry budget and sends a second request to a searcher.
    """
    for seed in SEEDS:
        _, counts, _ = play_request(pause_s, seed, idempotent=True)
        assert not counts["repeats"], seed


@pytest.mark.parametrize("idempotent", [True, False])
def test_response_is_relayed_if_the_node_stops_before_its_pause(
    idempotent: bool,
) -> None:
    """Guards against a deadline that a stop has moved into the pause."""
    for seed in SEEDS:
        result, counts, _ = play_request(
            0.12, seed, idempotent, stopped_at_s=PAUSE_AT_S
        )
        assert result.failure is None, seed
        assert not counts["repeats"], seed


@pytest.mark.parametrize("idempotent", [True, False])
def test_paused_node_does_not_wait_for_a_response(idempotent: bool) -> None:
    """Guards against a failure that is later than the pause makes it."""
    for seed in SEEDS:
        result, _, duration_s = play_request(
            2.5, seed, idempotent, is_silent=True
        )
        assert result.failure is not None, seed
        assert duration_s == pytest.approx(2.5 + PAUSE_AT_S), seed

"""Links of a node that does not run for a while."""

import asyncio
import time

import pytest
import zmq

from kumquatchuted.peers.codec import encode
from kumquatchuted.peers.link import HEARTBEAT_INTERVAL_S
from kumquatchuted.peers.link import Link
from kumquatchuted.peers.link import RESPONSE_TIMEOUT_S
from kumquatchuted.peers.messages import LinkDown
from kumquatchuted.peers.messages import LinkUp
from kumquatchuted.peers.messages import PeerIdentity
from kumquatchuted.peers.messages import Pong
from kumquatchuted.peers.tests.test_links import PeerHarness
from kumquatchuted.peers.tests.test_links import run_scenario
from kumquatchuted.peers.tests.test_links import wait_until
from kumquatchuted.placement.messages import Member

PAUSE_S = RESPONSE_TIMEOUT_S + 0.5


class FakeChannel:
    """Stands for a socket; tests call ``receive``."""

    def __init__(self, sock, on_message, on_error) -> None:
        sock.close()
        self.receive = on_message

    def send(self, *frames: bytes) -> bool:
        return True

    def close(self) -> None:
        pass


class PlayedLink:
    """A link whose clock and responses are controlled by the test."""

    def __init__(self, ctx: zmq.Context) -> None:
        self.now = 100.0
        self.events: list[object] = []
        self.link = Link(
            ctx,
            PeerIdentity("n1", "i1"),
            Member("n2", "i1", "a", "127.0.0.1:1"),
            None,
            self.events.append,
            lambda confirmed: None,
            lambda exc: None,
            lambda: self.now,
        )

    def run(self, seconds: float, responds: bool) -> None:
        """Send heartbeats at their interval.

        :param responds: whether the peer responds to them
        """
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.link.send_heartbeat()
            if responds:
                pong = encode(Pong(1, 0.0))
                self.link._channel.receive([pong])
            self.now += HEARTBEAT_INTERVAL_S


@pytest.fixture
def played(monkeypatch):
    monkeypatch.setattr("kumquatchuted.peers.link.Channel", FakeChannel)
    with zmq.Context() as ctx:
        yield PlayedLink(ctx)


@pytest.mark.parametrize("before_s", [0.0, 0.2, 0.4])
def test_links_are_kept_when_the_node_was_paused(before_s: float) -> None:
    """Guards against running attempts that a paused node gives up.

    After a pause that was longer than the timeout of responses the node took
    all its links for down, although its peers had answered each heartbeat.
    """
    a, b = PeerHarness("a"), PeerHarness("b")

    async def scenario() -> None:
        a.set_peer("b", b.address)
        await wait_until(lambda: a.link_events)
        await asyncio.sleep(HEARTBEAT_INTERVAL_S + before_s)
        time.sleep(PAUSE_S)
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_S)

    run_scenario(scenario, a, b)
    assert [type(event) for event in a.link_events] == [LinkUp]


def test_time_without_running_does_not_count_against_a_peer(played) -> None:
    """Guards against the same without a real clock."""
    played.run(2.0, responds=True)
    played.now += PAUSE_S
    played.run(2.0, responds=True)
    assert [type(event) for event in played.events] == [LinkUp]


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
def test_silent_peer_is_given_up_in_time_after_a_pause(
    played, pause_s: float
) -> None:
    """Guards against a link that a pause keeps up for longer.

    The peer has ended during the pause.
    """
    played.run(2.0, responds=True)
    played.now += pause_s
    played.run(RESPONSE_TIMEOUT_S + HEARTBEAT_INTERVAL_S, responds=False)
    assert [type(event) for event in played.events] == [LinkUp, LinkDown]


def test_repeated_pauses_do_not_keep_a_silent_link_up(played) -> None:
    """Guards against a link that stays up while pauses follow each other.

    Between them the node runs for longer than the timeout in all.
    """
    played.run(2.0, responds=True)
    for _ in range(3):
        played.now += PAUSE_S
        played.run(RESPONSE_TIMEOUT_S / 2, responds=False)
    assert [type(event) for event in played.events] == [LinkUp, LinkDown]

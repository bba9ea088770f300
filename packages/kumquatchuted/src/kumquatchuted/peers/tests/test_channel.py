"""Guards against messages stuck in a socket whose event was consumed."""

import asyncio
import time

import zmq

from kumquatchuted.peers.channel import Channel
from kumquatchuted.peers.channel import MAX_MESSAGES_PER_TURN


def run_scenario(scenario) -> None:
    """Run a scenario with two connected sockets."""
    ctx = zmq.Context()
    remote = ctx.socket(zmq.DEALER)
    local = ctx.socket(zmq.DEALER)
    remote.bind("tcp://127.0.0.1:*")
    local.connect(remote.getsockopt_string(zmq.LAST_ENDPOINT))
    try:
        asyncio.run(scenario(local, remote))
    finally:
        ctx.destroy(linger=0)


async def wait_until(condition) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_message_is_received_after_a_send_consumed_its_event():
    """Guards against a message that stays unread until another one arrives.

    The descriptor signals a message once. A send before the event loop has
    handled that signal consumes it.
    """
    received = []

    async def scenario(local, remote):
        channel = Channel(local, received.append, received.append)
        channel.send(b"hello")
        await wait_until(lambda: remote.poll(0))
        # Let the loop handle the events of the connection setup.
        await asyncio.sleep(0.1)
        remote.send(b"answer")
        # Block the loop until the answer has reached the socket, so that the
        # next call on the socket is a send.
        time.sleep(0.2)
        channel.send(b"more")
        await wait_until(lambda: received)
        channel.close()

    run_scenario(scenario)
    assert received == [[b"answer"]]


def test_all_messages_of_a_large_burst_are_received():
    """Guards against messages that stay unread after a full turn.

    The descriptor signals the burst once; nothing signals the rest of it.
    """
    count = 5 * MAX_MESSAGES_PER_TURN
    received = []

    async def scenario(local, remote):
        channel = Channel(local, received.append, received.append)
        for number in range(count):
            remote.send(str(number).encode())
        time.sleep(0.2)
        await wait_until(lambda: len(received) >= count)
        channel.close()

    run_scenario(scenario)
    assert received == [[str(number).encode()] for number in range(count)]


def test_other_tasks_run_during_a_large_burst():
    """Guards against one busy peer that stops all other tasks of a node.

    Callers would wait, and the lease would not be renewed in time.
    """
    received, turns = [], []

    async def scenario(local, remote):
        channel = Channel(local, received.append, received.append)
        for _ in range(5 * MAX_MESSAGES_PER_TURN):
            remote.send(b"x")
        time.sleep(0.2)
        while len(received) < 5 * MAX_MESSAGES_PER_TURN:
            await asyncio.sleep(0)
            turns.append(len(received))
        channel.close()

    run_scenario(scenario)
    increments = [b - a for a, b in zip([0, *turns], turns)]
    # The descriptor's event and the scheduled receive may fall in one turn.
    assert max(increments) <= 2 * MAX_MESSAGES_PER_TURN


def test_exceptions_of_the_message_handler_are_reported():
    """Guards against a node that goes on after an error in a handler.

    The handler runs in a callback, and the event loop only logs an exception
    that a callback raises; no task would stop.
    """
    failed = []

    def raise_error(frames):
        raise ValueError(frames[0].decode())

    async def scenario(local, remote):
        channel = Channel(local, raise_error, failed.append)
        remote.send(b"a")
        remote.send(b"b")
        await wait_until(lambda: len(failed) == 2)
        channel.close()

    run_scenario(scenario)
    assert [str(exc) for exc in failed] == ["a", "b"]


def test_send_that_would_block_returns_false():
    """Guards against a node that is blocked while one peer is offline.

    A send that waits for the connection would block the event loop.
    """

    async def scenario(local, remote):
        unconnected = local.context.socket(zmq.DEALER)
        channel = Channel(unconnected, lambda frames: None, lambda exc: None)
        assert not channel.send(b"nobody")
        channel.close()

    run_scenario(scenario)

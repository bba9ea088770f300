"""Timeouts that a pause of the process does not turn into failures."""

import asyncio

# Turns of the event loop after a timeout. A connect that the kernel completed
# takes four until the connection is open.
GRACE_TURNS = 10
# Turns in which responses get from the sockets to the mailbox of a request.
# Those of 100 KB need no more, and the answer leaves that much later.
DELIVERY_TURNS = 4


async def wait_until_done(fut: asyncio.Future, timeout_s: float) -> bool:
    """Wait for a future, but not for longer than a timeout.

    A process that did not run for a while finds its timers and what has
    arrived meanwhile due together, and a timer needs fewer turns of the event
    loop than a result that comes from a socket. After the timeout the event
    loop therefore gets ``GRACE_TURNS`` turns, without waiting, to deliver what
    the kernel already has.

    The future is neither cancelled nor its exception raised.

    :param timeout_s: seconds
    :returns: whether the future is done
    """
    await asyncio.wait((fut,), timeout=max(0.0, timeout_s))
    for _ in range(GRACE_TURNS):
        if fut.done():
            break
        await asyncio.sleep(0)
    return fut.done()


async def await_delivery() -> None:
    """Let the responses that have arrived at sockets reach the mailboxes.

    It takes turns of the event loop, but waits for nothing.
    """
    for _ in range(DELIVERY_TURNS):
        await asyncio.sleep(0)

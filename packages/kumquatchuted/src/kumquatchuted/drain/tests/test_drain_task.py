"""Tests of the drain task in real time.

They guard against a task that waits for ever or ends the process twice.
"""

import asyncio
import time

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.settings import DrainSettings
from kumquatchute_model.settings import ListenSettings
from kumquatchute_model.settings import NodeSettings
from kumquatchute_model.settings import PlatformSettings
from kumquatchute_model.settings import Settings
from kumquatchute_model.shards import ShardMap
from kumquatchuted.catalog.messages import Catalog
from kumquatchuted.catalog.messages import CatalogChanged
from kumquatchuted.drain.inboxes import DrainInboxes
from kumquatchuted.drain.messages import ReadyChanged
from kumquatchuted.drain.messages import StopRequested
from kumquatchuted.drain.task import DrainTask
from kumquatchuted.mailbox import answer
from kumquatchuted.placement.messages import CurrentUntil
from kumquatchuted.placement.messages import LeaveMembership
from kumquatchuted.placement.messages import Member
from kumquatchuted.placement.messages import Membership
from kumquatchuted.placement.messages import Placement
from kumquatchuted.placement.messages import PlacementChanged
from kumquatchuted.placement.messages import ReleaseLease
from kumquatchuted.search.messages import StopSearches
from kumquatchuted.submission.messages import StopSubmissions
from kumquatchuted.targets.messages import StopTargets

STORE_DOWN = Failure(ErrorKind.UNAVAILABLE, "the store does not answer", True)


MEMBER = Member("n1", "i", "atl-east", "127.0.0.1:1")
MAPS = CatalogChanged(Catalog({"console": ShardMap("console", 1, 1, ())}))
ONLY_MEMBER = PlacementChanged(Placement("n1", "i", Membership(1, (MEMBER,))))


def stop_node(answer_request, signals=2, notice_s=5.0, limit_s=10.0):
    """Run a shutdown to its end.

    :returns: requests, announced readiness, calls of ``end_process``, and the
        time in seconds
    """
    cfg = Settings(
        node=NodeSettings("n1", "h1", "atl-east", "atl"),
        listen=ListenSettings("", "", ""),
        platform=PlatformSettings(""),
        dcs=("atl-east",),
        services=(),
        drain=DrainSettings(notice_s, limit_s),
    )
    requests, announced, stop_calls = [], [], []
    stopped = asyncio.Event()

    def stop():
        stop_calls.append(1)
        stopped.set()

    def post(message):
        requests.append(message.request)
        answer_request(message)

    async def scenario():
        inboxes = DrainInboxes(post, post, post, post)
        task = DrainTask(
            cfg, inboxes, (announced.append,), stop, time.monotonic
        )
        task.mailbox.post(CurrentUntil(time.monotonic() + 60))
        task.mailbox.post(MAPS)
        task.mailbox.post(ONLY_MEMBER)
        for _ in range(signals):
            task.mailbox.post(StopRequested())
        start = time.monotonic()
        running = asyncio.create_task(task.run())
        await asyncio.wait_for(stopped.wait(), 5)
        elapsed_s = time.monotonic() - start
        await asyncio.sleep(0.05)
        assert not running.done()
        running.cancel()
        return elapsed_s

    elapsed_s = asyncio.run(scenario())
    return requests, announced, stop_calls, elapsed_s


def test_second_signal_skips_the_notice_period_and_keeps_the_step_order():
    """Guards against a second signal that is ignored or skips steps.

    The stop would take the whole notice period, or the new owners would send
    while attempts still run.
    """
    requests, announced, stop_calls, elapsed_s = stop_node(
        lambda ask: answer(ask, None)
    )
    assert requests == [
        StopSearches(),
        StopSubmissions(),
        LeaveMembership(),
        StopTargets(),
        ReleaseLease(),
    ]
    assert announced == [
        ReadyChanged(False, "not current"),
        ReadyChanged(False, "no shard map is known"),
        ReadyChanged(False, "starting"),
        ReadyChanged(True),
        ReadyChanged(False, "stopping", stopping=True),
    ]
    assert stop_calls == [1]
    assert elapsed_s < 1


@pytest.mark.proves("start and stop: drain", "store down")
def test_store_down_does_not_hold_up_the_stop():
    """Guards against a stop that waits for an unavailable store.

    Leaving the membership and releasing the lease fail at once.
    """

    def answer_request(ask):
        match ask.request:
            case LeaveMembership() | ReleaseLease():
                answer(ask, STORE_DOWN)
            case _:
                answer(ask, None)

    requests, _, stop_calls, elapsed_s = stop_node(answer_request, 1, 0.1)
    assert requests[-1] == ReleaseLease()
    assert stop_calls == [1]
    assert 0.1 <= elapsed_s < 1


def test_stop_ends_at_its_limit_if_tasks_are_unresponsive():
    """Guards against a stop that hangs on a task that never answers.

    The lease must not be released, because attempts may be in flight.
    """
    requests, _, stop_calls, elapsed_s = stop_node(
        lambda ask: None, 1, 0.1, 0.5
    )
    assert ReleaseLease() not in requests
    assert stop_calls == [1]
    assert 0.4 <= elapsed_s < 1

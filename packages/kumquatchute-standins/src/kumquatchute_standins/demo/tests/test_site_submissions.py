"""Tests of submissions over connections that go silent.

They run real processes; the checks use the results of callers and the records
of searchers.
"""

import asyncio
import itertools
import time

import aiohttp
import pytest

from kumquatchute_standins.demo.tests.site_harness import executed_attempts
from kumquatchute_standins.demo.tests.site_harness import running_site
from kumquatchute_standins.demo.tests.site_harness import SILENT_CONNECTION
from kumquatchute_standins.demo.tests.site_harness import submit
from kumquatchute_standins.demo.tests.site_harness import uuid7

pytestmark = pytest.mark.timeout(150)


@pytest.mark.proves("submission: send", SILENT_CONNECTION)
@pytest.mark.proves("submission: repeat", SILENT_CONNECTION)
def test_submissions_over_silent_connections_run_at_most_once(tmp_path):
    """Guards against a second run, and against "not run" after a run.

    The node cannot tell whether a searcher runs a submission that was sent
    over a connection without responses.
    """

    async def scenario():
        outcomes = []
        async with running_site(tmp_path) as processes:
            async with aiohttp.ClientSession() as session:
                nodes = itertools.cycle(processes.site.nodes)
                # These submissions open the connections that then go silent.
                for _ in range(12):
                    await submit(session, next(nodes), uuid7(time.time()))
                await processes.control_searchers(do="hang_connections")
                for _ in range(12):
                    key = uuid7(time.time())
                    before = len(await executed_attempts(processes))
                    calls = [await submit(session, next(nodes), key)]
                    calls.append(await submit(session, next(nodes), key))
                    runs = len(await executed_attempts(processes)) - before
                    outcomes.append((calls, runs))
        for calls, runs in outcomes:
            assert runs <= 1, calls
            for status, body in calls:
                assert status == 200 and runs == 1 or status != 200, calls
            if all(body.get("not_run") for _, body in calls):
                assert runs == 0, calls
        assert any(runs for _, runs in outcomes)

    asyncio.run(scenario())

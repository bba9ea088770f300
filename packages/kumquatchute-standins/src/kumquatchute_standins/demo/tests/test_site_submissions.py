"""Tests of submissions over faulty connections to searchers.

They run real processes; the checks use the results of callers and the records
of searchers.
"""

import asyncio
from collections import Counter
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


@pytest.mark.report("late copy of an answer")
@pytest.mark.parametrize("delay_ms", [1, 10])
def test_second_copies_of_responses_are_no_results_of_submissions(
    tmp_path, delay_ms
):
    """Guards against results of other submissions and a false "not run".

    Each searcher sends its responses to calls, also refusals, a second time.
    Some copies arrive while another submission is pending.
    """

    async def scenario():
        async with running_site(tmp_path) as processes:
            await processes.control_searchers(
                do="repeat_answers", count=10_000, delay_ms=delay_ms
            )
            async with aiohttp.ClientSession() as session:
                nodes = itertools.cycle(processes.site.nodes)

                async def submit_all(caller: int):
                    outcomes = []
                    for number in range(20):
                        payload = f"{caller}-{number}"
                        key = uuid7(time.time())
                        call = await submit(session, next(nodes), key, payload)
                        outcomes.append((payload, *call))
                    return outcomes

                outcomes = await asyncio.gather(*map(submit_all, range(6)))
            executed = Counter(await executed_attempts(processes))
        return list(itertools.chain(*outcomes)), executed

    outcomes, executed = asyncio.run(scenario())
    assert max(executed.values()) == 1
    results = [
        (payload, body) for payload, status, body in outcomes if status == 200
    ]
    assert results
    for payload, body in results:
        assert body["result"] == f"done: {payload}"
        assert body["attempt"] in executed
    not_run = sum(body.get("not_run", False) for _, _, body in outcomes)
    assert len(executed) <= len(outcomes) - not_run

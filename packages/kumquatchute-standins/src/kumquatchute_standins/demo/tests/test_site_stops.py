"""Tests of planned stops while the store or searchers are faulty.

They run real processes; the checks use the results of callers and the records
of searchers.
"""

import asyncio
import signal

import pytest

from kumquatchute_standins.demo.site import SERVICE
from kumquatchute_standins.demo.tests.site_harness import change_index
from kumquatchute_standins.demo.tests.site_harness import cold_peaks
from kumquatchute_standins.demo.tests.site_harness import COLD_SLOTS
from kumquatchute_standins.demo.tests.site_harness import COLD_TARGET
from kumquatchute_standins.demo.tests.site_harness import REPARTITION
from kumquatchute_standins.demo.tests.site_harness import running_site
from kumquatchute_standins.demo.tests.site_harness import running_traffic
from kumquatchute_standins.demo.tests.site_harness import SHARD_COUNT

pytestmark = pytest.mark.timeout(150)

DRAIN = "start and stop: drain"


@pytest.mark.parametrize(
    "control",
    [
        pytest.param(
            "set_down", marks=pytest.mark.proves(DRAIN, "store down")
        ),
        pytest.param(
            "set_delay", marks=pytest.mark.proves(DRAIN, "store slow")
        ),
    ],
)
def test_planned_stop_during_a_store_fault_loses_no_request(tmp_path, control):
    """Guards against requests dropped because a handover is impossible.

    The store does not answer, or takes 700 ms, when the node releases its
    lease.
    """
    faults = {"set_down": {"mode": "hang"}, "set_delay": {"delay_ms": 700}}

    async def scenario():
        async with running_site(tmp_path) as processes:
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                await processes.control_platform(do=control, **faults[control])
                await asyncio.sleep(3)
                start_s = traffic.elapsed_s()
                processes.send_signal("n1", signal.SIGTERM)
                await processes.wait_stopped("n1")
                await asyncio.sleep(3)
                results = traffic.results_since(start_s)
        failed = [result for result in results if result.status != 200]
        assert results and not failed, failed[:5]

    asyncio.run(scenario())


@pytest.mark.proves(DRAIN, COLD_TARGET)
@pytest.mark.proves(DRAIN, "replica lost")
@pytest.mark.proves(DRAIN, REPARTITION)
@pytest.mark.proves(DRAIN, "target leaving")
def test_planned_stops_during_target_faults_lose_no_request(tmp_path):
    """Guards against a stop that drops requests in place of retrying them.

    Searchers restart, stop listening, drain or change their index meanwhile.
    """
    first_replicas = [f"{SERVICE}-{i}a" for i in range(SHARD_COUNT)]
    second_replicas = [f"{SERVICE}-{i}b" for i in range(SHARD_COUNT)]

    async def scenario():
        async with running_site(tmp_path) as processes:
            control = processes.control_searchers
            faults = (
                lambda: control(do="restart", searchers=first_replicas),
                lambda: control(
                    do="set_up", up=False, searchers=first_replicas[:2]
                ),
                lambda: change_index(processes, 2),
                lambda: control(
                    do="set_draining", searchers=second_replicas[3:]
                ),
            )
            async with running_traffic(processes) as traffic:
                await asyncio.sleep(3)
                start_s = traffic.elapsed_s()
                for node, fault in zip(processes.site.nodes, faults):
                    processes.send_signal(node.name, signal.SIGTERM)
                    await fault()
                    assert await processes.wait_stopped(node.name) == 0
                    await control(
                        do="set_up", up=True, searchers=first_replicas[:2]
                    )
                    await processes.start_node(node)
                    await processes.wait_ready(node)
                    await asyncio.sleep(1)
                results = traffic.results_since(start_s)
            peaks = await cold_peaks(processes)
        failed = [result for result in results if result.status != 200]
        assert results and not failed, failed[:5]
        assert max(peaks.values()) <= COLD_SLOTS, peaks

    asyncio.run(scenario())

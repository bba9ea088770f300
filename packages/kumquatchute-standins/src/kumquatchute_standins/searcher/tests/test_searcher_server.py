"""Tests of the searcher stand-in over HTTP: target protocol and faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress

import aiohttp
import pytest

from kumquatchute_standins.platform.server import PlatformServer
from kumquatchute_standins.searcher.config import Document
from kumquatchute_standins.searcher.config import FleetConfig
from kumquatchute_standins.searcher.config import IndexData
from kumquatchute_standins.searcher.config import PlatformEndpoint
from kumquatchute_standins.searcher.config import SearcherConfig
from kumquatchute_standins.searcher.config import ServiceTimeDistribution
from kumquatchute_standins.searcher.config import ShardData
from kumquatchute_standins.searcher.controls import HangConnections
from kumquatchute_standins.searcher.controls import LoseAnswers
from kumquatchute_standins.searcher.controls import RepeatAnswers
from kumquatchute_standins.searcher.controls import Restart
from kumquatchute_standins.searcher.controls import SetDraining
from kumquatchute_standins.searcher.controls import SetUp
from kumquatchute_standins.searcher.fleet import Fleet

SERVICE_TIMES = ServiceTimeDistribution(median_ms=20, sigma=0.01, tail=0)
SHARD = ShardData(
    "s0",
    ("a",),
    (Document("d1", "Jon Smith"), Document("d2", "Ann Smith")),
)

Scenario = Callable[[Fleet, aiohttp.ClientSession], Awaitable[None]]


def run(
    scenario: Scenario, endpoint: PlatformEndpoint | None = None, **overrides
):
    """Run a scenario against a fleet with one searcher named ``a``."""

    async def main() -> None:
        fields = {"starts_warm": True, "times": SERVICE_TIMES} | overrides
        fleet = Fleet(
            FleetConfig(
                (SearcherConfig("a", "console", **fields),),
                (IndexData("console", 1, 1, (SHARD,)),),
                platform=endpoint,
            )
        )
        await fleet.start()
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with aiohttp.ClientSession(
                f"http://{fleet.searchers['a'].address}", timeout=timeout
            ) as http:
                await scenario(fleet, http)
        finally:
            await fleet.stop()

    asyncio.run(main())


async def search(http, attempt="x", **fields):
    body = {
        "attempt": attempt,
        "shard": "s0",
        "index_version": 1,
        "map_version": 1,
        "names": ["JON smith"],
        "limit": 10,
        "deadline_ms": 400,
    } | fields
    async with http.post("/search", json=body) as resp:
        return resp.status, await resp.json()


def test_search_matches_any_name_in_any_case():
    """Guards against hits that depend on upper and lower case."""

    async def scenario(fleet, http):
        status, body = await search(http, names=["smith", "JON SMITH"])
        assert status == 200
        assert [hit["doc"] for hit in body["hits"]] == ["d1", "d2"]
        assert (body["docs"], body["cold"], body["busy"]) == (2, False, 0)

    run(scenario)


def test_other_version_or_shard_has_not_run():
    """Guards against responses from another index than the requested one.

    A node whose shard map is old, or wrong, would merge hits of two versions.
    """

    async def scenario(fleet, http):
        status, body = await search(http, index_version=2)
        assert (status, body["kind"]) == (409, "wrong_version")
        assert body["index_version"] == 1
        assert (await search(http, shard="s9"))[0] == 404
        records = (await fleet.records("a")).records
        assert [record.started for record in records] == [None, None]

    run(scenario)


def test_cold_searcher_fails_over_its_limit_and_warms_up():
    """Guards against a cold searcher that accepts any load.

    Nodes that send more than its slots while cold would pass the tests.
    """

    async def scenario(fleet, http):
        first, second = await asyncio.gather(
            search(http, "x1"), search(http, "x2")
        )
        assert sorted((first[0], second[0])) == [200, 500]
        for number in range(2):
            assert (await search(http, f"y{number}"))[0] == 200
        responses = await asyncio.gather(search(http), search(http))
        assert [status for status, _ in responses] == [200, 200]
        records = await fleet.records("a")
        assert (records.cold_peak, records.peak) == (2, 2)
        cold = [record.cold for record in records.records]
        assert cold == 4 * [True] + 2 * [False]

    run(scenario, starts_warm=False, warm_after=3)


def test_overload_restarts_the_warm_up():
    """Guards against a cold start that overload does not prolong.

    Nodes that overload a cold searcher would pass as soon as it is warm.
    """

    async def scenario(fleet, http):
        assert (await search(http))[0] == 200
        await asyncio.gather(search(http), search(http))
        load = await (await http.get("/load")).json()
        assert load["cold"]

    run(scenario, starts_warm=False, warm_after=2)


def test_warm_searcher_queues_then_sheds():
    """Guards against a queue without a limit.

    No test would cover nodes whose searcher sheds.
    """

    async def scenario(fleet, http):
        responses = await asyncio.gather(*(search(http) for _ in range(4)))
        statuses = sorted(status for status, _ in responses)
        assert statuses == [200, 200, 200, 503]
        assert (await fleet.records("a")).peak == 2

    run(scenario, queue=1)


def test_cancel_frees_the_slot():
    """Guards against cancelled hedges that keep a slot occupied."""

    async def scenario(fleet, http):
        slow = asyncio.create_task(search(http, "slow"))
        await asyncio.sleep(0.05)
        resp = await http.post("/cancel", json={"attempt": "slow"})
        assert (await resp.json())["cancelled"]
        assert (await slow)[0] == 499
        load = await (await http.get("/load")).json()
        assert load["in_flight"] == 0

    run(scenario, times=ServiceTimeDistribution(median_ms=300, tail=0))


def test_attempt_cancelled_before_it_arrives_is_refused():
    """Guards against an attempt that runs after its cancellation.

    The cancellation arrives before the attempt, over another connection.
    """

    async def scenario(fleet, http):
        resp = await http.post("/cancel", json={"attempt": "late"})
        body = await resp.json()
        records = await fleet.records("a")
        assert body == {
            "cancelled": False,
            "incarnation": records.incarnation,
            "attempt": "late",
        }
        status, body = await search(http, "late")
        assert (status, body["not_run"]) == (499, True)

    run(scenario)


def test_submission_that_runs_is_not_cancelled():
    """Guards against a submission that runs although reported cancelled."""

    async def scenario(fleet, http):
        body = {"attempt": "x1", "payload": "p"}
        call = asyncio.create_task(http.post("/submit", json=body))
        await asyncio.sleep(0.01)
        resp = await http.post("/cancel", json={"attempt": "x1"})
        assert (resp.status, (await call).status) == (409, 200)

    # Long enough to be running when the cancellation arrives.
    run(scenario, times=ServiceTimeDistribution(median_ms=300, tail=0))


def test_work_stops_at_its_deadline():
    """Guards against work that continues after its deadline.

    Its caller no longer waits, and it occupies a slot.
    """

    async def scenario(fleet, http):
        assert (await search(http, deadline_ms=5))[0] == 504

    run(scenario)


def test_restart_resets_connections_and_changes_the_incarnation():
    """Guards against a restart that a client cannot detect.

    The connections or the incarnation stay the same, so a node goes on sending
    at the warm limit.
    """

    async def scenario(fleet, http):
        old_incarnation = (await search(http))[1]["incarnation"]
        call = asyncio.create_task(search(http))
        await asyncio.sleep(0.005)
        await fleet.apply_control(Restart())
        with pytest.raises(aiohttp.ClientError):
            await call
        _, body = await search(http)
        assert body["incarnation"] != old_incarnation
        assert body["cold"]

    run(scenario)


def test_hung_connections_stay_silent_while_new_ones_work():
    """Guards against a hang that closes connections or affects new ones."""

    async def scenario(fleet, http):
        assert (await search(http))[0] == 200
        await fleet.apply_control(HangConnections())
        with pytest.raises(TimeoutError):
            await search(http, "hung")
        assert (await search(http, "new"))[0] == 200
        attempts = [r.attempt for r in (await fleet.records("a")).records]
        assert "hung" not in attempts

    run(scenario)


def test_connections_over_the_limit_are_reset():
    """Guards against a connection limit that is not enforced.

    Nodes that open more connections than allowed would pass the tests.
    """

    async def scenario(fleet, http):
        calls = (search(http) for _ in range(3))
        responses = await asyncio.gather(*calls, return_exceptions=True)
        failed = [r for r in responses if isinstance(r, aiohttp.ClientError)]
        assert len(failed) == 1
        records = await fleet.records("a")
        assert (records.conns_peak, records.conns_refused) == (2, 1)

    run(scenario, max_conns=2)


def test_draining_finishes_what_runs_and_refuses_the_rest():
    """Guards against draining that interrupts running calls.

    New calls are refused, so that the end of the process interrupts none.
    """

    async def scenario(fleet, http):
        call = asyncio.create_task(search(http))
        await asyncio.sleep(0.01)
        await fleet.apply_control(SetDraining())
        assert (await call)[0] == 200
        status, body = await search(http)
        assert (status, body["kind"]) == (503, "draining")

    run(scenario)


def test_lost_answer_of_a_submission_is_recorded_as_executed():
    """Guards against an execution that is missing in the records.

    Its response was lost, and the submission is sent again: without the first
    execution in the records, a test would not notice that it ran twice.
    """

    async def scenario(fleet, http):
        await fleet.apply_control(LoseAnswers(1))
        body = {"attempt": "x1", "payload": "p"}
        with pytest.raises(aiohttp.ClientError):
            await http.post("/submit", json=body)
        assert (await http.post("/submit", json=body)).status == 200
        assert (await fleet.records("a")).executed == ("x1", "x1")

    run(scenario)


def test_down_searcher_refuses_connections_and_returns_cold():
    """Guards against a stopped searcher that still responds.

    When it listens again it is cold, like a process that was restarted.
    """

    async def scenario(fleet, http):
        await fleet.apply_control(SetUp(False))
        with pytest.raises(aiohttp.ClientConnectorError):
            await search(http)
        await fleet.apply_control(SetUp(True))
        assert (await search(http))[1]["cold"]

    run(scenario)


def test_fleet_publishes_its_searchers_and_shard_maps():
    """Guards against published objects with missing or wrong fields.

    Nodes could not read them, or would send to a searcher that drains.
    """

    async def main():
        platform = PlatformServer()
        await platform.start()
        fleet = Fleet(
            FleetConfig(
                (SearcherConfig("a", "console", dc="atl-north"),),
                (IndexData("console", 3, 2, (SHARD,)),),
                platform=PlatformEndpoint(platform.url),
            )
        )
        await fleet.start()
        await fleet.apply_control(SetDraining())
        async with aiohttp.ClientSession(platform.url) as http:
            name = "/objects/shardmaps/shardmap-console"
            spec = (await (await http.get(name)).json())["spec"]
            entry = await (await http.get("/objects/servers/a")).json()
        await fleet.stop()
        await platform.stop()
        shard = {"shard": "s0", "documents": 2, "replicas": ["a"]}
        assert spec["shards"] == [shard]
        assert entry["spec"]["zone"] == "atl-north"
        assert entry["spec"]["state"] == "draining"

    asyncio.run(main())


def test_restarted_searcher_runs_no_call_to_the_old_process():
    """Guards against two requests at once on a cold searcher.

    The second one was read from a connection of the old process and then run
    by the new one, which no caller can prevent.
    """

    async def scenario(fleet, http):
        sent: list[str] = []

        async def send_all(number: int) -> None:
            with suppress(aiohttp.ClientError, TimeoutError):
                for i in range(100):
                    sent.append(f"{number}-{i}")
                    await search(http, sent[-1])

        for i in range(20):
            calls = [asyncio.create_task(send_all(j)) for j in range(40)]
            await asyncio.sleep(0.02)
            sent_before_restart = set(sent)
            await fleet.apply_control(Restart())
            await asyncio.gather(*calls)
            # Calls that still run are recorded when they end.
            await asyncio.sleep(0.05)
            records = await fleet.records("a")
            late = [
                record.attempt
                for record in records.records
                if record.incarnation == records.incarnation
                and record.attempt in sent_before_restart
            ]
            assert not late, (i, late)
            sent.clear()

    run(
        scenario,
        slots=40,
        times=ServiceTimeDistribution(1.0, 0.5, 0.0),
        max_conns=99,
    )


def test_each_response_names_the_attempt_of_its_request():
    """Guards against responses that no node can match to its requests.

    Nodes count a response without the name as one to another request.
    """

    async def scenario(fleet, http):
        assert (await search(http, "x1"))[1]["attempt"] == "x1"
        assert (await search(http, "x2", shard="s9"))[1]["attempt"] == "x2"
        call = {"attempt": "x3", "payload": "p"}
        for path in ("/submit", "/cancel"):
            resp = await http.post(path, json=call)
            assert (await resp.json())["attempt"] == "x3"
        for path in ("/health", "/load"):
            resp = await http.get(path, params={"attempt": "x4"})
            assert (await resp.json())["attempt"] == "x4"

    run(scenario)


def test_repeated_answer_is_sent_twice_on_its_connection():
    """Guards against a fault that no node meets.

    The second copy has to be a whole response that a client accepts, on a
    connection that stays open.
    """

    async def scenario(fleet, http):
        await fleet.apply_control(RepeatAnswers(1, 20.0))
        host, _, port = fleet.searchers["a"].address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        body = b'{"attempt": "x1", "payload": "p"}'
        writer.write(
            b"POST /submit HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            % len(body)
            + body
        )
        bodies = []
        for _ in range(2):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            assert head.startswith(b"http/1.1 200 ")
            length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
            bodies.append(await reader.readexactly(int(length)))
        assert bodies[0] == bodies[1]
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        writer.close()
        assert (await fleet.records("a")).executed == ("x1",)

    run(scenario)


@pytest.mark.parametrize("path", ["/search", "/submit", "/cancel", "/control"])
def test_deeply_nested_call_is_refused(path):
    """Guards against an internal error for a call that cannot be decoded."""

    async def scenario(fleet, http):
        deep = b'{"other":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
        resp = await http.post(path, data=deep)
        assert (resp.status, (await resp.json())["kind"]) == (400, "malformed")

    run(scenario)

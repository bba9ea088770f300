"""A searcher of one shard fails part of its requests with a status of 4xx."""

import asyncio
from pathlib import Path

from standins import HOST
from standins import manifest
from standins import request
from standins import run_case
from standins import Site

SHARDS = 8
TOP_K = 5
QUERIES = 60
FAILING_SHARE = 0.45
FAILURE = b"the index of this shard is being rebuilt, ask again later......."


def records(run):
    """Return ten records of 16 bytes."""
    seed = f"{run.searcher}/{run.request_id}"
    return b"".join(f"{n:04d}{seed}"[:16].encode() for n in range(10))


async def case(folder, trouble):
    site = Site(folder, ["pkc-a", "pkc-a", "pkc-b", "pkc-c"])
    shards = [f"trainer-desk-{n}" for n in range(SHARDS)]
    stamps = {}
    failures = {}

    def respond(searcher, fails):
        def answer(run):
            stamp = searcher.stamp(run)
            fraction = (len(searcher.runs) * 37 % 100) / 100
            if fails and fraction < FAILING_SHARE:
                failures[stamp] = run.request_id
                status = (404, 429)[len(failures) % 2]
                return status, {"X-Server-Stamp": stamp}, FAILURE
            stamps[stamp] = run.request_id
            return 200, {"X-Server-Stamp": stamp}, records(run)

        return answer

    for shard in shards:
        for searcher in site.add_searchers(
            shard, ["pkc-a", "pkc-b"], 0.011, slots=2, queue=12
        ):
            searcher.respond = respond(searcher, False)
    if trouble:
        # One of 16 searchers: less than a share of 0.14.
        failing = site.searchers[0]
        failing.respond = respond(failing, True)
    route = {
        "name": "r-peek", "host": HOST, "pathPrefix": "/peek/",
        "routeType": "idempotent", "timeoutMs": 800, "targetLatencyMs": 118,
        "priority": 2, "maxAttempts": 2, "gather": shards, "topK": TOP_K,
        "minCoverage": 0.75,
    }
    try:
        await site.start(manifest(7, [route], shards, 26))
        broken = 0
        for number in range(QUERIES):
            node = site.nodes[number % len(site.nodes)]
            answer = await request(
                node, site.record, f"{0x5d000000 + number:016x}", "GET",
                f"/peek/{number}", limit_s=0.8,
            )
            if not 200 <= answer.status < 300:
                continue
            parts = [
                item.strip()
                for item in answer.headers.get("x-part-stamps", "").split(",")
            ]
            bad = [item for item in parts if item not in stamps]
            if bad:
                broken += 1
                site.record(
                    f"MIXED id={answer.request_id} status={answer.status}"
                    f" names digests of failures: {bad}; the body holds bytes"
                    f" of the failure: {b'the index' in answer.body}"
                )
        site.record.verdict(
            f"{QUERIES} queries, {len(failures)} failures of the searcher,"
            f" {broken} successes that name a failure as a part"
        )
        return bool(broken)
    finally:
        await site.stop()


run_case(Path(__file__).parent, case)

"""A machine freezes while requests that may run once wait in it."""

import asyncio
from pathlib import Path
import signal

from standins import HOST
from standins import manifest
from standins import request
from standins import run_case
from standins import Site

FREEZE_S = 1.7
CLIENTS = 60
FREEZES = 16
LIMIT_S = 6.0


async def case(folder, trouble):
    site = Site(folder, ["pkc-a", "pkc-a", "pkc-b", "pkc-c"])
    site.add_searchers(
        "quiz-hall", ["pkc-a", "pkc-b", "pkc-c"], 0.108, slots=4
    )
    route = {
        "name": "r-submit", "host": HOST, "pathPrefix": "/submit/",
        "routeType": "non_idempotent", "timeoutMs": 1500,
        "targetLatencyMs": 458, "priority": 2, "maxAttempts": 2,
        "service": "quiz-hall",
    }
    try:
        await site.start(manifest(7, [route], ["quiz-hall"], 45))
        node = site.nodes[0]
        tasks = []
        for freeze in range(FREEZES):
            tasks += [
                asyncio.ensure_future(
                    request(
                        node, site.record,
                        f"{0x5c000000 + freeze * 1000 + number:016x}", "POST",
                        f"/submit/quiz-{number}", b"answers of one quiz",
                        LIMIT_S,
                    )
                )
                for number in range(CLIENTS)
            ]
            await asyncio.sleep(0.02 + 0.04 * freeze / FREEZES)
            if trouble:
                node.signal(signal.SIGSTOP)
                site.record(f"machine {node.name} freezes")
                await asyncio.sleep(FREEZE_S)
                node.signal(signal.SIGCONT)
                site.record(f"machine {node.name} wakes")
            await asyncio.sleep(1.8)
        answers = await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
        runs = {}
        for run in site.runs():
            runs.setdefault(run.request_id, []).append(run)
        refused = [a for a in answers if a.status in (408, 421, 429, 503)]
        broken = [a for a in refused if a.request_id in runs]
        for answer in broken:
            run = runs[answer.request_id][0]
            site.record(
                f"REFUSED id={answer.request_id} was answered"
                f" {answer.status} and ran at {run.searcher} at {run.at:.3f}"
            )
        site.record.verdict(
            f"{len(answers)} requests, {len(runs)} ran, {len(refused)}"
            f" refused, {len(broken)} of these have run"
        )
        return bool(broken)
    finally:
        await site.stop()


run_case(Path(__file__).parent, case)

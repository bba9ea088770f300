"""Fake of a node's operator interface over HTTP, with faults for tests."""

import asyncio
from contextlib import contextmanager
import threading

from aiohttp import web
import msgspec

from kumquatchute_model.errors import ERROR_STATUSES
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchute_model.status import NodeStatus
from kumquatchute_model.ticket import Ticket
from kumquatchute_model.ticket_codec import decode_draft
from kumquatchute_model.ticket_codec import draft_entries
from kumquatchute_model.ticket_codec import ticket_to_wire

TOKEN = "s3cret-of-the-test"


class FakeNode:
    """Node that keeps its tickets in memory.

    :ivar lose_answers: number of submissions whose connection is closed
        after the ticket is recorded
    :ivar drop_requests: number of submissions whose connection is closed
        before the ticket is recorded
    :ivar refusal: failure with which every submission is answered
    :ivar entries_before_next: entries of tickets that another operator
        records before the next submission
    :ivar submit_count: number of submissions received
    :ivar accepted: whether recorded tickets are reported as accepted
    """

    def __init__(self):
        self.tickets, self.entries_before_next, self.submit_count = [], [], 0
        self.lose_answers = self.drop_requests = 0
        self.refusal = None
        self.accepted = True

    def record(self, author, entries):
        prev = self.tickets[-1].digest() if self.tickets else ""
        number = len(self.tickets) + 1
        self.tickets.append(Ticket(number, prev, author, tuple(entries)))
        return self.tickets[-1]

    def app(self):
        app = web.Application(middlewares=[self._check_token])
        app.router.add_post("/v1/tickets", self.submit)
        app.router.add_get("/v1/tickets/{number}", self.show)
        app.router.add_get("/v1/tickets", self.log)
        app.router.add_get("/v1/status", self.status)
        app.router.add_post("/v1/services/{service}/search", self.search)
        return app

    @web.middleware
    async def _check_token(self, request, handler):
        if request.headers.get("Authorization") != f"Bearer {TOKEN}":
            return error_response(ErrorKind.UNAUTHENTICATED, "unknown token")
        return await handler(request)

    async def submit(self, request):
        self.submit_count += 1
        draft = decode_draft(await request.read())
        if self.refusal:
            return json_response(
                self.refusal, ERROR_STATUSES[self.refusal.kind].http_status
            )
        if self.drop_requests:
            self.drop_requests -= 1
            request.transport.abort()
            return web.Response()
        while self.entries_before_next:
            self.record("omar", self.entries_before_next.pop(0))
        if draft.number != len(self.tickets) + 1:
            return error_response(
                ErrorKind.TICKET_TAKEN, f"{draft.number} is taken by omar"
            )
        ticket = self.record("amna", draft_entries(draft))
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abort()
            return web.Response()
        return json_response(
            {"number": ticket.number, "digest": ticket.digest()}
        )

    async def show(self, request):
        number = int(request.match_info["number"])
        if number > len(self.tickets):
            return error_response(ErrorKind.NOT_FOUND, "not recorded")
        wire = ticket_to_wire(self.tickets[number - 1])
        held_by = ["n1", "n2"] if self.accepted else ["n1"]
        return json_response(
            {"ticket": wire, "held_by": held_by, "accepted": self.accepted}
        )

    async def log(self, request):
        after = int(request.query["after"])
        # A page has two tickets, so that short logs have several pages.
        page = self.tickets[after : after + 2]
        return json_response({"tickets": tuple(map(ticket_to_wire, page))})

    async def status(self, request):
        newest = len(self.tickets)
        return json_response(
            NodeStatus(
                "n1", "h1", "atl-east", True, "", True, 0.5, newest, "", 1,
                (), (), (), (), (), (),
            )
        )  # fmt: skip

    async def search(self, request):
        return json_response(
            {
                "hits": [{"doc": "d1", "name": "A\x1b[2J", "score": 1.0}],
                "snapshot": {
                    "index_version": 3, "map_version": 1, "ticket": 2,
                },
                "coverage": {
                    "documents": 3, "total": 4, "fraction": 0.75,
                    "missing": ["s2"],
                },
                "names": ["A"],
            }
        )  # fmt: skip


def json_response(value, status=200):
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type="application/json",
    )


def error_response(kind, reason):
    failure = Failure(kind, reason, not_run=True)
    return json_response(failure, ERROR_STATUSES[kind].http_status)


@contextmanager
def serve_node(node):
    """Serve a node from a thread on a free port and yield its URL."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    runner = web.AppRunner(node.app(), shutdown_timeout=1)

    async def start():
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return runner.addresses[0][1]

    port = asyncio.run_coroutine_threadsafe(start(), loop).result()
    try:
        yield f"http://127.0.0.1:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result()
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()

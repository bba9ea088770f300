"""The store client against servers that do not keep to the API."""

import asyncio
import socket

import pytest

from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.settings import PlatformSettings
from kumquatchuted.platform.object_store import ObjectStore
from kumquatchuted.platform.store import ObjectKind
from kumquatchuted.platform.store import StoredObject

TICKETS = ObjectKind.TICKETS
OBJECT = b'{"meta":{"name":"t-1","revision":7},"spec":{}}'


class Gateway:
    """Answers the first request of each connection, then stays silent."""

    def __init__(self, status, body=b"", headers=b""):
        self.answer = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
            status,
            len(body),
            headers,
            body,
        )
        self.requests = []
        self._conns = []

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}"

    async def _serve(self, reader, writer):
        self._conns.append(writer)
        self.requests.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(self.answer)

    async def stop(self):
        self._server.close()
        for writer in self._conns:
            writer.transport.abort()


def run(gateway, scenario):
    """Run a scenario with a store client that talks to a gateway."""

    async def main():
        await gateway.start()
        store = ObjectStore(PlatformSettings(gateway.url, timeout_ms=200))
        try:
            await scenario(store)
        finally:
            await store.close()
            await gateway.stop()

    asyncio.run(main())


@pytest.mark.proves("ticket: record", "connection silent for good")
@pytest.mark.proves("submission: claim", "connection silent for good")
def test_write_does_not_use_a_connection_that_has_gone_silent():
    """Guards against writes lost on connections that died without an error."""

    async def scenario(store):
        for _ in range(2):
            stored = await store.update(TICKETS, "t-1", b"{}", "6")
            assert stored == StoredObject("t-1", "7", b"{}")

    run(Gateway(b"200 OK", OBJECT), scenario)


def test_redirected_write_is_not_repeated_elsewhere():
    """Guards against a write that another server gets a second time."""
    location = b"Location: /elsewhere\r\n"
    gateway = Gateway(b"307 Temporary Redirect", headers=location)

    async def scenario(store):
        lost = await store.update(TICKETS, "t-1", b"{}", "6")
        assert lost.kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(gateway.requests) == 1

    run(gateway, scenario)


@pytest.mark.parametrize("body", [b"<html>", b"[]", b'{"meta":{}}'])
def test_answer_that_is_no_object_does_not_raise(body):
    """Guards against a write reported as done or failed without proof."""

    async def scenario(store):
        written = await store.create(TICKETS, "t-1", b"{}")
        assert written.kind is ErrorKind.OUTCOME_UNKNOWN
        for read in (store.get(TICKETS, "t-1"), store.list(TICKETS)):
            assert (await read).kind is ErrorKind.UNAVAILABLE

    run(Gateway(b"200 OK", body), scenario)


@pytest.mark.parametrize(
    ("status", "kind", "not_run"),
    [
        (b"401 Unauthorized", ErrorKind.UNAVAILABLE, True),
        (b"403 Forbidden", ErrorKind.UNAVAILABLE, True),
        (b"422 Unprocessable", ErrorKind.MALFORMED, True),
        (b"500 Internal Server Error", ErrorKind.OUTCOME_UNKNOWN, False),
        (b"502 Bad Gateway", ErrorKind.OUTCOME_UNKNOWN, False),
        (b"504 Gateway Timeout", ErrorKind.OUTCOME_UNKNOWN, False),
    ],
)
def test_only_refusals_before_the_effect_have_not_run(status, kind, not_run):
    """Guards against a false "not run" from a gateway."""

    async def scenario(store):
        failure = await store.create(TICKETS, "t-1", b"{}")
        assert (failure.kind, failure.not_run) == (kind, not_run)

    run(Gateway(status), scenario)


def test_watch_that_ends_at_once_is_a_failure():
    """Guards against a loop of calls without a pause."""
    gateway = Gateway(b"200 OK", b'{"events":[],"asOf":1}')

    async def scenario(store):
        events = [event async for event in store.watch(TICKETS, "1")]
        assert [event.kind for event in events] == [ErrorKind.UNAVAILABLE]
        assert len(gateway.requests) == 1

    run(gateway, scenario)


def test_write_without_a_connection_in_time_has_not_run():
    """Guards against an unknown outcome while a host drops packets."""

    async def main():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            port = full.getsockname()[1]
            # The queue of a listener that accepts nothing is soon full.
            fillers = []
            for _ in range(4):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", port))
                fillers.append(filler)
            cfg = PlatformSettings(f"http://127.0.0.1:{port}", timeout_ms=200)
            store = ObjectStore(cfg)
            failure = await store.create(TICKETS, "t-1", b"{}")
            assert (failure.kind, failure.not_run) == (
                ErrorKind.UNAVAILABLE,
                True,
            )
            await store.close()
            for filler in fillers:
                filler.close()

    asyncio.run(main())

"""Tests of the store client against servers that violate the API."""

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


class ScriptedServer:
    """Responds only to the first request of each connection."""

    def __init__(self, status, body=b"", headers=b""):
        self.response = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
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
        writer.write(self.response)

    async def stop(self):
        self._server.close()
        for writer in self._conns:
            writer.transport.abort()


def run(server, scenario):
    """Run a scenario with a store client that is connected to a server."""

    async def main():
        await server.start()
        store = ObjectStore(PlatformSettings(server.url, timeout_ms=200))
        try:
            await scenario(store)
        finally:
            await store.close()
            await server.stop()

    asyncio.run(main())


@pytest.mark.proves("ticket: record", "connection silent for good")
@pytest.mark.proves("submission: claim", "connection silent for good")
def test_write_does_not_use_a_connection_that_has_gone_silent():
    """Guards against writes on connections that stopped delivering.

    The server goes silent after its first response, as a broken path does. A
    write on the same connection would have an unknown outcome.
    """

    async def scenario(store):
        for _ in range(2):
            stored = await store.update(TICKETS, "t-1", b"{}", "6")
            assert stored == StoredObject("t-1", "7", b"{}")

    run(ScriptedServer(b"200 OK", OBJECT), scenario)


def test_redirect_of_a_write_is_not_followed():
    """Guards against a write that is sent to a second server.

    It could take effect twice, and its outcome would be that of the second.
    """
    location = b"Location: /elsewhere\r\n"
    server = ScriptedServer(b"307 Temporary Redirect", headers=location)

    async def scenario(store):
        failure = await store.update(TICKETS, "t-1", b"{}", "6")
        assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
        assert len(server.requests) == 1

    run(server, scenario)


@pytest.mark.parametrize("body", [b"<html>", b"[]", b'{"meta":{}}'])
def test_malformed_response_does_not_raise(body):
    """Guards against a write reported as done or failed without proof.

    The status is 200, but the body is not an object of the store.
    """

    async def scenario(store):
        written = await store.create(TICKETS, "t-1", b"{}")
        assert written.kind is ErrorKind.OUTCOME_UNKNOWN
        for read in (store.get(TICKETS, "t-1"), store.list(TICKETS)):
            assert (await read).kind is ErrorKind.UNAVAILABLE

    run(ScriptedServer(b"200 OK", body), scenario)


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
def test_only_rejected_writes_are_reported_as_not_run(status, kind, not_run):
    """Guards against a false "not run" after an error of an HTTP gateway.

    It may have forwarded the write before it lost the store. Only a status
    with which the store rejects a request shows that it had no effect.
    """

    async def scenario(store):
        failure = await store.create(TICKETS, "t-1", b"{}")
        assert (failure.kind, failure.not_run) == (kind, not_run)

    run(ScriptedServer(status), scenario)


def test_watch_that_ends_immediately_is_a_failure():
    """Guards against a loop of calls without a pause.

    The server ends every watch at once and without changes.
    """
    server = ScriptedServer(b"200 OK", b'{"events":[],"asOf":1}')

    async def scenario(store):
        events = [event async for event in store.watch(TICKETS, "1")]
        assert [event.kind for event in events] == [ErrorKind.UNAVAILABLE]
        assert len(server.requests) == 1

    run(server, scenario)


def test_write_without_a_connection_is_reported_as_not_run():
    """Guards against a false unknown outcome while a host drops packets.

    Without a connection no byte was sent, so the write may be sent again.
    """

    async def main():
        with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
            port = listener.getsockname()[1]
            # These fill the queue of a listener that accepts no connection.
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

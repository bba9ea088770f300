"""HTTP listeners, served by uvicorn on the event loop of the process."""

import asyncio
from collections.abc import Iterator
import contextlib
from dataclasses import dataclass
import socket

from logbook import Logger
import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from kumquatchute_model.address import Address
from kumquatchute_model.address import parse_address
from kumquatchute_model.errors import ErrorKind
from kumquatchute_model.errors import Failure
from kumquatchuted.http.disconnect import Application

LISTEN_BACKLOG = 2048
# Longer than the connection pools of callers keep idle connections, so that no
# pool reuses a connection just as the node closes it.
KEEP_ALIVE_TIMEOUT_S = 75
# Requests end before the listeners close, so this limits only the time to
# write the last bytes of their responses.
CLOSE_TIMEOUT_S = 2
MAX_HEADER_BYTES = 65_536
HEADER_TIMEOUT_S = 10.0


NOT_HTTP_FAILURE = Failure(
    ErrorKind.MALFORMED, "this is not an HTTP/1.1 request", not_run=True
)
HEADER_TOO_LARGE_FAILURE = Failure(
    ErrorKind.TOO_LARGE, "the request header is too large", not_run=True
)

log = Logger("http")


@dataclass(frozen=True, slots=True)
class HeaderLimits:
    """Limits on the header of a request.

    :param max_bytes: size of the header in bytes
    :param timeout_s: time until the header is complete, in seconds
    :param idle_timeout_s: time until the next request begins, in seconds
    """

    max_bytes: int
    timeout_s: float
    idle_timeout_s: float


class LimitedHttpProtocol(HttpToolsProtocol):
    """HTTP protocol with limits on the request header.

    Neither httptools nor uvicorn limits its size or the time until it is
    complete, so dead connections would stay open forever.
    """

    _in_header = True
    _header_bytes = 0
    _abort_timer: asyncio.TimerHandle | None = None

    def header_limits(self) -> HeaderLimits:
        """Return the limits of the listener."""
        return HeaderLimits(
            MAX_HEADER_BYTES, HEADER_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Apply the idle timeout to the first request too."""
        super().connection_made(transport)
        self._abort_after(self.header_limits().idle_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer."""
        self._cancel_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Refuse a header that exceeds the size limit."""
        super().data_received(data)
        if not self._in_header:
            return
        self._header_bytes += len(data)
        if self._header_bytes > self.header_limits().max_bytes:
            self._refuse_header()

    def on_message_begin(self) -> None:
        """Start the size limit and the timeout of a header."""
        self._in_header = True
        self._header_bytes = 0
        self._abort_after(self.header_limits().timeout_s)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Stop the size limit and the timeout of the header."""
        self._in_header = False
        self._cancel_timer()
        super().on_headers_complete()

    def send_400_response(self, msg: str) -> None:
        """Answer bytes that are not an HTTP request, and close the connection.

        :param msg: message of uvicorn, replaced by ``NOT_HTTP_FAILURE``
        """
        self._answer_and_close(b"400 Bad Request", NOT_HTTP_FAILURE)

    def _refuse_header(self) -> None:
        """Answer a header that is too large; abort if a response is open."""
        if self.cycle is not None and not self.cycle.response_complete:
            self.transport.abort()
            return
        self._cancel_timer()
        self._in_header = False
        log.warning("header too large bytes={}", self._header_bytes)
        self._answer_and_close(
            b"431 Request Header Fields Too Large", HEADER_TOO_LARGE_FAILURE
        )

    def _answer_and_close(self, status: bytes, failure: Failure) -> None:
        body = msgspec.json.encode(failure)
        self.transport.write(
            b"HTTP/1.1 %s\r\n"
            b"content-type: application/json\r\n"
            b"content-length: %d\r\n"
            b"connection: close\r\n\r\n%s" % (status, len(body), body)
        )
        self.transport.close()

    def _abort_after(self, delay_s: float) -> None:
        self._cancel_timer()
        self._abort_timer = self.loop.call_later(delay_s, self.transport.abort)

    def _cancel_timer(self) -> None:
        if self._abort_timer is not None:
            self._abort_timer.cancel()
            self._abort_timer = None


def http_config(app: Application, **options: object) -> uvicorn.Config:
    """Return the uvicorn configuration that all listeners share.

    :param options: further options of uvicorn
    """
    return uvicorn.Config(
        app,
        http=LimitedHttpProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        **options,
    )


class Listener(uvicorn.Server):
    """A uvicorn server on one socket; the process handles signals itself."""

    def __init__(self, app: Application, sock: socket.socket) -> None:
        """Create a listener on a bound socket."""
        super().__init__(
            http_config(
                app,
                timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
                timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
            )
        )
        self._sock = sock

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the signal handlers of the process."""
        yield

    async def listen(self) -> None:
        """Serve until ``should_exit`` is set."""
        await self.serve(sockets=[self._sock])


def bind_socket(text: str) -> socket.socket | Failure:
    """Open a listening socket that does not block.

    :param text: IP address and port
    :returns: the socket, or why the address cannot be bound
    """
    address = parse_address(text)
    if address is None:
        return Failure(
            ErrorKind.MALFORMED, f"{text} is not an IP address and port"
        )
    try:
        sock = _open_socket(address)
    except OSError as exc:
        return Failure(
            ErrorKind.UNAVAILABLE,
            f"cannot bind {text}: {exc.strerror}",
            not_run=True,
        )
    sock.setblocking(False)
    return sock


def _open_socket(address: Address) -> socket.socket:
    family = socket.AF_INET6 if address.ip.version == 6 else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets with an explicit protocol.
    # Without it, the two writes of a response wait for a delayed
    # acknowledgement, which adds 40 ms.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind((str(address.ip), address.port))
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock

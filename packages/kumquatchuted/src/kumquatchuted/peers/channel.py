"""A ZeroMQ socket driven directly by the event loop, without a thread."""

import asyncio
from collections.abc import Callable
from typing import Any

import zmq

MAX_MESSAGES_PER_TURN = 64
"""Messages received in one turn of the event loop; then other tasks run."""

# Plain integers: operations on pyzmq's flag types take microseconds each.
_NOBLOCK = int(zmq.NOBLOCK)
_SNDMORE = int(zmq.SNDMORE)
_POLLIN = int(zmq.POLLIN)


class Channel:
    """Owns a socket, passes on received messages and sends without blocking.

    The file descriptor of a ZeroMQ socket is edge-triggered: it signals a
    change of the socket's state once, and any call on the socket can consume
    that signal. The state is therefore checked again after each send, and
    after receiving until no message is left.

    :param sock: plain (not asyncio) socket; closed by ``close``
    :param on_message: called with the frames of each message
    :param on_error: called with each exception that receiving or
        ``on_message`` raised
    :param with_metadata: pass ``zmq.Frame`` objects, which have the metadata
        of the connection, instead of bytes
    """

    def __init__(
        self,
        sock: zmq.Socket,
        on_message: Callable[[list[Any]], None],
        on_error: Callable[[Exception], None],
        with_metadata: bool = False,
    ) -> None:
        """Start to receive in the running event loop."""
        self._sock = sock
        self._on_message = on_message
        self._on_error = on_error
        self._copy = not with_metadata
        self._loop = asyncio.get_running_loop()
        self._scheduled: asyncio.Handle | None = None
        self._loop.add_reader(sock.get(zmq.FD), self._receive)
        # A message may have arrived before the descriptor was watched.
        self._schedule_receive()

    def send(self, *frames: bytes) -> bool:
        """Pass a message to ZeroMQ.

        :returns: False if this would block or the receiver is unknown
        :raises zmq.ZMQError: another error of ZeroMQ
        """
        try:
            for frame in frames[:-1]:
                self._sock.send(frame, _NOBLOCK | _SNDMORE)
            self._sock.send(frames[-1], _NOBLOCK)
        except zmq.ZMQError as exc:
            if exc.errno not in (zmq.EAGAIN, zmq.EHOSTUNREACH):
                raise
            return False
        finally:
            if self._is_readable():
                self._schedule_receive()
        return True

    def close(self) -> None:
        """Close the socket and discard messages that were not sent."""
        self._loop.remove_reader(self._sock.get(zmq.FD))
        if self._scheduled is not None:
            self._scheduled.cancel()
        self._sock.close(linger=0)

    def _is_readable(self) -> bool:
        return bool(self._sock.get(zmq.EVENTS) & _POLLIN)

    def _schedule_receive(self) -> None:
        if self._scheduled is None:
            self._scheduled = self._loop.call_soon(self._receive_scheduled)

    def _receive_scheduled(self) -> None:
        self._scheduled = None
        self._receive()

    def _receive(self) -> None:
        """Pass on the messages of one turn; the rest follows in the next."""
        for _ in range(MAX_MESSAGES_PER_TURN):
            if self._sock.closed or not self._is_readable():
                return
            try:
                self._on_message(
                    self._sock.recv_multipart(_NOBLOCK, self._copy)
                )
            except Exception as exc:
                self._on_error(exc)
        self._schedule_receive()

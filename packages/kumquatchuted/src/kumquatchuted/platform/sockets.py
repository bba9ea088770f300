"""Sockets with TCP keep-alive, which detects a dead connection."""

import socket

# A connection that is idle for 1 s is probed each second, so it is closed
# about 3 s after its path stops delivering. That is within the window in which
# the platform counts a host as disturbed.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2


def create_keep_alive_socket(addr_info: tuple) -> socket.socket:
    """Create a socket that probes whether the other end still responds.

    :param addr_info: entry of ``socket.getaddrinfo``
    """
    family, socket_type, proto, _, _ = addr_info
    sock = socket.socket(family=family, type=socket_type, proto=proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    return sock

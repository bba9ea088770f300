"""Resets connections."""

import asyncio
import socket
import struct

# Closing a socket with this option sends a reset.
LINGER_WITH_RESET = struct.pack("ii", 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_WITH_RESET)
    writer.transport.abort()

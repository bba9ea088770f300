"""Allocates TCP ports on loopback, each to one caller only."""

import fcntl
import os
from pathlib import Path
import socket
import tempfile
from typing import BinaryIO

# Below 32,768, where the range of ephemeral ports of Linux starts, so that no
# outgoing connection occupies a port before its listener starts.
FIRST_PORT = 12_000
LAST_PORT = 31_999
COUNTER_FILE = (
    Path(tempfile.gettempdir()) / f"kumquatchute-ports-{os.getuid()}"
)
COUNTER_BYTES = 4


def allocate_ports(count: int, counter: Path = COUNTER_FILE) -> list[int]:
    """Allocate TCP ports on loopback on which nothing listens.

    All callers of this user on the machine get ports in turn. Ports chosen by
    the system collided in one of five rounds of four sites, because a site
    binds its ports only when its processes start.

    :param counter: file that holds the last allocated port, locked while it
        is read and written
    """
    counter.touch()
    with counter.open("r+b") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        last = int.from_bytes(file.read(COUNTER_BYTES), "big")
        ports: list[int] = []
        while len(ports) < count:
            last = _next_port(last)
            if _is_free(last):
                ports.append(last)
        _write_counter(file, last)
    return ports


def _next_port(port: int) -> int:
    return port + 1 if FIRST_PORT <= port < LAST_PORT else FIRST_PORT


def _write_counter(file: BinaryIO, port: int) -> None:
    file.seek(0)
    file.write(port.to_bytes(COUNTER_BYTES, "big"))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True

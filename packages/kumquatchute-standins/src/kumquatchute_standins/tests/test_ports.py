"""Tests of the allocation of ports to sites."""

from concurrent.futures import ProcessPoolExecutor
from functools import partial
import socket

from kumquatchute_standins.ports import allocate_ports
from kumquatchute_standins.ports import FIRST_PORT
from kumquatchute_standins.ports import LAST_PORT

SITE_COUNT = 16
PORTS_PER_SITE = 33


def test_sites_that_start_together_get_different_ports(tmp_path):
    """Guards against a node that cannot bind its port.

    Another site, which started at the same time, has got the same port.
    """
    allocate = partial(allocate_ports, counter=tmp_path / "counter")
    with ProcessPoolExecutor(4) as pool:
        sites = [
            pool.submit(allocate, PORTS_PER_SITE) for _ in range(SITE_COUNT)
        ]
    ports = [port for site in sites for port in site.result()]
    assert len(set(ports)) == SITE_COUNT * PORTS_PER_SITE


def test_ports_are_none_that_the_system_gives_to_connections(tmp_path):
    """Guards against a connection that occupies the port of a listener.

    The system picks it as local port before the listener starts.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first_ephemeral = int(file.read().split()[0])
    assert max(allocate_ports(5, tmp_path / "counter")) < first_ephemeral


def test_ports_in_use_are_left_out_and_the_first_follows_the_last(tmp_path):
    """Guards against allocation of a port that another program uses."""
    counter = tmp_path / "counter"
    counter.write_bytes((LAST_PORT - 2).to_bytes(4, "big"))
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", LAST_PORT))
        ports = allocate_ports(2, counter)
    assert ports[0] == LAST_PORT - 1
    assert FIRST_PORT <= ports[1] < LAST_PORT - 1

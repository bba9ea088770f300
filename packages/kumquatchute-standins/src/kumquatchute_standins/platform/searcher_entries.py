"""Entries of searchers in the platform's format."""

from typing import Any


def make_searcher_entry(
    service: str,
    address: str,
    data_centre: str,
    slots: int,
    started_ms: int,
    state: str = "ready",
    cold_ms: int = 0,
) -> dict[str, Any]:
    """Return the entry of a searcher.

    :param address: IP address and port
    :param slots: number of requests that it runs in parallel
    :param started_ms: Unix time of its start in milliseconds
    :param cold_ms: how long it stays cold, in milliseconds
    """
    return {
        "service": service,
        "address": address,
        "zone": data_centre,
        "version": "v1",
        "capacity": slots,
        "state": state,
        "warmupLeftMs": cold_ms,
        "seq": 1,
        "born": started_ms,
    }

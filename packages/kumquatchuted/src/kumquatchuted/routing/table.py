"""Table that maps requests to the routes of a manifest."""

from collections.abc import Mapping
from dataclasses import dataclass

from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import Route


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes of each host, the longest prefix first.

    :param version: version of the manifest
    :param by_host: routes by host name in lower case
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]


def build_table(manifest: Manifest) -> RouteTable:
    """Return the routes of a manifest, sorted for ``find_route``."""
    by_host: dict[str, list[Route]] = {}
    for route in manifest.routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        manifest.version,
        {
            host: tuple(
                sorted(routes, key=lambda r: len(r.prefix), reverse=True)
            )
            for host, routes in by_host.items()
        },
    )


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route with the longest matching prefix, or None.

    :param host: ``Host`` header, with or without a port
    :param path: path as the caller sent it, without the query string
    """
    host_name = host.partition(":")[0].lower()
    for route in table.by_host.get(host_name, ()):
        if path.startswith(route.prefix):
            return route
    return None

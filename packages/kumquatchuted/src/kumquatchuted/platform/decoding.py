"""Decodes objects of the platform's store into the types of the slices.

Other systems write to the store too, so an object with a missing field, a
field of another type or an unknown state decodes to None.
"""

import re

import msgspec

from kumquatchute_model.address import parse_address
from kumquatchuted.membership.messages import Node
from kumquatchuted.membership.messages import RegisteredSearcher
from kumquatchuted.membership.messages import SearcherState
from kumquatchuted.membership.object_reader import TopicDecoder
from kumquatchuted.routing.messages import AllShards
from kumquatchuted.routing.messages import CallerLimits
from kumquatchuted.routing.messages import Destination
from kumquatchuted.routing.messages import Manifest
from kumquatchuted.routing.messages import OneService
from kumquatchuted.routing.messages import Route
from kumquatchuted.routing.messages import ServiceSpec
from kumquatchuted.routing.messages import SplitServices
from kumquatchuted.routing.messages import WeightedService

MANIFEST_NAME = "main"
NODE_KIND = "querynodes"
DEFAULT_MAX_ATTEMPTS = 1
DEFAULT_MAX_CONNECTIONS = 1_000_000
MS_PER_S = 1000
# The name of a searcher is sent in a header.
SEARCHER_NAME = re.compile(r"[!-~]+")


class _SplitService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    host: str
    path_prefix: str
    route_type: str
    name: str = ""
    timeout_ms: float = 30_000
    target_latency_ms: float | None = None
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    service: str | None = None
    traffic_split: list[_SplitService] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    min_coverage: float = 1.0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = DEFAULT_MAX_CONNECTIONS
    warmup_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 5_000
    idle_timeout_ms: float = 15_000


class _Manifest(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class SearcherSpec(msgspec.Struct, rename="camel"):
    """Content of the entry that a searcher writes about itself."""

    service: str
    address: str
    zone: str
    version: str
    capacity: int
    state: str
    # Warm-up time left when the entry was written.
    warmup_left_ms: float
    seq: int
    born: int | None = None


class _Node(msgspec.Struct, rename="camel"):
    address: str
    data_centre: str


def decode_manifest(name: str, item: object) -> Manifest | None:
    """Decode the current manifest; objects with other names are ignored."""
    if name != MANIFEST_NAME:
        return None
    spec = _convert_spec(item, _Manifest)
    if spec is None:
        return None
    routes = tuple(_convert_route(route) for route in spec.routes)
    if any(route is None for route in routes):
        return None
    limits = spec.limits
    return Manifest(
        version=spec.version,
        routes=routes,
        services={
            service.name: ServiceSpec(
                service.name,
                service.max_conns,
                service.warmup_s,
                service.cold_per_s,
            )
            for service in spec.services
        },
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_searcher(name: str, item: object) -> RegisteredSearcher | None:
    """Decode the entry that a searcher wrote about itself."""
    if not SEARCHER_NAME.fullmatch(name):
        return None
    spec = _convert_spec(item, SearcherSpec)
    if spec is None:
        return None
    address = parse_address(spec.address)
    if address is None or not address.port or spec.capacity < 1:
        return None
    if spec.warmup_left_ms < 0 or not spec.service:
        return None
    state = decode_state(spec.state)
    if state is None:
        return None
    return RegisteredSearcher(
        name=name,
        service=spec.service,
        host=str(address.ip),
        port=address.port,
        data_centre=spec.zone,
        state=state,
        capacity=spec.capacity,
        cold_left_s=spec.warmup_left_ms / MS_PER_S,
        started_ms=spec.born,
    )


def decode_name(name: str, item: object) -> str:
    """Decode an object whose content is not used: return its name."""
    return name


def encode_node(node: Node) -> dict:
    """Return the entry that a node writes about itself."""
    return {"address": node.address, "dataCentre": node.data_centre}


def decode_node(name: str, item: object) -> Node | None:
    """Decode the entry that a node wrote about itself."""
    spec = _convert_spec(item, _Node)
    if spec is None or parse_address(spec.address) is None:
        return None
    return Node(name, spec.address, spec.data_centre)


MANIFEST_DECODER = TopicDecoder("config", decode_manifest)
SEARCHER_DECODER = TopicDecoder("servers", decode_searcher)
EVACUATION_DECODER = TopicDecoder("evacuations", decode_name)
NODE_DECODER = TopicDecoder(NODE_KIND, decode_node)


def _convert_spec(item: object, spec_type: type) -> msgspec.Struct | None:
    spec = item.get("spec") if isinstance(item, dict) else None
    try:
        return msgspec.convert(spec, spec_type)
    except msgspec.ValidationError:
        return None


def decode_state(text: str) -> SearcherState | None:
    """Return the state with this name, None if it is unknown."""
    try:
        return SearcherState(text)
    except ValueError:
        return None


def _convert_route(route: _Route) -> Route | None:
    destination = _convert_destination(route)
    if destination is None or not route.path_prefix.startswith("/"):
        return None
    timeout_s = route.timeout_ms / MS_PER_S
    objective_ms = route.target_latency_ms
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        # A request of any other type may run at most once.
        idempotent=route.route_type == "idempotent",
        timeout_s=timeout_s,
        objective_s=(
            timeout_s if objective_ms is None else objective_ms / MS_PER_S
        ),
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        destination=destination,
    )


def _convert_destination(route: _Route) -> Destination | None:
    if route.gather:
        return AllShards(tuple(route.gather), route.top_k, route.min_coverage)
    if route.traffic_split:
        return SplitServices(
            tuple(
                WeightedService(item.service, item.weight)
                for item in route.traffic_split
            )
        )
    return OneService(route.service) if route.service else None

"""The operator's configuration: its form, reading it, and what makes it invalid."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rosechute.configuration.errors import ConfigurationError, split_field_and_reason

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
TOKEN_STREAM = "token_stream"
"""The unit of a quota that counts tokens and not requests."""
MAX_CONFIGURATION_VERSION = 2**63 - 1
"""Versions beyond this cannot be carried between processes."""


class TrafficSplit(msgspec.Struct, frozen=True, kw_only=True):
    """One of several services that a route is split over."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of a host and path prefix, the services that run them and the terms on which they do."""

    host: str
    path_prefix: str
    timeout_ms: float
    name: str = ""
    route_type: str = NON_IDEMPOTENT
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: tuple[TrafficSplit, ...] = ()
    max_attempts: int = 1
    public_access: bool = False
    sticky: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0.0

    @property
    def streaming(self) -> bool:
        """Whether the answer is a series of events."""
        return self.route_type == STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.route_type == IDEMPOTENT or (self.streaming and self.stream_resume)

    @property
    def service_names(self) -> tuple[str, ...]:
        """The services that a request may go to."""
        if self.traffic_split:
            return tuple(part.service for part in self.traffic_split if part.weight > 0)
        return (self.service,)

    def pick_service(self, draw: Callable[[], float]) -> str:
        """One service, by the weights; `draw` gives a number from 0 up to, not including, 1."""
        if not self.traffic_split:
            return self.service
        candidates = [part for part in self.traffic_split if part.weight > 0]
        point = draw() * sum(part.weight for part in candidates)
        for part in candidates[:-1]:
            point -= part.weight
            if point < 0:
                return part.service
        return candidates[-1].service


class EngineModel(msgspec.Struct, frozen=True, kw_only=True):
    """A model that an engine can run."""

    name: str


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What the servers of a service are that run a language model."""

    slots: float = 0
    kv_capacity: float = 0
    kv_token_bytes: float = 0
    link_mbps: float = 0.0
    stride: float = 1
    models: tuple[EngineModel, ...] = ()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal servers."""

    name: str
    health_path: str = ""
    max_connections: float = 0
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client may send and how long it may take or stay idle."""

    max_header_bytes: float = 16384
    max_body_bytes: float = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A holder of keys, its priority and its quota over all edges."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    unit: str = ""
    uncached_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether there is a quota."""
        return self.rate_per_s > 0

    @property
    def counts_tokens(self) -> bool:
        """Whether the quota counts tokens and not requests."""
        return self.unit == TOKEN_STREAM


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration. Fields that are not named here are ignored."""

    config_version: Annotated[int, msgspec.Meta(ge=0, le=MAX_CONFIGURATION_VERSION)]
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


_DECODER = msgspec.json.Decoder(Configuration)


def parse_configuration(body: bytes) -> Result[Configuration, ConfigurationError]:
    """Read a configuration; invalid ones are told with the place of the first problem."""
    try:
        configuration = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        place, reason = split_field_and_reason(str(error))
        return Failure(ConfigurationError("decode", place, reason))
    for place, reason in _problems(configuration):
        return Failure(ConfigurationError("check", place, reason))
    return Success(configuration)


def _problems(configuration: Configuration) -> Iterator[tuple[str, str]]:
    """The place and the reason of everything that makes a configuration invalid."""
    yield from _repeated("services", (service.name for service in configuration.services))
    yield from _repeated("routes", (route.name for route in configuration.routes))
    yield from _repeated("tenants", (tenant.name for tenant in configuration.tenants))
    known = {service.name for service in configuration.services}
    places: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        at = f"routes[{index}]"
        yield from _route_problems(at, route, known)
        first = places.setdefault((route.host.lower(), route.path_prefix), index)
        if first != index:
            yield f"{at}.path_prefix", f"routes[{first}] has the same host and prefix"
    yield from _shared_keys(configuration.tenants)


def _route_problems(at: str, route: Route, known: set[str]) -> Iterator[tuple[str, str]]:
    """What is wrong with one route by itself."""
    if not route.timeout_ms > 0:
        yield f"{at}.timeout_ms", "must be above 0"
    if route.service and route.service not in known:
        yield f"{at}.service", f"no service is named {route.service!r}"
    if not route.service and not route.traffic_split:
        yield f"{at}.service", "names no service"
    for index, part in enumerate(route.traffic_split):
        if part.service not in known:
            yield f"{at}.traffic_split[{index}].service", f"no service is named {part.service!r}"
        if part.weight < 0:
            yield f"{at}.traffic_split[{index}].weight", "must not be below 0"
    if route.traffic_split and not sum(part.weight for part in route.traffic_split) > 0:
        yield f"{at}.traffic_split", "the weights add up to 0"


def _repeated(field: str, names: Iterable[str]) -> Iterator[tuple[str, str]]:
    """Names that occur twice; one may be left out any number of times."""
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        if name and seen.setdefault(name, index) != index:
            yield f"{field}[{index}].name", f"{field}[{seen[name]}] has the name {name!r} as well"


def _shared_keys(tenants: tuple[Tenant, ...]) -> Iterator[tuple[str, str]]:
    """Keys that two tenants hold."""
    holders: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for number, key in enumerate(tenant.api_keys):
            if holders.setdefault(key, index) != index:
                yield f"tenants[{index}].api_keys[{number}]", f"tenants[{holders[key]}] holds the same key"

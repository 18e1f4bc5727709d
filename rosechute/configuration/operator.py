"""The operator's configuration: its schema, decoding it from JSON, and its validation."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Annotated, NamedTuple

import msgspec
from returns.result import Failure, Result, Success

from rosechute.configuration.errors import ConfigurationError, split_field_and_reason

IDEMPOTENT = "idempotent"
NON_IDEMPOTENT = "non_idempotent"
STREAMING = "streaming"
TOKEN_STREAM = "token_stream"
"""Unit of a quota that counts tokens instead of requests."""
MAX_CONFIGURATION_VERSION = 2**63 - 1
"""Greatest version that is accepted; it fits a signed 64-bit integer."""


class TrafficSplit(msgspec.Struct, frozen=True, kw_only=True):
    """The share of one service in a route that is split over several."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Rules for requests to one host and path prefix: the services that handle them, the time limit, the retries."""

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
        """Return whether responses are event streams."""
        return self.route_type == STREAMING

    @property
    def repeatable(self) -> bool:
        """Return whether a request may be retried although a server may have run it."""
        return self.route_type == IDEMPOTENT or (self.streaming and self.stream_resume)

    @property
    def service_names(self) -> tuple[str, ...]:
        """Return the services that a request may be sent to: all with a weight above 0."""
        if self.traffic_split:
            return tuple(part.service for part in self.traffic_split if part.weight > 0)
        return (self.service,)

    def pick_service(self, draw: Callable[[], float]) -> str:
        """Return a service at random, by the weights of the traffic split.

        Args:
            draw: Returns a random number in [0, 1); called only if there is a split.
        """
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
    """A language model that an engine can serve."""

    name: str


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of the model servers of a service; 0 means unknown."""

    slots: float = 0
    kv_capacity: float = 0
    kv_token_bytes: float = 0
    link_mbps: float = 0.0
    stride: float = 1
    models: tuple[EngineModel, ...] = ()


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of interchangeable servers."""

    name: str
    health_path: str = ""
    max_connections: float = 0
    protocol: str = "h1"
    tls: bool = False
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the requests of clients: sizes in bytes, durations in milliseconds."""

    max_header_bytes: float = 16384
    max_body_bytes: float = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A client organisation: its API keys, its priority, and its quota, which holds over all edges together."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    unit: str = ""
    uncached_tokens: float = 0.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def limited(self) -> bool:
        """Return whether the tenant has a quota."""
        return self.rate_per_s > 0

    @property
    def counts_tokens(self) -> bool:
        """Return whether the quota counts tokens instead of requests."""
        return self.unit == TOKEN_STREAM


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """A complete configuration. Unknown fields are ignored."""

    config_version: Annotated[int, msgspec.Meta(ge=0, le=MAX_CONFIGURATION_VERSION)]
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()


_DECODER = msgspec.json.Decoder(Configuration)


def parse_configuration(body: bytes) -> Result[Configuration, ConfigurationError]:
    """Decode and validate a configuration.

    Args:
        body: The configuration as JSON.

    Returns:
        The configuration, or the first error in it.
    """
    try:
        configuration = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        field, reason = split_field_and_reason(str(error))
        return Failure(ConfigurationError("decode", field, reason))
    for violation in _violations(configuration):
        return Failure(ConfigurationError("check", violation.field, violation.reason))
    return Success(configuration)


class _Violation(NamedTuple):
    """A rule that a decoded configuration breaks."""

    field: str
    reason: str


def _violations(configuration: Configuration) -> Iterator[_Violation]:
    """Yield every violation, in the order of checking: names, then route by route, then API keys."""
    yield from _duplicate_names("services", (service.name for service in configuration.services))
    yield from _duplicate_names("routes", (route.name for route in configuration.routes))
    yield from _duplicate_names("tenants", (tenant.name for tenant in configuration.tenants))
    service_names = {service.name for service in configuration.services}
    first_indexes: dict[tuple[str, str], int] = {}
    for index, route in enumerate(configuration.routes):
        path = f"routes[{index}]"
        yield from _route_violations(path, route, service_names)
        first = first_indexes.setdefault((route.host.lower(), route.path_prefix), index)
        if first != index:
            yield _Violation(f"{path}.path_prefix", f"routes[{first}] has the same host and prefix")
    yield from _shared_keys(configuration.tenants)


def _route_violations(path: str, route: Route, service_names: set[str]) -> Iterator[_Violation]:
    """Yield the violations within one route; `path` is its location in the document."""
    if not route.timeout_ms > 0:
        yield _Violation(f"{path}.timeout_ms", "must be above 0")
    if route.service and route.service not in service_names:
        yield _Violation(f"{path}.service", f"no service is named {route.service!r}")
    if not route.service and not route.traffic_split:
        yield _Violation(f"{path}.service", "names no service")
    for index, part in enumerate(route.traffic_split):
        if part.service not in service_names:
            yield _Violation(f"{path}.traffic_split[{index}].service", f"no service is named {part.service!r}")
        if part.weight < 0:
            yield _Violation(f"{path}.traffic_split[{index}].weight", "must not be below 0")
    if route.traffic_split and not sum(part.weight for part in route.traffic_split) > 0:
        yield _Violation(f"{path}.traffic_split", "the weights add up to 0")


def _duplicate_names(field: str, names: Iterable[str]) -> Iterator[_Violation]:
    """Yield a violation for each name that occurs twice; empty names may repeat."""
    first_indexes: dict[str, int] = {}
    for index, name in enumerate(names):
        if name and first_indexes.setdefault(name, index) != index:
            first = first_indexes[name]
            yield _Violation(f"{field}[{index}].name", f"{field}[{first}] has the name {name!r} as well")


def _shared_keys(tenants: tuple[Tenant, ...]) -> Iterator[_Violation]:
    """Yield a violation for each API key that belongs to two tenants."""
    owners: dict[str, int] = {}
    for index, tenant in enumerate(tenants):
        for number, key in enumerate(tenant.api_keys):
            owner = owners.setdefault(key, index)
            if owner != index:
                yield _Violation(f"tenants[{index}].api_keys[{number}]", f"tenants[{owner}] holds the same key")

"""Reports of the router for the state endpoint. Field names are the keys of its JSON document."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.routing.pool import Pool
from rosechute.routing.router import Router
from rosechute.routing.server import Server

MS_PER_S = 1e3


@dataclass(frozen=True, slots=True)
class ServerReport:
    """State of one server at this edge."""

    id: str
    address: str
    zone: str
    up: bool
    """Whether the server takes new requests: it is listed and does not drain."""
    budget: int
    """Current concurrency limit of this edge at the server."""
    limit: int
    """Upper bound of `budget`: the share of this edge."""
    in_flight: int
    trial: bool
    """Whether a trial is in flight, whose success raises `budget`."""
    backoff_ms: int
    """Time until the next trial is allowed; 0 if it is allowed now."""
    latency_ms: int
    """Recent time to the head of a response; 0 while unknown."""


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """State of one service at this edge."""

    waiting: int
    """Requests that are queued for their first attempt."""
    repeats_left: int
    """Retries that the retry budget allows now."""
    servers: tuple[ServerReport, ...]


def router_report(router: Router, now: float) -> dict[str, ServiceReport]:
    """Return the reports of all services by name."""
    return {
        name: ServiceReport(len(service.queue), service.retry_budget.remaining(now), _servers(service.pool, now))
        for name, service in sorted(router.services.items())
    }


def _servers(pool: Pool, now: float) -> tuple[ServerReport, ...]:
    return tuple(_server(pool.servers[key], now) for key in sorted(pool.servers))


def _server(server: Server, now: float) -> ServerReport:
    return ServerReport(
        server.id,
        server.address,
        server.zone,
        server.is_available,
        server.concurrency_limit,
        server.max_concurrency,
        server.in_flight,
        server.trial,
        round(max(0.0, server.retry_at - now) * MS_PER_S),
        round(server.latency_s * MS_PER_S),
    )

"""Figures of the router for the state page. Field names are keys of that page's JSON."""

from __future__ import annotations

from dataclasses import dataclass

from rosechute.routing.pool import Pool
from rosechute.routing.router import Router
from rosechute.routing.server import Server

MILLISECONDS = 1e3


@dataclass(frozen=True, slots=True)
class ServerReport:
    """One server, as this edge sees it."""

    id: str
    address: str
    zone: str
    up: bool
    """Whether it may take new requests: listed and not draining."""
    budget: int
    """Connections that it may have of this edge now."""
    limit: int
    """The most that its budget may become: this edge's share."""
    in_flight: int
    trial: bool
    """Whether a request is out that may raise the budget."""
    backoff_ms: int
    """How long until the next trial may go out; 0 where one may."""
    latency_ms: int
    """Recent time to the head of an answer; 0 while unknown."""


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """One service, as this edge sees it."""

    waiting: int
    repeats_left: int
    """Further attempts that the budget for repeats allows now."""
    servers: tuple[ServerReport, ...]


def router_report(router: Router, now: float) -> dict[str, ServiceReport]:
    """Return the figures of all services by name."""
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
        round(max(0.0, server.retry_at - now) * MILLISECONDS),
        round(server.latency_s * MILLISECONDS),
    )

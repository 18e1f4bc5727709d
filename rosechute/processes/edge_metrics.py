"""What an edge tells as metrics. docs/fleet/metrics.md explains the names to operators."""

from __future__ import annotations

import asyncio
import math

from rosechute.data_plane.plane import REJECTED, REQUESTS, DataPlane
from rosechute.processes.edge_links import BYTES_SENT, EdgeLinks
from rosechute.processes.metrics import Family, Values, by_kind, single
from rosechute.processes.quota_client import QUOTA_DECISIONS
from rosechute.routing.router import ATTEMPTS, PROMPT_TOKENS, REFUSALS, Router
from rosechute.routing.sticky import STICKY_PICKS


def edge_families(
    loop: asyncio.AbstractEventLoop, plane: DataPlane, router: Router, links: EdgeLinks
) -> list[Family]:
    """The figures of one edge process."""
    subscriber = links.subscriber

    def confirmed_age_s() -> float:
        return loop.time() - subscriber.confirmed_at if math.isfinite(subscriber.confirmed_at) else math.nan

    return [
        Family(
            "requests_total",
            "Requests that are over, by route type and outcome.",
            ("route_type", "outcome"),
            lambda: _requests(plane),
        ),
        Family(
            "turned_away_total",
            "Requests refused at their head, by status.",
            ("status",),
            by_kind(lambda: plane.counts.of(REJECTED)),
        ),
        Family("requests_open", "Requests taken and not ended.", (), single(lambda: plane.clients().requests)),
        Family("client_connections", "Open connections of clients.", (), single(lambda: plane.clients().connections)),
        Family(
            "attempts_total",
            "Attempts at servers that have ended, by result.",
            ("result",),
            by_kind(lambda: router.counts.of(ATTEMPTS)),
        ),
        Family(
            "refusals_total",
            "Requests that the router gave up, by reason.",
            ("reason",),
            by_kind(lambda: router.counts.of(REFUSALS)),
        ),
        Family(
            "sticky_picks_total",
            "Servers chosen for prompts with shared parts, by what decided.",
            ("pick",),
            by_kind(lambda: router.counts.of(STICKY_PICKS)),
        ),
        Family(
            "prompt_tokens_total",
            "Prompt tokens sent to servers: to be read, or believed to be kept there.",
            ("state",),
            by_kind(lambda: router.counts.of(PROMPT_TOKENS)),
        ),
        Family(
            "requests_waiting",
            "Requests that wait for a server, by service.",
            ("service",),
            lambda: {(name,): len(service.line) + len(service.repeats) for name, service in router.services.items()},
        ),
        Family(
            "servers",
            "Servers of a service: up, and of those with a budget above 0.",
            ("service", "state"),
            lambda: _servers(router),
        ),
        Family(
            "connection_budget",
            "Connections that all servers of a service may have of this edge.",
            ("service",),
            lambda: {
                (name,): sum(server.k for server in service.pool.servers.values())
                for name, service in router.services.items()
            },
        ),
        Family(
            "repeats_left",
            "Further attempts that the budget for repeats allows now.",
            ("service",),
            lambda: {(name,): service.budget.left(loop.time()) for name, service in router.services.items()},
        ),
        Family(
            "quota_decisions_total",
            "Requests of limited tenants, by whether they had their tokens.",
            ("decision",),
            by_kind(lambda: links.quota.counts.of(QUOTA_DECISIONS)),
        ),
        Family(
            "sent_bytes_total",
            "Bytes of messages to other processes of the fleet, by purpose.",
            ("purpose",),
            by_kind(lambda: links.counts.of(BYTES_SENT)),
        ),
        Family(
            "edges", "Living edges, as the leader told; 0 while unknown.", (), single(lambda: subscriber.edges_total)
        ),
        Family("leader_term", "Highest term of a leader that answered.", (), single(lambda: subscriber.leader_term)),
        Family("leader_attached", "Whether the leader answers.", (), single(lambda: float(subscriber.is_attached))),
        Family(
            "config_version",
            "Version of the configuration in force; 0 for none.",
            (),
            single(lambda: plane.clients().config_version),
        ),
        Family(
            "config_confirmed_age_seconds",
            "For how long it was not confirmed to be the newest.",
            (),
            single(confirmed_age_s),
        ),
    ]


def _requests(plane: DataPlane) -> Values:
    return {tuple(kind.split(" ", 1)): value for kind, value in plane.counts.of(REQUESTS).items()}


def _servers(router: Router) -> Values:
    found: dict[tuple[str, ...], float] = {}
    for name, service in router.services.items():
        found[name, "up"] = service.pool.up
        found[name, "with_budget"] = service.pool.live
    return found

"""Metrics of an edge. docs/fleet/metrics.md explains them to operators."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping

from rosechute.data_plane.connection_pool import HARMFUL_RESPONSES
from rosechute.data_plane.plane import REJECTED, REQUESTS, DataPlane
from rosechute.listening.connections import ConnectionTable
from rosechute.processes.edge_links import BYTES_SENT, EdgeLinks
from rosechute.processes.metrics import (
    Family,
    ProcessResources,
    Values,
    by_kind,
    process_families,
    shed_family,
    single,
)
from rosechute.processes.quota_client import QUOTA_DECISIONS
from rosechute.routing.router import ATTEMPTS, PROMPT_TOKENS, REJECTIONS, Router
from rosechute.routing.sticky import STICKY_PICKS


def edge_families(
    loop: asyncio.AbstractEventLoop,
    plane: DataPlane,
    router: Router,
    links: EdgeLinks,
    readiness: ConnectionTable | None = None,
    listener_failures: Callable[[], Mapping[str, float]] = dict[str, float],
    resources: ProcessResources | None = None,
) -> list[Family]:
    """Return the metric families of one edge.

    Args:
        loop: The event loop.
        plane: Its data plane.
        router: Its router.
        links: Its links.
        readiness: Connections of its readiness address; None where it has none.
        listener_failures: Returns the failed attempts to open a listener, by listener.
        resources: Resources of the process; None if they are not watched.
    """
    subscriber = links.subscriber

    def confirmed_age_s() -> float:
        return loop.time() - subscriber.confirmed_at if math.isfinite(subscriber.confirmed_at) else math.nan

    families = [
        Family(
            "requests_total",
            "Finished requests by route type and outcome.",
            ("route_type", "outcome"),
            lambda: _requests(plane),
        ),
        Family(
            "admission_rejections_total",
            "Requests rejected at their head, by status.",
            ("status",),
            by_kind(lambda: plane.counts.of(REJECTED)),
        ),
        Family(
            "requests_open", "Accepted requests that are not finished.", (), single(lambda: plane.clients().requests)
        ),
        Family("client_connections", "Open connections of clients.", (), single(lambda: plane.clients().connections)),
        shed_family(
            lambda: {
                "front": plane.client_listener.listener.shed_total,
                "links": links.shed_total(),
                "readiness": readiness.shed_total if readiness is not None else 0,
            }
        ),
        Family(
            "request_memory_bytes",
            "Memory that requests and responses hold (`used`; `responses`: of servers), and its limit (`limit`).",
            ("state",),
            by_kind(
                lambda: {
                    "used": plane.budget.used,
                    "responses": plane.budget.responses_used,
                    "limit": plane.budget.total,
                }
            ),
        ),
        Family(
            "attempts_total",
            "Finished attempts at servers, by result.",
            ("result",),
            by_kind(lambda: router.counts.of(ATTEMPTS)),
        ),
        Family(
            "harmful_responses_total",
            "Responses of a server that were not accepted, by reason, or took several turns (`costly`).",
            ("server", "kind"),
            lambda: _harmful_responses(plane),
        ),
        Family(
            "requests_rejected_total",
            "Requests rejected by the router, by reason.",
            ("reason",),
            by_kind(lambda: router.counts.of(REJECTIONS)),
        ),
        Family(
            "prefix_affinity_selections_total",
            "Servers selected for prompts with shared prefixes, by what decided.",
            ("pick",),
            by_kind(lambda: router.counts.of(STICKY_PICKS)),
        ),
        Family(
            "prompt_tokens_total",
            "Prompt tokens sent to servers: to be prefilled (`read`), or expected in their prefix cache (`kept`).",
            ("state",),
            by_kind(lambda: router.counts.of(PROMPT_TOKENS)),
        ),
        Family(
            "requests_queued",
            "Requests that are queued for a server, by service.",
            ("service",),
            lambda: {(name,): len(service.queue) + len(service.retries) for name, service in router.services.items()},
        ),
        Family(
            "servers",
            "Servers of a service: up, and those of them with a connection limit above 0.",
            ("service", "state"),
            lambda: _servers(router),
        ),
        Family(
            "connection_limit",
            "Connections that this edge may open to all servers of a service.",
            ("service",),
            lambda: {
                (name,): sum(server.concurrency_limit for server in service.pool.servers.values())
                for name, service in router.services.items()
            },
        ),
        Family(
            "retry_budget_remaining",
            "Retries that the retry budget allows now.",
            ("service",),
            lambda: {
                (name,): service.retry_budget.remaining(loop.time()) for name, service in router.services.items()
            },
        ),
        Family(
            "quota_decisions_total",
            "Requests of limited tenants, by whether their quota allowed them.",
            ("decision",),
            by_kind(lambda: links.quota.counts.of(QUOTA_DECISIONS)),
        ),
        Family(
            "link_sent_bytes_total",
            "Bytes of messages to other processes of the fleet, by purpose.",
            ("purpose",),
            by_kind(lambda: links.counts.of(BYTES_SENT)),
        ),
        Family(
            "live_edges",
            "Live edges by the leader's count; 0 while unknown.",
            (),
            single(lambda: subscriber.edges_total),
        ),
        Family("leader_term", "Highest leader term that was received.", (), single(lambda: subscriber.leader_term)),
        Family("leader_attached", "1 while the leader answers.", (), single(lambda: float(subscriber.is_attached))),
        Family(
            "config_version",
            "Version of the configuration in force; 0 for none.",
            (),
            single(lambda: plane.clients().config_version),
        ),
        Family(
            "config_confirmed_age_seconds",
            "Time since it was last confirmed to be the newest.",
            (),
            single(confirmed_age_s),
        ),
    ]
    return families + process_families(listener_failures, resources)


def _requests(plane: DataPlane) -> Values:
    return {tuple(kind.split(" ", 1)): value for kind, value in plane.counts.of(REQUESTS).items()}


def _harmful_responses(plane: DataPlane) -> Values:
    return {tuple(key.rsplit(" ", 1)): value for key, value in plane.pool.counts.of(HARMFUL_RESPONSES).items()}


def _servers(router: Router) -> Values:
    found: dict[tuple[str, ...], float] = {}
    for name, service in router.services.items():
        found[name, "up"] = service.pool.available_count
        found[name, "with_budget"] = service.pool.active_count
    return found

"""Admission of requests by the configuration in force: route, tenant, deadlines and cost, or a rejection.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rosechute.configuration.operator import Configuration, Route, Tenant
from rosechute.configuration.route_table import RouteTable
from rosechute.data_plane.request_headers import (
    CREDENTIAL,
    DEADLINE,
    LAST_EVENT_ID,
    MODEL,
    PROMPT_PREFIX,
    REQUEST_ID,
    TOKEN_COUNT,
    header_fields,
    is_request_id,
    parse_milliseconds,
    parse_prompt_parts,
    parse_token_counts,
)
from rosechute.data_plane.server_request import serialize_head
from rosechute.proxy.http1.message import Message
from rosechute.routing.model import RoutingRequest, Ticket

PRIORITIES = 10  # values of the header `Priority`, 0 to 9
DEADLINE_MARGIN_S = 0.02  # a response is due this long before the client's deadline or the route's time-out
# A client gives up on an inactive stream after the longest of the next three.
MIN_INACTIVITY_TIMEOUT_S = 2.0
INACTIVITY_TARGETS = 4.0  # multiple of the route's latency target
INACTIVITY_GAPS = 8.0  # multiple of the longest gap between events that is still on time


@dataclass(frozen=True, slots=True)
class Rejection:
    """The rejection of a request that has not been executed.

    Attributes:
        status: HTTP status.
        retry_after_s: Value of `Retry-After` in seconds; 0 for no such header.
    """

    status: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class AdmittedRequest:
    """A request that may be routed.

    Attributes:
        request_id: Value of the request id header.
        route: The matching route of the operator's configuration.
        service: Name of the service whose servers may execute the request.
        tenant: The tenant of the credential; None for a public route, or if the configuration has no tenants.
        credential: Value of the credential header; empty if it is absent.
        host: Value of the header `Host`.
        path: Path of the target without the query.
        arrived: Steady time in seconds at which the first byte arrived.
        client_deadline: Steady time shortly before the client gives up.
        answer_deadline: Steady time by which a response is due: the earlier of the client's deadline and the route's
            time-out.
        inactivity_timeout_s: Seconds that the client waits for the next event; 0 if the response is not a stream.
        cost: Tokens or requests that are charged to the tenant's quota; 0 for none.
        priority: Rank among all pairs of tenant priority and route priority; 0 is the most urgent.
        routing: The request as the router sees it.
        head: Serialized head that is common to all attempts (`serialize_head`).
        last_event_id: Id of the last event that the client has received; None if it has received none.
        sequence: Sequence number of the configuration that the request was last checked against.
        repeatable: Whether every configuration since the admission allows more than one execution.
    """

    request_id: bytes
    route: Route
    service: str
    tenant: Tenant | None
    credential: str
    host: str
    path: str
    arrived: float
    client_deadline: float
    answer_deadline: float
    inactivity_timeout_s: float
    cost: int
    priority: int
    routing: RoutingRequest
    head: bytes
    last_event_id: bytes | None
    sequence: int
    repeatable: bool


class ActiveConfiguration:
    """The configuration in force, with its route table and priority ranks. Immutable.

    Args:
        configuration: The operator's configuration.
        sequence: Number of the configuration in the order of commits.
    """

    def __init__(self, configuration: Configuration, sequence: int) -> None:
        self.configuration = configuration
        self.sequence = sequence
        self.table = RouteTable(configuration)
        self._ranks = _priority_ranks(configuration)

    def admit(
        self, message: Message, ticket: Ticket, now: float, split_point: Callable[[str], float]
    ) -> AdmittedRequest | Rejection:
        """Admit or reject a request by its head.

        Args:
            message: The request.
            ticket: Identifies the request at the router.
            now: Steady time in seconds.
            split_point: Takes a route's name; returns a number in [0, 1) that selects a service by weight.
        """
        fields = header_fields(message)
        if fields is None:
            return Rejection(400)
        if not is_request_id(fields.get(REQUEST_ID, b"")) or message.target[:1] != b"/":
            return Rejection(400)
        host = fields.get(b"host", b"").decode("latin-1")
        path = message.target.partition(b"?")[0].decode("latin-1")
        credential = fields.get(CREDENTIAL, b"").decode("latin-1")
        authorized = self.authorize(host, path, credential)
        if isinstance(authorized, Rejection):
            return authorized
        route, tenant = authorized
        arrived = min(now, message.began)
        route_timeout_s = route.timeout_ms / 1e3
        client_timeout_s = parse_milliseconds(fields.get(DEADLINE), route_timeout_s)
        client_deadline = arrived + client_timeout_s - DEADLINE_MARGIN_S
        answer_deadline = arrived + min(client_timeout_s, route_timeout_s) - DEADLINE_MARGIN_S
        priority = self._ranks[(tenant.priority if tenant is not None else 0, route.priority)]
        token_counts = parse_token_counts(fields.get(TOKEN_COUNT))
        service = route.pick_service(lambda: split_point(route.name))
        input_tokens, output_tokens = token_counts or (0, 0)
        routing = RoutingRequest(
            ticket=ticket,
            service=service,
            route=route.name,
            priority=priority,
            deadline=client_deadline if route.streaming else answer_deadline,
            target_s=route.target_latency_ms / 1e3,
            arrived=arrived,
            max_attempts=max(1, int(route.max_attempts)),
            repeatable=route.repeatable,
            sticky=route.sticky,
            model=fields.get(MODEL, b"").decode("latin-1"),
            parts=parse_prompt_parts(fields.get(PROMPT_PREFIX)) if route.sticky else (),
            input_tokens=input_tokens,
            output_tokens=output_tokens,
        )
        return AdmittedRequest(
            request_id=fields[REQUEST_ID],
            route=route,
            service=service,
            tenant=tenant,
            credential=credential,
            host=host,
            path=path,
            arrived=arrived,
            client_deadline=client_deadline,
            answer_deadline=answer_deadline,
            inactivity_timeout_s=_inactivity_timeout_s(route) if route.streaming else 0.0,
            cost=_quota_cost(tenant, token_counts),
            priority=priority,
            routing=routing,
            head=serialize_head(message, tenant, priority * PRIORITIES // len(self._ranks)),
            last_event_id=fields.get(LAST_EVENT_ID),
            sequence=self.sequence,
            repeatable=route.repeatable,
        )

    def authorize(self, host: str, path: str, credential: str) -> tuple[Route, Tenant | None] | Rejection:
        """Return the route and the tenant of a request; 404 without a route, 401 without a valid credential."""
        route = self.table.find_route(host, path)
        if route is None:
            return Rejection(404)
        if not self.table.has_tenants:
            return route, None
        tenant = self.table.find_tenant(credential) if credential else None
        if tenant is None and not route.public_access:
            return Rejection(401)
        return route, tenant

    def requires_credential(self, route: Route) -> bool:
        """Return whether requests of a route need a credential."""
        return self.table.has_tenants and not route.public_access


def completion_deadline(admitted: AdmittedRequest) -> float:
    """Return the steady time at which a request is finished at the latest.

    A stream that delivers events continues up to its client's deadline.
    """
    return admitted.client_deadline if admitted.route.streaming else admitted.answer_deadline


def _priority_ranks(configuration: Configuration) -> dict[tuple[int, int], int]:
    """Return the rank of each pair of priorities, ordered by the tenant's priority, then by the route's."""
    tenants = {tenant.priority for tenant in configuration.tenants} | {0}
    routes = {route.priority for route in configuration.routes}
    pairs = sorted((tenant, route) for tenant in tenants for route in routes)
    return {pair: rank for rank, pair in enumerate(pairs)}


def _inactivity_timeout_s(route: Route) -> float:
    """Return how many seconds a client of this route waits for the next event."""
    target_s, gap_s = route.target_latency_ms / 1e3, route.gap_aim_ms / 1e3
    return max(MIN_INACTIVITY_TIMEOUT_S, INACTIVITY_TARGETS * target_s, INACTIVITY_GAPS * gap_s)


def _quota_cost(tenant: Tenant | None, token_counts: tuple[int, int] | None) -> int:
    """Return the cost of a request in units of its tenant's quota; 0 if the tenant is not limited."""
    if tenant is None or not tenant.limited:
        return 0
    if not tenant.counts_tokens:
        return 1
    if token_counts is None:
        return int(tenant.uncached_tokens)
    return sum(token_counts)

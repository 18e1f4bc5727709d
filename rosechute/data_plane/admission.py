"""From a request's head to what router and servers need to know of it, or the status that turns it away. Pure."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass

from hollyport.http1.message import HOP_BY_HOP, Message
from rosechute.configuration.operator import Configuration, Route, Tenant
from rosechute.configuration.route_table import RouteTable
from rosechute.routing.model import PromptPart, RoutingRequest, Ticket

REQUEST_ID = b"x-rosechute-request-id"
CREDENTIAL = b"x-rosechute-credential"
DEADLINE = b"x-rosechute-deadline-ms"
TOKEN_COUNT = b"x-rosechute-token-count"
PROMPT_PREFIX = b"x-rosechute-prompt-prefix"
MODEL = b"x-rosechute-model"
LAST_EVENT_ID = b"last-event-id"
PRIORITIES = 10  # values of the header Priority, 0 to 9
HOLD_MARGIN_S = 0.02  # an answer is due so long before the client gives up, or the route's time ends
SILENCE_LEAST_S = 2.0  # clients give a silent stream up after the longest of this,
SILENCE_TARGETS = 4.0  # so many latency objectives
SILENCE_GAPS = 8.0  # and so many of the longest pauses in time
# Headers that servers don't get as they came: those of one connection, and those that the edge itself sets.
NOT_FORWARDED = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"priority",
    b"expect-version",
    LAST_EVENT_ID,
    CREDENTIAL,
    DEADLINE,
    b"x-rosechute-tenant",
    b"x-rosechute-expect-instance",
}
# Headers that servers need as the client sent them: no client can declare one of them to be its connection's.
END_TO_END = frozenset({b"host", REQUEST_ID, MODEL, TOKEN_COUNT, PROMPT_PREFIX})
_ID = re.compile(rb"[!-~]{1,256}")
_NUMBER = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,9})?")
_COUNTS = re.compile(rb"([0-9]{1,9}) *, *([0-9]{1,9})")
_PART = re.compile(r"([!-+\--9;-~]{1,128}):([0-9]{1,9})")
_MOST_PARTS = 256
_ONCE = (REQUEST_ID, CREDENTIAL, DEADLINE, LAST_EVENT_ID)


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request is turned away: it has not run."""

    status: int
    retry_after_s: float = 0.0


@dataclass(slots=True)
class AdmittedRequest:
    """A request that may be routed."""

    request_id: bytes
    route: Route
    service: str
    tenant: Tenant | None
    key: str
    host: str
    path: str
    arrived: float
    client_deadline: float  # steady time at which the client gives up, or so little before that an answer arrives
    answer_deadline: (
        float  # steady time by which it is to be answered: the route's time may be shorter than the client's
    )
    inactivity_timeout_s: float  # for how long a client waits for the next event; 0 where the answer is no stream
    cost: int  # tokens or requests of the tenant's quota
    priority: int  # rank among all pairs of a tenant's and a route's priority; 0 is the most urgent
    routing: RoutingRequest
    head: bytes  # of the request as every server gets it, without its end
    last_event_id: bytes | None
    sequence: int  # of the configuration by which it was admitted last
    repeatable: bool  # whether it may run more than once, by every configuration since its admission


class ActiveConfiguration:
    """The configuration in force, as requests are admitted by it. Never changes once it is made."""

    def __init__(self, configuration: Configuration, sequence: int) -> None:
        self.configuration = configuration
        self.sequence = sequence
        self.table = RouteTable(configuration)
        self._ranks = _ranks(configuration)

    def admit(
        self, message: Message, ticket: Ticket, now: float, split_point: Callable[[str], float]
    ) -> AdmittedRequest | Rejection:
        """Read a request's head. `split_point` gives a number from 0 up to 1 for a choice by weight on a route."""
        told = _fields(message)
        if told is None:
            return Rejection(400)
        request_id = told.get(REQUEST_ID, b"")
        if _ID.fullmatch(request_id) is None or message.target[:1] != b"/":
            return Rejection(400)
        host = told.get(b"host", b"").decode("latin-1")
        path = message.target.partition(b"?")[0].decode("latin-1")
        key = told.get(CREDENTIAL, b"").decode("latin-1")
        allowed = self.allows(host, path, key)
        if isinstance(allowed, Rejection):
            return allowed
        route, tenant = allowed
        return self._admitted(message, ticket, now, split_point, told, request_id, route, tenant, host, path, key)

    def allows(self, host: str, path: str, key: str) -> tuple[Route, Tenant | None] | Rejection:
        """The route and the tenant of a request, if it is allowed."""
        route = self.table.find(host, path)
        if route is None:
            return Rejection(404)
        if not self.table.has_tenants:
            return route, None
        tenant = self.table.tenant(key) if key else None
        if tenant is None and not route.public_access:
            return Rejection(401)
        return route, tenant

    def requires_credential(self, route: Route) -> bool:
        """Whether only the holders of keys may use a route."""
        return self.table.has_tenants and not route.public_access

    def _admitted(
        self,
        message: Message,
        ticket: Ticket,
        now: float,
        split_point: Callable[[str], float],
        told: dict[bytes, bytes],
        request_id: bytes,
        route: Route,
        tenant: Tenant | None,
        host: str,
        path: str,
        key: str,
    ) -> AdmittedRequest:
        arrived = min(now, message.came)
        wait_s = route.timeout_ms / 1e3
        client_s = _milliseconds(told.get(DEADLINE), wait_s)
        client_deadline = arrived + client_s - HOLD_MARGIN_S
        answer_deadline = arrived + min(client_s, wait_s) - HOLD_MARGIN_S
        inactivity_timeout_s = _silence_s(route) if route.streaming else 0.0
        priority = self._ranks[(tenant.priority if tenant is not None else 0, route.priority)]
        input_tokens, output_tokens = _token_counts(told.get(TOKEN_COUNT))
        service = route.pick_service(lambda: split_point(route.name))
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
            model=told.get(MODEL, b"").decode("latin-1"),
            parts=_parts(told.get(PROMPT_PREFIX)) if route.sticky else (),
            input_tokens=input_tokens,
            output_tokens=output_tokens,
        )
        return AdmittedRequest(
            request_id,
            route,
            service,
            tenant,
            key,
            host,
            path,
            arrived,
            client_deadline,
            answer_deadline,
            inactivity_timeout_s,
            _cost(tenant, told.get(TOKEN_COUNT), input_tokens + output_tokens),
            priority,
            routing,
            _head(message, tenant, priority * PRIORITIES // len(self._ranks)),
            told.get(LAST_EVENT_ID),
            self.sequence,
            route.repeatable,
        )


def completion_deadline(admitted: AdmittedRequest) -> float:
    """Steady time at which a request is ended at the latest, answered whole or not. A stream that brings events goes
    on until its client's deadline."""
    return admitted.client_deadline if admitted.route.streaming else admitted.answer_deadline


def _fields(message: Message) -> dict[bytes, bytes] | None:
    """The headers by name; None where one that decides stands there twice."""
    if message.told is not None:
        return message.told
    told: dict[bytes, bytes] = {}
    for name, value in message.headers:
        if name in told and name in _ONCE:
            return None
        told.setdefault(name, value)
    return told


def _ranks(configuration: Configuration) -> dict[tuple[int, int], int]:
    """The rank of each pair of priorities; a tenant's stands before the route's."""
    tenants = {tenant.priority for tenant in configuration.tenants} | {0}
    routes = {route.priority for route in configuration.routes}
    pairs = sorted((tenant, route) for tenant in tenants for route in routes)
    return {pair: rank for rank, pair in enumerate(pairs)}


def _silence_s(route: Route) -> float:
    """For how long a client of this route waits for the next event."""
    target_s, gap_s = route.target_latency_ms / 1e3, route.gap_aim_ms / 1e3
    return max(SILENCE_LEAST_S, SILENCE_TARGETS * target_s, SILENCE_GAPS * gap_s)


def _milliseconds(text: bytes | None, without: float) -> float:
    """Seconds from a header's milliseconds."""
    if text is None or _NUMBER.fullmatch(text) is None:
        return without
    return float(text) / 1e3


def _token_counts(text: bytes | None) -> tuple[int, int]:
    """Tokens in and out; 0 where it does not say."""
    found = _COUNTS.fullmatch(text) if text else None
    return (int(found[1]), int(found[2])) if found is not None else (0, 0)


def _cost(tenant: Tenant | None, counts: bytes | None, tokens: int) -> int:
    """What a request takes of its tenant's quota; 0 where there is none."""
    if tenant is None or not tenant.limited:
        return 0
    if not tenant.counts_tokens:
        return 1
    if counts is None or _COUNTS.fullmatch(counts) is None:
        return int(tenant.uncached_tokens)
    return tokens


def _parts(text: bytes | None) -> tuple[PromptPart, ...]:
    """The parts of a prompt; none where they can't be read."""
    if not text:
        return ()
    parts = []
    for piece in text.decode("latin-1").split(",", _MOST_PARTS):
        found = _PART.fullmatch(piece.strip())
        if found is None:
            return ()
        parts.append(PromptPart(found[1], int(found[2])))
    return tuple(parts)


def _head(message: Message, tenant: Tenant | None, priority: int) -> bytes:
    """The head as servers get it, but for what differs by attempt."""
    dropped = NOT_FORWARDED
    for value in message.all(b"connection"):
        dropped = dropped | ({name.strip().lower() for name in value.split(b",")} - END_TO_END)
    lines = [b"%s %s HTTP/1.1\r\n" % (message.method, message.target)]
    lines += [b"%s: %s\r\n" % pair for pair in message.headers if pair[0] not in dropped]
    if message.stream is not None:
        length = message.stream.length
        lines.append(b"transfer-encoding: chunked\r\n" if length is None else b"content-length: %d\r\n" % length)
    elif message.body or message.method != b"GET":
        lines.append(b"content-length: %d\r\n" % len(message.body))
    if tenant is not None:
        lines.append(b"x-rosechute-tenant: %s\r\n" % tenant.name.encode())
    lines.append(b"priority: %d\r\n" % priority)
    return b"".join(lines)


def serialize_attempt(
    admitted: AdmittedRequest, server_id: str, left_s: float, resume: ResumePoint | None, body: bytes
) -> bytes:
    """The request as one server gets it."""
    lines = [admitted.head]
    last = resume.last_event_id if resume is not None else admitted.last_event_id
    if last is not None:
        lines.append(b"last-event-id: %s\r\n" % last)
    if resume is not None and resume.version is not None:
        lines.append(b"expect-version: %s\r\n" % resume.version)
    lines.append(b"x-rosechute-expect-instance: %s\r\n" % server_id.encode())
    lines.append(b"x-rosechute-deadline-ms: %d\r\n\r\n" % max(1, int(left_s * 1e3)))
    lines.append(body)
    return b"".join(lines)


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a stream goes on that has broken."""

    last_event_id: bytes | None  # of the last event that was passed on; the client's own where none was
    version: bytes | None  # of the weights, where it is known

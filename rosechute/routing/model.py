"""Typed inputs and outputs of the router.

Times are seconds of a steady clock that the caller reads.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

Ticket = int  # identifies one client request; unique in a process


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server in the endpoint list of the platform; `ready` is False while it drains."""

    id: str
    address: str  # host:port
    zone: str
    slots: int
    ready: bool
    cold_until: float = 0.0  # steady time until which it is slow because it has just started


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, as declared in the header `X-Rosechute-Prompt-Prefix`."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutingRequest:
    """The properties of a client request that the router uses."""

    ticket: Ticket
    service: str
    route: str
    priority: int  # 0 is the most urgent; the priority of the tenant takes precedence over that of the route
    deadline: float  # steady time at which the client gives up or the timeout of the route expires
    target_s: float  # latency target, in seconds from `arrived`
    arrived: float
    max_attempts: int
    repeatable: bool  # whether it may be executed again: idempotent, or a stream that can be resumed
    sticky: bool = False
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    output_tokens: int = 0


class AttemptResult(enum.Enum):
    """The progress or the outcome of one attempt at one server."""

    HEAD = "head"  # the head of a successful response has arrived; the connection is still in use
    DONE = "done"  # the response is complete; the connection is free
    SERVER_ERROR = "server_error"  # an error response; the request was executed
    NOT_EXECUTED = "not_executed"  # rejected: 408, 429, 503 or 504 marked as not executed, or 421 by the right server
    WRONG_INSTANCE = "wrong_instance"  # 421: the address now belongs to another server
    CONNECT_FAILED = "connect_failed"  # nothing was sent: the server drains, has left the list or is unreachable
    RESET = "reset"  # the connection was reset or closed after bytes were sent; the request may have been executed
    TIMEOUT = "timeout"  # the server sent nothing for too long; the request may have been executed
    CANCELLED = "cancelled"  # by the edge; no evidence about the server


class RejectReason(enum.Enum):
    """Why the router rejects a request."""

    NO_SERVERS = "no_servers"  # the endpoint list has no server of the service
    ALL_BACKED_OFF = "all_backed_off"  # every server has a concurrency limit of 0 and backs off
    OVERLOADED = "overloaded"  # the queue is full, or the request was or would be queued for too long
    RETRY_BUDGET = "retry_budget"  # the retry budget does not allow another attempt
    ATTEMPTS = "attempts"  # `max_attempts` are exhausted


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a server now; as a trial, which may raise the concurrency limit of that server."""

    ticket: Ticket
    server_id: str
    address: str
    trial: bool


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject the request now."""

    ticket: Ticket
    reason: RejectReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to a server that has left the list or drains."""

    server_id: str


RoutingAction = Send | Reject | CloseIdle

"""State of an unfinished request, and of its current attempt at a server."""

from __future__ import annotations

from rosechute.routing.model import RoutingRequest
from rosechute.routing.prefixes import prefixes_of
from rosechute.routing.server import Server


class Attempt:
    """An attempt of a request at a server.

    Attributes:
        server: The server.
        sent_at: Steady time in seconds at which the request was sent.
        trial: Whether a successful response raises the concurrency limit of the server.
        is_responding: Whether the head of a response has arrived.
        tokens: Prompt tokens that the server has to prefill for the request.
        tokens_before: Those tokens plus the pending ones of earlier requests of this edge.
        target_s: Latency target of the request.
    """

    __slots__ = ("server", "sent_at", "trial", "is_responding", "tokens", "tokens_before", "target_s")

    def __init__(
        self, server: Server, sent_at: float, trial: bool, tokens: int, tokens_before: int, target_s: float
    ) -> None:
        self.server, self.sent_at, self.trial, self.target_s = server, sent_at, trial, target_s
        self.tokens = tokens
        self.tokens_before = tokens_before
        self.is_responding = False


class PendingRequest:
    """A request that is queued or has an attempt at a server.

    Attributes:
        request: The request.
        prefixes: Prefixes of its prompt; empty if the route is not sticky or the prompt has no shared part.
        tried_servers: Servers that the request was sent to.
        executed_attempts: Finished attempts that a server may have executed.
        received_attempts: Finished attempts that may have reached a server.
        started_attempts: All attempts, including the current one.
        attempt: The current attempt; None while the request is queued.
        queue_deadline: Steady time in seconds at which the request is rejected if it is still queued.
        is_deadline_extended: Whether `queue_deadline` is final.
    """

    __slots__ = (
        "request",
        "prefixes",
        "tried_servers",
        "executed_attempts",
        "received_attempts",
        "started_attempts",
        "attempt",
        "queue_deadline",
        "is_deadline_extended",
    )

    def __init__(self, request: RoutingRequest, queue_deadline: float) -> None:
        self.request = request
        has_shared_prefix = request.sticky and len(request.parts) > 1
        self.prefixes = prefixes_of(request.service, request.model, request.parts) if has_shared_prefix else ()
        self.tried_servers: list[Server] = []
        self.executed_attempts = 0
        self.received_attempts = 0
        self.started_attempts = 0
        self.attempt: Attempt | None = None
        self.queue_deadline = queue_deadline
        self.is_deadline_extended = False

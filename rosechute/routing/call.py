"""One client request that the router has not finished with, and the attempt that is out for it."""

from __future__ import annotations

from rosechute.routing.model import RoutingRequest
from rosechute.routing.prefixes import prefixes_of
from rosechute.routing.server import Server


class Attempt:
    """A request at a server."""

    __slots__ = ("server", "sent_at", "trial", "headed", "tokens", "tokens_before", "target_s")

    def __init__(
        self, server: Server, sent_at: float, trial: bool, tokens: int, tokens_before: int, target_s: float
    ) -> None:
        self.server, self.sent_at, self.trial, self.target_s = server, sent_at, trial, target_s
        self.tokens = tokens  # of its prompt that the server is to read
        self.tokens_before = tokens_before  # that it is to read up to the end of this prompt, as far as known here
        self.headed = False  # the head of its answer has come


class Call:
    """A request that waits, or has an attempt out."""

    __slots__ = ("request", "tried", "runs", "arrivals", "attempt", "give_up_at", "extended", "sent", "prefixes")

    def __init__(self, request: RoutingRequest, give_up_at: float) -> None:
        self.request = request
        sticky = request.sticky and len(request.parts) > 1
        self.prefixes = prefixes_of(request.service, request.model, request.parts) if sticky else ()
        self.tried: list[Server] = []
        self.runs = 0  # attempts that may have run
        self.arrivals = 0  # attempts that may have reached a server
        self.sent = 0  # attempts
        self.attempt: Attempt | None = None
        self.give_up_at = give_up_at  # it waits no longer than until then,
        self.extended = False  # unless it may be expected to be sent soon after

"""The router's state of one service."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.routing.admission_control import AdmissionController
from rosechute.routing.model import Ticket
from rosechute.routing.pool import Pool
from rosechute.routing.request_queue import RequestQueue
from rosechute.routing.retry_budget import RetryBudget
from rosechute.routing.tuning import RouterTuning


class Service:
    """One service: its servers, its queued requests, its admission control and its retry budget.

    Attributes:
        pool: Its servers.
        queue: Requests that were never sent.
        retries: Requests that are queued for a server that they have not tried.
        admission: How long requests may be queued at a server.
        retry_budget: How many retries may be sent.
    """

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning, retry_budget: RetryBudget) -> None:
        self.pool = Pool(draw, tuning)
        self.queue = RequestQueue()
        self.retries = RequestQueue()
        self.admission = AdmissionController(tuning.prefill_tokens_per_s)
        self.retry_budget = retry_budget

    @property
    def has_queued(self) -> bool:
        """Whether any request is queued."""
        return bool(self.queue or self.retries)

    def queued_tickets(self) -> list[Ticket]:
        """Return all queued requests, in no order."""
        return [*self.retries, *self.queue]

    def discard(self, ticket: Ticket) -> None:
        """Remove a request from its queue, if it is queued."""
        self.queue.discard(ticket)
        self.retries.discard(ticket)

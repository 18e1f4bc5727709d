"""State of one service in the router."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.routing.admission_control import AdmissionController
from rosechute.routing.model import Ticket
from rosechute.routing.pool import Pool
from rosechute.routing.request_queue import RequestQueue
from rosechute.routing.retry_budget import RetryBudget
from rosechute.routing.tuning import RouterTuning


class Service:
    """One service: its servers, queued requests, admission control and retry budget.

    Attributes:
        pool: The servers.
        queue: Requests that are queued for their first attempt.
        retries: Requests that are queued for another attempt, at a server that they have not tried.
        admission: Limits how long requests may be queued at a server.
        retry_budget: Limits the number of retries.
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
        """Return all queued requests in arbitrary order."""
        return [*self.retries, *self.queue]

    def discard(self, ticket: Ticket) -> None:
        """Remove a request from its queue; do nothing if it is not queued."""
        self.queue.discard(ticket)
        self.retries.discard(ticket)

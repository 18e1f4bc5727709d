"""All that the router keeps of one service."""

from __future__ import annotations

from collections.abc import Callable

from rosechute.routing.model import Ticket
from rosechute.routing.pool import Pool
from rosechute.routing.pressure import Pressure
from rosechute.routing.retry_budget import RetryBudget
from rosechute.routing.tuning import RouterTuning
from rosechute.routing.waiting import WaitingLine


class Service:
    """One service: its servers, the requests that wait for them, its pressure and its retry budget."""

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning, budget: RetryBudget) -> None:
        self.pool = Pool(draw, tuning)
        self.line = WaitingLine()  # requests that were never sent
        self.repeats = WaitingLine()  # requests that wait for a server that has not failed them yet
        self.pressure = Pressure(tuning.prefill_tokens_per_s)
        self.budget = budget

    @property
    def waits(self) -> bool:
        """Whether any request waits."""
        return bool(self.line or self.repeats)

    def waiting(self) -> list[Ticket]:
        """All requests that wait, in no order."""
        return [*self.repeats, *self.line]

    def discard(self, ticket: Ticket) -> None:
        """Take a request out, where it waits."""
        self.line.discard(ticket)
        self.repeats.discard(ticket)

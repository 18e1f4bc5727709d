"""The requests of one service that wait for a server, in arrival order."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from rosechute.routing.model import Ticket


@dataclass(order=True, slots=True)
class Waiter:
    """One waiting request."""

    arrived: float
    ticket: Ticket
    gone: bool = False


class WaitingLine:
    """Waiting requests by arrival. One that comes back after a failed attempt takes its old place."""

    def __init__(self) -> None:
        self._heap: list[Waiter] = []
        self._known: dict[Ticket, Waiter] = {}

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._known

    def add(self, ticket: Ticket, arrived: float) -> None:
        """Let one wait."""
        waiter = Waiter(arrived, ticket)
        self._known[ticket] = waiter
        heapq.heappush(self._heap, waiter)

    def discard(self, ticket: Ticket) -> None:
        """Take one out, where it waits."""
        waiter = self._known.pop(ticket, None)
        if waiter is not None:
            waiter.gone = True
            if 2 * len(self._known) + 16 < len(self._heap):
                self._heap = [waiter for waiter in self._heap if not waiter.gone]
                heapq.heapify(self._heap)

    def first(self) -> Ticket | None:
        """Who came first."""
        while self._heap and self._heap[0].gone:
            heapq.heappop(self._heap)
        return self._heap[0].ticket if self._heap else None

    def __iter__(self) -> Iterator[Ticket]:
        """All of them, in no order."""
        return iter(list(self._known))

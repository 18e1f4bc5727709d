"""The requests of one service that wait for a server: in arrival order, or by urgency."""

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
    priority: int
    gone: bool = False


class WaitingLine:
    """Waiting requests. One that comes back after a failed attempt takes its old place."""

    def __init__(self) -> None:
        self._heaps: dict[int, list[Waiter]] = {}  # by priority, the one that came first on top
        self._known: dict[Ticket, Waiter] = {}

    def __len__(self) -> int:
        return len(self._known)

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._known

    def __iter__(self) -> Iterator[Ticket]:
        """All of them, in no order."""
        return iter(list(self._known))

    def add(self, ticket: Ticket, arrived: float, priority: int) -> None:
        """Let one wait."""
        waiter = Waiter(arrived, ticket, priority)
        self._known[ticket] = waiter
        heapq.heappush(self._heaps.setdefault(priority, []), waiter)

    def discard(self, ticket: Ticket) -> None:
        """Take one out, where it waits."""
        waiter = self._known.pop(ticket, None)
        if waiter is not None:
            waiter.gone = True
            self._clean(waiter.priority)

    def _clean(self, priority: int) -> None:
        """Take those that are gone off the top."""
        heap = self._heaps[priority]
        while heap and heap[0].gone:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[priority]

    def first(self) -> Ticket | None:
        """Who came first."""
        return min(heap[0] for heap in self._heaps.values()).ticket if self._heaps else None

    def most_urgent(self) -> Ticket | None:
        """Who came first of the most urgent priority."""
        return self._heaps[min(self._heaps)][0].ticket if self._heaps else None

    def ahead(self, priority: int) -> int:
        """How many wait, about, that are as urgent or more."""
        return sum(len(heap) for other, heap in self._heaps.items() if other <= priority)

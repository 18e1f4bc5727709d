"""Requests of one service that wait for a server: in arrival order, and by priority."""

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
    """Waiting requests. Those of one priority never change their order."""

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

    def firsts(self) -> list[Ticket]:
        """Who came first; then who came first of each other priority, the most urgent one in front."""
        if len(self._heaps) < 2:
            return [heap[0].ticket for heap in self._heaps.values()]
        first = min(heap[0] for heap in self._heaps.values())
        heads = [self._heaps[priority][0] for priority in sorted(self._heaps)]
        return [first.ticket, *(head.ticket for head in heads if head is not first)]

    def in_order(self, most: int) -> list[Ticket]:
        """The first few in arrival order."""
        waiters = heapq.nsmallest(most, self._known.values())
        return [waiter.ticket for waiter in waiters]

    def ahead(self, priority: int) -> int:
        """How many wait, about, that are as urgent or more."""
        return sum(len(heap) for other, heap in self._heaps.items() if other <= priority)

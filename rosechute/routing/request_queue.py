"""Queue of the requests of one service, ordered by arrival and indexed by priority."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from rosechute.routing.model import Ticket


@dataclass(order=True, slots=True)
class QueuedRequest:
    """One queued request. A removed request stays in its heap until it reaches the top."""

    arrived: float
    ticket: Ticket
    priority: int
    is_removed: bool = False


class RequestQueue:
    """Queued requests. Requests of one priority stay in arrival order."""

    def __init__(self) -> None:
        self._heaps: dict[int, list[QueuedRequest]] = {}  # by priority, the oldest request on top
        self._requests: dict[Ticket, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, ticket: Ticket) -> bool:
        return ticket in self._requests

    def __iter__(self) -> Iterator[Ticket]:
        """Iterate over all tickets in arbitrary order."""
        return iter(list(self._requests))

    def add(self, ticket: Ticket, arrived: float, priority: int) -> None:
        """Add a request; `arrived` is its arrival in steady seconds."""
        request = QueuedRequest(arrived, ticket, priority)
        self._requests[ticket] = request
        heapq.heappush(self._heaps.setdefault(priority, []), request)

    def discard(self, ticket: Ticket) -> None:
        """Remove a request; do nothing if it is not queued."""
        request = self._requests.pop(ticket, None)
        if request is not None:
            request.is_removed = True
            self._drop_removed(request.priority)

    def _drop_removed(self, priority: int) -> None:
        """Pop removed requests from the top of a heap."""
        heap = self._heaps[priority]
        while heap and heap[0].is_removed:
            heapq.heappop(heap)
        if not heap:
            del self._heaps[priority]

    def heads(self) -> list[Ticket]:
        """Return the oldest request of all, then the oldest of each other priority, most urgent first."""
        if len(self._heaps) < 2:
            return [heap[0].ticket for heap in self._heaps.values()]
        oldest = min(heap[0] for heap in self._heaps.values())
        heads = [self._heaps[priority][0] for priority in sorted(self._heaps)]
        return [oldest.ticket, *(head.ticket for head in heads if head is not oldest)]

    def oldest(self, limit: int) -> list[Ticket]:
        """Return up to `limit` of the oldest requests, in arrival order."""
        return [request.ticket for request in heapq.nsmallest(limit, self._requests.values())]

    def count_ahead(self, priority: int) -> int:
        """Return an upper bound of the queued requests of this or a higher priority; it includes removed requests."""
        return sum(len(heap) for other, heap in self._heaps.items() if other <= priority)

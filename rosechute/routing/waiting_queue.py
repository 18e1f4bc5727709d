"""Priority queue of requests that wait for tokens, with a deficit counter so that no priority starves.

Requests are served by priority, and in arrival order within a priority. A share of the tokens that are used while
requests of lower priority wait is credited to a deficit counter. Once the credit covers the oldest of these requests,
it is served out of order and its tokens are debited.

Reference for the deficit counter: Shreedhar and Varghese, "Efficient Fair Queuing Using Deficit Round Robin",
SIGCOMM 1995.
"""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from .token_cache_policy import LOW_PRIORITY_SHARE, MAX_DEFICIT_REQUESTS

OnDecision = Callable[[bool, float], None]
"""Callback with two arguments: whether the request is admitted, and if not, the seconds after which to retry."""


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one request, which the caller passes to `on_decision`.

    Args:
        on_decision: Callback of the request.
        allowed: Whether the request is admitted.
        retry_after_s: Time in seconds after which the client may retry a rejected request.
    """

    on_decision: OnDecision
    allowed: bool
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for tokens; priority 0 is the highest."""

    tokens: int
    arrived_at: float
    on_decision: OnDecision
    priority: int
    arrival_number: int

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: priority, then arrival."""
        return self.priority, self.arrival_number

    def admitted(self) -> Decision:
        """Return the decision that admits this request."""
        return Decision(self.on_decision, allowed=True, retry_after_s=0.0)

    def rejected(self, retry_after_s: float) -> Decision:
        """Return the decision that rejects this request."""
        return Decision(self.on_decision, allowed=False, retry_after_s=retry_after_s)


def _arrival_number(request: WaitingRequest) -> int:
    return request.arrival_number


class WaitingQueue:
    """The waiting requests of one tenant, sorted by rank."""

    def __init__(self) -> None:
        self._by_rank: list[WaitingRequest] = []
        self._arrival_numbers = itertools.count()
        self._deficit = 0.0  # tokens credited to requests of lower priority

    def __len__(self) -> int:
        return len(self._by_rank)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(self._by_rank)

    def add(self, tokens: int, arrived_at: float, on_decision: OnDecision, priority: int) -> None:
        """Add a request behind all others of its priority."""
        request = WaitingRequest(tokens, arrived_at, on_decision, priority, next(self._arrival_numbers))
        insort(self._by_rank, request, key=lambda each: each.rank)

    def retain(self, requests: list[WaitingRequest]) -> None:
        """Drop all requests except these, which must be sorted by rank."""
        self._by_rank = requests

    def oldest(self) -> WaitingRequest:
        """Return the request that arrived first, regardless of priority."""
        return min(self._by_rank, key=_arrival_number)

    def next_request(self) -> WaitingRequest:
        """Return the request to serve next."""
        return self._credited_below(self._by_rank[0].priority) or self._by_rank[0]

    def tokens_ahead_of(self, priority: int) -> int:
        """Return the tokens of the requests that would be served before a new request of this priority."""
        ahead = sum(request.tokens for request in self._by_rank if request.priority <= priority)
        credited = self._credited_below(priority)
        return ahead + (credited.tokens if credited is not None else 0)

    def on_tokens_used(self, tokens: int, priority: int) -> None:
        """Credit a share of the tokens used by a request of this priority to waiting requests of lower priority."""
        if self._by_rank and self._by_rank[-1].priority > priority:
            max_deficit = MAX_DEFICIT_REQUESTS * max(request.tokens for request in self._by_rank)
            self._deficit = min(max_deficit, self._deficit + LOW_PRIORITY_SHARE * tokens)

    def serve(self, request: WaitingRequest) -> None:
        """Remove a request that was served; debit its tokens if it was served out of order."""
        if request is not self._by_rank[0]:
            self._deficit -= request.tokens
        self.cancel(request)
        self.on_tokens_used(request.tokens, request.priority)

    def cancel(self, request: WaitingRequest) -> None:
        """Remove a request that is not served."""
        self._by_rank.remove(request)

    def _credited_below(self, priority: int) -> WaitingRequest | None:
        """Return the oldest request of a lower priority if the credit covers it, else None."""
        lower = [request for request in self._by_rank if request.priority > priority]
        oldest = min(lower, key=_arrival_number, default=None)
        return oldest if oldest is not None and self._deficit >= oldest.tokens else None

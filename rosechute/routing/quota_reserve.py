"""What an edge may let through of limited tenants while no leader answers.

The rule allows more than a tenant's limit in every window: an overshoot and a slack. The leader's buckets use a part
of that for tokens that are issued and not yet spent. Of the rest each edge has its part, which it spends without an
answer of the leader. What was spent counts for one window. A process that has just started has none until one window
has passed: the one before it may have spent its part just now.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

RESERVE_SHARE = 0.3  # of what the rule allows beyond the limit, for all edges together


@dataclass(frozen=True, slots=True)
class ReserveTerms:
    """What the rule allows beyond the limits, for all edges together."""

    window_s: float
    overshoot: float  # share of what a tenant may spend in a window
    slack: float  # tokens
    edges: int  # that live


class QuotaReserve:
    """The reserves of all limited tenants at one edge.

    Args:
        started: When this process began to serve.
    """

    def __init__(self, started: float) -> None:
        self._started = started
        self._terms = ReserveTerms(math.inf, 0.0, 0.0, 1)
        self._limits: dict[str, tuple[float, float]] = {}
        self._spent: dict[str, deque[tuple[float, int]]] = {}

    def apply_terms(self, terms: ReserveTerms) -> None:
        """Take over the figures of the rule."""
        self._terms = terms

    def apply_limits(self, limits: Mapping[str, tuple[float, float]]) -> None:
        """Take over rate and burst of each limited tenant. What a tenant has spent still counts if it comes back."""
        self._limits = dict(limits)

    def most(self, tenant: str) -> float:
        """Tokens of a tenant that a window may see from this edge's reserve."""
        limit, terms = self._limits.get(tenant), self._terms
        if limit is None or terms.window_s == math.inf:
            return 0.0
        rate, burst = limit
        beyond = terms.overshoot * (rate * terms.window_s + burst) + terms.slack
        return RESERVE_SHARE * beyond / max(1, terms.edges)

    def spend(self, now: float, tenant: str, tokens: int) -> bool:
        """Let a request through, where the reserve lasts."""
        if now < self._started + self._terms.window_s:
            return False
        spent = self._spent.setdefault(tenant, deque())
        while spent and spent[0][0] <= now - self._terms.window_s:
            spent.popleft()
        if sum(each for _, each in spent) + tokens > self.most(tenant):
            return False
        spent.append((now, tokens))
        return True

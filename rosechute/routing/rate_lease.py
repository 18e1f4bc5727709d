"""The edge's side of a rate lease: a rate of a tenant's tokens that fills a store for as long as the lease holds.

Pure. With the lease, its store ends too. Time asleep counts like any other: up to the store's depth, and not beyond
the end of the lease.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .lease_exchange import LeaseGrant, LeaseReport


@dataclass(slots=True)
class RateLease:
    """One tenant's lease at this edge; of rate 0 where none is held."""

    rate: float = 0.0  # the full one
    late_rate: float = 0.0
    full_until: float = -math.inf
    depth: float = 0.0
    until: float = -math.inf
    stored: float = 0.0
    accrued_at: float = -math.inf
    bare_until: float = -math.inf  # the leader gave its word to lease nothing to anybody

    def advance(self, now: float) -> None:
        """Fill the store, or end."""
        if now >= self.until:
            self.rate = self.depth = self.stored = 0.0
        elif now > self.accrued_at:
            self.stored = min(self.depth, self.stored + self._accrued(self.accrued_at, now))
        self.accrued_at = max(self.accrued_at, now)

    def granted(self, now: float, sent_at: float, grant: LeaseGrant) -> None:
        """Hold what the leader granted to the report sent at that time, in place of what was held."""
        self.advance(now)
        self.rate, self.late_rate, self.depth = grant.rate, grant.late_share * grant.rate, grant.depth
        self.full_until, self.until = sent_at + grant.full_s, sent_at + grant.lifetime_s
        self.bare_until = max(self.bare_until, sent_at + grant.bare_s)
        deposit = grant.deposit if now < sent_at + grant.deposit_s else 0
        self.stored = min(self.depth, self.stored + deposit)
        self.advance(now)

    def available(self, now: float) -> int:
        """Whole tokens in the store."""
        self.advance(now)
        return int(self.stored)

    def take(self, tokens: int) -> None:
        """Spend from the store, which holds as many."""
        self.stored -= tokens

    def covers_at(self, tokens: float) -> float:
        """When the store will hold so many tokens, as of the last call; infinity for never under this lease."""
        since = self.accrued_at
        if tokens <= self.stored:
            return since
        if tokens > self.depth or self.rate <= 0.0:
            return math.inf
        missing, full_from = tokens - self.stored, max(since, self.full_until)
        at_full = self._accrued(since, full_from)
        if missing <= at_full:
            return since + missing / self.rate
        at = full_from + (missing - at_full) / self.late_rate if self.late_rate > 0.0 else math.inf
        return at if at < self.until else math.inf

    def _accrued(self, since: float, until: float) -> float:
        full_s = max(0.0, min(until, self.full_until) - since)
        return self.rate * full_s + self.late_rate * (until - since - full_s)

    def report(self, now: float, tenant: str, demand: float, request_mean: float) -> LeaseReport:
        """What is held now."""
        self.advance(now)
        remaining_s = max(0.0, self.until - now)
        bare_s = max(0.0, self.bare_until - now)
        return LeaseReport(tenant, self.rate, self.depth, remaining_s, self.stored, demand, request_mean, bare_s)

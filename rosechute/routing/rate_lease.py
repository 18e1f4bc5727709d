"""Rate lease at an edge: a token bucket that fills at the leased rate until the lease expires.

Does no I/O: callers pass the time. The bucket is emptied when the lease expires. Tokens also accrue for time during
which the process was suspended, up to the depth of the bucket and the end of the lease.

References: RFC 2215, 3.1 (token bucket); Gray and Cheriton, "Leases", SOSP 1989.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .lease_exchange import LeaseGrant, LeaseReport


@dataclass(slots=True)
class RateLease:
    """The lease of one tenant at this edge; its rate is 0 without a lease. Times are seconds of the steady clock."""

    rate: float = 0.0  # tokens per second until `full_rate_until`
    late_rate: float = 0.0  # tokens per second from then on
    full_rate_until: float = -math.inf
    expires_at: float = -math.inf
    depth: float = 0.0  # capacity of the bucket in tokens
    level: float = 0.0  # tokens in the bucket
    accrued_at: float = -math.inf  # time up to which `level` includes the accrued tokens
    no_lease_until: float = -math.inf  # end of the promise of a leader to grant no lease to any edge

    def advance(self, now: float) -> None:
        """Add the tokens accrued since the last call, or end an expired lease."""
        if now >= self.expires_at:
            self.rate = self.depth = self.level = 0.0
        elif now > self.accrued_at:
            self.level = min(self.depth, self.level + self._accrued(self.accrued_at, now))
        self.accrued_at = max(self.accrued_at, now)

    def on_grant(self, now: float, sent_at: float, grant: LeaseGrant) -> None:
        """Replace the lease by the grant that answers the report sent at `sent_at`."""
        self.advance(now)
        self.rate, self.late_rate, self.depth = grant.rate, grant.late_rate_share * grant.rate, grant.depth
        self.full_rate_until, self.expires_at = sent_at + grant.full_rate_s, sent_at + grant.lifetime_s
        self.no_lease_until = max(self.no_lease_until, sent_at + grant.no_lease_s)
        deposit = grant.deposit if now < sent_at + grant.deposit_lifetime_s else 0
        self.level = min(self.depth, self.level + deposit)
        self.advance(now)

    def available(self, now: float) -> int:
        """Return the number of tokens in the bucket, rounded down."""
        self.advance(now)
        return int(self.level)

    def use(self, tokens: int) -> None:
        """Take tokens out of the bucket, which must hold that many."""
        self.level -= tokens

    def covers_at(self, tokens: float) -> float:
        """Return when the bucket will hold `tokens`; infinity if this lease expires before.

        The result is as of the last call of `advance`.
        """
        since = self.accrued_at
        if tokens <= self.level:
            return since
        if tokens > self.depth or self.rate <= 0.0:
            return math.inf
        missing, late_from = tokens - self.level, max(since, self.full_rate_until)
        accrued_before = self._accrued(since, late_from)
        if missing <= accrued_before:
            return since + missing / self.rate
        covered_at = late_from + (missing - accrued_before) / self.late_rate if self.late_rate > 0.0 else math.inf
        return covered_at if covered_at < self.expires_at else math.inf

    def report(self, now: float, tenant: str, demand: float, mean_request_tokens: float) -> LeaseReport:
        """Return the report of the current lease.

        Args:
            now: Steady time in seconds.
            tenant: Name of the tenant.
            demand: Tokens per second that requests demand.
            mean_request_tokens: Mean request size in tokens.
        """
        self.advance(now)
        return LeaseReport(
            tenant,
            rate=self.rate,
            depth=self.depth,
            remaining_s=max(0.0, self.expires_at - now),
            level=self.level,
            demand=demand,
            mean_request_tokens=mean_request_tokens,
            no_lease_s=max(0.0, self.no_lease_until - now),
        )

    def _accrued(self, since: float, until: float) -> float:
        """Return the tokens that accrue between two times."""
        full_rate_s = max(0.0, min(until, self.full_rate_until) - since)
        return self.rate * full_rate_s + self.late_rate * (until - since - full_rate_s)

"""Quota allocation by the leader: a token bucket for each limited tenant, and rate leases.

This module does no I/O. Issued tokens expire after their lifetime. Part of the rate is leased to edges
(`rate_leases`); the bucket fills with the rest (`token_bucket`).

A new leader starts with empty buckets; terms don't overlap. Until the leases of earlier leaders have expired or are
all known, it fills its buckets only with the part of the rate that is never leased, with the reported earlier leases
that it does not renew, and with a small emergency rate. So in any time span, the tokens issued by all leaders and
provided by all leases are at most capacity + (rate + emergency rate) x span. The usage in a window is at most this
sum plus the tokens that were outstanding or in the buckets of leases at its start. `quota_policy` divides the
allowance beyond rate x window + burst between these parts.

The delay between acquiring tokens and forwarding a request needs no part of the allowance: a window counts only
requests that both arrived and were forwarded in it, and these acquired their tokens in it.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport, to_milliseconds

from .quota_policy import MIN_NO_LEASE_S, MIN_RETRY_S, TOKEN_LIFETIME_S, QuotaBounds, TenantLimit, bucket_size
from .rate_lease_owners import OwnerStatement, RateLeaseOwnerTracker
from .rate_leases import NO_BUDGET, LeaseOwner, RateLeases
from .token_bucket import TokenBucket, TokenDemand


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens issued to an edge.

    Args:
        tenant: Name of the tenant.
        tokens: Number of tokens: 0, or at least the requested minimum.
        lifetime_ms: Lifetime of the tokens from their issue, in milliseconds.
        retry_after_ms: Delay before the next request if fewer tokens than requested were issued, in milliseconds.
    """

    tenant: str
    tokens: int
    lifetime_ms: int
    retry_after_ms: int


class QuotaAllocator:
    """Token buckets and rate leases of one core machine, used only while it holds the leader lease."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._limits: dict[str, TenantLimit | None] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._term_began_at = 0.0
        self._late_rate_from = self._leases_known_at = 0.0
        self._newest_reports: dict[LeaseOwner, int] = {}
        self._newest_owners: dict[str, LeaseOwner] = {}  # by edge name: the process that reported last
        self._owners = RateLeaseOwnerTracker(0.0, None)

    def leadership_gained(
        self,
        now: float,
        late_rate_from: float,
        leases_known_at: float,
        rate_lease_owners: frozenset[str] | None = None,
    ) -> None:
        """Start a term with empty buckets.

        Args:
            now: Monotonic time in seconds.
            late_rate_from: Time from which all rate leases of earlier leaders are at their late rate.
            leases_known_at: Time at which they have all expired.
            rate_lease_owners: Names of all edges that may own such leases; None if unknown.
        """
        self._term_began_at, self._late_rate_from, self._leases_known_at = now, late_rate_from, leases_known_at
        self._buckets = {}
        self._newest_reports = {}
        self._newest_owners = {}
        self._owners = RateLeaseOwnerTracker(now, rate_lease_owners)
        self._check_all_reported(now)

    def all_leases_known(self, now: float) -> bool:
        """Return whether all rate leases that may be in force are known."""
        return now >= self._leases_known_at

    def rate_lease_owners_to_persist(self, now: float) -> OwnerStatement | None:
        """Return the statement to replicate before other edges may be granted leases; None if there is none."""
        if self.all_leases_known(now):
            self._owners.on_earlier_leases_known()
        return self._owners.to_persist(now)

    def rate_lease_owners_persisted(self, statement: OwnerStatement) -> None:
        """Handle the storage of a statement by a majority."""
        self._owners.on_persisted(statement)

    def configure(self, now: float, limits: Mapping[str, TenantLimit | None]) -> None:
        """Apply the limits of a configuration by tenant; None means that a tenant is unlimited."""
        for bucket in self._buckets.values():
            bucket.advance(now)
        self._limits = dict(limits)
        for name, bucket in self._buckets.items():
            limit = limits.get(name)
            if limit is not None:  # else keep the bucket unchanged: the limit may be restored later
                bucket.resize(bucket_size(self._bounds, limit))

    def change_bounds(self, now: float, bounds: QuotaBounds) -> None:
        """Apply changed bounds to all buckets."""
        self._bounds = bounds
        self.configure(now, self._limits)

    def issue(self, now: float, edge: str, demands: Sequence[TokenDemand]) -> list[TokenGrant]:
        """Issue tokens to an edge; return one grant for each demand."""
        return [self._issue(now, edge, demand) for demand in demands]

    def renew(self, now: float, owner: LeaseOwner, number: int, reports: Sequence[LeaseReport]) -> list[LeaseGrant]:
        """Renew the rate leases of an owner.

        Args:
            now: Monotonic time in seconds.
            owner: The edge process that sent the reports.
            number: Request number of the reports; reports older than the newest one received are ignored.
            reports: Leases that the owner holds, as reported in this term.

        Returns:
            The grants. Empty if a majority has to store the name of the edge first (`rate_lease_owners`); the reports
            are applied nevertheless, and the edge keeps its present leases.
        """
        if number <= self._newest_reports.get(owner, 0):
            return []
        self._newest_reports[owner] = number
        self._newest_owners[owner.edge] = owner
        may_grant = self._owners.try_grant(now, owner.edge)
        grants: list[LeaseGrant] = []
        for report in reports:
            limit = self._limits.get(report.tenant)
            if limit is None:
                self._check_unlimited(report)
            elif may_grant:
                grants.append(self._renew(now, owner, report, limit))
            else:
                self._apply_report(now, owner, report, limit)
        self._owners.on_report(owner.edge)
        self._check_all_reported(now)
        return grants

    def release(self, now: float, owner: LeaseOwner, number: int) -> None:
        """Release all leases of an owner whose process is shutting down; `number` is that of its last request."""
        if number <= self._newest_reports.get(owner, 0):
            return
        self._newest_reports[owner] = number
        for bucket in self._buckets.values():
            bucket.advance(now)
            bucket.leases.release(now, owner)
            bucket.clip()
        if self._newest_owners.get(owner.edge, owner) == owner:  # no later process of this edge has reported
            self._owners.on_released(owner.edge)
            self._check_all_reported(now)

    def _check_unlimited(self, report: LeaseReport) -> None:
        """Wait for earlier leases to expire if an unlimited tenant has some: its limit may be restored meanwhile."""
        if report.rate > 0.0 or report.no_lease_s > 0.0:
            self._owners.on_unusable_report()

    def _check_all_reported(self, now: float) -> None:
        """Fill the buckets at the full rate as soon as every owner of earlier leases has reported."""
        if self._owners.has_all_reported and now < self._leases_known_at:
            self._leases_known_at = now
            for bucket in self._buckets.values():
                bucket.on_all_leases_reported(now)

    def _apply_report(self, now: float, owner: LeaseOwner, report: LeaseReport, limit: TenantLimit) -> None:
        bucket = self._reported_bucket(now, report, limit)
        bucket.leases.apply_report(now, owner, report)
        bucket.clip()

    def _reported_bucket(self, now: float, report: LeaseReport, limit: TenantLimit) -> TokenBucket:
        """Return the bucket for a report; a no-lease promise in the report means that no leases are in force."""
        bucket = self._bucket(now, report.tenant, limit)
        if report.no_lease_s > MIN_NO_LEASE_S:
            bucket.on_no_leases_running(now)
        return bucket

    def _renew(self, now: float, owner: LeaseOwner, report: LeaseReport, limit: TenantLimit) -> LeaseGrant:
        bucket = self._reported_bucket(now, report, limit)
        grant = bucket.leases.renew(now, owner, report)
        bucket.clip()
        deposit = bucket.depositable(now, grant.depth - report.level)
        if deposit:
            bucket.remove(now, deposit)
        return replace(grant, deposit=deposit, deposit_lifetime_s=bucket.size.token_lifetime_s)

    def _issue(self, now: float, edge: str, demand: TokenDemand) -> TokenGrant:
        if demand.tenant not in self._limits:
            return TokenGrant(demand.tenant, 0, 0, to_milliseconds(MIN_RETRY_S))
        limit = self._limits[demand.tenant]
        if limit is None:
            return TokenGrant(demand.tenant, demand.tokens, to_milliseconds(TOKEN_LIFETIME_S), 0)
        bucket = self._bucket(now, demand.tenant, limit)
        tokens = bucket.issue(now, edge, demand)
        retry_after_s = 0.0
        if tokens < demand.tokens:
            retry_after_s = bucket.retry_after_s(edge, max(1, demand.minimum))
        lifetime_ms = to_milliseconds(bucket.size.token_lifetime_s)
        return TokenGrant(demand.tenant, tokens, lifetime_ms, to_milliseconds(retry_after_s))

    def _bucket(self, now: float, tenant: str, limit: TenantLimit) -> TokenBucket:
        """Return the bucket of a tenant, advanced to `now`; a new bucket is empty at the start of the term."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            leases = RateLeases(NO_BUDGET, self._leases_known_at)
            bucket = TokenBucket(leases, self._late_rate_from, self._leases_known_at, filled_at=self._term_began_at)
            self._buckets[tenant] = bucket
            bucket.resize(bucket_size(self._bounds, limit))
        bucket.advance(now)
        return bucket

"""Quota service of the leader: answers the quota messages of edges.

`core_machine` calls it only while this machine is the leader. A new leader starts a term with
`QuotaService.leadership_gained`. A lease report for another term is answered with the current term only, so that the
edge reports again.
"""

from __future__ import annotations

from collections.abc import Mapping

from returns.result import Failure

from rosechute.configuration.operator import Configuration, parse_configuration
from rosechute.configuration.process import Bounds
from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.counts import Counts
from rosechute.routing.lease_exchange import LeaseReport

from .quota_allocator import QuotaAllocator
from .quota_policy import FULL_RATE_EXPIRY_S, LEASE_EXPIRY_S, QuotaBounds, TenantLimit
from .rate_lease_owners import OwnerStatement
from .rate_leases import LeaseOwner
from .token_bucket import TokenDemand

# Name of the event in `Counts`; its kinds are "asked", "issued" and "deposited".
QUOTA_TOKENS = "quota_tokens"


class QuotaService:
    """Translation between the quota messages of edges and the quota allocator of one core machine."""

    def __init__(self, bounds: Bounds) -> None:
        self.counts = Counts()
        self._allocator = QuotaAllocator(_quota_bounds(bounds))
        self._term = 0

    def configuration_committed(self, now: float, body: bytes) -> None:
        """Apply the limits of a newer configuration; an invalid one is ignored."""
        parsed = parse_configuration(body)
        if not isinstance(parsed, Failure):
            self._allocator.configure(now, _limits(parsed.unwrap()))

    def leadership_gained(self, now: float, term: int, rate_lease_owners: frozenset[str] | None = None) -> None:
        """Start a term as leader, with empty buckets.

        Args:
            now: Monotonic time in seconds.
            term: Term of the leader lease; higher than every earlier term.
            rate_lease_owners: Names of all edges that may own rate leases of earlier terms; None if unknown.
        """
        self._term = term
        self._allocator.leadership_gained(now, now + FULL_RATE_EXPIRY_S, now + LEASE_EXPIRY_S, rate_lease_owners)

    def all_leases_known(self, now: float) -> bool:
        """Return whether all rate leases that may be in force are known."""
        return self._allocator.all_leases_known(now)

    def rate_lease_owners_to_persist(self, now: float) -> OwnerStatement | None:
        """Return the statement to replicate in this term, None if there is none. Call only while leader."""
        return self._allocator.rate_lease_owners_to_persist(now)

    def rate_lease_owners_persisted(self, term: int, statement: OwnerStatement) -> None:
        """Handle the storage of a statement of a term by a majority."""
        if term == self._term:
            self._allocator.rate_lease_owners_persisted(statement)

    def change_bounds(self, now: float, bounds: Bounds) -> None:
        """Apply the bounds of changed settings."""
        self._allocator.change_bounds(now, _quota_bounds(bounds))

    def answer(self, now: float, request: pb.QuotaRequest) -> pb.QuotaIssue:
        """Return the answer to an edge: tokens, rate leases or both. Call only while leader."""
        issue = self._issue(now, request)
        if request.held or request.boot:
            self._renew(now, request, issue)
        return issue

    def _renew(self, now: float, request: pb.QuotaRequest, issue: pb.QuotaIssue) -> None:
        """Add rate lease grants to an answer, unless the report belongs to another term."""
        issue.term = self._term
        if request.term != self._term:
            return
        owner = LeaseOwner(request.edge, incarnation=request.boot)
        if request.released:
            self._allocator.release(now, owner, request.request)
            return
        reports = [LeaseReport.from_message(held) for held in request.held]
        for grant in self._allocator.renew(now, owner, request.request, reports):
            self.counts.add(QUOTA_TOKENS, "deposited", grant.deposit)
            issue.granted.append(grant.to_message())

    def _issue(self, now: float, request: pb.QuotaRequest) -> pb.QuotaIssue:
        """Return an answer with the tokens issued for the demands of an edge."""
        demands = [TokenDemand(each.tenant, each.tokens, each.min_tokens) for each in request.wanted]
        self.counts.add(QUOTA_TOKENS, "asked", sum(each.tokens for each in demands))
        issue = pb.QuotaIssue(request=request.request)
        for grant in self._allocator.issue(now, request.edge, demands):
            self.counts.add(QUOTA_TOKENS, "issued", grant.tokens)
            issue.issued.add(
                tenant=grant.tenant,
                tokens=grant.tokens,
                lifetime_ms=grant.lifetime_ms,
                retry_after_ms=grant.retry_after_ms,
            )
        return issue


def _quota_bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack)


def _limits(configuration: Configuration) -> Mapping[str, TenantLimit | None]:
    """Return the limits by tenant. The slack is in tokens if any tenant is limited in tokens, else in requests."""
    in_tokens = any(tenant.counts_tokens for tenant in configuration.tenants)
    return {
        tenant.name: TenantLimit(tenant.rate_per_s, tenant.burst, tenant.counts_tokens or not in_tokens)
        if tenant.limited
        else None
        for tenant in configuration.tenants
    }

"""Quotas of the operator's configuration, and answers to what edges ask of them."""

from collections.abc import Mapping

from returns.result import Failure

from rosechute.configuration.operator import Configuration, parse_configuration
from rosechute.configuration.process import Bounds
from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.counts import Counts
from rosechute.routing.lease_exchange import LeaseReport

from .quota_allocator import QuotaAllocator, QuotaBounds, TenantLimit, TokenDemand
from .rate_leases import FULL_RATE_EXPIRY_S, LEASE_EXPIRY_S, LeaseOwner

QUOTA_TOKENS = "quota_tokens"  # the event that is counted


class QuotaService:
    """The issuer of one core machine, under the newest configuration."""

    def __init__(self, bounds: Bounds) -> None:
        self._issuer = QuotaAllocator(_bounds(bounds))
        self._term = 0
        self.counts = Counts()

    def configuration_committed(self, now: float, body: bytes) -> None:
        """A newer configuration is in force."""
        parsed = parse_configuration(body)
        if not isinstance(parsed, Failure):
            self._issuer.configure(now, _limits(parsed.unwrap()))

    def leadership_gained(self, now: float, term: int, holders: frozenset[str] | None = None) -> None:
        """This machine leads from here on, for a term that is higher than every one before. Only `holders` may hold
        rate leases of earlier terms, where that is known."""
        self._term = term
        self._issuer.leadership_gained(now, now + FULL_RATE_EXPIRY_S, now + LEASE_EXPIRY_S, holders)

    def all_leases_known(self, now: float) -> bool:
        """Whether all rate leases that may run are known."""
        return self._issuer.all_leases_known(now)

    def rate_lease_owners_to_persist(self, now: float) -> frozenset[str] | None:
        """Names of edges that are to be noted on the disk for this term, asked for while this machine leads."""
        return self._issuer.rate_lease_owners_to_persist(now)

    def rate_lease_owners_persisted(self, term: int, edges: frozenset[str]) -> None:
        """These names are synced for a term."""
        if term == self._term:
            self._issuer.rate_lease_owners_persisted(edges)

    def change_bounds(self, now: float, bounds: Bounds) -> None:
        """The settings name other bounds."""
        self._issuer.change_bounds(now, _bounds(bounds))

    def answer(self, now: float, request: pb.QuotaRequest) -> pb.QuotaIssue:
        """Issue what an edge asks for, as far as it may have it. Only while this machine leads."""
        issue = self._issue(now, request)
        if request.held or request.boot:
            self._renew(now, request, issue)
        return issue

    def _renew(self, now: float, request: pb.QuotaRequest, issue: pb.QuotaIssue) -> None:
        """Grant leases anew. A report that may be older than this term is told the term and nothing else."""
        issue.term = self._term
        if request.term != self._term:
            return
        reports = [LeaseReport.of(held) for held in request.held]
        for grant in self._issuer.renew(now, LeaseOwner(request.edge, request.boot), request.request, reports):
            self.counts.add(QUOTA_TOKENS, "deposited", grant.deposit)
            issue.granted.append(grant.message())

    def _issue(self, now: float, request: pb.QuotaRequest) -> pb.QuotaIssue:
        wanted = [TokenDemand(each.tenant, each.tokens, each.least) for each in request.wanted]
        self.counts.add(QUOTA_TOKENS, "asked", sum(each.tokens for each in wanted))
        issue = pb.QuotaIssue(request=request.request)
        for issued in self._issuer.issue(now, request.edge, wanted):
            self.counts.add(QUOTA_TOKENS, "issued", issued.tokens)
            issue.issued.add(
                tenant=issued.tenant,
                tokens=issued.tokens,
                lifetime_ms=issued.lifetime_ms,
                retry_after_ms=issued.retry_after_ms,
            )
        return issue


def _bounds(bounds: Bounds) -> QuotaBounds:
    return QuotaBounds(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack)


def _limits(configuration: Configuration) -> Mapping[str, TenantLimit | None]:
    """The slack is counted in tokens where any tenant counts tokens."""
    in_tokens = any(tenant.counts_tokens for tenant in configuration.tenants)
    return {
        tenant.name: TenantLimit(tenant.rate_per_s, tenant.burst, tenant.counts_tokens or not in_tokens)
        if tenant.limited
        else None
        for tenant in configuration.tenants
    }

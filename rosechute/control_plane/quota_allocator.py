"""The leader's side of the quotas: a bucket for each limited tenant, from which tokens are issued to edges.

Pure. Issued tokens are spent within their lifetime, a second or less, or are void. A part of the rate is leased to
edges (`rate_leases`); the bucket fills with the rest. Every leader starts as though its buckets had been empty when
its term began, and terms don't overlap. Until the leases of earlier leaders have run out, or are all known, a leader
fills its buckets only with the part of the rate that is never leased, with what it took over and does not lease, and
with a small emergency rate. So in any span, all leaders issue and all leases bring at most capacity + (rate +
emergency rate) x span. What a window sees spent is at most that, and what was outstanding and in the stores of leases
at its start. The shares of what the rules allow beyond rate x window + burst are named below; together they are less
than the whole.
A request that waits between its tokens and its server needs no share: in a window count the requests that were both
sent and have arrived in it, and those took their tokens in it.

A demand that could not be met is kept for a moment, in order: later ones leave its tokens in the bucket. So
large requests get their turn, and edges that ask seldom.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport, milliseconds

from .rate_lease_owners import RateLeaseOwnerTracker
from .rate_leases import MIN_NO_LEASE_S, LeaseBudget, LeaseOwner, RateLeases

TOKEN_LIFETIME_S = 0.4
EMERGENCY_SHARE = 0.06  # of what the rules allow beyond rate x window + burst: what new leaders issue in a window
RETAINED_SHARE = 0.9  # of the same: outstanding tokens, stores of leases, a larger bucket
OUTSTANDING_SHARE = 0.35  # of the kept share, or more: outstanding tokens
LEASED_SHARE = 0.65  # of the rate, at most
MAX_LEASE_DEPTH_S = 4.0  # of the rate: the stores hold no more
DEPOSIT_RESERVE_SHARE = 0.15  # of the capacity: what the bucket holds beyond goes to the stores of the leases
MIN_TOKEN_LIFETIME_S = 0.2
OUTSTANDING_LIFETIMES = 1.25  # of the rate: room for tokens that are issued and not spent
MIN_CAPACITY_S = 0.5  # of the rate: a bucket without a burst has to hold something
RESERVATION_S = 0.5  # how long a demand that could not be met is kept
ACTIVE_REQUESTER_S = 1.0  # how long an edge counts as one that asks for a tenant
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0
PREFETCH_SHARE = 0.5  # of an edge's even part of the bucket: what is issued beyond what is of use now


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the rules allow beyond a tenant's limit, and over which window."""

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """A limit in force. `slack_counts` where the slack is in the unit of this tenant."""

    rate_per_s: float
    burst: float
    slack_counts: bool = True


@dataclass(frozen=True, slots=True)
class TokenDemand:
    """Tokens that an edge asks for; fewer than `least` are of no use now."""

    tenant: str
    tokens: int
    least: int


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """Tokens issued: 0, or at least the least. Where fewer than wanted, when to ask again."""

    tenant: str
    tokens: int
    lifetime_ms: int
    retry_after_ms: int


@dataclass(slots=True)
class _Demand:
    tokens: int
    until: float


@dataclass(slots=True)
class _Bucket:
    """One tenant's tokens. `capacity` and `most_outstanding` follow from the limit and the bounds."""

    leases: RateLeases
    late_from: float  # when all leases of earlier leaders have fallen to their late rate
    known_from: float  # when they have run out
    rate: float = 0.0
    emergency_rate: float = 0.0
    least_capacity: float = 0.0
    most_capacity: float = 0.0
    reserve: float = 0.0  # what stores may hold; the bucket's, as far as no lease has it
    most_outstanding: float = 0.0
    lifetime_s: float = TOKEN_LIFETIME_S
    level: float = 0.0
    filled_at: float = 0.0
    outstanding: float = 0.0
    issues: deque[tuple[float, int]] = field(default_factory=deque)  # (when void, tokens)
    demands: dict[str, _Demand] = field(default_factory=dict)  # by edge, oldest first
    asked: dict[str, float] = field(default_factory=dict)  # by edge: until when it counts

    @property
    def capacity(self) -> float:
        """With the stores of the leases, never more than the least and the reserve."""
        if self.filled_at < self.known_from:
            return self.least_capacity
        return min(self.most_capacity, self.least_capacity + max(0.0, self.reserve - self.leases.depth))

    def clip(self) -> None:
        """Hold no more than the capacity, which has changed."""
        self.level = min(self.level, self.capacity)

    def no_leases_run(self, now: float) -> None:
        """It has become known that earlier leaders' leases have all run out."""
        self.known_from = min(self.known_from, now)
        self.leases.none_run()

    def all_leases_known(self, now: float) -> None:
        """It has become known that earlier leaders' leases run only where they were reported here."""
        self.advance(now)
        self.known_from = min(self.known_from, now)
        self.leases.all_known(now)

    def advance(self, now: float) -> None:
        """Fill, and forget what has run out."""
        self._fill(min(now, self.known_from, self.late_from), self._cautious_rate(late=False))
        self._fill(min(now, self.known_from), self._cautious_rate(late=True))
        self._fill(now, max(0.0, self.rate - self.leases.rate))
        self.leases.expire(now)
        while self.issues and self.issues[0][0] <= now:
            self.outstanding -= self.issues.popleft()[1]
        self.demands = {edge: demand for edge, demand in self.demands.items() if demand.until > now}
        self.asked = {edge: until for edge, until in self.asked.items() if until > now}

    def fill_rate(self) -> float:
        """At which the bucket fills now."""
        if self.filled_at < self.known_from:
            return self._cautious_rate(self.filled_at >= self.late_from)
        return max(0.0, self.rate - self.leases.rate)

    def _fill(self, until: float, rate: float) -> None:
        self.level += rate * max(0.0, until - self.filled_at)
        self.filled_at = max(self.filled_at, until)
        self.clip()

    def _cautious_rate(self, late: bool) -> float:
        """While leases may run that are not known here."""
        return max(0.0, self.rate - self.leases.rate - self.leases.unknown(late)) + self.emergency_rate

    def reserved_before(self, edge: str) -> int:
        """What is kept for demands older than this edge's, or for all where it has none."""
        reserved = 0
        for other, demand in self.demands.items():
            if other == edge:
                break
            reserved += demand.tokens
        return reserved

    def take(self, now: float, tokens: int) -> None:
        """Issue."""
        self.level -= tokens
        self.outstanding += tokens
        self.issues.append((now + self.lifetime_s, tokens))


class QuotaAllocator:
    """The buckets of one core machine; of use only while it holds the leader lease."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._limits: dict[str, TenantLimit | None] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._lease_since = 0.0
        self._late_from = self._known_from = 0.0
        self._newest_reports: dict[LeaseOwner, int] = {}
        self._holders = RateLeaseOwnerTracker(0.0, None)

    def leadership_gained(
        self, now: float, late_from: float, known_from: float, holders: frozenset[str] | None = None
    ) -> None:
        """Begin with empty buckets. Rate leases of earlier leaders have fallen to their late rate at `late_from`, and
        have run out at `known_from`; only `holders` may hold any, where that is known."""
        self._lease_since, self._late_from, self._known_from = now, late_from, known_from
        self._buckets = {}
        self._newest_reports = {}
        self._holders = RateLeaseOwnerTracker(now, holders)
        self._look_whether_all_known(now)

    def all_leases_known(self, now: float) -> bool:
        """Whether all rate leases that may run are known."""
        return now >= self._known_from

    def rate_lease_owners_to_persist(self, now: float) -> frozenset[str] | None:
        """Names of edges that are to be noted on the disk of this machine now, before any other may be granted a
        lease; None for nothing."""
        if now >= self._known_from:
            self._holders.complete()
        return self._holders.to_note(now)

    def rate_lease_owners_persisted(self, edges: frozenset[str]) -> None:
        """These names are synced."""
        self._holders.noted(edges)

    def configure(self, now: float, limits: Mapping[str, TenantLimit | None]) -> None:
        """Put the tenants of a configuration in force; None for one without a limit."""
        for bucket in self._buckets.values():
            bucket.advance(now)
        self._limits = dict(limits)
        for name, bucket in self._buckets.items():
            limit = limits.get(name)
            if limit is not None:  # else it is kept as it is: the limit may come back
                self._resize(bucket, limit)

    def change_bounds(self, now: float, bounds: QuotaBounds) -> None:
        """Put other bounds in force."""
        self._bounds = bounds
        self.configure(now, self._limits)

    def issue(self, now: float, edge: str, wanted: Sequence[TokenDemand]) -> list[TokenGrant]:
        """Answer an edge's demand, tenant by tenant."""
        return [self._issue(now, edge, want) for want in wanted]

    def renew(self, now: float, holder: LeaseOwner, number: int, reports: Sequence[LeaseReport]) -> list[LeaseGrant]:
        """Answer an edge's report of what it holds, of this term. Reports that were overtaken tell nothing."""
        if number <= self._newest_reports.get(holder, 0):
            return []
        self._newest_reports[holder] = number
        if not self._holders.may_grant(now, holder.edge):
            return []
        grants: list[LeaseGrant] = []
        for report in reports:
            limit = self._limits.get(report.tenant)
            if limit is not None:
                grants.append(self._renew(now, holder, report, limit))
            elif report.rate > 0.0 or report.bare_s > 0.0:
                self._holders.unknown()  # the tenant may have its limit again while this runs
        self._holders.heard(holder.edge)
        self._look_whether_all_known(now)
        return grants

    def _look_whether_all_known(self, now: float) -> None:
        if self._holders.all_heard and now < self._known_from:
            self._known_from = now
            for bucket in self._buckets.values():
                bucket.all_leases_known(now)

    def _renew(self, now: float, holder: LeaseOwner, report: LeaseReport, limit: TenantLimit) -> LeaseGrant:
        bucket = self._bucket(now, report.tenant, limit)
        if report.bare_s > MIN_NO_LEASE_S:
            bucket.no_leases_run(now)
        grant = bucket.leases.report(now, holder, report)
        bucket.clip()
        deposit = _deposit(bucket, now, grant.depth - report.stored)
        if deposit:
            bucket.take(now, deposit)
        return replace(grant, deposit=deposit, deposit_s=bucket.lifetime_s)

    def _issue(self, now: float, edge: str, want: TokenDemand) -> TokenGrant:
        if want.tenant not in self._limits:
            return TokenGrant(want.tenant, 0, 0, milliseconds(MIN_RETRY_S))
        limit = self._limits[want.tenant]
        if limit is None:
            return TokenGrant(want.tenant, want.tokens, milliseconds(TOKEN_LIFETIME_S), 0)
        bucket = self._bucket(now, want.tenant, limit)
        bucket.asked[edge] = now + ACTIVE_REQUESTER_S
        tokens = _decided(bucket, edge, want)
        if tokens:
            bucket.take(now, tokens)
        self._remember(bucket, now, edge, want, tokens)
        retry_s = 0.0 if tokens >= want.tokens else _retry_s(bucket, edge, max(1, want.least))
        return TokenGrant(want.tenant, tokens, milliseconds(bucket.lifetime_s), milliseconds(retry_s))

    def _bucket(self, now: float, tenant: str, limit: TenantLimit) -> _Bucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            leases = RateLeases(LeaseBudget(0.0, 0.0), self._known_from)
            bucket = self._buckets[tenant] = _Bucket(
                leases, self._late_from, self._known_from, filled_at=self._lease_since
            )
            self._resize(bucket, limit)
        bucket.advance(now)
        return bucket

    def _remember(self, bucket: _Bucket, now: float, edge: str, want: TokenDemand, tokens: int) -> None:
        demand = bucket.demands.get(edge)
        if tokens:
            if demand is not None and tokens >= demand.tokens:
                del bucket.demands[edge]
        elif demand is None and want.least <= min(bucket.capacity, bucket.most_outstanding):
            bucket.demands[edge] = _Demand(want.least, now + RESERVATION_S)

    def _resize(self, bucket: _Bucket, limit: TenantLimit) -> None:
        bounds, rate = self._bounds, limit.rate_per_s
        allowance = bounds.overshoot * (rate * bounds.window_s + limit.burst)
        allowance += bounds.slack if limit.slack_counts else 0.0
        kept = RETAINED_SHARE * allowance
        total = limit.burst + kept  # capacity, outstanding tokens and stores together never exceed this
        outstanding = max(OUTSTANDING_LIFETIMES * TOKEN_LIFETIME_S * rate, OUTSTANDING_SHARE * kept)
        bucket.rate = rate
        bucket.emergency_rate = EMERGENCY_SHARE * allowance / bounds.window_s
        bucket.most_outstanding = min(outstanding, total / 2.0)
        bucket.least_capacity = min(max(limit.burst, MIN_CAPACITY_S * rate), total - bucket.most_outstanding)
        bucket.most_capacity = bucket.least_capacity + limit.burst
        # Tokens of a leader that has just ended may be outstanding beside those that its successor fills in.
        beside = max(0.0, TOKEN_LIFETIME_S * rate - limit.burst)
        bucket.reserve = max(0.0, total - bucket.most_outstanding - bucket.least_capacity - beside)
        bucket.leases.resize(LeaseBudget(LEASED_SHARE * rate, min(bucket.reserve, MAX_LEASE_DEPTH_S * rate)))
        bucket.lifetime_s = _lifetime_s(bucket.most_outstanding, limit.rate_per_s)
        bucket.clip()


def _lifetime_s(most_outstanding: float, rate: float) -> float:
    """Short enough for the full rate to pass in spite of the bound on outstanding tokens."""
    if rate <= 0:
        return TOKEN_LIFETIME_S
    return min(TOKEN_LIFETIME_S, max(MIN_TOKEN_LIFETIME_S, most_outstanding / (OUTSTANDING_LIFETIMES * rate)))


def _deposit(bucket: _Bucket, now: float, missing: float) -> int:
    """What goes to an edge's store: where the bucket holds well more than it needs, and nobody waits."""
    if bucket.demands or now < bucket.known_from:
        return 0
    spare = min(
        bucket.level - DEPOSIT_RESERVE_SHARE * bucket.capacity, bucket.most_outstanding / 2.0 - bucket.outstanding
    )
    return int(max(0.0, min(missing, spare / max(1, bucket.leases.active(now)))))


def _decided(bucket: _Bucket, edge: str, want: TokenDemand) -> int:
    """How many tokens to issue: none, or the least and more while the bucket holds well more."""
    least = max(1, want.least)
    room = min(bucket.level - bucket.reserved_before(edge), bucket.most_outstanding - bucket.outstanding)
    if room < least or want.tokens <= 0:
        return 0
    ahead = PREFETCH_SHARE * room / max(1, len(bucket.asked))
    return int(max(least, min(want.tokens, ahead)))


def _retry_s(bucket: _Bucket, edge: str, least: int) -> float:
    """When the bucket will hold so many tokens beyond what is kept for older demands."""
    missing = least + bucket.reserved_before(edge) - bucket.level
    rate = bucket.fill_rate()
    wait = missing / rate if rate > 0 else MAX_RETRY_S
    return min(MAX_RETRY_S, max(MIN_RETRY_S, wait))

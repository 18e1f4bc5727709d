"""The leader's side of the quotas: a bucket for each limited tenant, from which tokens are issued to edges.

Pure. Issued tokens are spent within their lifetime, a second or less, or are void. Every leader starts as
though its buckets had been empty when its lease began, and leases don't overlap: what all leaders issue in any
span is at most burst + rate x span. What a window sees spent is at most what was issued in it and what was
outstanding at its start. Outstanding tokens are held to a part of what the rules allow beyond rate x window +
burst; where that is too little for a lifetime at the full rate, the bucket is made smaller by as much as more
may be outstanding.

A demand that could not be met is kept for a moment, in order: later ones leave its tokens in the bucket. So
large requests get their turn, and edges that ask seldom.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

LIFETIME_S = 1.0
ALLOWANCE_SHARE = 0.6  # of what the rules allow beyond rate x window + burst
LARGEST_SHARE = 0.9  # of the same, where a part is used for a larger bucket
DELAY_S = 2.5  # of the rate: requests may wait for so long between their tokens and their server
SHORTEST_LIFETIME_S = 0.2
OUTSTANDING_LIFETIMES = 1.25  # of the rate: room for tokens that are issued and not spent
SMALLEST_CAPACITY_S = 0.5  # of the rate: a bucket without a burst has to hold something
RESERVED_S = 0.5  # how long a demand that could not be met is kept
ASKED_S = 1.0  # how long an edge counts as one that asks for a tenant
SHORTEST_RETRY_S = 0.05
LONGEST_RETRY_S = 5.0
AHEAD_SHARE = 0.5  # of an edge's even part of the bucket: what is issued beyond what is of use now


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
class Wanted:
    """Tokens that an edge asks for; fewer than `least` are of no use now."""

    tenant: str
    tokens: int
    least: int


@dataclass(frozen=True, slots=True)
class Issued:
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

    rate: float = 0.0
    capacity: float = 0.0
    most_outstanding: float = 0.0
    lifetime_s: float = LIFETIME_S
    level: float = 0.0
    filled_at: float = 0.0
    outstanding: float = 0.0
    issues: deque[tuple[float, int]] = field(default_factory=deque)  # (when void, tokens)
    demands: dict[str, _Demand] = field(default_factory=dict)  # by edge, oldest first
    asked: dict[str, float] = field(default_factory=dict)  # by edge: until when it counts

    def advance(self, now: float) -> None:
        """Fill, and forget what has run out."""
        self.level = min(self.capacity, self.level + self.rate * max(0.0, now - self.filled_at))
        self.filled_at = max(self.filled_at, now)
        while self.issues and self.issues[0][0] <= now:
            self.outstanding -= self.issues.popleft()[1]
        self.demands = {edge: demand for edge, demand in self.demands.items() if demand.until > now}
        self.asked = {edge: until for edge, until in self.asked.items() if until > now}

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


class QuotaIssuer:
    """The buckets of one core machine; of use only while it holds the leader lease."""

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._limits: dict[str, TenantLimit | None] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._lease_since = 0.0

    def lease_gained(self, now: float) -> None:
        """Begin with empty buckets."""
        self._lease_since = now
        self._buckets = {}

    def configure(self, now: float, limits: Mapping[str, TenantLimit | None]) -> None:
        """Put the tenants of a configuration in force; None for one without a limit."""
        for bucket in self._buckets.values():
            bucket.advance(now)
        self._limits = dict(limits)
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if limits.get(name) is not None}
        for name, bucket in self._buckets.items():
            self._resize(bucket, limits[name])

    def change_bounds(self, now: float, bounds: QuotaBounds) -> None:
        """Put other bounds in force."""
        self._bounds = bounds
        self.configure(now, self._limits)

    def issue(self, now: float, edge: str, wanted: Sequence[Wanted]) -> list[Issued]:
        """Answer an edge's demand, tenant by tenant."""
        return [self._issue(now, edge, want) for want in wanted]

    def _issue(self, now: float, edge: str, want: Wanted) -> Issued:
        if want.tenant not in self._limits:
            return Issued(want.tenant, 0, 0, _milliseconds(SHORTEST_RETRY_S))
        if self._limits[want.tenant] is None:
            return Issued(want.tenant, want.tokens, _milliseconds(LIFETIME_S), 0)
        bucket = self._bucket(now, want.tenant)
        bucket.asked[edge] = now + ASKED_S
        tokens = _decided(bucket, edge, want)
        if tokens:
            bucket.take(now, tokens)
        self._remember(bucket, now, edge, want, tokens)
        retry_s = 0.0 if tokens >= want.tokens else _retry_s(bucket, edge, max(1, want.least))
        return Issued(want.tenant, tokens, _milliseconds(bucket.lifetime_s), _milliseconds(retry_s))

    def _bucket(self, now: float, tenant: str) -> _Bucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(filled_at=self._lease_since)
            self._resize(bucket, self._limits[tenant])
        bucket.advance(now)
        return bucket

    def _remember(self, bucket: _Bucket, now: float, edge: str, want: Wanted, tokens: int) -> None:
        demand = bucket.demands.get(edge)
        if tokens:
            if demand is not None and tokens >= demand.tokens:
                del bucket.demands[edge]
        elif demand is None and want.least <= min(bucket.capacity, bucket.most_outstanding):
            bucket.demands[edge] = _Demand(want.least, now + RESERVED_S)

    def _resize(self, bucket: _Bucket, limit: TenantLimit | None) -> None:
        assert limit is not None
        bounds, rate = self._bounds, limit.rate_per_s
        allowance = bounds.overshoot * (rate * bounds.window_s + limit.burst)
        allowance += bounds.slack if limit.slack_counts else 0.0
        needed = OUTSTANDING_LIFETIMES * LIFETIME_S * rate
        beyond = ALLOWANCE_SHARE * allowance
        extra = min(limit.burst, max(0.0, LARGEST_SHARE * allowance - DELAY_S * rate - needed))
        total = limit.burst + beyond + extra  # capacity and outstanding tokens together never exceed this
        capacity = max(limit.burst + extra, SMALLEST_CAPACITY_S * rate)
        bucket.rate = rate
        bucket.most_outstanding = max(min(needed, total / 2.0), min(total - capacity, max(needed, beyond - extra)))
        bucket.capacity = min(capacity, total - bucket.most_outstanding)
        bucket.lifetime_s = _lifetime_s(bucket.most_outstanding, limit.rate_per_s)
        bucket.level = min(bucket.level, bucket.capacity)


def _lifetime_s(most_outstanding: float, rate: float) -> float:
    """Short enough for the full rate to pass in spite of the bound on outstanding tokens."""
    if rate <= 0:
        return LIFETIME_S
    return min(LIFETIME_S, max(SHORTEST_LIFETIME_S, most_outstanding / (OUTSTANDING_LIFETIMES * rate)))


def _decided(bucket: _Bucket, edge: str, want: Wanted) -> int:
    """How many tokens to issue: none, or the least and more while the bucket holds well more."""
    least = max(1, want.least)
    room = min(bucket.level - bucket.reserved_before(edge), bucket.most_outstanding - bucket.outstanding)
    if room < least or want.tokens <= 0:
        return 0
    ahead = AHEAD_SHARE * room / max(1, len(bucket.asked))
    return int(max(least, min(want.tokens, ahead)))


def _retry_s(bucket: _Bucket, edge: str, least: int) -> float:
    """When the bucket will hold so many tokens beyond what is kept for older demands."""
    missing = least + bucket.reserved_before(edge) - bucket.level
    wait = missing / bucket.rate if bucket.rate > 0 else LONGEST_RETRY_S
    return min(LONGEST_RETRY_S, max(SHORTEST_RETRY_S, wait))


def _milliseconds(seconds: float) -> int:
    return int(seconds * 1000.0)

"""Policy of the leader's quotas: shares, times, and how large a tenant's token bucket is.

The operator's rule allows a tenant rate x window + burst in any window, and an allowance beyond it (`QuotaBounds`).
The allowance is shared out once: the emergency rate of new leaders, and what is retained for tokens that are
outstanding and for the buckets of rate leases. The shares below sum to less than the whole.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the allowance.

# Issued by new leaders in a window while rate leases may run that are not known to them. Small: every change of
# leader adds it to what is leased.
EMERGENCY_SHARE = 0.06
# Retained for outstanding tokens, buckets of leases, and a larger bucket of the leader.
RETAINED_SHARE = 0.9
# Of the retained share, at least this goes to outstanding tokens.
OUTSTANDING_SHARE = 0.35

# Issued tokens.

# Issued tokens expire after this time, in seconds: several round trips, and short beside a window.
TOKEN_LIFETIME_S = 0.4
# Where the bound on outstanding tokens is tight they expire sooner, but no sooner than this, in seconds.
MIN_TOKEN_LIFETIME_S = 0.2
# Room for outstanding tokens, in token lifetimes at the full rate: beyond 1, since some expire unused.
OUTSTANDING_LIFETIMES = 1.25
# A bucket without a burst holds at least the rate of this many seconds, as it could not issue anything otherwise.
MIN_CAPACITY_S = 0.5

# Sharing a bucket among the edges.

# A request that could not be met keeps its place for this many seconds, so that large ones get their turn.
RESERVATION_S = 0.5
# An edge counts as one that requests tokens of a tenant for this many seconds.
ACTIVE_REQUESTER_S = 1.0
# Of an edge's even part of the bucket, this share is issued beyond what is of use now.
PREFETCH_SHARE = 0.5
# Bounds of the time after which an edge is to request again, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0

# What is leased.

# Of the rate, at most. The rest stays in the bucket: it is all that a new leader may issue at first.
LEASED_SHARE = 0.65
# The buckets of all leases together hold at most the rate of this many seconds.
MAX_LEASE_DEPTH_S = 4.0
# Of the leader's bucket, this share of the capacity is not deposited into buckets of leases.
DEPOSIT_RESERVE_SHARE = 0.15

# Times of a lease, in seconds.

# By how much the clocks of two machines may drift apart, as a share of the time.
CLOCK_DRIFT = 0.01
# A lease expires at its edge after this time. A new leader that does not know the leases waits for as long.
LEASE_DURATION_S = 5.0
# The full rate holds for this part of the time, ...
FULL_RATE_S = 3.0
# ... and from then on this share of it: a new leader may issue the rest earlier.
LATE_RATE_SHARE = 0.5
# By the leader's clock, a lease has expired at its edge after this time, ...
LEASE_EXPIRY_S = LEASE_DURATION_S * (1 + CLOCK_DRIFT)
# ... and its full rate after this.
FULL_RATE_EXPIRY_S = FULL_RATE_S * (1 + CLOCK_DRIFT)
# How long a promise holds that nothing will be leased; no longer than `LEASE_EXPIRY_S`, as new leaders wait for that.
NO_LEASE_S = LEASE_DURATION_S
# A promise that holds for less than this is not relied on.
MIN_NO_LEASE_S = 0.1
# An edge counts for the sharing of the leased rate for this time after its last report: several reports long.
ACTIVE_EDGE_S = 2.0
# The set of owners is persisted anew only to leave out names at most this often.
PRUNE_INTERVAL_S = 10.0

# Sharing the leased rate among the edges.

# Weight of an edge's own demand in what is expected of it; the mean over the edges has the rest, as clients move.
OWN_DEMAND_WEIGHT = 0.6
# An edge's lease is at most this multiple of what is expected of it.
DEMAND_HEADROOM = 1.5
# Nothing is leased where the buckets would hold fewer mean requests than this: the rate would lie idle.
MIN_REQUESTS_PER_LEASE = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """What the operator's rule allows beyond a tenant's limit, and over which window.

    Args:
        window_s: Length of a window.
        overshoot: Share of rate x window + burst that is allowed beyond it.
        slack: Tokens or requests that are allowed beyond it besides.
    """

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """A limit in force.

    Args:
        rate_per_s: Tokens or requests a second.
        burst: Tokens or requests.
        has_slack: The slack is in the unit of this tenant.
    """

    rate_per_s: float
    burst: float
    has_slack: bool = True


@dataclass(frozen=True, slots=True)
class BucketSize:
    """How large a tenant's token bucket is, in tokens; rates in tokens a second.

    Args:
        rate: The tenant's rate.
        emergency_rate: Rate of a new leader, beside what it knows not to be leased.
        max_outstanding: Tokens that are issued and may be unused.
        min_capacity: Capacity while all of `lease_depth` is leased.
        max_capacity: Capacity at most.
        lease_depth: What buckets of leases may hold; the leader's may hold what no lease does.
        token_lifetime_s: Lifetime of issued tokens.
    """

    rate: float = 0.0
    emergency_rate: float = 0.0
    max_outstanding: float = 0.0
    min_capacity: float = 0.0
    max_capacity: float = 0.0
    lease_depth: float = 0.0
    token_lifetime_s: float = TOKEN_LIFETIME_S

    @property
    def leased_rate(self) -> float:
        """Return the rate that may be leased, in tokens a second."""
        return LEASED_SHARE * self.rate

    @property
    def leased_depth(self) -> float:
        """Return the depth that may be leased, in tokens."""
        return min(self.lease_depth, MAX_LEASE_DEPTH_S * self.rate)


def bucket_size(bounds: QuotaBounds, limit: TenantLimit) -> BucketSize:
    """Return the size of a tenant's bucket: capacity, outstanding tokens and leases together stay within the rule."""
    rate = limit.rate_per_s
    allowance = bounds.overshoot * (rate * bounds.window_s + limit.burst)
    allowance += bounds.slack if limit.has_slack else 0.0
    retained = RETAINED_SHARE * allowance
    total = limit.burst + retained
    outstanding = max(OUTSTANDING_LIFETIMES * TOKEN_LIFETIME_S * rate, OUTSTANDING_SHARE * retained)
    max_outstanding = min(outstanding, total / 2.0)
    min_capacity = min(max(limit.burst, MIN_CAPACITY_S * rate), total - max_outstanding)
    # Tokens of a leader that has just ended may be outstanding beside those that its successor fills in.
    predecessor_tokens = max(0.0, TOKEN_LIFETIME_S * rate - limit.burst)
    return BucketSize(
        rate=rate,
        emergency_rate=EMERGENCY_SHARE * allowance / bounds.window_s,
        max_outstanding=max_outstanding,
        min_capacity=min_capacity,
        max_capacity=min_capacity + limit.burst,
        lease_depth=max(0.0, total - max_outstanding - min_capacity - predecessor_tokens),
        token_lifetime_s=_token_lifetime_s(max_outstanding, rate),
    )


def _token_lifetime_s(max_outstanding: float, rate: float) -> float:
    """Return a lifetime that is short enough for the full rate to pass within the bound on outstanding tokens."""
    if rate <= 0:
        return TOKEN_LIFETIME_S
    return min(TOKEN_LIFETIME_S, max(MIN_TOKEN_LIFETIME_S, max_outstanding / (OUTSTANDING_LIFETIMES * rate)))

"""Quota policy of the leader: shares, durations, and the size of a tenant's token bucket.

The operator's rule allows a tenant rate x window + burst in any window, and an allowance beyond it (`QuotaBounds`).
The allowance is divided between the emergency rate of new leaders and a retained share for outstanding tokens and the
buckets of rate leases. The shares below sum to less than 1.
"""

from __future__ import annotations

from dataclasses import dataclass

# Shares of the allowance.

# Share that new leaders issue per window while unknown rate leases may be in force. It is small because every change
# of leader adds it to the leased rate.
EMERGENCY_SHARE = 0.06
# Share retained for outstanding tokens, buckets of leases, and a larger bucket of the leader.
RETAINED_SHARE = 0.9
# Minimum part of the retained share that goes to outstanding tokens.
OUTSTANDING_SHARE = 0.35

# Issued tokens.

# Lifetime of issued tokens in seconds: several round trips, and short compared to a window.
TOKEN_LIFETIME_S = 0.4
# Minimum lifetime in seconds, where a tight bound on outstanding tokens requires a shorter one.
MIN_TOKEN_LIFETIME_S = 0.2
# Bound on outstanding tokens, in token lifetimes at the full rate: above 1, since some expire unused.
OUTSTANDING_LIFETIMES = 1.25
# Minimum capacity of a bucket, in seconds at the full rate: without it, a burst of 0 would allow no tokens at all.
MIN_CAPACITY_S = 0.5

# Sharing a bucket among the edges.

# Duration in seconds of the reservation for an unmet request, so that large requests are served eventually.
RESERVATION_S = 0.5
# Time in seconds after its last request during which an edge counts as active for a tenant.
ACTIVE_REQUESTER_S = 1.0
# Share of an edge's equal part of the bucket that may be issued beyond the minimum it requested.
PREFETCH_SHARE = 0.5
# Bounds of the retry delay sent to edges, in seconds.
MIN_RETRY_S = 0.05
MAX_RETRY_S = 5.0

# Leased part of the rate.

# Maximum share of the rate that is leased. A new leader may at first issue only the unleased rest.
LEASED_SHARE = 0.65
# Maximum depth of the buckets of all leases together, in seconds at the full rate.
MAX_LEASE_DEPTH_S = 4.0
# Share of the capacity of the leader's bucket that is not deposited into buckets of leases.
DEPOSIT_RESERVE_SHARE = 0.15

# Durations, in seconds.

# Maximum relative drift between the clocks of two machines.
CLOCK_DRIFT = 0.01
# A lease expires at its edge after this time. A new leader that does not know the earlier leases waits as long.
LEASE_DURATION_S = 5.0
# The full rate of a lease is in force for this time.
FULL_RATE_S = 3.0
# Share of the full rate that is in force afterwards, so that a new leader may issue the rest earlier.
LATE_RATE_SHARE = 0.5
# Time by the leader's clock after which a lease has expired at its edge.
LEASE_EXPIRY_S = LEASE_DURATION_S * (1 + CLOCK_DRIFT)
# Time by the leader's clock after which the full rate has ended at the edge.
FULL_RATE_EXPIRY_S = FULL_RATE_S * (1 + CLOCK_DRIFT)
# Duration of a no-lease promise; at most `LEASE_EXPIRY_S`, the time that new leaders wait.
NO_LEASE_S = LEASE_DURATION_S
# A no-lease promise with less remaining time than this is ignored.
MIN_NO_LEASE_S = 0.1
# Time after its last report during which an edge counts in the sharing of the leased rate: several report intervals.
ACTIVE_EDGE_S = 2.0
# Minimum interval between updates of the persisted owners that only remove expired ones.
PRUNE_INTERVAL_S = 10.0

# Sharing the leased rate among the edges.

# Weight of an edge's own demand in its expected demand; the rest is the mean over all edges, as clients move.
OWN_DEMAND_WEIGHT = 0.6
# Maximum rate of an edge's lease, as a multiple of its expected demand.
DEMAND_HEADROOM = 1.5
# No rate is leased if the buckets would hold fewer mean-sized requests than this: the leased rate would go unused.
MIN_REQUESTS_PER_LEASE = 2.0


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """The operator's rule: the window, and the allowance beyond a tenant's limit.

    Args:
        window_s: Length of the window in seconds.
        overshoot: Allowed excess as a share of rate x window + burst.
        slack: Additional allowed excess, in tokens or requests.
    """

    window_s: float
    overshoot: float
    slack: float


@dataclass(frozen=True, slots=True)
class TenantLimit:
    """Rate limit of a tenant.

    Args:
        rate_per_s: Rate in tokens or requests per second.
        burst: Burst in tokens or requests.
        has_slack: Whether `QuotaBounds.slack` is in the unit of this tenant and applies to it.
    """

    rate_per_s: float
    burst: float
    has_slack: bool = True


@dataclass(frozen=True, slots=True)
class BucketSize:
    """Size of a tenant's token bucket, in tokens; rates are in tokens per second.

    Args:
        rate: Rate of the tenant.
        emergency_rate: Additional rate of a new leader, beside the part that is known not to be leased.
        max_outstanding: Maximum number of tokens that are issued and not expired.
        min_capacity: Capacity while all of `lease_depth` is leased.
        max_capacity: Maximum capacity.
        lease_depth: Depth shared by the buckets of leases and the leader's bucket, which may hold the unleased part.
        token_lifetime_s: Lifetime of issued tokens in seconds.
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
        """Return the rate that may be leased, in tokens per second."""
        return LEASED_SHARE * self.rate

    @property
    def leased_depth(self) -> float:
        """Return the depth that may be leased, in tokens."""
        return min(self.lease_depth, MAX_LEASE_DEPTH_S * self.rate)


def bucket_size(bounds: QuotaBounds, limit: TenantLimit) -> BucketSize:
    """Return the bucket size for which capacity, outstanding tokens and leases together stay within the rule."""
    rate = limit.rate_per_s
    allowance = bounds.overshoot * (rate * bounds.window_s + limit.burst)
    allowance += bounds.slack if limit.has_slack else 0.0
    retained = RETAINED_SHARE * allowance
    total = limit.burst + retained
    outstanding = max(OUTSTANDING_LIFETIMES * TOKEN_LIFETIME_S * rate, OUTSTANDING_SHARE * retained)
    max_outstanding = min(outstanding, total / 2.0)
    min_capacity = min(max(limit.burst, MIN_CAPACITY_S * rate), total - max_outstanding)
    # Tokens issued by the previous leader may still be outstanding while its successor fills its own bucket.
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
    """Return a token lifetime at which the full rate can be issued within the bound on outstanding tokens."""
    if rate <= 0:
        return TOKEN_LIFETIME_S
    return min(TOKEN_LIFETIME_S, max(MIN_TOKEN_LIFETIME_S, max_outstanding / (OUTSTANDING_LIFETIMES * rate)))

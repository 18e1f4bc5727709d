"""Rate leases granted by the leader: the part of a tenant's rate that an edge may use without requesting tokens.

This module does no I/O. `RateLeases.renew` grants a lease. A lease consists of a rate and of the depth of the token
bucket that the rate fills at the edge; both end with the lease. In the last part of its duration only a share of the
rate is in force.

The leader keeps an upper bound on the lease of each edge: the maximum of what the edge reported and what it was
granted since, until its next report or until both have expired. An edge applies only the answer to its newest report,
so a report covers all that the edge holds or will hold. The sum of the bounds never exceeds the budget of the tenant.

A new leader does not know the leases of earlier leaders. Until all of these have expired, it leases only what edges
have reported in its own term: the first report of an owner is part of what the previous leader had leased. If the
leader knows the names of all edges that may own leases (`rate_lease_owners`), it waits only for their reports.

No-lease promises: if a lease would hold too few requests, nothing is leased, and the leader promises the edges not to
lease anything for some time. If an edge reports such a promise to a new leader, no leases are in force: the previous
leader kept its promise, and no leader grants new leases before all promises of its predecessors have expired. A
leader that does not wait that long learns of the promises from the edges whose reports it waits for.

Sources: Gray and Cheriton, "Leases", SOSP 1989; Bertsekas and Gallager, "Data Networks", 1992 (max-min fairness).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport

from .quota_policy import (
    ACTIVE_EDGE_S,
    CLOCK_DRIFT,
    DEMAND_HEADROOM,
    FULL_RATE_EXPIRY_S,
    FULL_RATE_S,
    LATE_RATE_SHARE,
    LEASE_DURATION_S,
    LEASE_EXPIRY_S,
    MIN_REQUESTS_PER_LEASE,
    NO_LEASE_S,
    OWN_DEMAND_WEIGHT,
)


@dataclass(frozen=True, slots=True)
class LeaseOwner:
    """A process of an edge; a restarted edge is a new owner."""

    edge: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class LeaseBudget:
    """Rate in tokens per second and depth in tokens, of one lease or of all leases of a tenant together."""

    rate: float
    depth: float


NO_BUDGET = LeaseBudget(0.0, 0.0)


@dataclass(slots=True)
class LeaseBound:
    """Upper bound on the lease of one owner, and its last reported demand. Times are monotonic, in seconds."""

    rate: float = 0.0  # in force at present: the full or the late rate
    full_rate: float = 0.0
    depth: float = 0.0
    expires_at: float = 0.0
    demand: float = 0.0  # tokens per second
    mean_request_tokens: float = 0.0
    reported_at: float = 0.0

    def expire(self, now: float) -> None:
        """Clear the bound if the lease has expired, or lower it to the late rate."""
        if now >= self.expires_at:
            self.rate = self.depth = 0.0
        elif now >= self.expires_at - (LEASE_EXPIRY_S - FULL_RATE_EXPIRY_S):
            self.rate = min(self.rate, LATE_RATE_SHARE * self.full_rate)

    def is_active(self, now: float) -> bool:
        """Return whether the owner has reported within `ACTIVE_EDGE_S`."""
        return now < self.reported_at + ACTIVE_EDGE_S

    def adopt(self, now: float, report: LeaseReport) -> None:
        """Set the bound to a reported lease of an earlier leader."""
        self.rate = self.full_rate = report.rate
        self.depth, self.expires_at = report.depth, now + report.remaining_s * (1 + CLOCK_DRIFT)

    def lower(self, now: float, report: LeaseReport) -> None:
        """Lower the bound to the reported lease."""
        self.full_rate, self.depth = min(self.full_rate, report.rate), min(self.depth, report.depth)
        self.rate = self.full_rate
        self.expires_at = min(self.expires_at, now + report.remaining_s * (1 + CLOCK_DRIFT))
        self.expire(now)

    def raise_to(self, now: float, granted: LeaseBudget) -> None:
        """Raise the bound to a lease granted now."""
        self.rate, self.full_rate = max(self.rate, granted.rate), max(self.full_rate, granted.rate)
        self.depth, self.expires_at = max(self.depth, granted.depth), max(self.expires_at, now + LEASE_EXPIRY_S)


class RateLeases:
    """The leases of one tenant in one term of this leader.

    Args:
        budget: Maximum of all leases of the tenant together.
        leases_known_at: Monotonic time in seconds when all leases of earlier leaders have expired.
    """

    def __init__(self, budget: LeaseBudget, leases_known_at: float) -> None:
        self._budget = budget
        self._leases_known_at = leases_known_at
        self._adopted = NO_BUDGET  # sum of the leases of earlier leaders reported in this term
        self._bounds: dict[LeaseOwner, LeaseBound] = {}
        self._no_lease_until = -math.inf  # end of the no-lease promises by this leader and earlier ones
        self._useful_at = -math.inf  # when leases were last found useful
        self._is_none_running = False  # no lease of an earlier leader is in force

    @property
    def rate(self) -> float:
        """Return the sum of the rates that owners may hold, as of the last update."""
        return sum(bound.rate for bound in self._bounds.values())

    @property
    def depth(self) -> float:
        """Return the sum of the depths that owners may hold, as of the last update."""
        return sum(bound.depth for bound in self._bounds.values())

    def unreported_rate(self, *, late: bool) -> float:
        """Return the rate that earlier leaders may have leased and that has not been reported in this term.

        Args:
            late: Whether all earlier leases are at their late rate.
        """
        unreported = max(0.0, self._budget.rate - self._adopted.rate)
        return LATE_RATE_SHARE * unreported if late else unreported

    def active_edges(self, now: float) -> int:
        """Return the number of owners that have reported within `ACTIVE_EDGE_S`."""
        return sum(1 for bound in self._bounds.values() if bound.is_active(now))

    def resize(self, budget: LeaseBudget) -> None:
        """Set the budget for future grants; the bounds of existing leases are unchanged."""
        self._budget = budget

    def on_none_running(self) -> None:
        """Handle that no lease of an earlier leader is in force."""
        self._is_none_running = True

    def on_all_reported(self, now: float) -> None:
        """Handle that all leases of earlier leaders still in force have been reported in this term."""
        self._leases_known_at = min(self._leases_known_at, now)

    def expire(self, now: float) -> None:
        """Expire bounds, and remove inactive owners without a lease."""
        for bound in self._bounds.values():
            bound.expire(now)
        self._bounds = {
            owner: bound
            for owner, bound in self._bounds.items()
            if now < bound.expires_at or bound.is_active(now) or now < self._leases_known_at
        }

    def release(self, now: float, owner: LeaseOwner) -> None:
        """Remove an owner whose process is shutting down and has released its lease."""
        self.expire(now)
        self._bounds.pop(owner, None)

    def apply_report(self, now: float, owner: LeaseOwner, report: LeaseReport) -> None:
        """Apply an owner's newest report of this term without a grant; the owner keeps its present lease."""
        self.expire(now)
        self._apply(now, owner, report)

    def renew(self, now: float, owner: LeaseOwner, report: LeaseReport) -> LeaseGrant:
        """Apply an owner's newest report of this term, and grant the lease that replaces its present one."""
        self.apply_report(now, owner, report)
        granted = self._grantable(now, owner)
        self._bounds[owner].raise_to(now, granted)
        return LeaseGrant(
            report.tenant,
            rate=granted.rate,
            depth=granted.depth,
            full_rate_s=FULL_RATE_S,
            late_rate_share=LATE_RATE_SHARE,
            lifetime_s=LEASE_DURATION_S,
            no_lease_s=self._promise_no_lease(now),
        )

    def _apply(self, now: float, owner: LeaseOwner, report: LeaseReport) -> None:
        bound = self._bounds.get(owner)
        if bound is None:
            bound = self._bounds[owner] = LeaseBound()
            if now < self._leases_known_at:
                self._adopt(now, bound, report)
        elif now < bound.expires_at:
            bound.lower(now, report)
        bound.demand, bound.mean_request_tokens, bound.reported_at = report.demand, report.mean_request_tokens, now

    def _adopt(self, now: float, bound: LeaseBound, report: LeaseReport) -> None:
        """Adopt a reported lease and no-lease promise of an earlier leader."""
        bound.adopt(now, report)
        self._adopted = LeaseBudget(self._adopted.rate + report.rate, self._adopted.depth + report.depth)
        self._no_lease_until = max(self._no_lease_until, now + report.no_lease_s * (1 + CLOCK_DRIFT))

    def _grantable(self, now: float, owner: LeaseOwner) -> LeaseBudget:
        """Return the lease to grant to an owner that has just reported."""
        if not self._is_useful(now):
            return NO_BUDGET
        self._useful_at = now
        if now < self._no_lease_until:
            return NO_BUDGET
        available = self._available(now)
        others = [bound for other, bound in self._bounds.items() if other != owner]
        unheld_rate = available.rate - sum(bound.rate for bound in others)
        unheld_depth = available.depth - sum(bound.depth for bound in others)
        rate = min(self._fair_rate(now, owner, available.rate), unheld_rate)
        depth = min(self._budget.depth / self.active_edges(now), unheld_depth)
        return LeaseBudget(rate, depth) if rate > 0 and depth > 0 else NO_BUDGET

    def _available(self, now: float) -> LeaseBudget:
        """Return the budget for all leases; until earlier leases are known, it is limited to what was reported."""
        budget, adopted = self._budget, self._adopted
        if now >= self._leases_known_at:
            return budget
        return LeaseBudget(min(budget.rate, adopted.rate), min(budget.depth, adopted.depth))

    def _is_useful(self, now: float) -> bool:
        """Return whether an equal share of the depth holds more than `MIN_REQUESTS_PER_LEASE` mean requests."""
        means = [bound.mean_request_tokens for bound in self._bounds.values() if bound.is_active(now)]
        return self._budget.depth > MIN_REQUESTS_PER_LEASE * sum(means)

    def _promise_no_lease(self, now: float) -> float:
        """Promise not to lease anything if no lease is in force; return the duration in seconds, 0 for no promise."""
        may_any_run = now < self._leases_known_at and not self._is_none_running
        if may_any_run or now < self._useful_at + ACTIVE_EDGE_S or self.rate > 0:
            return 0.0
        self._no_lease_until = now + NO_LEASE_S
        return NO_LEASE_S

    def _fair_rate(self, now: float, owner: LeaseOwner, available: float) -> float:
        """Return an owner's share of a rate: demand plus headroom if there is enough for all, else max-min fair."""
        active = [bound.demand for bound in self._bounds.values() if bound.is_active(now)]
        mean = sum(active) / len(active)
        expected = [_expected_demand(demand, mean) for demand in active]
        own = _expected_demand(self._bounds[owner].demand, mean)
        spare = available - sum(expected)
        if spare >= 0:
            return min(own + spare / len(active), DEMAND_HEADROOM * own)
        return min(own, max_min_fair_level(expected, available))


def _expected_demand(own: float, mean: float) -> float:
    return OWN_DEMAND_WEIGHT * own + (1 - OWN_DEMAND_WEIGHT) * mean


def max_min_fair_level(demands: list[float], available: float) -> float:
    """Return the cap on each demand at which their sum equals what is available; the largest demand if all fit."""
    remaining, unserved = available, len(demands)
    for demand in sorted(demands):
        if demand * unserved >= remaining:
            return remaining / unserved
        remaining -= demand
        unserved -= 1
    return max(demands, default=0.0)

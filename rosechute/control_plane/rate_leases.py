"""The leader's side of rate leases: which edge may spend how much of a tenant's rate without asking.

Pure. A lease is a rate and the depth of the store that it fills; both end with the lease, and the store with them.
For the later part of its time only a share of the rate holds.
What an edge may hold is reckoned from above: the greater of what it reported and what it was granted since, until its
next report, or until both have run out. An edge takes only the answer to its newest report, so a report tells all
that the edge holds and will hold. The reckoned rates together never exceed the rate to lease, nor the depths theirs.

A new leader does not know who holds what. Until all earlier leases have run out, it leases only what edges have
reported to it in its own term: each holder's first report is a part of what the leader before had reckoned. Where it
knows the names of all edges that may hold any (`lease_holders`), it need wait for their reports only.

Where a store's part would be too small for the requests, nothing is leased, and edges are told that nothing will be
for a while. A new leader to which an edge reports such a word, not yet run out, knows that no leases run: the leader
before kept to it, and every leader leases nothing new before all words of its predecessors have run out. A leader
that need not wait for that long is told of them by the edges that it does wait for.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from rosechute.routing.lease_exchange import LeaseGrant, LeaseReport

LEASE_DURATION_S = 5.0  # how long a lease lasts
CLOCK_DRIFT = 0.01  # by which clocks of two machines may run apart
FULL_RATE_S = 3.0  # of that at the full rate, and from then on at a part of it: the less a new leader has to wait for
LATE_RATE_SHARE = 0.5  # of the rate, after that
LEASE_EXPIRY_S = LEASE_DURATION_S * (
    1 + CLOCK_DRIFT
)  # after so long, by the leader's clock, a lease has run out at its edge
FULL_RATE_EXPIRY_S = FULL_RATE_S * (1 + CLOCK_DRIFT)  # the same, for its full rate
NO_LEASE_S = (
    LEASE_DURATION_S  # for so long an edge is told that nothing will be leased; not longer than LEASE_EXPIRY_S
)
MIN_NO_LEASE_S = 0.1  # what has to remain of that to be relied on
ACTIVE_EDGE_S = 2.0  # how long an edge counts for the sharing after its last report
OWN_DEMAND_WEIGHT = 0.6  # of an edge's own demand in what is expected of it; the rest is the mean over the edges
DEMAND_HEADROOM = 1.5  # an edge's lease at most, as a multiple of what is expected of it
MIN_REQUESTS_PER_LEASE = 2.0  # leases whose stores hold fewer mean requests than this are not worth their rate
NOTHING = 0.0


@dataclass(frozen=True, slots=True)
class LeaseOwner:
    """An edge's process: after a restart it is another one."""

    edge: str
    boot: int


@dataclass(frozen=True, slots=True)
class LeaseBudget:
    """All leases of one tenant together, at most."""

    rate: float
    depth: float


@dataclass(slots=True)
class _Reckoned:
    """What one holder may hold at most, until when; and its last report's demand."""

    rate: float = 0.0  # now
    granted: float = 0.0  # the full rate
    depth: float = 0.0
    until: float = 0.0
    demand: float = 0.0
    request_mean: float = 0.0
    reported_at: float = 0.0

    def expire(self, now: float) -> None:
        """End, or fall to the late rate."""
        if now >= self.until:
            self.rate = self.depth = NOTHING
        elif now >= self.until - (LEASE_EXPIRY_S - FULL_RATE_EXPIRY_S):
            self.rate = min(self.rate, LATE_RATE_SHARE * self.granted)


class RateLeases:
    """The leases of one tenant, under one leader's term."""

    def __init__(self, totals: LeaseBudget, known_from: float) -> None:
        self._totals = totals
        self._known_from = known_from  # when all leases of earlier leaders have run out
        self._adopted = LeaseBudget(NOTHING, NOTHING)
        self._holders: dict[LeaseOwner, _Reckoned] = {}
        self._bare_until = -math.inf  # told to edges
        self._wanted_at = -math.inf  # when leases were of use last
        self._none_run = False  # an edge brought the word of the leader before

    @property
    def rate(self) -> float:
        """The rate that may be held, as reckoned at the last call."""
        return sum(each.rate for each in self._holders.values())

    @property
    def depth(self) -> float:
        """The depth of all stores, as reckoned at the last call."""
        return sum(each.depth for each in self._holders.values())

    def unknown(self, late: bool) -> float:
        """The rate that earlier leaders may have leased and that was not reported here; `late` for the late rate."""
        unknown = max(0.0, self._totals.rate - self._adopted.rate)
        return LATE_RATE_SHARE * unknown if late else unknown

    def resize(self, totals: LeaseBudget) -> None:
        """The limit has changed. What is held stays reckoned."""
        self._totals = totals

    def none_run(self) -> None:
        """It has become known that no leases of earlier leaders run."""
        self._none_run = True

    def all_known(self, now: float) -> None:
        """It has become known that leases of earlier leaders run only where they were reported here."""
        self._known_from = min(self._known_from, now)

    def expire(self, now: float) -> None:
        """Forget what has run out."""
        for each in self._holders.values():
            each.expire(now)
        self._holders = {
            holder: each
            for holder, each in self._holders.items()
            if now < each.until or now < each.reported_at + ACTIVE_EDGE_S or now < self._known_from
        }

    def active(self, now: float) -> int:
        """How many edges have reported lately."""
        return sum(1 for each in self._holders.values() if now < each.reported_at + ACTIVE_EDGE_S)

    def report(self, now: float, holder: LeaseOwner, report: LeaseReport) -> LeaseGrant:
        """Take an edge's newest report of this term and answer it."""
        self.expire(now)
        self._take(now, holder, report)
        rate, depth = self._grantable(now, holder)
        held = self._holders[holder]
        held.rate, held.granted = max(held.rate, rate), max(held.granted, rate)
        held.depth, held.until = max(held.depth, depth), max(held.until, now + LEASE_EXPIRY_S)
        return LeaseGrant(
            report.tenant, rate, depth, FULL_RATE_S, LATE_RATE_SHARE, LEASE_DURATION_S, bare_s=self._bare_s(now)
        )

    def _take(self, now: float, holder: LeaseOwner, report: LeaseReport) -> None:
        held = self._holders.get(holder)
        if held is None:
            held = self._holders[holder] = _Reckoned()
            if now < self._known_from:
                self._adopt(now, held, report)
        elif now < held.until:
            held.granted, held.depth = min(held.granted, report.rate), min(held.depth, report.depth)
            held.rate = held.granted
            held.until = min(held.until, now + report.remaining_s * (1 + CLOCK_DRIFT))
            held.expire(now)
        held.demand, held.request_mean, held.reported_at = report.demand, report.request_mean, now

    def _adopt(self, now: float, held: _Reckoned, report: LeaseReport) -> None:
        held.rate = held.granted = report.rate
        held.depth, held.until = report.depth, now + report.remaining_s * (1 + CLOCK_DRIFT)
        self._adopted = LeaseBudget(self._adopted.rate + report.rate, self._adopted.depth + report.depth)
        self._bare_until = max(self._bare_until, now + report.bare_s * (1 + CLOCK_DRIFT))

    def _available(self, now: float) -> LeaseBudget:
        """What may be leased in all."""
        if now >= self._known_from:
            return self._totals
        totals, adopted = self._totals, self._adopted
        return LeaseBudget(min(totals.rate, adopted.rate), min(totals.depth, adopted.depth))

    def _grantable(self, now: float, holder: LeaseOwner) -> tuple[float, float]:
        """The rate and the depth that may be granted."""
        if not self._useful(now):
            return NOTHING, NOTHING
        self._wanted_at = now
        if now < self._bare_until:
            return NOTHING, NOTHING
        available = self._available(now)
        others = [each for other, each in self._holders.items() if other != holder]
        rate = min(self._fair_rate(now, holder, available.rate), available.rate - sum(each.rate for each in others))
        depth = min(self._totals.depth / self.active(now), available.depth - sum(each.depth for each in others))
        return (rate, depth) if rate > 0 and depth > 0 else (NOTHING, NOTHING)

    def _useful(self, now: float) -> bool:
        """Whether a store of an even part of the depth holds several requests."""
        means = [each.request_mean for each in self._holders.values() if now < each.reported_at + ACTIVE_EDGE_S]
        return self._totals.depth > MIN_REQUESTS_PER_LEASE * sum(means)

    def _bare_s(self, now: float) -> float:
        """Give the word that nothing will be leased, and for how long."""
        unknown = now < self._known_from and not self._none_run
        if unknown or now < self._wanted_at + ACTIVE_EDGE_S or self.rate > 0:
            return 0.0
        self._bare_until = now + NO_LEASE_S
        return NO_LEASE_S

    def _fair_rate(self, now: float, holder: LeaseOwner, available: float) -> float:
        """By demand: with headroom where there is enough for all, else the greatest the same for all."""
        active = [each.demand for each in self._holders.values() if now < each.reported_at + ACTIVE_EDGE_S]
        mean = sum(active) / len(active)
        expected = [OWN_DEMAND_WEIGHT * demand + (1 - OWN_DEMAND_WEIGHT) * mean for demand in active]
        own = OWN_DEMAND_WEIGHT * self._holders[holder].demand + (1 - OWN_DEMAND_WEIGHT) * mean
        spare = available - sum(expected)
        if spare >= 0:
            return min(own + spare / len(active), DEMAND_HEADROOM * own)
        return min(own, max_min_fair_level(expected, available))


def max_min_fair_level(demands: list[float], available: float) -> float:
    """The level at which demands have to be cut for their sum to be what is available."""
    left, rest = available, len(demands)
    for demand in sorted(demands):
        if demand * rest >= left:
            return left / rest
        left -= demand
        rest -= 1
    return max(demands, default=0.0)

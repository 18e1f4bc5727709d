"""The leader's token bucket of one tenant, from which tokens are issued to edges.

This module does no I/O. The bucket fills at the unleased part of the rate. Until the leases of earlier leaders are
known or have expired, it fills only at the rate that is certainly not leased plus a small emergency rate.

An unmet request reserves its tokens for a short time, in the order of arrival, and later requests may not use them.
This prevents the starvation of large requests and of edges that request rarely.

Source: RFC 2215, 3.1 (token bucket).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from .quota_policy import (
    ACTIVE_REQUESTER_S,
    DEPOSIT_RESERVE_SHARE,
    MAX_RETRY_S,
    MIN_RETRY_S,
    PREFETCH_SHARE,
    RESERVATION_S,
    BucketSize,
)
from .rate_leases import LeaseBudget, RateLeases


@dataclass(frozen=True, slots=True)
class TokenDemand:
    """An edge's request for tokens of one tenant; the edge cannot use fewer than `minimum`."""

    tenant: str
    tokens: int
    minimum: int


class OutstandingTokens(NamedTuple):
    """Tokens that have been issued and have not expired."""

    expires_at: float
    tokens: int


class Reservation(NamedTuple):
    """Tokens reserved for an edge whose request could not be met."""

    tokens: int
    expires_at: float


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of one tenant in one term of this leader. Times are monotonic, in seconds.

    Args:
        leases: The tenant's rate leases in this term.
        late_rate_from: Time from which all leases of earlier leaders are at their late rate.
        leases_known_at: Time from which all leases in force are known, at the latest when earlier ones have expired.
        filled_at: Time of the last update of `level`; initially the start of the term.
    """

    leases: RateLeases
    late_rate_from: float
    leases_known_at: float
    filled_at: float = 0.0
    size: BucketSize = BucketSize()
    level: float = 0.0
    outstanding: float = 0.0
    issues: deque[OutstandingTokens] = field(default_factory=deque)  # oldest first
    reservations: dict[str, Reservation] = field(default_factory=dict)  # by edge, oldest first
    active_until: dict[str, float] = field(default_factory=dict)  # by edge; the end of its activity

    @property
    def capacity(self) -> float:
        """Return the capacity in tokens; it decreases with the depth of the leases."""
        if self.filled_at < self.leases_known_at:
            return self.size.min_capacity
        unleased_depth = max(0.0, self.size.lease_depth - self.leases.depth)
        return min(self.size.max_capacity, self.size.min_capacity + unleased_depth)

    # Filling

    def advance(self, now: float) -> None:
        """Fill the bucket up to `now`, and remove expired leases, tokens, reservations and edges."""
        self._fill(min(now, self.leases_known_at, self.late_rate_from), self._conservative_rate(late=False))
        self._fill(min(now, self.leases_known_at), self._conservative_rate(late=True))
        self._fill(now, self._unleased_rate())
        self.leases.expire(now)
        while self.issues and self.issues[0].expires_at <= now:
            self.outstanding -= self.issues.popleft().tokens
        self.reservations = {edge: each for edge, each in self.reservations.items() if each.expires_at > now}
        self.active_until = {edge: until for edge, until in self.active_until.items() if until > now}

    def fill_rate(self) -> float:
        """Return the current fill rate in tokens per second."""
        if self.filled_at < self.leases_known_at:
            return self._conservative_rate(late=self.filled_at >= self.late_rate_from)
        return self._unleased_rate()

    def clip(self) -> None:
        """Limit the level to the capacity after a change of the capacity."""
        self.level = min(self.level, self.capacity)

    def resize(self, size: BucketSize) -> None:
        """Set the size of the bucket and the budget of its leases."""
        self.size = size
        self.leases.resize(LeaseBudget(size.leased_rate, size.leased_depth))
        self.clip()

    def on_no_leases_running(self, now: float) -> None:
        """Handle that all leases of earlier leaders are known to have expired."""
        self.leases_known_at = min(self.leases_known_at, now)
        self.leases.on_none_running()

    def on_all_leases_reported(self, now: float) -> None:
        """Handle that all leases of earlier leaders still in force have been reported in this term."""
        self.advance(now)
        self.leases_known_at = min(self.leases_known_at, now)
        self.leases.on_all_reported(now)

    def _fill(self, until: float, rate: float) -> None:
        self.level += rate * max(0.0, until - self.filled_at)
        self.filled_at = max(self.filled_at, until)
        self.clip()

    def _unleased_rate(self) -> float:
        return max(0.0, self.size.rate - self.leases.rate)

    def _conservative_rate(self, *, late: bool) -> float:
        """Return the fill rate while unknown leases may be in force."""
        unleased = max(0.0, self.size.rate - self.leases.rate - self.leases.unreported_rate(late=late))
        return unleased + self.size.emergency_rate

    # Issuing

    def issue(self, now: float, edge: str, demand: TokenDemand) -> int:
        """Issue tokens to an edge, or reserve them; return the number of issued tokens."""
        self.active_until[edge] = now + ACTIVE_REQUESTER_S
        tokens = self._issuable(edge, demand)
        if tokens:
            self.remove(now, tokens)
        self._update_reservation(now, edge, demand, tokens)
        return tokens

    def remove(self, now: float, tokens: int) -> None:
        """Remove tokens from the bucket; they are outstanding until they expire."""
        self.level -= tokens
        self.outstanding += tokens
        self.issues.append(OutstandingTokens(now + self.size.token_lifetime_s, tokens))

    def retry_after_s(self, edge: str, minimum: int) -> float:
        """Return the delay in seconds until the bucket holds `minimum` tokens beyond those reserved for others."""
        missing = minimum + self._reserved_before(edge) - self.level
        rate = self.fill_rate()
        wait_s = missing / rate if rate > 0 else MAX_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    def depositable(self, now: float, missing: float) -> int:
        """Return the number of tokens to deposit into the bucket of a lease with `missing` tokens of free depth.

        Nothing is deposited while requests have reservations or unknown leases may be in force.
        """
        if self.reservations or now < self.leases_known_at:
            return 0
        spare_level = self.level - DEPOSIT_RESERVE_SHARE * self.capacity
        spare = min(spare_level, self.size.max_outstanding / 2.0 - self.outstanding)
        return int(max(0.0, min(missing, spare / max(1, self.leases.active_edges(now)))))

    def _issuable(self, edge: str, demand: TokenDemand) -> int:
        """Return the number of tokens to issue: 0, or at least the minimum, and more if the bucket has enough."""
        minimum = max(1, demand.minimum)
        available = min(self.level - self._reserved_before(edge), self.size.max_outstanding - self.outstanding)
        if available < minimum or demand.tokens <= 0:
            return 0
        prefetch = PREFETCH_SHARE * available / max(1, len(self.active_until))
        return int(max(minimum, min(demand.tokens, prefetch)))

    def _reserved_before(self, edge: str) -> int:
        """Return the tokens reserved before the reservation of this edge, or all reserved tokens if it has none."""
        reserved = 0
        for other, reservation in self.reservations.items():
            if other == edge:
                break
            reserved += reservation.tokens
        return reserved

    def _update_reservation(self, now: float, edge: str, demand: TokenDemand, issued: int) -> None:
        """Add a reservation for an unmet request unless it can never be met; remove a reservation that was met."""
        reservation = self.reservations.get(edge)
        if issued:
            if reservation is not None and issued >= reservation.tokens:
                del self.reservations[edge]
        elif reservation is None and demand.minimum <= min(self.capacity, self.size.max_outstanding):
            self.reservations[edge] = Reservation(demand.minimum, now + RESERVATION_S)

"""Tokens and waiting requests of one tenant at an edge.

Tokens have two sources: the leader issues tokens on request, which expire some time after the request was sent, and a
rate lease accrues tokens. Issued tokens are used first, in the order of their expiry.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from .demand_meter import DemandMeter
from .lease_exchange import LeaseReport
from .rate_lease import RateLease
from .token_cache_policy import (
    ACCRUAL_WAIT_S,
    ELECTION_S,
    MAX_WAIT_S,
    MIN_LEASE_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    NO_LEADER_WAIT_S,
    REPORT_AFTER_DEMAND_S,
)
from .token_exchange import TokenIssue, TokenRequest
from .waiting_queue import Decision, WaitingQueue, WaitingRequest


class IssuedTokens(NamedTuple):
    """Tokens that the leader has issued, with their expiry in steady seconds."""

    expires_at: float
    tokens: int


class TenantTokens:
    """Issued tokens, rate lease, demand and waiting requests of one tenant."""

    def __init__(self) -> None:
        self.queue = WaitingQueue()
        self.lease = RateLease()
        self.demand = DemandMeter()
        self._issued: deque[IssuedTokens] = deque()  # oldest first
        self.requested_at = -math.inf  # when the unanswered token request was sent; -inf if there is none
        self._requested_for = 0  # size of the waiting request for which the last token request was sent
        self._answered_at = -math.inf  # when the last answer of the leader arrived
        self.bucket_empty_until = -math.inf  # the leader has no tokens before this time

    # Tokens

    def available(self, now: float) -> int:
        """Return the tokens that can be used now."""
        while self._issued and self._issued[0].expires_at <= now:
            self._issued.popleft()
        return self._issued_total() + self.lease.available(now)

    def use(self, tokens: int) -> None:
        """Use available tokens: issued ones first, in the order of their expiry."""
        leased = max(0, tokens - self._issued_total())
        self.lease.use(leased)
        tokens -= leased
        while tokens > 0:
            oldest = self._issued.popleft()
            if oldest.tokens > tokens:
                self._issued.appendleft(IssuedTokens(oldest.expires_at, oldest.tokens - tokens))
            tokens -= oldest.tokens

    def lease_covers_at(self, tokens: int) -> float:
        """Return when the lease and the issued tokens will cover `tokens`; infinity for never."""
        return self.lease.covers_at(tokens - self._issued_total())

    def serve_waiting(self, now: float) -> list[Decision]:
        """Admit waiting requests in queue order until the tokens are used up."""
        decisions: list[Decision] = []
        while self.queue and self.available(now) >= self.queue.next_request().tokens:
            request = self.queue.next_request()
            self.queue.serve(request)
            self.use(request.tokens)
            decisions.append(request.admitted())
        return decisions

    def _issued_total(self) -> int:
        return sum(issued.tokens for issued in self._issued)

    # Token requests to the leader

    def next_request(self, now: float, name: str, response_timeout_s: float) -> TokenRequest | None:
        """Return the token request to send now, or None if no request waits or it is too early to ask the leader.

        Only one token request is in flight at a time; client requests that arrive meanwhile share the next one.
        """
        if not self.queue or now < self.requested_at + response_timeout_s:
            return None
        needed = self.queue.next_request().tokens
        if now < self.bucket_empty_until and needed >= self._requested_for:
            return None
        available = self.available(now)
        minimum = max(1, needed - available)
        tokens = sum(request.tokens for request in self.queue) - available + self.demand.prefetch_tokens(now)
        self.requested_at, self._requested_for = now, needed
        return TokenRequest(name, max(minimum, tokens), minimum)

    def on_issue(self, now: float, sent_at: float, issue: TokenIssue) -> list[Decision]:
        """Add the tokens issued for a token request sent at `sent_at`; admit or reject waiting requests."""
        self.requested_at = -math.inf
        self._answered_at = now
        expires_at = sent_at + issue.lifetime_s
        if issue.tokens and expires_at > now:
            self._issued.append(IssuedTokens(expires_at, issue.tokens))
        self.bucket_empty_until = now + issue.retry_after_s if not issue.tokens else -math.inf
        return self.serve_waiting(now) + self._reject_late(now)

    # Rejections

    def expected_at(self, now: float, tokens_ahead: int, tokens: int) -> float:
        """Return when a request can get its tokens, from the last answer of the leader and the rate of the lease.

        The leader's estimate applies only to requests that are at least as large as the one that it answered.
        """
        leader_at = self.bucket_empty_until if tokens >= self._requested_for else now
        return min(leader_at, self.lease_covers_at(tokens_ahead + tokens))

    def _reject_late(self, now: float) -> list[Decision]:
        """Reject waiting requests that cannot get their tokens in time."""
        retained: list[WaitingRequest] = []
        decisions: list[Decision] = []
        tokens_ahead = 0
        for request in self.queue:
            expected_at = self.expected_at(now, tokens_ahead, request.tokens)
            if expected_at > request.arrived_at + MAX_WAIT_S:
                decisions.append(request.rejected(expected_at - now))
            else:
                retained.append(request)
                tokens_ahead += request.tokens
        self.queue.retain(retained)
        return decisions

    def reject_expired(self, now: float, leaderless_s: float | None, silence_timeout_s: float) -> list[Decision]:
        """Reject requests that have waited for too long; admit those that can be served after that."""
        decisions: list[Decision] = []
        while self.queue and now >= self.oldest_rejected_at(leaderless_s, silence_timeout_s):
            request = self.queue.oldest()
            self.queue.cancel(request)
            decisions.append(request.rejected(self._retry_after_s(now, request.tokens, leaderless_s)))
            decisions += self.serve_waiting(now)
        return decisions

    def oldest_rejected_at(self, leaderless_s: float | None, silence_timeout_s: float) -> float:
        """Return when the oldest waiting request is rejected.

        Args:
            leaderless_s: Time in seconds without a known leader; None if one is known.
            silence_timeout_s: Time in seconds to wait for a leader that does not answer.
        """
        oldest = self.queue.oldest()
        if leaderless_s is None and self._answered_at >= oldest.arrived_at:
            return oldest.arrived_at + max(MAX_WAIT_S, silence_timeout_s)
        if self.lease_covers_at(oldest.tokens) <= oldest.arrived_at + ACCRUAL_WAIT_S:
            return oldest.arrived_at + ACCRUAL_WAIT_S
        return oldest.arrived_at + (silence_timeout_s if leaderless_s is None else NO_LEADER_WAIT_S)

    def _retry_after_s(self, now: float, tokens: int, leaderless_s: float | None) -> float:
        """Return the time in seconds until the lease covers the request or the leader can issue tokens."""
        leader_s = self.bucket_empty_until - now
        if leader_s <= 0.0 or leaderless_s is not None:
            leader_s = max(MIN_RETRY_AFTER_S, ELECTION_S - (leaderless_s or 0.0))
        return min(leader_s, max(MIN_LEASE_RETRY_AFTER_S, self.lease_covers_at(tokens) - now))

    # Lease reports

    def is_reported(self, now: float) -> bool:
        """Return whether to report this tenant to the leader: it has a lease or recent demand."""
        self.lease.advance(now)
        return self.lease.rate > 0.0 or now < self.demand.last_request_at + REPORT_AFTER_DEMAND_S

    def lease_report(self, now: float, name: str) -> LeaseReport:
        """Return the report of the current lease and demand."""
        return self.lease.report(now, name, self.demand.lease_rate(now), self.demand.mean_request_tokens)

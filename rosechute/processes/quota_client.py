"""Quota client of an edge: runs its token cache on the event loop and exchanges quota messages with the leader."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.counts import Counts
from rosechute.routing.lease_exchange import MS_PER_S, LeaseGrant
from rosechute.routing.token_cache import TokenCache
from rosechute.routing.token_exchange import TokenIssue
from rosechute.routing.waiting_queue import Decision, OnDecision

# Minimum time between wake-ups, so that a due time in the past does not make the loop spin.
MIN_SLEEP_S = 0.001
# Interval of checks for a leader while a lease report is due and no leader is known.
LEADER_POLL_S = 0.05
# Event in `Counts`, by decision.
QUOTA_DECISIONS = "quota_decisions"


class QuotaClient:
    """Implements `rosechute.data_plane.ports.QuotaTokens` over the link to the leader.

    Args:
        loop: Event loop of the edge process.
        name: Name of this edge.
        incarnation: Random number that identifies this run of the process.
        send: Sends a message to the leader.
        leaderless_since: Returns the monotonic time from which no leader has been known; None while one is known.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        incarnation: int,
        send: Callable[[pb.Distribution], None],
        leaderless_since: Callable[[], float | None],
    ) -> None:
        self.counts = Counts()
        self._loop = loop
        self._name = name
        self._incarnation = incarnation
        self._send = send
        self._leaderless_since = leaderless_since
        self._cache = TokenCache()
        self._request_numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf
        self._is_released = False

    def acquire(self, tenant: str, tokens: int, on_decision: OnDecision, priority: int = 0) -> None:
        """Take tokens from the quota of a limited tenant, or queue until they arrive or the wait times out.

        Args:
            tenant: Name of the tenant.
            tokens: Number of tokens that the request uses.
            on_decision: Called exactly once, possibly before this returns.
            priority: Priority of the request; 0 is the highest.
        """
        decisions = self._cache.acquire(self._loop.time(), tenant, tokens, on_decision, priority)
        if decisions:
            self._carry_out(decisions)
        else:
            self._wake_at(self._loop.time())
        if self._timer is None:
            now = self._loop.time()
            self._wake_at(self._next_wake_at(now, self._leaderless_s(now)))

    def on_quota_issue(self, message: pb.QuotaIssue) -> None:
        """Handle the leader's answer to a token request or a lease report."""
        if self._is_released:
            return
        issues = [
            TokenIssue(each.tenant, each.tokens, each.lifetime_ms / MS_PER_S, each.retry_after_ms / MS_PER_S)
            for each in message.issued
        ]
        grants = [LeaseGrant.from_message(each) for each in message.granted]
        now = self._loop.time()
        self._carry_out(self._cache.on_tokens_issued(now, message.request, issues))
        if message.term:
            self._carry_out(self._cache.on_leases_granted(now, message.request, message.term, grants))
        if self._cache.has_waiting() or message.term:
            self._wake()

    def on_leader_known(self, term: int) -> None:
        """Schedule a report of the leases held if the leader's term is new."""
        if term > self._cache.term and not self._is_released:
            now = self._loop.time()
            self._cache.on_leader_known(now, term)
            self._wake_at(now)

    def release(self) -> None:
        """Give up all tokens and leases, and notify the leader if one is known.

        To be called at shutdown, when no request is admitted any more.
        """
        self.close()
        self._is_released = True
        self._cache.release()
        if self._leaderless_s(self._loop.time()) is not None:
            return
        message = self._lease_message(next(self._request_numbers))
        message.released = True
        self._send(pb.Distribution(quota_request=message))

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wake_at(self, when: float) -> None:
        """Set the timer to this loop time unless it is due earlier; infinity leaves it as it is."""
        if when == math.inf:
            return
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._wake)

    def _wake(self) -> None:
        """Reject requests that have waited too long, and send the token request and lease report that are due.

        All requests that arrived in one iteration of the event loop share one token request.
        """
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._loop.time()
        leaderless_s = self._leaderless_s(now)
        self._carry_out(self._cache.tick(now, leaderless_s))
        if leaderless_s is None:
            self._send_token_request(now)
            self._send_lease_report(now)
        self._wake_at(self._next_wake_at(now, leaderless_s))

    def _leaderless_s(self, now: float) -> float | None:
        """Return for how long no leader has been known; None while one is known."""
        since = self._leaderless_since()
        return now - since if since is not None else None

    def _next_wake_at(self, now: float, leaderless_s: float | None) -> float:
        """Return the loop time of the next action; infinity if none is due."""
        report_at = max(self._cache.next_report_at(now), now + (0.0 if leaderless_s is None else LEADER_POLL_S))
        return max(min(self._cache.next_action_at(leaderless_s), report_at), now + MIN_SLEEP_S)

    def _send_lease_report(self, now: float) -> None:
        request = next(self._request_numbers)
        reports = self._cache.next_lease_reports(now, request)
        if not self._cache.is_newest_report(request):
            return
        message = self._lease_message(request)
        message.held.extend(report.to_message() for report in reports)
        self._send(pb.Distribution(quota_request=message))

    def _lease_message(self, request: int) -> pb.QuotaRequest:
        """Return an empty lease report with the identity of this process and the known term."""
        return pb.QuotaRequest(request=request, edge=self._name, boot=self._incarnation, term=self._cache.term)

    def _send_token_request(self, now: float) -> None:
        request = next(self._request_numbers)
        token_requests = self._cache.next_token_requests(now, request)
        if not token_requests:
            return
        wanted = [
            pb.QuotaAmount(tenant=each.tenant, tokens=each.tokens, min_tokens=each.minimum) for each in token_requests
        ]
        self._send(pb.Distribution(quota_request=pb.QuotaRequest(request=request, edge=self._name, wanted=wanted)))

    def _carry_out(self, decisions: Iterable[Decision]) -> None:
        """Count the decisions and pass them to the callbacks of the requests."""
        for decision in decisions:
            self.counts.add(QUOTA_DECISIONS, "allowed" if decision.allowed else "refused")
            decision.on_decision(decision.allowed, decision.retry_after_s)

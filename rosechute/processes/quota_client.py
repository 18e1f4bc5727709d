"""Asks the leader for quota tokens and rate leases, and tells requests how it was decided."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.counts import Counts
from rosechute.routing.lease_exchange import LeaseGrant
from rosechute.routing.token_cache import Decision, OnDecision, TokenCache, TokenIssue

LEAST_SLEEP_S = 0.001
QUOTA_DECISIONS = "quota_decisions"  # the event that is counted
SEEK_S = 0.05  # how often it is looked for a leader, to report to


class QuotaClient:
    """`rosechute.data_plane.ports.QuotaTokens`, over the link to the leader.

    `send` passes a message to the leader; `leaderless_since` tells since when none is known, or None.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        boot: int,
        send: Callable[[pb.Distribution], None],
        leaderless_since: Callable[[], float | None],
    ) -> None:
        self._loop = loop
        self._name = name
        self._boot = boot
        self._send = send
        self._leaderless_since = leaderless_since
        self._cache = TokenCache()
        self.counts = Counts()
        self._requests = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    def acquire(self, tenant: str, tokens: int, decided: OnDecision, priority: int = 0) -> None:
        """Take so many tokens of a limited tenant, or wait a moment for them."""
        decisions = self._cache.acquire(self._loop.time(), tenant, tokens, decided, priority)
        if decisions:
            self._tell(decisions)
        else:
            self._wake_at(self._loop.time())
        if self._timer is None:
            now = self._loop.time()
            self._wake_at(self._due(now, self._leaderless_s(now)))

    def on_tokens_issued(self, issue: pb.QuotaIssue) -> None:
        """The leader's answer has come."""
        issues = [
            TokenIssue(each.tenant, each.tokens, each.lifetime_ms / 1000.0, each.retry_after_ms / 1000.0)
            for each in issue.issued
        ]
        grants = [LeaseGrant.of(each) for each in issue.granted]
        now = self._loop.time()
        self._tell(self._cache.on_tokens_issued(now, issue.request, issues))
        if issue.term:
            self._tell(self._cache.on_leases_granted(now, issue.request, issue.term, grants))
        if self._cache.has_waiting() or issue.term:
            self._wake()

    def on_leader_known(self, term: int) -> None:
        """The leader of this term is known."""
        if term > self._cache.term:
            now = self._loop.time()
            self._cache.on_leader_known(now, term)
            self._wake_at(now)

    def close(self) -> None:
        """Wait for nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wake_at(self, when: float) -> None:
        if when == math.inf:
            return
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self._loop.call_at(when, self._wake)

    def _wake(self) -> None:
        """Refuse what waited for too long, and ask for the others; all that came in one turn goes into one ask."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._loop.time()
        leaderless_s = self._leaderless_s(now)
        self._tell(self._cache.tick(now, leaderless_s))
        if leaderless_s is None:
            self._ask(now)
            self._report(now)
        self._wake_at(self._due(now, leaderless_s))

    def _leaderless_s(self, now: float) -> float | None:
        """For how long no leader has been known; None while one is."""
        since = self._leaderless_since()
        return now - since if since is not None else None

    def _due(self, now: float, leaderless_s: float | None) -> float:
        """When something is to be done next; infinity for nothing."""
        report_at = max(self._cache.next_report_at(now), now + (0.0 if leaderless_s is None else SEEK_S))
        return max(min(self._cache.next_action_at(leaderless_s), report_at), now + LEAST_SLEEP_S)

    def _report(self, now: float) -> None:
        request = next(self._requests)
        reports = self._cache.next_lease_reports(now, request)
        if not self._cache.is_newest_report(request):
            return
        held = [report.message() for report in reports]
        message = pb.QuotaRequest(request=request, edge=self._name, boot=self._boot, term=self._cache.term, held=held)
        self._send(pb.Distribution(quota_request=message))

    def _ask(self, now: float) -> None:
        request = next(self._requests)
        asks = self._cache.next_token_requests(now, request)
        if not asks:
            return
        wanted = [pb.QuotaAmount(tenant=ask.tenant, tokens=ask.tokens, least=ask.least) for ask in asks]
        self._send(pb.Distribution(quota_request=pb.QuotaRequest(request=request, edge=self._name, wanted=wanted)))

    def _tell(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self.counts.add(QUOTA_DECISIONS, "allowed" if decision.allowed else "refused")
            decision.on_decision(decision.allowed, decision.retry_after_s)

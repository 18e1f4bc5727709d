"""Asks the leader for quota tokens and tells requests how it was decided."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Callable, Iterable

from rosechute.messages import distribution_pb2 as pb
from rosechute.routing.quota_wallet import Decided, Decision, Issue, QuotaWallet


class QuotaClient:
    """`rosechute.data.ports.QuotaTokens`, over the link to the leader.

    `send` passes a message to the leader; `leaderless_since` tells since when none is known, or None.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, name: str, send: Callable[[pb.Distribution], None],
        leaderless_since: Callable[[], float | None],
    ) -> None:
        self._loop = loop
        self._name = name
        self._send = send
        self._leaderless_since = leaderless_since
        self._wallet = QuotaWallet()
        self._requests = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = math.inf

    def spend(self, tenant: str, tokens: int, decided: Decided) -> None:
        """Take so many tokens of a limited tenant, or wait a moment for them."""
        decisions = self._wallet.spend(self._loop.time(), tenant, tokens, decided)
        if decisions:
            _tell(decisions)
        else:
            self._wake_at(self._loop.time())

    def issued(self, issue: pb.QuotaIssue) -> None:
        """The leader's answer has come."""
        issues = [
            Issue(each.tenant, each.tokens, each.lifetime_ms / 1000.0, each.retry_after_ms / 1000.0)
            for each in issue.issued
        ]
        _tell(self._wallet.issued(self._loop.time(), issue.request, issues))
        if self._wallet.waits():
            self._wake()

    def close(self) -> None:
        """Wait for nothing any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _wake_at(self, when: float) -> None:
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
        since = self._leaderless_since()
        leaderless_s = now - since if since is not None else None
        _tell(self._wallet.tick(now, leaderless_s))
        if since is None:
            self._ask(now)
        due = self._wallet.next_due(leaderless_s)
        if due < math.inf:
            self._wake_at(max(due, now + 0.001))

    def _ask(self, now: float) -> None:
        request = next(self._requests)
        asks = self._wallet.ask(now, request)
        if not asks:
            return
        wanted = [pb.QuotaAmount(tenant=ask.tenant, tokens=ask.tokens, least=ask.least) for ask in asks]
        self._send(pb.Distribution(quota_request=pb.QuotaRequest(request=request, edge=self._name, wanted=wanted)))


def _tell(decisions: Iterable[Decision]) -> None:
    for decision in decisions:
        decision.decided(decision.allowed, decision.retry_after_s)

"""The edge's side of the quotas: tokens that the leader issued, and requests that wait for some.

Pure: callers give the time and carry out the decisions. A request takes tokens that are held, else it waits while the
leader is asked; one ask at a time for each tenant, so that what comes meanwhile goes into the next. Tokens are void
a lifetime after the ask for them was sent, which is never later than a lifetime after they were issued.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WAIT_S = 0.25  # a request waits no longer for tokens of a bucket that fills
WAIT_SILENT_S = 0.12  # where the leader does not answer
WAIT_LEADERLESS_S = 0.04  # where no leader is known
ANSWER_S = 0.08  # an ask without an answer for so long is lost
LEADERLESS_S = 2.0  # a new leader is there after so long
RETRY_LEAST_S = 0.3  # when to come back where the leader does not answer, at the earliest
AHEAD_S = 0.2  # of the present demand is asked for ahead
AHEAD_REQUESTS = 3.0  # but only where that is several requests: tokens that are not spent are lost to the tenant
DEMAND_SPAN_S = 1.0  # over which the demand is measured

Decided = Callable[[bool, float], None]


@dataclass(frozen=True, slots=True)
class Decision:
    """Tell a request whether it may be sent, and when to come back where it may not."""

    decided: Decided
    allowed: bool
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask the leader for tokens; fewer than `least` are of no use now."""

    tenant: str
    tokens: int
    least: int


@dataclass(frozen=True, slots=True)
class Issue:
    """The leader's answer for one tenant. Where fewer than wanted were issued, when to ask again."""

    tenant: str
    tokens: int
    lifetime_s: float
    retry_after_s: float


@dataclass(slots=True)
class _Waiting:
    tokens: int
    since: float
    decided: Decided


@dataclass(slots=True)
class _Tenant:
    """Tokens and waiting requests of one tenant."""

    held: deque[tuple[float, int]] = field(default_factory=deque)  # (void at, tokens), oldest first
    waiting: deque[_Waiting] = field(default_factory=deque)
    asked_at: float = -math.inf  # of the ask that is under way
    least: int = 0  # of the ask that is under way, or was refused last
    heard_at: float = -math.inf  # the leader answered
    dry_until: float = -math.inf  # the leader said to ask again then
    demand: float = 0.0  # tokens a second
    request_mean: float = 0.0
    demand_at: float = -math.inf

    def expire(self, now: float) -> None:
        """Drop tokens that are void."""
        while self.held and self.held[0][0] <= now:
            self.held.popleft()

    def total(self) -> int:
        """Tokens that are held."""
        return sum(tokens for _, tokens in self.held)

    def take(self, tokens: int) -> None:
        """Spend; the oldest first."""
        while tokens > 0:
            void_at, first = self.held.popleft()
            if first > tokens:
                self.held.appendleft((void_at, first - tokens))
            tokens -= first

    def count(self, now: float, tokens: int) -> None:
        """Measure the demand."""
        elapsed = now - self.demand_at
        self.demand = self.demand * math.exp(-elapsed / DEMAND_SPAN_S) + tokens / DEMAND_SPAN_S
        self.request_mean += (tokens - self.request_mean) * (0.1 if self.request_mean else 1.0)
        self.demand_at = now

    def ahead(self, now: float) -> int:
        """Tokens to ask for beyond those that requests wait for."""
        demand = self.demand * math.exp(-(now - self.demand_at) / DEMAND_SPAN_S)
        ahead = demand * AHEAD_S
        return int(ahead) if ahead >= AHEAD_REQUESTS * self.request_mean else 0

    def gives_up_at(self, leaderless_s: float | None) -> float:
        """When the first request that waits is refused."""
        since = self.waiting[0].since
        if leaderless_s is not None:
            return since + WAIT_LEADERLESS_S
        return since + (WAIT_S if self.heard_at >= since else WAIT_SILENT_S)

    def asking(self, now: float) -> bool:
        """Whether an ask is under way."""
        return now < self.asked_at + ANSWER_S


class QuotaWallet:
    """Tokens of all tenants at one edge."""

    def __init__(self) -> None:
        self._tenants: dict[str, _Tenant] = {}
        self._asks: dict[int, float] = {}  # by request number: when it was sent

    def spend(self, now: float, tenant: str, tokens: int, decided: Decided) -> list[Decision]:
        """A request wants to be sent."""
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _Tenant()
        state.count(now, tokens)
        state.expire(now)
        if not state.waiting and state.total() >= tokens:
            state.take(tokens)
            return [Decision(decided, True, 0.0)]
        if tokens >= state.least and state.dry_until - now > WAIT_S:
            return [Decision(decided, False, state.dry_until - now)]
        state.waiting.append(_Waiting(tokens, now, decided))
        return []

    def ask(self, now: float, request: int) -> list[Ask]:
        """What to ask the leader for now, under this request number; nothing where nobody waits."""
        asks: list[Ask] = []
        for name, state in self._tenants.items():
            if not state.waiting or state.asking(now):
                continue
            if now < state.dry_until and state.waiting[0].tokens >= state.least:
                continue
            state.expire(now)
            held = state.total()
            least = max(1, state.waiting[0].tokens - held)
            wanted = sum(waiting.tokens for waiting in state.waiting) - held + state.ahead(now)
            state.asked_at, state.least = now, state.waiting[0].tokens
            asks.append(Ask(name, max(least, wanted), least))
        if asks:
            self._asks[request] = now
        return asks

    def issued(self, now: float, request: int, issues: list[Issue]) -> list[Decision]:
        """The leader's answer to an ask."""
        sent_at = self._asks.pop(request, None)
        if sent_at is None:
            return []
        decisions: list[Decision] = []
        for issue in issues:
            state = self._tenants.get(issue.tenant)
            if state is not None:
                decisions += self._issued(now, sent_at, state, issue)
        return decisions

    def tick(self, now: float, leaderless_s: float | None) -> list[Decision]:
        """Refuse what has waited for too long; `leaderless_s` tells for how long there has been no leader."""
        decisions: list[Decision] = []
        for state in self._tenants.values():
            while state.waiting and now >= state.gives_up_at(leaderless_s):
                retry_s = state.dry_until - now
                if retry_s <= 0.0 or leaderless_s is not None:
                    retry_s = max(RETRY_LEAST_S, LEADERLESS_S - (leaderless_s or 0.0))
                decisions.append(Decision(state.waiting.popleft().decided, False, retry_s))
        for number in [number for number, sent in self._asks.items() if now - sent > 2.0]:
            del self._asks[number]
        return decisions

    def waits(self) -> bool:
        """Whether any request waits."""
        return any(state.waiting for state in self._tenants.values())

    def next_due(self, leaderless_s: float | None) -> float:
        """When `tick` or `ask` has something to do; infinity where nobody waits."""
        due = math.inf
        for state in self._tenants.values():
            if state.waiting:
                due = min(due, state.gives_up_at(leaderless_s))
                if leaderless_s is None:
                    due = min(due, max(state.asked_at + ANSWER_S, state.dry_until))
        return due

    def held(self, now: float, tenant: str) -> int:
        """Tokens held for a tenant."""
        state = self._tenants.get(tenant)
        if state is None:
            return 0
        state.expire(now)
        return state.total()

    def _issued(self, now: float, sent_at: float, state: _Tenant, issue: Issue) -> list[Decision]:
        state.asked_at = -math.inf
        state.heard_at = now
        void_at = sent_at + issue.lifetime_s
        if issue.tokens and void_at > now:
            state.held.append((void_at, issue.tokens))
        state.dry_until = now + issue.retry_after_s if not issue.tokens else -math.inf
        state.expire(now)
        decisions: list[Decision] = []
        while state.waiting and state.total() >= state.waiting[0].tokens:
            waiting = state.waiting.popleft()
            state.take(waiting.tokens)
            decisions.append(Decision(waiting.decided, True, 0.0))
        return decisions + _hopeless(now, state)


def _hopeless(now: float, state: _Tenant) -> list[Decision]:
    """Requests that would not get tokens in their time are refused at once."""
    kept: deque[_Waiting] = deque()
    decisions: list[Decision] = []
    for waiting in state.waiting:
        if waiting.tokens >= state.least and state.dry_until > waiting.since + WAIT_S:
            decisions.append(Decision(waiting.decided, False, state.dry_until - now))
        else:
            kept.append(waiting)
    state.waiting = kept
    return decisions

"""The edge's side of the quotas: tokens that the leader issued, rate leases, and requests that wait for tokens.

Pure: callers give the time and carry out the decisions. A request takes tokens that are held, else it waits while the
leader is asked; one ask at a time for each tenant, so that what comes meanwhile goes into the next. Issued tokens are
void a lifetime after the ask for them was sent, which is never later than a lifetime after they were issued.

What is leased is reported for all tenants together a few times a second, while there is demand or anything is held.
Only the answer to the newest report counts: so the leader knows from a report what this edge may hold.
"""

from __future__ import annotations

import itertools
import math
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .lease_exchange import LeaseGrant, LeaseReport
from .rate_lease import RateLease

MAX_WAIT_S = 0.25  # a request waits no longer for tokens of a bucket that fills
SILENT_LEADER_WAIT_S = 0.12  # where the leader does not answer; longer where its answers take long
MAX_SLOW_LINK_WAIT_S = 0.6  # but no longer
ROUND_TRIPS_WAITED = 3.0  # times that answers take at present
ROUND_TRIP_WEIGHT = 0.2  # of the newest answer in the mean time that answers take
NO_LEADER_WAIT_S = 0.04  # where no leader is known
ACCRUAL_WAIT_S = 0.2  # the same, where its lease will cover the request by then
RESPONSE_TIMEOUT_S = 0.08  # an ask without an answer for so long is lost; longer where answers take long
ELECTION_S = 2.0  # a new leader is there after so long
MIN_RETRY_AFTER_S = 0.3  # when to come back where the leader does not answer, at the earliest
MIN_LEASE_RETRY_AFTER_S = 0.05  # the same, where its lease will cover the request
LOW_PRIORITY_SHARE = 0.1  # of the tokens that are spent while less urgent requests wait, for these
MAX_DEFICIT_REQUESTS = 2.0  # requests, of the size of the largest one that waits, that are owed to them at the most
PREFETCH_S = 0.2  # of the present demand is asked for ahead
MIN_PREFETCH_REQUESTS = (
    3.0  # but only where that is several requests: tokens that are not spent are lost to the tenant
)
DEMAND_SPAN_S = 1.0  # over which the demand is measured
LEASE_DEMAND_SPAN_S = 8.0  # the same, for what is to be leased
REPORT_AFTER_DEMAND_S = 4.0  # after its last request a tenant is reported for so long
REPORT_INTERVAL_S = 0.45  # between two reports
REPORT_TIMEOUT_S = 0.9  # a report without an answer for so long is lost

OnDecision = Callable[[bool, float], None]


@dataclass(frozen=True, slots=True)
class Decision:
    """Tell a request whether it may be sent, and when to come back where it may not."""

    on_decision: OnDecision
    allowed: bool
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """TokenRequest the leader for tokens; fewer than `least` are of no use now."""

    tenant: str
    tokens: int
    least: int


@dataclass(frozen=True, slots=True)
class TokenIssue:
    """The leader's answer for one tenant. Where fewer than wanted were issued, when to ask again."""

    tenant: str
    tokens: int
    lifetime_s: float
    retry_after_s: float


@dataclass(slots=True)
class _Waiting:
    tokens: int
    since: float
    on_decision: OnDecision
    priority: int
    number: int

    @property
    def rank(self) -> tuple[int, int]:
        """The most urgent first, of these the one that came first."""
        return self.priority, self.number


class _Line:
    """Requests that wait for tokens, by rank. A share of what is spent while less urgent ones wait goes to the one of
    these that came first, so that none starves."""

    def __init__(self) -> None:
        self._by_rank: list[_Waiting] = []
        self._numbers = itertools.count()
        self._owed = 0.0  # tokens, to those that are passed over

    def __len__(self) -> int:
        return len(self._by_rank)

    def __iter__(self) -> Iterator[_Waiting]:
        return iter(self._by_rank)

    def add(self, tokens: int, since: float, decided: OnDecision, priority: int) -> None:
        """One more."""
        waiting = _Waiting(tokens, since, decided, priority, next(self._numbers))
        insort(self._by_rank, waiting, key=lambda each: each.rank)

    def keep(self, kept: list[_Waiting]) -> None:
        """Only these, in their order, wait on."""
        self._by_rank = kept

    def oldest(self) -> _Waiting:
        """Who came first of all."""
        return min(self._by_rank, key=lambda each: each.number)

    def first(self) -> _Waiting:
        """Who is to have tokens next."""
        return self._due(self._by_rank[0].priority) or self._by_rank[0]

    def _due(self, priority: int) -> _Waiting | None:
        """Of those that are less urgent than this, the one that came first, where it is its turn."""
        passed_over = [waiting for waiting in self._by_rank if waiting.priority > priority]
        oldest = min(passed_over, key=lambda each: each.number, default=None)
        return oldest if oldest is not None and self._owed >= oldest.tokens else None

    def ahead_of(self, priority: int) -> int:
        """Tokens for which those wait that would have theirs before one of this priority that comes now."""
        ahead = sum(waiting.tokens for waiting in self._by_rank if waiting.priority <= priority)
        due = self._due(priority)
        return ahead + (due.tokens if due is not None else 0)

    def spent(self, tokens: int, priority: int) -> None:
        """So many tokens have gone to a request of this priority."""
        if self._by_rank and self._by_rank[-1].priority > priority:
            most = MAX_DEFICIT_REQUESTS * max(waiting.tokens for waiting in self._by_rank)
            self._owed = min(most, self._owed + LOW_PRIORITY_SHARE * tokens)

    def take(self, waiting: _Waiting) -> None:
        """It waits no more, as it has its tokens."""
        if waiting is not self._by_rank[0]:
            self._owed -= waiting.tokens
        self.drop(waiting)
        self.spent(waiting.tokens, waiting.priority)

    def drop(self, waiting: _Waiting) -> None:
        """It waits no more."""
        self._by_rank.remove(waiting)


@dataclass(slots=True)
class _Tenant:
    """Tokens and waiting requests of one tenant."""

    held: deque[tuple[float, int]] = field(default_factory=deque)  # (void at, tokens), oldest first
    waiting: _Line = field(default_factory=_Line)
    asked_at: float = -math.inf  # of the ask that is under way
    least: int = 0  # of the ask that is under way, or was refused last
    heard_at: float = -math.inf  # the leader answered
    dry_until: float = -math.inf  # the leader said to ask again then
    demand: float = 0.0  # tokens a second
    request_mean: float = 0.0
    lease_demand: float = 0.0  # tokens a second, over a longer span
    demand_at: float = -math.inf
    lease: RateLease = field(default_factory=RateLease)

    def expire(self, now: float) -> None:
        """Drop tokens that are void."""
        while self.held and self.held[0][0] <= now:
            self.held.popleft()

    def total(self, now: float) -> int:
        """Tokens that can be spent."""
        self.expire(now)
        return self.issued() + self.lease.available(now)

    def issued(self) -> int:
        """Tokens that were issued, without those of the lease."""
        return sum(tokens for _, tokens in self.held)

    def take(self, tokens: int) -> None:
        """Spend; issued tokens first, the oldest first."""
        leased = max(0, tokens - self.issued())
        self.lease.take(leased)
        tokens -= leased
        while tokens > 0:
            void_at, first = self.held.popleft()
            if first > tokens:
                self.held.appendleft((void_at, first - tokens))
            tokens -= first

    def count(self, now: float, tokens: int) -> None:
        """Measure the demand."""
        elapsed = now - self.demand_at
        self.demand = _counted(self.demand, elapsed, tokens, DEMAND_SPAN_S)
        self.lease_demand = _counted(self.lease_demand, elapsed, tokens, LEASE_DEMAND_SPAN_S)
        self.request_mean += (tokens - self.request_mean) * (0.1 if self.request_mean else 1.0)
        self.demand_at = now

    def ahead(self, now: float) -> int:
        """Tokens to ask for beyond those that requests wait for."""
        demand = self.demand * math.exp(-(now - self.demand_at) / DEMAND_SPAN_S)
        ahead = demand * PREFETCH_S
        return int(ahead) if ahead >= MIN_PREFETCH_REQUESTS * self.request_mean else 0

    def gives_up_at(self, leaderless_s: float | None, patience_s: float) -> float:
        """When the first request that waits is refused; `patience_s` is how long silence of a leader is borne."""
        first = self.waiting.oldest()
        if leaderless_s is None and self.heard_at >= first.since:
            return first.since + max(MAX_WAIT_S, patience_s)
        if self.covers_at(first.tokens) <= first.since + ACCRUAL_WAIT_S:
            return first.since + ACCRUAL_WAIT_S
        return first.since + (patience_s if leaderless_s is None else NO_LEADER_WAIT_S)

    def retry_s(self, now: float, tokens: int, leaderless_s: float | None) -> float:
        """When to come back with a refused request: its lease will cover it, or the leader has tokens or is there."""
        expected_s = self.dry_until - now
        if expected_s <= 0.0 or leaderless_s is not None:
            expected_s = max(MIN_RETRY_AFTER_S, ELECTION_S - (leaderless_s or 0.0))
        return min(expected_s, max(MIN_LEASE_RETRY_AFTER_S, self.covers_at(tokens) - now))

    def reported(self, now: float) -> bool:
        """Whether the leader is to know of this tenant."""
        self.lease.advance(now)
        return self.lease.rate > 0.0 or now < self.demand_at + REPORT_AFTER_DEMAND_S

    def report(self, now: float, name: str) -> LeaseReport:
        """What is held and demanded."""
        demand = self.lease_demand * math.exp(-(now - self.demand_at) / LEASE_DEMAND_SPAN_S)
        return self.lease.report(now, name, demand, self.request_mean)

    def covers_at(self, tokens: int) -> float:
        """When the lease, with what is held, will bring so many tokens, as of the last call; infinity for never."""
        return self.lease.covers_at(tokens - self.issued())

    def serve(self, now: float) -> list[Decision]:
        """Send those that wait, in order, as far as the tokens go."""
        decisions: list[Decision] = []
        while self.waiting and self.total(now) >= self.waiting.first().tokens:
            waiting = self.waiting.first()
            self.waiting.take(waiting)
            self.take(waiting.tokens)
            decisions.append(Decision(waiting.on_decision, True, 0.0))
        return decisions


class TokenCache:
    """Tokens of all tenants at one edge."""

    def __init__(self) -> None:
        self._tenants: dict[str, _Tenant] = {}
        self._asks: dict[int, float] = {}  # by request number: when it was sent
        self._round_s = 0.0  # how long answers take at present
        self._report = 0  # number of the newest report
        self._reported_at = -math.inf  # when it was sent
        self._report_due = -math.inf
        self._leaderless = False  # no leader was known at the last tick
        self.term = 0  # of the leader that answered a report last, or is followed since
        self._introduced = True  # whether that leader has answered a report

    def acquire(self, now: float, tenant: str, tokens: int, decided: OnDecision, priority: int = 0) -> list[Decision]:
        """A request wants to be sent. Where its tenant's tokens are short, the most urgent ones have theirs first; 0
        is the highest priority."""
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _Tenant()
        state.count(now, tokens)
        ahead = state.waiting.ahead_of(priority)
        if (not ahead or self._leaderless) and state.total(now) >= tokens:
            state.waiting.spent(tokens, priority)
            state.take(tokens)
            return [Decision(decided, True, 0.0)]
        refused_until = state.dry_until if tokens >= state.least else -math.inf
        expected_at = min(refused_until, state.covers_at(ahead + tokens))
        if expected_at - now > MAX_WAIT_S:
            return [Decision(decided, False, expected_at - now)]
        state.waiting.add(tokens, now, decided, priority)
        return []

    def next_token_requests(self, now: float, request: int) -> list[TokenRequest]:
        """What to ask the leader for now, under this request number; nothing where nobody waits."""
        asks: list[TokenRequest] = []
        for name, state in self._tenants.items():
            if not state.waiting or now < state.asked_at + self._crowded_s(RESPONSE_TIMEOUT_S):
                continue
            first = state.waiting.first().tokens
            if now < state.dry_until and first >= state.least:
                continue
            held = state.total(now)
            least = max(1, first - held)
            wanted = sum(waiting.tokens for waiting in state.waiting) - held + state.ahead(now)
            state.asked_at, state.least = now, first
            asks.append(TokenRequest(name, max(least, wanted), least))
        if asks:
            self._asks[request] = now
        return asks

    def on_tokens_issued(self, now: float, request: int, issues: list[TokenIssue]) -> list[Decision]:
        """The leader's answer to an ask."""
        sent_at = self._asks.pop(request, None)
        if sent_at is None:
            return []
        self._round_s += ROUND_TRIP_WEIGHT * (now - sent_at - self._round_s)
        decisions: list[Decision] = []
        for issue in issues:
            state = self._tenants.get(issue.tenant)
            if state is not None:
                decisions += self._issued(now, sent_at, state, issue)
        return decisions

    def on_leader_known(self, now: float, term: int) -> None:
        """A leader of this term is followed. It may wait for a report of every edge, also of one without leases."""
        if term > self.term:
            self.term = term
            self._introduced = False
            self._report_due = now

    def next_lease_reports(self, now: float, request: int) -> list[LeaseReport]:
        """What to report to the leader now, under this request number, higher than all before; `reports_with` tells
        whether to report at all."""
        if now < self._report_due:
            return []
        reports = [state.report(now, name) for name, state in self._tenants.items() if self._reported(now, state)]
        if reports or not self._introduced:
            self._report, self._reported_at, self._report_due = request, now, now + REPORT_TIMEOUT_S
        return reports

    def _reported(self, now: float, state: _Tenant) -> bool:
        """Whether a report tells of a tenant; the first one to a leader also of the word of an earlier one."""
        return state.reported(now) or (not self._introduced and now < state.lease.bare_until)

    def is_newest_report(self, request: int) -> bool:
        """Whether there is a report under this number, be it an empty one."""
        return request == self._report

    def on_leases_granted(self, now: float, request: int, term: int, grants: list[LeaseGrant]) -> list[Decision]:
        """The leader's answer to a report. One of another term than the report's makes a new report due."""
        if request != self._report:
            return []
        self._report = 0
        self._report_due = self._reported_at + REPORT_INTERVAL_S if term == self.term else now
        self._introduced = term == self.term
        self.term = term
        decisions: list[Decision] = []
        for grant in grants:
            state = self._tenants.get(grant.tenant)
            if state is not None:
                state.lease.granted(now, self._reported_at, grant)
                decisions += state.serve(now)
        return decisions

    def tick(self, now: float, leaderless_s: float | None) -> list[Decision]:
        """Send what leases cover by now, refuse what has waited for too long; `leaderless_s` tells for how long there
        has been no leader."""
        self._leaderless = leaderless_s is not None
        decisions: list[Decision] = []
        for state in self._tenants.values():
            decisions += state.serve(now)
            while state.waiting and now >= state.gives_up_at(leaderless_s, self._crowded_s(SILENT_LEADER_WAIT_S)):
                waiting = state.waiting.oldest()
                state.waiting.drop(waiting)
                retry_s = state.retry_s(now, waiting.tokens, leaderless_s)
                decisions.append(Decision(waiting.on_decision, False, retry_s))
                decisions += state.serve(now)
        for number in [number for number, sent in self._asks.items() if now - sent > 2.0]:
            del self._asks[number]
        return decisions

    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return any(state.waiting for state in self._tenants.values())

    def next_action_at(self, leaderless_s: float | None) -> float:
        """When `tick` or `ask` has something to do; infinity where nobody waits."""
        due = math.inf
        for state in self._tenants.values():
            if state.waiting:
                due = min(due, state.gives_up_at(leaderless_s, self._crowded_s(SILENT_LEADER_WAIT_S)))
                due = min(due, state.covers_at(state.waiting.first().tokens))
                if leaderless_s is None:
                    due = min(due, max(state.asked_at + self._crowded_s(RESPONSE_TIMEOUT_S), state.dry_until))
        return due

    def _crowded_s(self, least_s: float) -> float:
        """A time to wait for an answer: longer over a crowded link, where answers take long."""
        return min(max(least_s, ROUND_TRIPS_WAITED * self._round_s), MAX_SLOW_LINK_WAIT_S)

    def next_report_at(self, now: float) -> float:
        """When `report` has something to tell; infinity where nothing is demanded or held."""
        if not self._introduced or any(state.reported(now) for state in self._tenants.values()):
            return self._report_due
        return math.inf

    def available_tokens(self, now: float, tenant: str) -> int:
        """Tokens held for a tenant."""
        state = self._tenants.get(tenant)
        return 0 if state is None else state.total(now)

    def _issued(self, now: float, sent_at: float, state: _Tenant, issue: TokenIssue) -> list[Decision]:
        state.asked_at = -math.inf
        state.heard_at = now
        void_at = sent_at + issue.lifetime_s
        if issue.tokens and void_at > now:
            state.held.append((void_at, issue.tokens))
        state.dry_until = now + issue.retry_after_s if not issue.tokens else -math.inf
        return state.serve(now) + _hopeless(now, state)


def _counted(demand: float, elapsed: float, tokens: int, span_s: float) -> float:
    """A demand, measured over a span, with one request more."""
    return demand * math.exp(-elapsed / span_s) + tokens / span_s


def _hopeless(now: float, state: _Tenant) -> list[Decision]:
    """Requests that would not get tokens in their time are refused at once."""
    kept: list[_Waiting] = []
    decisions: list[Decision] = []
    ahead = 0
    for waiting in state.waiting:
        covered_at = state.covers_at(ahead + waiting.tokens)
        expected_at = min(state.dry_until if waiting.tokens >= state.least else now, covered_at)
        if expected_at > waiting.since + MAX_WAIT_S:
            decisions.append(Decision(waiting.on_decision, False, expected_at - now))
        else:
            kept.append(waiting)
            ahead += waiting.tokens
    state.waiting.keep(kept)
    return decisions

"""Cache of quota tokens at an edge: admits, queues or rejects requests of tenants with a quota.

Does no I/O: callers pass the time, send the messages and carry out the decisions. A request uses cached tokens if
there are enough; otherwise it waits while tokens are requested from the leader. Three methods may reject it:

* `TokenCache.acquire`, on arrival, if its tokens cannot be expected in time;
* `TokenCache.on_tokens_issued`, if the answer of the leader shows the same;
* `TokenCache.tick`, if it has waited for too long.

Leases of all tenants are reported together a few times per second (`leader_requests.LeaseReportSchedule`). After a
change of leader, the new one gets a report at once; tokens and leases remain valid until they expire.
"""

from __future__ import annotations

import math

from .leader_requests import LeaseReportSchedule, TokenRequestsInFlight
from .lease_exchange import LeaseGrant, LeaseReport
from .tenant_tokens import TenantTokens
from .token_cache_policy import MAX_WAIT_S, RESPONSE_TIMEOUT_S, SILENT_LEADER_WAIT_S
from .token_exchange import TokenIssue, TokenRequest
from .waiting_queue import Decision, OnDecision


class TokenCache:
    """The tokens of all tenants at one edge."""

    def __init__(self) -> None:
        self._tenants: dict[str, TenantTokens] = {}
        self._in_flight = TokenRequestsInFlight()
        self._reports = LeaseReportSchedule()
        self._is_leaderless = False  # as of the last tick

    @property
    def term(self) -> int:
        """Term of the leader that answered the last report, or of a newer leader."""
        return self._reports.term

    # Requests of clients

    def acquire(
        self, now: float, tenant: str, tokens: int, on_decision: OnDecision, priority: int = 0
    ) -> list[Decision]:
        """Admit a request, queue it, or reject it.

        Args:
            now: Steady time in seconds.
            tenant: Name of a tenant with a quota.
            tokens: Tokens that the request uses.
            on_decision: Callback for a decision.
            priority: Priority of the request; 0 is the highest.

        Returns:
            The decision, or an empty list if the request waits.
        """
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = TenantTokens()
        state.demand.record(now, tokens)
        tokens_ahead = state.queue.tokens_ahead_of(priority)
        # Without a leader the queue may stall, so a request that the available tokens cover may overtake others.
        if (not tokens_ahead or self._is_leaderless) and state.available(now) >= tokens:
            state.queue.on_tokens_used(tokens, priority)
            state.use(tokens)
            return [Decision(on_decision, allowed=True, retry_after_s=0.0)]
        wait_s = state.expected_at(now, tokens_ahead, tokens) - now
        if wait_s > MAX_WAIT_S:
            return [Decision(on_decision, allowed=False, retry_after_s=wait_s)]
        state.queue.add(tokens, now, on_decision, priority)
        return []

    def tick(self, now: float, leaderless_s: float | None) -> list[Decision]:
        """Admit requests that leases cover now; reject those that have waited for too long.

        Args:
            now: Steady time in seconds.
            leaderless_s: Time in seconds without a known leader; None if one is known.
        """
        self._is_leaderless = leaderless_s is not None
        silence_timeout_s = self._in_flight.timeout_s(SILENT_LEADER_WAIT_S)
        decisions: list[Decision] = []
        for state in self._tenants.values():
            decisions += state.serve_waiting(now)
            decisions += state.reject_expired(now, leaderless_s, silence_timeout_s)
        self._in_flight.forget_expired(now)
        return decisions

    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return any(state.queue for state in self._tenants.values())

    def next_action_at(self, leaderless_s: float | None) -> float:
        """Return when to call `tick` or `next_token_requests` next; infinity if no request waits."""
        silence_timeout_s = self._in_flight.timeout_s(SILENT_LEADER_WAIT_S)
        action_at = math.inf
        for state in self._tenants.values():
            if not state.queue:
                continue
            action_at = min(action_at, state.oldest_rejected_at(leaderless_s, silence_timeout_s))
            action_at = min(action_at, state.lease_covers_at(state.queue.next_request().tokens))
            if leaderless_s is None:
                response_at = state.requested_at + self._in_flight.timeout_s(RESPONSE_TIMEOUT_S)
                action_at = min(action_at, max(response_at, state.bucket_empty_until))
        return action_at

    def available_tokens(self, now: float, tenant: str) -> int:
        """Return the number of tokens that a tenant can use now."""
        state = self._tenants.get(tenant)
        return 0 if state is None else state.available(now)

    # Token requests to the leader

    def next_token_requests(self, now: float, request: int) -> list[TokenRequest]:
        """Return the token requests to send to the leader now, in a message with the number `request`."""
        response_timeout_s = self._in_flight.timeout_s(RESPONSE_TIMEOUT_S)
        found = (state.next_request(now, name, response_timeout_s) for name, state in self._tenants.items())
        token_requests = [each for each in found if each is not None]
        if token_requests:
            self._in_flight.on_sent(now, request)
        return token_requests

    def on_tokens_issued(self, now: float, request: int, issues: list[TokenIssue]) -> list[Decision]:
        """Handle the leader's answer to a token request."""
        sent_at = self._in_flight.on_answer(now, request)
        if sent_at is None:
            return []
        decisions: list[Decision] = []
        for issue in issues:
            state = self._tenants.get(issue.tenant)
            if state is not None:
                decisions += state.on_issue(now, sent_at, issue)
        return decisions

    # Lease reports to the leader

    def on_leader_known(self, now: float, term: int) -> None:
        """Make a lease report due if the leader has a new term."""
        self._reports.on_leader_known(now, term)

    def next_lease_reports(self, now: float, request: int) -> list[LeaseReport]:
        """Return the lease reports to send to the leader now, in a message with the number `request`.

        The number must be higher than all earlier ones. An empty list may have to be sent as well: the message is due
        if and only if `is_newest_report` is true for its number afterwards.
        """
        if now < self._reports.due_at:
            return []
        reports = [
            state.lease_report(now, name) for name, state in self._tenants.items() if self._is_reported(now, state)
        ]
        if reports or not self._reports.is_known_to_leader:
            self._reports.on_sent(now, request)
        return reports

    def release(self) -> None:
        """Drop all tokens and leases when the process ends."""
        self._tenants.clear()

    def is_newest_report(self, request: int) -> bool:
        """Return whether the lease report in flight has this request number."""
        return request == self._reports.newest_request

    def on_leases_granted(self, now: float, request: int, term: int, grants: list[LeaseGrant]) -> list[Decision]:
        """Handle the leader's answer to a lease report; answers to reports other than the newest are ignored."""
        if not self._reports.on_answer(now, request, term):
            return []
        decisions: list[Decision] = []
        for grant in grants:
            state = self._tenants.get(grant.tenant)
            if state is not None:
                state.lease.on_grant(now, self._reports.sent_at, grant)
                decisions += state.serve_waiting(now)
        return decisions

    def next_report_at(self, now: float) -> float:
        """Return when the next lease report is due; infinity if there is nothing to report."""
        if not self._reports.is_known_to_leader or any(state.is_reported(now) for state in self._tenants.values()):
            return self._reports.due_at
        return math.inf

    def _is_reported(self, now: float, state: TenantTokens) -> bool:
        """Return whether to report a tenant. The first report to a leader also forwards a no-lease promise."""
        is_promise_pending = not self._reports.is_known_to_leader and now < state.lease.no_lease_until
        return state.is_reported(now) or is_promise_pending

"""The routing decisions of one edge: methods take events and the time, and return the actions to carry out.

Each server has a concurrency limit. A request goes to the less loaded of two random servers below their limit (power
of two choices, Mitzenmacher 2001). If all servers are at their limit, requests are queued in arrival order. One
request may be sent to a server at its limit as a trial, unless another trial is in flight there or the server backs
off; a successful trial raises the limit. If the limit of every server is 0, requests are rejected at once.

docs/design-fleet.md describes the policy and its exceptions.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from rosechute.routing.counts import Counts
from rosechute.routing.model import (
    AttemptResult,
    Reject,
    RejectReason,
    RoutingAction,
    RoutingRequest,
    Send,
    ServerEntry,
    Ticket,
)
from rosechute.routing.pending_request import Attempt, PendingRequest
from rosechute.routing.pick import Picker
from rosechute.routing.pool import MIN_RETRY_AFTER_S
from rosechute.routing.prefixes import PrefixTable
from rosechute.routing.retry_budget import RetryBudget
from rosechute.routing.server import Server
from rosechute.routing.service import Service
from rosechute.routing.sticky import PrefixAffinity
from rosechute.routing.tuning import RouterTuning

NO_SERVERS_RETRY_AFTER_S = 0.3  # the endpoint list may have a server by then
MAX_RETRY_AFTER_S = 0.8  # upper limit of the `Retry-After` of a rejected request, before jitter
RETRY_AFTER_SHARE = 0.25  # the same, as a share of the time to its deadline; the shorter one applies
QUEUE_TIMEOUT_SHARE = 0.25  # share of its target after which a queued request is rejected
EXTENDED_QUEUE_TIMEOUT_SHARE = 0.5  # the same for a request that can still meet its target
TOLERATED_DELAY_SHARE = 0.8  # share of its target that a request may be queued at a server if others are less loaded
RETRY_QUEUE_TIMEOUT_SHARE = 0.3  # share of the time to its deadline that a retry may be queued
EXTRA_UNEXECUTED_ATTEMPTS = 2  # attempts allowed beyond `max_attempts` if earlier ones were not executed
MAX_RETRIES_EXAMINED = 8  # queued retries per dispatch: the first ones may have tried all servers with capacity
# Results that show that the server, and with it its prefix cache, is lost.
SERVER_GONE_RESULTS = (AttemptResult.CONNECT_FAILED, AttemptResult.WRONG_INSTANCE)
ATTEMPTS, PROMPT_TOKENS, REJECTIONS = "attempts", "prompt_tokens", "rejections"  # names of counters
MAYBE_EXECUTED_RESULTS = (AttemptResult.SERVER_ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT)


class Router:
    """Router of one edge, with the pools, queues, admission control and retry budgets of all services.

    It does no I/O and reads no clock. `now` is the steady time in seconds. Methods that return actions return them in
    the order in which to carry them out.

    Args:
        draw: Source of random numbers in [0, 1).
        tuning: Constants of the router.

    Attributes:
        counts: Counters of attempts by result, prompt tokens by state, rejections by reason.
    """

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning) -> None:
        self._draw, self._tuning = draw, tuning
        self._picker = Picker(draw, tuning.zone)
        self._table = PrefixTable(tuning.prefix_entries, tuning.prompt_entries, tuning.prefix_idle_s)
        self.counts = Counts()
        self._affinity = PrefixAffinity(self._table, self.counts)
        self._services: dict[str, Service] = {}
        self._pending: dict[Ticket, PendingRequest] = {}
        self._retry_budget_settings = (0.2, 10.0, 0.0, 1)  # arguments of `apply_retry_budget`

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name, for reports and metrics."""
        return self._services

    # --- configuration and endpoint lists

    def apply_servers(self, now: float, service: str, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Replace the endpoint list of a service. Servers that drain or have left the list get no new requests."""
        known = self._service(service)
        actions = known.pool.apply(now, entries)
        return actions + self._dispatch_queued(now, known)

    def apply_limits(self, now: float, service: str, max_connections: int, edges: int) -> list[RoutingAction]:
        """Set the connection limit of a service, and the number of live edges that share it."""
        known = self._service(service)
        known.pool.set_limits(now, max_connections, edges)
        return self._dispatch_queued(now, known)

    def apply_retry_budget(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Set the parameters of the retry budget of every service, which `RetryBudget` explains."""
        self._retry_budget_settings = (ratio, window_s, slack, edges)
        for service in self._services.values():
            service.retry_budget.configure(*self._retry_budget_settings)

    def forget_services(self, now: float, keep: Collection[str]) -> list[RoutingAction]:
        """Remove all services except those in `keep`: reject queued requests, but let attempts at servers finish."""
        actions: list[RoutingAction] = []
        for name in [name for name in self._services if name not in keep]:
            service = self._services.pop(name)
            actions += service.pool.apply(now, ())
            actions += self._reject_all(service, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)
        return actions

    def _service(self, name: str) -> Service:
        known = self._services.get(name)
        if known is None:
            budget = RetryBudget(*self._retry_budget_settings)
            known = self._services[name] = Service(self._draw, self._tuning, budget)
        return known

    # --- requests

    def route(self, now: float, request: RoutingRequest) -> list[RoutingAction]:
        """Send a new request to a server, queue it, or reject it."""
        service = self._services.get(request.service)
        if service is None or not service.pool.available_count:
            self.counts.add(REJECTIONS, RejectReason.NO_SERVERS.value)
            return [Reject(request.ticket, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        service.retry_budget.on_request(now)
        service.admission.on_arrival(now, request.route, request.priority, request.target_s)
        pending = PendingRequest(request, request.arrived + QUEUE_TIMEOUT_SHARE * request.target_s)
        self._pending[request.ticket] = pending
        return self._admit(now, service, pending)

    def _admit(self, now: float, service: Service, pending: PendingRequest) -> list[RoutingAction]:
        """Send a request if no other is queued and a server accepts it; otherwise queue or reject it."""
        service.pool.expire_backoffs(now)
        if not service.queue:
            sent = self._try_dispatch(now, service, pending)
            if sent is not None:
                return [sent]
        elif self._must_reject(now, service, pending):
            return [self._reject_overloaded(now, pending)]
        service.queue.add(pending.request.ticket, pending.request.arrived, pending.request.priority)
        return self._dispatch_queued(now, service)

    def _must_reject(self, now: float, service: Service, pending: PendingRequest) -> bool:
        """Return whether the queue is full, or the request could not meet its target behind the queued ones."""
        if len(service.queue) >= self._tuning.max_queued_requests:
            return True
        return self._cannot_meet_target(now, service, pending)

    def _cannot_meet_target(self, now: float, service: Service, pending: PendingRequest) -> bool:
        """Return whether draining the queued requests ahead exceeds the target (exception "urgency")."""
        drain_s = service.admission.drain_time_s(service.queue.count_ahead(pending.request.priority))
        return now + drain_s > pending.request.arrived + pending.request.target_s

    def report(
        self, now: float, ticket: Ticket, server_id: str, result: AttemptResult, will_retry: bool
    ) -> list[RoutingAction]:
        """Handle the head of a response or the outcome of an attempt.

        Args:
            now: Steady time in seconds.
            ticket: Ticket of the request.
            server_id: Server of the attempt; reports about another server than the current one are ignored.
            result: `HEAD`, or the outcome of the attempt.
            will_retry: Whether the caller wants another attempt.
        """
        pending = self._pending.get(ticket)
        attempt = pending.attempt if pending is not None else None
        if pending is None or attempt is None or attempt.server.id != server_id:
            return []
        service = self._services.get(pending.request.service)
        limit_before = attempt.server.concurrency_limit
        if result is AttemptResult.HEAD:
            self._on_response_head(now, service, attempt)
        else:
            self._finish_attempt(now, service, pending, attempt, result)
        if service is None:
            return self._finish_request(pending, will_retry, result)
        service.pool.on_limit_changed(now, attempt.server, limit_before)
        actions: list[RoutingAction] = []
        if result is not AttemptResult.HEAD:
            if will_retry:
                actions += self._retry(now, service, pending)
            else:
                actions += self._finish_request(pending, False, result)
        return actions + self._dispatch_queued(now, service)

    def _on_response_head(self, now: float, service: Service | None, attempt: Attempt) -> None:
        if not attempt.is_responding:
            took_s, excess_s = now - attempt.sent_at, 0.0
            if service is not None:
                excess_s = service.admission.on_response_head(
                    took_s, attempt.tokens, attempt.tokens_before, attempt.target_s
                )
            attempt.server.on_response_head(now, took_s, excess_s, attempt.trial, attempt.tokens)
            attempt.is_responding = True

    def _finish_attempt(
        self, now: float, service: Service | None, pending: PendingRequest, attempt: Attempt, result: AttemptResult
    ) -> None:
        if result is AttemptResult.DONE and not attempt.is_responding:
            self._on_response_head(now, service, attempt)
        if service is not None:
            service.admission.on_attempt_finished(
                now - attempt.sent_at, 0 if attempt.is_responding else attempt.tokens
            )
        attempt.server.on_attempt_finished(
            now, attempt.sent_at, result, attempt.trial, attempt.is_responding, attempt.tokens
        )
        self.counts.add(ATTEMPTS, result.value)
        pending.attempt = None
        if pending.prefixes and result in SERVER_GONE_RESULTS:
            self._table.remove(pending.prefixes, attempt.server)
        pending.executed_attempts += result in MAYBE_EXECUTED_RESULTS
        pending.received_attempts += result is not AttemptResult.CONNECT_FAILED

    def _finish_request(
        self, pending: PendingRequest, will_retry: bool, result: AttemptResult
    ) -> list[RoutingAction]:
        """Remove a finished request; reject one that needs a retry, because its service was removed."""
        if result is AttemptResult.HEAD:
            return []
        if will_retry:
            return [self._reject(pending, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        self._pending.pop(pending.request.ticket, None)
        return []

    def _retry(self, now: float, service: Service, pending: PendingRequest) -> list[RoutingAction]:
        """Send another attempt, queue it, or reject the request."""
        request, pool = pending.request, service.pool
        if pending.executed_attempts >= request.max_attempts or (
            pending.executed_attempts and not request.repeatable
        ):
            return [self._reject(pending, RejectReason.ATTEMPTS, 0.0)]
        if pending.started_attempts >= request.max_attempts + EXTRA_UNEXECUTED_ATTEMPTS:
            return [self._reject(pending, RejectReason.ATTEMPTS, self._retry_after_s(now, pending))]
        if not any(server.is_available for server in pool.servers.values() if server not in pending.tried_servers):
            return [self._reject(pending, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        if pending.received_attempts and not service.retry_budget.allows_retry(now):
            return [self._reject(pending, RejectReason.RETRY_BUDGET, self._retry_after_s(now, pending))]
        pending.queue_deadline = now + RETRY_QUEUE_TIMEOUT_SHARE * (request.deadline - now)
        pending.is_deadline_extended = True
        pool.expire_backoffs(now)
        sent = self._try_dispatch(now, service, pending)  # it arrived before all queued ones
        if sent is not None:
            return [sent]
        service.retries.add(request.ticket, request.arrived, request.priority)
        return []

    def can_retry_elsewhere(self, now: float, ticket: Ticket) -> bool:
        """Return whether a request could be sent to another server now if its current attempt failed."""
        pending = self._pending.get(ticket)
        service = self._services.get(pending.request.service) if pending is not None else None
        if pending is None or service is None:
            return False
        request = pending.request
        if not request.repeatable or pending.executed_attempts + 1 >= request.max_attempts:
            return False
        if (
            pending.started_attempts >= request.max_attempts + EXTRA_UNEXECUTED_ATTEMPTS
            or not service.retry_budget.allows_retry(now)
        ):
            return False
        return any(server not in pending.tried_servers for server in service.pool.with_capacity)

    def cancel(self, now: float, ticket: Ticket) -> list[RoutingAction]:
        """Remove a request whose client has disconnected. Later reports about its attempt are ignored."""
        pending = self._pending.pop(ticket, None)
        if pending is None:
            return []
        service = self._services.get(pending.request.service)
        if service is not None:
            service.discard(ticket)
        if pending.attempt is None:
            return []
        server, limit_before = pending.attempt.server, pending.attempt.server.concurrency_limit
        self._finish_attempt(now, service, pending, pending.attempt, AttemptResult.CANCELLED)
        if service is None:
            return []
        service.pool.on_limit_changed(now, server, limit_before)
        return self._dispatch_queued(now, service)

    # --- time

    def tick(self, now: float) -> list[RoutingAction]:
        """Reject requests that were queued for too long, and dispatch others whose servers no longer back off."""
        actions: list[RoutingAction] = []
        for service in self._services.values():
            if service.has_queued:
                actions += self._expire(now, service)
                actions += self._dispatch_queued(now, service)
        return actions

    def next_wake(self) -> float | None:
        """Return the steady time at which to call `tick` next, or None while no request is queued."""
        wake: float | None = None
        for service in self._services.values():
            if not service.has_queued:
                continue
            times = [self._pending[ticket].queue_deadline for ticket in service.queued_tickets()]
            end = service.pool.next_backoff_end()
            earliest = min(times if end is None else [*times, end])
            wake = earliest if wake is None else min(wake, earliest)
        return wake

    def _expire(self, now: float, service: Service) -> list[RoutingAction]:
        """Reject requests past their queue deadline; extend it once for those that can still meet their target."""
        actions: list[RoutingAction] = []
        for ticket in service.queued_tickets():
            pending = self._pending[ticket]
            if pending.queue_deadline > now:
                continue
            if not pending.is_deadline_extended and not self._cannot_meet_target(now, service, pending):
                pending.is_deadline_extended = True
                pending.queue_deadline = (
                    pending.request.arrived + EXTENDED_QUEUE_TIMEOUT_SHARE * pending.request.target_s
                )
                continue
            service.discard(ticket)
            actions.append(self._reject_overloaded(now, pending))
        return actions

    # --- dispatch

    def _dispatch_queued(self, now: float, service: Service) -> list[RoutingAction]:
        """Send queued requests in arrival order while servers accept them, retries first."""
        actions: list[RoutingAction] = []
        if not service.has_queued:
            return actions
        pool = service.pool
        pool.expire_backoffs(now)
        for ticket in service.retries.oldest(MAX_RETRIES_EXAMINED):
            actions += self._dispatch_retry(now, service, ticket)
        while service.queue and pool.has_open_server:
            sent = self._dispatch_next(now, service)
            if sent is None:
                break
            actions.append(sent)
        if service.has_queued and not pool.active_count and not pool.recovering:
            reason = RejectReason.ALL_BACKED_OFF if pool.available_count else RejectReason.NO_SERVERS
            actions += self._reject_all(service, reason, pool.retry_after_s(now))
        return actions

    def _dispatch_next(self, now: float, service: Service) -> Send | None:
        """Send the oldest queued request, or a more recent one if it is held back (exception "urgency")."""
        for ticket in service.queue.heads():
            sent = self._try_dispatch(now, service, self._pending[ticket])
            if sent is not None:
                service.queue.discard(ticket)
                return sent
        return None

    def _dispatch_retry(self, now: float, service: Service, ticket: Ticket) -> list[RoutingAction]:
        pending = self._pending[ticket]
        if pending.received_attempts and not service.retry_budget.allows_retry(now):
            service.retries.discard(ticket)
            return [self._reject(pending, RejectReason.RETRY_BUDGET, self._retry_after_s(now, pending))]
        sent = self._try_dispatch(now, service, pending)
        if sent is None:
            return []
        service.retries.discard(ticket)
        return [sent]

    def _try_dispatch(self, now: float, service: Service, pending: PendingRequest) -> Send | None:
        """Send a request to a server with capacity, or as a trial; return None if no server accepts it."""
        pool = service.pool
        server = self._picker.recovering(now, pool, pending)
        if server is not None and (
            not pool.with_capacity or server.accepts_trial_of(now, pending.request.repeatable)
        ):
            return self._start_attempt(now, service, pending, server, True)
        server = self._picker.with_capacity(now, pool, pending)
        if server is not None and pending.prefixes:
            server = self._affinity.select(now, pool, pending, server)
        if server is not None:
            uncongested = self._uncongested_server(now, service, pending, server)
            if uncongested is None:
                return None
            return self._start_attempt(now, service, pending, uncongested, not uncongested.has_capacity())
        if pool.with_capacity:
            return None  # the request has tried those with capacity, which is no reason to raise the limit of others
        server = self._picker.at_limit(now, pool, pending)
        return self._start_attempt(now, service, pending, server, True) if server is not None else None

    def _uncongested_server(
        self, now: float, service: Service, pending: PendingRequest, server: Server
    ) -> Server | None:
        """Return `server` or a less loaded one, where the request would not be queued for too long, or None.

        Implements the exception "urgency" of docs/design-fleet.md.
        """
        request, admission, pool = pending.request, service.admission, service.pool
        delay_s = admission.estimated_queue_delay_s(now, server, pool)
        if admission.is_uncongested(now, delay_s, request.priority, request.target_s):
            return server
        max_delay_s = admission.max_queue_delay_s(now, request.route, request.priority, request.target_s)
        if delay_s <= max_delay_s:
            return server
        other = self._picker.shortest_queue(now, pool, pending)
        if other is None or admission.estimated_queue_delay_s(now, other, pool) > max_delay_s:
            return None
        # As others are less loaded, the queue at this server will drain; a prefill elsewhere would add to the load.
        return server if delay_s <= TOLERATED_DELAY_SHARE * request.target_s else other

    def _start_attempt(
        self, now: float, service: Service, pending: PendingRequest, server: Server, trial: bool
    ) -> Send:
        tokens = pending.request.input_tokens
        if pending.prefixes:
            tokens = max(0, tokens - int(self._table.expected_cached_tokens(now, pending.prefixes, server)))
            self._table.record(now, pending.prefixes, server)
        if pending.received_attempts:
            service.retry_budget.on_retry(now)
        server.on_attempt_started(now, trial, tokens)
        if not pending.started_attempts:
            service.admission.on_first_attempt(now, pending.request.route)
        service.admission.on_attempt_started(tokens)
        pending.attempt = Attempt(server, now, trial, tokens, server.prefill_tokens, pending.request.target_s)
        pending.tried_servers.append(server)
        pending.started_attempts += 1
        self.counts.add(PROMPT_TOKENS, "read", tokens)
        self.counts.add(PROMPT_TOKENS, "kept", pending.request.input_tokens - tokens)
        service.pool.refresh(now, server)
        return Send(pending.request.ticket, server.id, server.address, trial)

    # --- rejection

    def _reject(self, pending: PendingRequest, reason: RejectReason, retry_after_s: float) -> Reject:
        self._pending.pop(pending.request.ticket, None)
        self.counts.add(REJECTIONS, reason.value)
        return Reject(pending.request.ticket, reason, retry_after_s)

    def _reject_overloaded(self, now: float, pending: PendingRequest) -> Reject:
        return self._reject(pending, RejectReason.OVERLOADED, self._retry_after_s(now, pending))

    def _retry_after_s(self, now: float, pending: PendingRequest) -> float:
        """Return the `Retry-After` of a request that is rejected under load, in seconds, with jitter."""
        remaining_s = max(0.0, pending.request.deadline - now)
        longest_s = min(MAX_RETRY_AFTER_S, RETRY_AFTER_SHARE * remaining_s)
        return max(MIN_RETRY_AFTER_S, longest_s * (0.75 + 0.5 * self._draw()))

    def _reject_queued(self, service: Service, ticket: Ticket, reason: RejectReason, retry_after_s: float) -> Reject:
        service.discard(ticket)
        return self._reject(self._pending[ticket], reason, retry_after_s)

    def _reject_all(self, service: Service, reason: RejectReason, retry_after_s: float) -> list[RoutingAction]:
        return [self._reject_queued(service, ticket, reason, retry_after_s) for ticket in service.queued_tickets()]

"""The routing decisions of one edge: events and the clock in, actions out.

The ordinary path is the design's. Each server has a budget of k connections; a request goes to the less loaded of two
random servers under budget; requests wait in arrival order where all are full; one waiting request may pass as a
server's trial while no other trial and no backoff runs there; where every server sits at k = 0 requests are refused
at once.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping, Sequence

from rosechute.routing.call import Attempt, Call
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
from rosechute.routing.pick import Picker
from rosechute.routing.pool import LEAST_RETRY_AFTER_S
from rosechute.routing.prefixes import PrefixTable
from rosechute.routing.retry_budget import RetryBudget
from rosechute.routing.server import Server
from rosechute.routing.service import Service
from rosechute.routing.sticky import StickyPicker
from rosechute.routing.tuning import RouterTuning

NO_SERVERS_RETRY_AFTER_S = 0.3  # the list may show one by then
AGAIN_MOST_S = 0.8  # after which a refused request may come again, or
AGAIN_SHARE = 0.25  # of the time left, whichever is shorter
HOLD_FIRST = 0.25  # of its target after which a waiting request is refused,
HOLD_LAST = 0.5  # or after this, where it may be expected to be sent in time
TOLERATED = 0.8  # of its target that a request may wait at a server while others are less crowded
HOLD_SHARE = 0.3  # of the time left that a repeated request may wait
SPARE_ATTEMPTS = 2  # attempts beyond `max_attempts` that are known not to have run
LOOKS = 8  # waiting repeats that are looked at: the servers that have room may have failed the first ones
LOST = (AttemptResult.CONNECT_FAILED, AttemptResult.WRONG_INSTANCE)  # a server that ended keeps nothing
ATTEMPTS, PROMPT_TOKENS, REFUSALS = "attempts", "prompt_tokens", "refusals"  # events that are counted
MAY_HAVE_RUN = (AttemptResult.SERVER_ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT)


class Router:
    """Pools, picks, waiting requests and retry budgets of one edge.

    Args:
        draw: Random numbers from 0 up to 1.
        tuning: Constants.
    """

    def __init__(self, draw: Callable[[], float], tuning: RouterTuning) -> None:
        self._draw, self._tuning = draw, tuning
        self._picker = Picker(draw, tuning.zone)
        self._table = PrefixTable(tuning.prefix_entries, tuning.session_entries, tuning.prefix_idle_s)
        self.counts = Counts()
        self._sticky = StickyPicker(self._table, self.counts)
        self._services: dict[str, Service] = {}
        self._calls: dict[Ticket, Call] = {}
        self._retry_limits = (0.2, 10.0, 0.0, 1)  # as of apply_retry_budget

    @property
    def services(self) -> Mapping[str, Service]:
        """The services by name, to be looked at."""
        return self._services

    # --- what the fleet tells

    def apply_servers(self, now: float, service: str, entries: Sequence[ServerEntry]) -> list[RoutingAction]:
        """Take over the whole list of a service. Servers that drain or have left take nothing new."""
        known = self._service(service)
        actions = known.pool.apply(now, entries)
        return actions + self._pump(now, known)

    def apply_limits(self, now: float, service: str, max_connections: int, edges: int) -> list[RoutingAction]:
        """Take over `max_connections` of a service and the number of living edges that share it."""
        known = self._service(service)
        known.pool.limit(now, max_connections, edges)
        return self._pump(now, known)

    def apply_retry_budget(self, ratio: float, window_s: float, slack: float, edges: int) -> None:
        """Take over the bound on further attempts."""
        self._retry_limits = (ratio, window_s, slack, edges)
        for service in self._services.values():
            service.budget.bound(*self._retry_limits)

    def forget_services(self, now: float, keep: Collection[str]) -> list[RoutingAction]:
        """Drop the services that no route leads to. Requests that are out go on; those that wait are refused."""
        actions: list[RoutingAction] = []
        for name in [name for name in self._services if name not in keep]:
            service = self._services.pop(name)
            actions += service.pool.apply(now, ())
            actions += self._refuse_all(service, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)
        return actions

    def _service(self, name: str) -> Service:
        known = self._services.get(name)
        if known is None:
            budget = RetryBudget(*self._retry_limits)
            known = self._services[name] = Service(self._draw, self._tuning, budget)
        return known

    # --- requests

    def submit(self, now: float, request: RoutingRequest) -> list[RoutingAction]:
        """Take a request: it is sent, waits, or is refused."""
        service = self._services.get(request.service)
        if service is None or not service.pool.up:
            self.counts.add(REFUSALS, RejectReason.NO_SERVERS.value)
            return [Reject(request.ticket, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        service.budget.request(now)
        service.pressure.asked(now, request.route, request.priority, request.target_s)
        call = Call(request, request.arrived + HOLD_FIRST * request.target_s)
        self._calls[request.ticket] = call
        return self._place(now, service, call)

    def _place(self, now: float, service: Service, call: Call) -> list[RoutingAction]:
        """Send a request, or let it wait."""
        service.pool.elapse(now)
        if not service.line:
            sent = self._try(now, service, call)
            if sent is not None:
                return [sent]
        elif len(service.line) >= self._tuning.waiting_most or self._hopeless(now, service, call):
            return [self._refuse_overloaded(now, call)]
        service.line.add(call.request.ticket, call.request.arrived, call.request.priority)
        return self._pump(now, service)

    def _hopeless(self, now: float, service: Service, call: Call) -> bool:
        """Exception "urgency": whether those ahead of it alone would use up its target."""
        wait_s = service.pressure.clears_in_s(service.line.ahead(call.request.priority))
        return now + wait_s > call.request.arrived + call.request.target_s

    def report(
        self, now: float, ticket: Ticket, server_id: str, result: AttemptResult, again: bool
    ) -> list[RoutingAction]:
        """Take the outcome of an attempt, or the head of its answer. `again`: another attempt is wanted."""
        call = self._calls.get(ticket)
        attempt = call.attempt if call is not None else None
        if call is None or attempt is None or attempt.server.id != server_id:
            return []
        service = self._services.get(call.request.service)
        k_before = attempt.server.k
        if result is AttemptResult.HEAD:
            self._head(now, service, attempt)
        else:
            self._end(now, service, call, attempt, result)
        if service is None:
            return self._over(call, again, result)
        service.pool.changed(now, attempt.server, k_before)
        actions: list[RoutingAction] = []
        if result is not AttemptResult.HEAD:
            actions += self._again(now, service, call, result) if again else self._over(call, False, result)
        return actions + self._pump(now, service)

    def _head(self, now: float, service: Service | None, attempt: Attempt) -> None:
        if not attempt.headed:
            took_s, excess_s = now - attempt.sent_at, 0.0
            if service is not None:
                excess_s = service.pressure.headed(took_s, attempt.tokens, attempt.tokens_before, attempt.target_s)
            attempt.server.headed(now, took_s, excess_s, attempt.trial, attempt.tokens)
            attempt.headed = True

    def _end(self, now: float, service: Service | None, call: Call, attempt: Attempt, result: AttemptResult) -> None:
        if result is AttemptResult.DONE and not attempt.headed:
            self._head(now, service, attempt)
        if service is not None:
            service.pressure.ended(now - attempt.sent_at, 0 if attempt.headed else attempt.tokens)
        attempt.server.ended(now, attempt.sent_at, result, attempt.trial, attempt.headed, attempt.tokens)
        self.counts.add(ATTEMPTS, result.value)
        call.attempt = None
        if call.prefixes and result in LOST:
            self._table.drop(call.prefixes, attempt.server)
        call.runs += result in MAY_HAVE_RUN
        call.arrivals += result is not AttemptResult.CONNECT_FAILED

    def _over(self, call: Call, again: bool, result: AttemptResult) -> list[RoutingAction]:
        """The request needs nothing more, or can get nothing more as its service is gone."""
        if result is AttemptResult.HEAD:
            return []
        if again:
            return [self._refuse(call, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        self._calls.pop(call.request.ticket, None)
        return []

    def _again(self, now: float, service: Service, call: Call, result: AttemptResult) -> list[RoutingAction]:
        """Another attempt is wanted: send it, let it wait, or refuse."""
        request, pool = call.request, service.pool
        if call.runs >= request.max_attempts or (call.runs and not request.repeatable):
            return [self._refuse(call, RejectReason.ATTEMPTS, 0.0)]
        if call.sent >= request.max_attempts + SPARE_ATTEMPTS:
            return [self._refuse(call, RejectReason.ATTEMPTS, self._later(now, call))]
        if not any(server.up for server in pool.servers.values() if server not in call.tried):
            return [self._refuse(call, RejectReason.NO_SERVERS, NO_SERVERS_RETRY_AFTER_S)]
        if call.arrivals and not service.budget.affords(now):
            return [self._refuse(call, RejectReason.RETRY_BUDGET, self._later(now, call))]
        call.give_up_at = now + HOLD_SHARE * (request.deadline - now)
        call.extended = True
        pool.elapse(now)
        sent = self._try(now, service, call)  # it came before all that wait
        if sent is not None:
            return [sent]
        service.repeats.add(request.ticket, request.arrived, request.priority)
        return []

    def can_retry_elsewhere(self, now: float, ticket: Ticket) -> bool:
        """Whether a request could be sent to another server now if the one that it is at failed it after a run."""
        call = self._calls.get(ticket)
        service = self._services.get(call.request.service) if call is not None else None
        if call is None or service is None:
            return False
        request = call.request
        if not request.repeatable or call.runs + 1 >= request.max_attempts:
            return False
        if call.sent >= request.max_attempts + SPARE_ATTEMPTS or not service.budget.affords(now):
            return False
        return any(server not in call.tried for server in service.pool.room)

    def cancel(self, now: float, ticket: Ticket) -> list[RoutingAction]:
        """The client has left. What is out counts as ended; later reports on it are ignored."""
        call = self._calls.pop(ticket, None)
        if call is None:
            return []
        service = self._services.get(call.request.service)
        if service is not None:
            service.discard(ticket)
        if call.attempt is None:
            return []
        server, k_before = call.attempt.server, call.attempt.server.k
        self._end(now, service, call, call.attempt, AttemptResult.CANCELLED)
        if service is None:
            return []
        service.pool.changed(now, server, k_before)
        return self._pump(now, service)

    # --- time

    def tick(self, now: float) -> list[RoutingAction]:
        """Let backoffs end and refuse what has waited too long."""
        actions: list[RoutingAction] = []
        for service in self._services.values():
            if service.waits:
                actions += self._expire(now, service)
                actions += self._pump(now, service)
        return actions

    def next_wake(self) -> float | None:
        """When `tick` has something to do; None for never."""
        wake: float | None = None
        for service in self._services.values():
            if not service.waits:
                continue
            times = [self._calls[ticket].give_up_at for ticket in service.waiting()]
            end = service.pool.next_backoff_end()
            earliest = min(times if end is None else [*times, end])
            wake = earliest if wake is None else min(wake, earliest)
        return wake

    def _expire(self, now: float, service: Service) -> list[RoutingAction]:
        """Refuse what has waited for too long. The first time, what may be expected to be sent in time waits on."""
        actions: list[RoutingAction] = []
        for ticket in service.waiting():
            call = self._calls[ticket]
            if call.give_up_at > now:
                continue
            if not call.extended and not self._hopeless(now, service, call):
                call.extended = True
                call.give_up_at = call.request.arrived + HOLD_LAST * call.request.target_s
                continue
            service.discard(ticket)
            actions.append(self._refuse_overloaded(now, call))
        return actions

    # --- sending

    def _pump(self, now: float, service: Service) -> list[RoutingAction]:
        """Send waiting requests in arrival order as far as servers take them; repeats go before the others."""
        actions: list[RoutingAction] = []
        if not service.waits:
            return actions
        pool = service.pool
        pool.elapse(now)
        for ticket in service.repeats.in_order(LOOKS):
            actions += self._pump_repeat(now, service, ticket)
        while service.line and pool.open:
            sent = self._pump_one(now, service)
            if sent is None:
                break
            actions.append(sent)
        if service.waits and not pool.live and not pool.returning:
            reason = RejectReason.ALL_BACKED_OFF if pool.up else RejectReason.NO_SERVERS
            actions += self._refuse_all(service, reason, pool.retry_after(now))
        return actions

    def _pump_one(self, now: float, service: Service) -> Send | None:
        """Send the request that came first. Exception "urgency": where it is held back, the most urgent other one."""
        for ticket in service.line.firsts():
            sent = self._try(now, service, self._calls[ticket])
            if sent is not None:
                service.line.discard(ticket)
                return sent
        return None

    def _pump_repeat(self, now: float, service: Service, ticket: Ticket) -> list[RoutingAction]:
        call = self._calls[ticket]
        if call.arrivals and not service.budget.affords(now):
            service.repeats.discard(ticket)
            return [self._refuse(call, RejectReason.RETRY_BUDGET, self._later(now, call))]
        sent = self._try(now, service, call)
        if sent is None:
            return []
        service.repeats.discard(ticket)
        return [sent]

    def _try(self, now: float, service: Service, call: Call) -> Send | None:
        """Send a request to a server that has room, or as a trial; None where none takes it."""
        pool = service.pool
        server = self._picker.returning(now, pool, call)
        if server is not None and (not pool.room or server.due_for(now, call.request.repeatable)):
            return self._send(now, service, call, server, True)
        server = self._picker.with_room(now, pool, call)
        if server is not None and call.prefixes:
            server = self._sticky.pick(now, pool, call, server)
        if server is not None:
            uncrowded = self._uncrowded(now, service, call, server)
            if uncrowded is None:
                return None
            return self._send(now, service, call, uncrowded, not uncrowded.has_room())
        if pool.room:
            return None  # those with room have failed this request before: no reason to let others grow
        server = self._picker.growing(now, pool, call)
        return self._send(now, service, call, server, True) if server is not None else None

    def _uncrowded(self, now: float, service: Service, call: Call, server: Server) -> Server | None:
        """Exception "urgency": this server, or a less crowded one, where the request would not wait there for too
        long a part of its target; else None."""
        request, pressure, pool = call.request, service.pressure, service.pool
        wait_s = pressure.wait_at_s(now, server, pool)
        if pressure.easy(now, wait_s, request.priority, request.target_s):
            return server
        bearable_s = pressure.bearable_s(now, request.route, request.priority, request.target_s)
        if wait_s <= bearable_s:
            return server
        other = self._picker.least_waiting(now, pool, call)
        if other is None or pressure.wait_at_s(now, other, pool) > bearable_s:
            return None
        # Not all are crowded, so the queue at this one passes; to read a prompt elsewhere, too, would add to it.
        return server if wait_s <= TOLERATED * request.target_s else other

    def _send(self, now: float, service: Service, call: Call, server: Server, trial: bool) -> Send:
        tokens = call.request.input_tokens
        if call.prefixes:
            tokens = max(0, tokens - int(self._table.kept(now, call.prefixes, server)))
            self._table.note(now, call.prefixes, server)
        if call.arrivals:
            service.budget.repeat(now)
        server.sent(now, trial, tokens)
        if not call.sent:
            service.pressure.served(now, call.request.route)
        service.pressure.sent(tokens)
        call.attempt = Attempt(server, now, trial, tokens, server.prefill_tokens, call.request.target_s)
        call.tried.append(server)
        call.sent += 1
        self.counts.add(PROMPT_TOKENS, "read", tokens)
        self.counts.add(PROMPT_TOKENS, "kept", call.request.input_tokens - tokens)
        service.pool.refresh(now, server)
        return Send(call.request.ticket, server.id, server.address, trial)

    # --- refusing

    def _refuse(self, call: Call, reason: RejectReason, retry_after_s: float) -> Reject:
        self._calls.pop(call.request.ticket, None)
        self.counts.add(REFUSALS, reason.value)
        return Reject(call.request.ticket, reason, retry_after_s)

    def _refuse_overloaded(self, now: float, call: Call) -> Reject:
        return self._refuse(call, RejectReason.OVERLOADED, self._later(now, call))

    def _later(self, now: float, call: Call) -> float:
        """When a request that was refused under pressure had better come again: spread out, and with time left."""
        left = max(0.0, call.request.deadline - now)
        return max(LEAST_RETRY_AFTER_S, min(AGAIN_MOST_S, AGAIN_SHARE * left) * (0.75 + 0.5 * self._draw()))

    def _refuse_waiting(self, service: Service, ticket: Ticket, reason: RejectReason, retry_after_s: float) -> Reject:
        service.discard(ticket)
        return self._refuse(self._calls[ticket], reason, retry_after_s)

    def _refuse_all(self, service: Service, reason: RejectReason, retry_after_s: float) -> list[RoutingAction]:
        return [self._refuse_waiting(service, ticket, reason, retry_after_s) for ticket in service.waiting()]

"""Decisions of one sidecar. Settings, events and actions are defined in `rosechute/load_balancing/interface.py`.

Each server has an in-flight budget of `k` steps times a learned concurrency figure. A call goes to the server with
fewer own calls in flight of two drawn at random; ties go by expected latency. A server at its budget is drawn again.
When all servers are at their budgets, calls wait in arrival order. A waiting call may be sent beyond the budget as
the one trial of a server; all trials of a server share one backoff. Each departure from this path is marked
"Exception" and listed in docs/design.md with the condition under which it applies.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping

from rosechute.load_balancing.backoff import ANSWER_TIMEOUT_NS, MAX_PAUSE_NS, MIN_SPREAD_NS, Backoff
from rosechute.load_balancing.crowding import SHED_THRESHOLD, Crowding
from rosechute.load_balancing.interface import (
    NEVER_RAN,
    Accept,
    Action,
    Alarm,
    Begun,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Entry,
    Event,
    Fail,
    Hangup,
    How,
    Probe,
    Reconfigure,
    Refuse,
    Response,
    Retract,
    Settings,
    Submit,
    Subscribe,
)
from rosechute.load_balancing.state import (
    EWMA_GAIN,
    MAX_FIGURE,
    Attempt,
    Call,
    Classes,
    Roster,
    Server,
    smoothed_rate,
)

NOT_MUTED = (0, 0)  # entry of a class that is not muted: until when, and the length of the last pause
MAX_RESUBSCRIBE_PAUSE_NS = 400_000_000  # before a silent watch is opened again
TICK = 1  # timer tag for held calls; 0 is for the server list, 2 and above for second copies
MAX_STEPS = 10  # upper bound of `k`; gRFC A105 has the same default for max_connections_per_subchannel
PROBES_PER_ROUND = 4  # two pairs to choose from
UNREPORTED_LOAD = 2.0  # requests assumed at a server whose response carries no load report
MAX_PROBE_PRICE = 0.01  # largest share of a request's worth that probing before each send may cost
MAX_PROBE_ROUNDS = 2  # rounds of probes before a busy server is accepted
MAX_DRAWS = 12  # draws of a server for one call
SUBSET_SIZE = 8  # servers that a sidecar with few calls can learn from its own responses; halved if connections cost
SMALL_FLEET_SIZE = 2 * SUBSET_SIZE  # up to this size own calls suffice and load reports are not used
MAX_CAPACITY_RATIO = 2.5  # bound of a server's draw weight over the mean capacity, as reports are noisy
BUSY_UTILISATION = 0.6  # reported utilisation from which calls may queue at a server
MIN_UTILISATION = 0.05  # below this a report is too imprecise to estimate the capacity from
SLOW_RATIO = 1.5  # latency over uncongested latency from which a response is slow; larger limits miss congestion
ON_TIME_RATIO = 0.8  # share of the remaining time that a call may be expected to take, as latencies scatter
OVERTAKEN_LIMIT = 2  # later calls answered before an attempt counts as stuck; one may be chance
REBUILD_DIVISOR = 4  # above 1/4 changed entries, sorting the whole list costs no more than updates in place
RETRY_RATIO = 0.2  # retry tokens earned by one request
MAX_RETRY_TOKENS = 2.0 / RETRY_RATIO
# Bound to module names, as the lookup of an enum member costs ten times as much and each event needs about twelve.
OK, ERROR, FULL, TIMEOUT = How.OK, How.ERROR, How.FULL, How.TIMEOUT
CONNECT_FAILED, RESET, CANCELLED, MOOT = How.CONNECT_FAILED, How.RESET, How.CANCELLED, How.MOOT


class Balancer:
    """Load balancer of one sidecar, a pure function of its settings, seed and timed events.

    Args:
        settings: Settings to start with; `Reconfigure` replaces them.
        seed: Seed of all random draws.
        now: Current time in nanoseconds.
    """

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self._random = random.Random(seed).random
        self._actions: list[Action] = []
        self._servers: dict[str, Server] = {}
        self._roster = Roster()
        self._up, self._subset, self._groups = self._roster.up, self._roster.subset, self._roster.groups
        self._removed: dict[str, Server] = {}  # no longer listed; kept until their attempts have ended
        self._rebuild_all = False  # the current list change is large enough for a full sort
        self._available: list[Server] = []  # servers below their budget; the order is independent of hash seeds
        self._live_count = 0  # servers that are up and have `k` above 0
        self._calls: dict[str, Call] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._held: dict[str, Call] = {}  # in arrival order: all servers are full, or probes are pending
        self._tick_scheduled = False  # a timer for the held calls is pending
        self._second_copy_tids: dict[int, str] = {}  # calls that may get a second copy, by timer tag
        self._last_tag = TICK
        self.ceded = False  # another process of this sidecar sends to the cold servers
        self._stretch = 1.0  # measured over expected latency, mean of all servers
        self._tokens = 1.0 / RETRY_RATIO
        self._rate = 0.0  # recent requests per nanosecond
        self._served = 0.0  # recent successful responses per nanosecond
        self._heard_at = self._served_at = self._begun_at = now
        self._draw_size = 1  # number of servers in the range of the last draw
        # Requests per second that a server can serve and does serve: means over the load reports.
        self._mean_capacity = self._mean_request_rate = 0.0
        self._mean_request_rate_at = now
        self._capacity_by_kind: dict[int, float] = {}  # mean reported capacity by server kind, in requests per second
        self._max_idle = settings.limits.conn_idle_ns  # longest idle time after which a connection is reused
        self._max_idle_until = 0  # until when a value below the settings' one is used
        # Earliest times at which a server can be tried and the list may be requested.
        self._unavailable_until = self._next_subscribe_at = 0
        self._is_subscribed = False
        self._class_table = Classes()
        # By class: mean uncongested latency beyond the call's cost hint, number of samples, time of the last one.
        self._class_latency: list[tuple[float, int, int]] = []
        self._adopt(now, settings)
        self._crowding = Crowding(self._classes, self._horizon, now)

    def _adopt(self, now: int, settings: Settings) -> None:
        """Apply settings. Learned state is kept, and open calls keep their classes."""
        self._settings = settings
        self._horizon = max(c.deadline_ns for c in settings.classes)
        self._class_table.adopt(settings.classes)
        self._classes = classes = self._class_table.known
        self._class_latency += [(c.aim_ns / 4, 0, now) for c in classes[len(self._class_latency) :]]
        # Interval between checks of the held calls.
        self._tick_ns = max(
            1, min(c.aim_ns for c in (*settings.classes, classes[self._class_table.unknown_id])) // 16
        )
        self._backoff = Backoff(settings.invariants.must_ask_in_ns // 8, MAX_PAUSE_NS, self._random)
        expensive = PROBES_PER_ROUND * settings.prices.get("probe", 0.0) > MAX_PROBE_PRICE
        self._probing = settings.reports != "none" and settings.limits.may_probe and not expensive
        # Servers that a sidecar without traffic draws from: all of them if probes report the load of each.
        priced = settings.prices.get("connection", 0.0) > 0
        self._subset_size = 10**9 if self._probing and not priced else SUBSET_SIZE // (1 + priced)

    def census(self, now: int) -> tuple[int, int]:
        """Return the numbers of listed servers and of those that are avoided at present."""
        listed = [s for s in self._servers.values() if not s.is_removed]
        return len(listed), sum(s.is_avoided(now, self._class_table.listed_ids) for s in listed)

    # --- events ---------------------------------------------------------------------------------

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process one event at time `now` in nanoseconds and return the actions to carry out, in order."""
        self._actions = []
        if isinstance(event, Accept):
            self._on_accept(now, event)
        elif isinstance(event, Response):
            self._on_response(now, event)
        elif isinstance(event, Alarm):
            self._on_alarm(now, event)
        elif isinstance(event, Directory):
            self._on_directory(now, event)
        elif isinstance(event, Hangup):
            self._forget_call(event.tid)
        elif isinstance(event, Echo):
            self._on_echo(now, event)
        elif isinstance(event, Begun) and event.tid in self._calls:
            self._calls[event.tid].is_streaming = True
        elif isinstance(event, Reconfigure):
            self._adopt(now, event.settings)
            self._crowding.adopt(self._classes, self._horizon)
            if self._settings.must_ask and not self._is_subscribed and self._next_subscribe_at <= now:
                self._schedule_subscribe(now, 1)  # a pending request is not postponed, as settings may change often
            self._dispatch_held(now)
        return self._actions

    def _on_accept(self, now: int, event: Accept) -> None:
        class_id, cls = self._class_table.find(event.cls, event.kind)
        # The client's timeout may be shorter than the target latency; a later response is worth nothing.
        aim_at = now + min(cls.aim_ns + int(cls.aim_stretch * event.cost_ns), cls.deadline_ns, event.ttl_ns)
        size = event.cost_ns + self._class_latency[class_id][0]
        bounds, most = event.bounds, self._settings.limits.max_attempts
        if bounds is not None and bounds.attempts:
            most = min(most, bounds.attempts)
        call = Call(event.tid, class_id, cls, most, now + event.ttl_ns, aim_at, event.cost_ns, max(1.0, size), bounds)
        call.hold_until = self._holding_limit(call)
        self._calls[event.tid] = call
        self._count_request(now, class_id)
        if now >= call.hold_until or self._should_shed(now, class_id, call.size):
            self._finish(now, call, call.cls.aim_ns // 8)
        elif self._probing:
            self._probe_servers(now, call)
        elif self._held:
            self._hold(now, call)  # behind the calls that are waiting already
            self._dispatch_held(now)
        elif not self._try_dispatch(now, call):
            self._hold(now, call)

    def _count_request(self, now: int, class_id: int) -> None:
        """Update the request rate and the class shares, and earn retry tokens."""
        self._rate = smoothed_rate(self._rate, now - self._heard_at, self._smoothing_span(now))
        self._heard_at = now
        self._crowding.count_request(class_id)
        tokens = self._tokens + RETRY_RATIO
        self._tokens = tokens if tokens < MAX_RETRY_TOKENS else MAX_RETRY_TOKENS

    def _smoothing_span(self, now: int) -> int:
        """Return the time over which rates are smoothed: one horizon, or the run time if that is shorter."""
        span = now - self._begun_at + self._tick_ns
        return span if span < self._horizon else self._horizon

    def _should_shed(self, now: int, class_id: int, size: float) -> bool:
        """Return whether to refuse a request because the fleet is congested.

        Exception "shedding": the fleet responds slower than without congestion, so part of the calls is refused,
        those of least worth first. Each sidecar draws independently, so that shedding is smooth over the fleet.
        """
        flow = (self._served + self._rate) / 2 * size
        serial = self._classes[class_id].aim_ns / size
        return self._crowding.should_shed(now, class_id, len(self._attempts), flow, serial, self._random())

    def _on_alarm(self, now: int, event: Alarm) -> None:
        if self._settings.must_ask and not self._is_subscribed and now >= self._next_subscribe_at:
            self._subscribe(now)
        if event.tag == TICK:
            # The timer is recognised by its tag, not by the clock: if another event at the same time consumed
            # the tick, held calls whose time is up would never end.
            self._tick_scheduled = False
            self._dispatch_held(now, True)
        elif event.tag > TICK:
            self._send_second_copy(now, self._second_copy_tids.pop(event.tag, ""))

    def _send_second_copy(self, now: int, tid: str) -> None:
        """Send a second attempt of a call beside the first.

        Exception "second copy": if operators have enabled it for the route, an attempt without an outcome is
        joined by one at another server, under the same rules and budgets as a retry. It does harm when all
        servers are slow; the budget bounds the extra load.
        """
        call = self._calls.get(tid)
        if call is None or call.in_flight != 1 or call.is_streaming or self._tokens < 1.0 or now >= call.hold_until:
            return
        server, trial, _ = self._pick_server(now, call)
        if (
            server is not None
            and not trial
            and self._may_send(now, call, server)
            and self._spend_retry_budget(now, call)
        ):
            self._tokens -= 1.0
            self._send(now, call, server, False)

    @staticmethod
    def _spend_retry_budget(now: int, call: Call) -> bool:
        """Take one attempt from the retry budget of the route; return False if it is exhausted."""
        budget = call.bounds.budget if call.bounds is not None else None
        return budget is None or budget.spend(now)

    @staticmethod
    def _is_retryable(call: Call, how: int) -> bool:
        """Return whether the call's route allows a retry after this outcome.

        MOOT is always retryable, as nothing was sent.
        """
        causes = call.bounds.retry_on if call.bounds is not None else None
        return causes is None or how == MOOT or (TIMEOUT if how == CANCELLED else how) in causes

    def _on_response(self, now: int, event: Response) -> None:
        attempt = self._attempts.pop((event.tid, event.attempt), None)
        if attempt is None:
            return
        server = attempt.server
        server.inflight -= 1
        server.last_used = now
        if event.how == OK:
            server.heard = now
            self._retract_overtaken(now, attempt)
        stale = event.how == RESET and self._detect_stale_connection(now, attempt.idle_before, event.lag_ns)
        if attempt.sent_at >= server.started:  # else the outcome concerns a previous process of the server
            server.has_trial = server.has_trial and not attempt.is_trial
            if not stale:
                self._learn_latency(now, attempt, event)
                if event.how == OK:
                    self._learn_capacity(now, server, event.load)
                self._estimate_crowding(now, attempt, event)
                self._update_server_state(now, attempt, event.how)
        self._update_availability(server)
        call = self._calls.get(event.tid)
        if call is not None:
            call.in_flight -= 1
            if event.closed:
                self._forget_call(event.tid)
                # The call is answered, so the other copy is useless.
                if call.in_flight and self._settings.limits.cancel:
                    self._actions += [
                        Retract(call.tid, n) for n in range(call.attempts) if (call.tid, n) in self._attempts
                    ]
            elif event.how not in NEVER_RAN and call.ran_on is None:
                call.ran_on, call.ran_at = server, call.first_at
            if not event.closed and not call.in_flight and not call.is_streaming:
                self._tokens += stale  # a stale connection is no sign of load, so the retry costs no token
                if event.again and self._is_retryable(call, event.how):
                    self._retry(now, call, event.how)
                else:
                    self._finish(now, call, call.cls.aim_ns // 8)
        self._dispatch_held(now)

    def _retract_overtaken(self, now: int, answered: Attempt) -> None:
        """Retract attempts that were sent before an answered one to the same server.

        Exception "overtaken": an attempt whose server has answered later calls is most likely stuck on a silent
        connection. If the class may run twice and time is left, it is retracted and sent to another server. This
        also covers lost responses and calls that a server forgot. It does harm when servers process many calls
        concurrently and costs differ widely: some work is then done twice.
        """
        for (tid, number), attempt in self._attempts.items():
            if attempt.server is answered.server and attempt.sent_at < answered.sent_at:
                attempt.overtaken_by += 1
                call = self._calls.get(tid)
                if (
                    attempt.overtaken_by == OVERTAKEN_LIMIT
                    and call is not None
                    and call.cls.repeat == "free"
                    and self._settings.limits.cancel
                    and self._tokens >= 1.0
                    and now + self._tick_ns < call.hold_until
                ):
                    self._mute_class(now, attempt)
                    self._actions.append(Retract(tid, number))

    def _detect_stale_connection(self, now: int, idle: int, lag: int) -> bool:
        """Shorten the idle limit if a reset is explained by an idle connection; return whether it is.

        Exception "stale connection": if a reset follows the send within less time than the connection had been
        idle, something dropped the idle connection, and the reset is no sign of the server's health. Connections
        that have been idle for half that time are then closed before use. This also covers crashes that are
        noticed late. It does harm when every connection must be new and handshakes are expensive.

        Args:
            now: Current time in nanoseconds.
            idle: Idle time of the connection before the send, in nanoseconds.
            lag: Time from the send to the reset, in nanoseconds.
        """
        if idle <= lag:
            return False
        self._max_idle = min(self._max_idle, idle // 2)
        self._max_idle_until = now + 8 * self._horizon
        return True

    def _record_connection_use(self, now: int, server: Server) -> None:
        """Record the use of a server's connections, and close those that have been idle for too long."""
        if now >= self._max_idle_until:
            self._max_idle = self._settings.limits.conn_idle_ns
        server.idle_before = 0 if server.inflight or not server.last_used else now - server.last_used
        if server.idle_before > self._max_idle:
            if self._max_idle < self._settings.limits.conn_idle_ns:
                self._actions.append(CloseIdle(server.name))
            server.idle_before = server.peak = 0
        server.last_used = now

    def _forget_call(self, tid: str) -> None:
        self._calls.pop(tid, None)
        self._held.pop(tid, None)

    # --- the server list ------------------------------------------------------------------------

    def _on_directory(self, now: int, event: Directory) -> None:
        if event.scope == "SILENT":
            # Changes may have been missed, and discovery itself may be healthy: subscribe soon, with jitter.
            self._is_subscribed = False
            pause = min(MAX_RESUBSCRIBE_PAUSE_NS, self._settings.invariants.must_ask_in_ns // 16)
            self._schedule_subscribe(now, 1 + int(pause * self._random()))
            return
        if event.scope == "FAILED":
            self._is_subscribed = False
            self._schedule_subscribe(now, self._backoff.failed(event.took_ns))
            return
        if event.scope == "MOVED":
            # The backoff belongs to the previous discovery, and its pending timer must not subscribe twice.
            self._is_subscribed = False
            self._backoff.answered()
            if self._settings.must_ask:
                self._subscribe(now)
            return
        if event.scope == "SAVED":
            # The first event after the start: a timer requested before any event would be lost.
            if self._settings.must_ask:
                self._schedule_subscribe(now, 1 + int(self._settings.invariants.must_ask_in_ns // 8 * self._random()))
        else:
            self._is_subscribed = self._settings.must_ask
            self._backoff.answered()
        self._apply_list(now, event)
        self._dispatch_held(now)

    def _apply_list(self, now: int, event: Directory) -> None:
        """Apply a server list or a change of it.

        The cost depends on the number of changed entries. No server is drawn before the change is complete.
        """
        entries, known = event.entries, self._servers
        listed = {entry.server for entry in entries} if event.scope != "INCREMENTAL" else None
        missing = (
            [s for s in known.values() if s.name not in listed and not s.is_removed] if listed is not None else []
        )
        news = sum(self._is_changed(entry) for entry in entries)
        self._rebuild_all = REBUILD_DIVISOR * (news + len(missing)) > len(known) or self._roster.is_stale(
            self._settings.index
        )
        for server in missing:
            self._discard_from_roster(server)
            server.up, server.is_removed = False, True
            self._removed[server.name] = server
            self._update_availability(server)
        if news:
            for entry in entries:
                self._apply_entry(now, entry)
        self._finish_list_change()

    def _is_changed(self, entry: Entry) -> bool:
        """Return whether an entry of the list differs from what is known of its server."""
        server = self._servers.get(entry.server)
        return server is None or server.is_removed or server.entry != entry

    def _apply_entry(self, now: int, entry: Entry) -> None:
        """Apply one entry of the list; an unchanged one costs a comparison."""
        if not self._is_changed(entry):
            return
        server = self._servers.get(entry.server)
        if server is None:
            server = self._servers[entry.server] = Server(entry)
        self._discard_from_roster(server)
        server.entry = entry
        server.zone, server.cell, server.list_weight = entry.zone, entry.cell, entry.weight
        if server.started >= 0 and entry.started_ns > server.started:
            server.reset()  # a restart: what was learned of the old process does not apply
        if entry.started_ns > server.started:
            # The first credit is drawn at random, so that not all sidecars send to a new process at once.
            server.started = entry.started_ns
            server.credit, server.credit_at = self._random(), now
        server.up, server.is_removed = entry.lifecycle == "up", entry.lifecycle == "removed"
        if server.is_removed:
            self._removed[server.name] = server
        self._update_availability(server)
        if server.up and not self._rebuild_all:
            self._roster.add(server)
            self._live_count += server.k > 0

    def _discard_from_roster(self, server: Server) -> None:
        """Remove a server from the roster, unless the roster is about to be rebuilt."""
        if server.up and not self._rebuild_all:
            self._roster.discard(server)
            self._live_count -= server.k > 0

    def _finish_list_change(self) -> None:
        """Forget removed servers without open attempts, and rebuild the roster if needed."""
        # Each deployment adds names for good, so servers that were removed must not be kept for ever.
        for server in [s for s in self._removed.values() if not s.is_removed or not (s.inflight or s.probing_calls)]:
            del self._removed[server.name]
            if server.is_removed:
                del self._servers[server.name]
        if self._rebuild_all:
            self.rebuild_roster()
        self._unavailable_until = 0

    def rebuild_roster(self) -> None:
        """Sort all servers, after a large change of the list or of the state of its servers."""
        self._roster.rebuild(self._settings.index, self._servers.values())
        self._live_count = sum(1 for s in self._up if s.k)
        self._unavailable_until = 0

    def _schedule_subscribe(self, now: int, pause: int) -> None:
        self._next_subscribe_at = now + pause
        self._actions.append(Defer(pause, 0))

    def _subscribe(self, now: int) -> None:
        """Subscribe to the server list, and schedule a repetition in case no response arrives.

        The repetition comes after the timeout of the call, as a second call replaces a pending one.
        """
        self._actions.append(Subscribe())
        self._schedule_subscribe(
            now, max(self._settings.invariants.must_ask_in_ns // 2, ANSWER_TIMEOUT_NS + MIN_SPREAD_NS)
        )

    def _update_availability(self, server: Server) -> None:
        """Add a server to the list of available servers or remove it, after a change of its state."""
        fits = server.up and server.inflight < server.budget
        if fits and server.available_index < 0:
            server.available_index = len(self._available)
            self._available.append(server)
        elif not fits and server.available_index >= 0:
            last = self._available.pop()
            if last is not server:
                self._available[server.available_index] = last
                last.available_index = server.available_index
            server.available_index = -1

    # --- learning -------------------------------------------------------------------------------

    def _learn_latency(self, now: int, attempt: Attempt, event: Response) -> None:
        if event.how == OK and event.lag_ns > 0:
            server = attempt.server
            self._served, self._served_at = (
                smoothed_rate(self._served, now - self._served_at, self._smoothing_span(now)),
                now,
            )
            service = event.lag_ns * server.ramp(now, self._settings.invariants)  # a slow start is temporary
            sample = service / attempt.size
            known = server.stretch if server.seen else self._stretch
            server.stretch, server.seen = known + (sample - known) * EWMA_GAIN, now
            self._stretch += (sample - self._stretch) * EWMA_GAIN / 8
            extra, count, at = self._class_latency[attempt.class_id]
            # Bounded, as a few requests cost many times the usual.
            error = min(service - attempt.cost_hint - extra, 2 * attempt.size)
            # After the first samples the gain grows with the time since the last one: congestion hardly raises the
            # mean, and a mean that started too low recovers.
            first = count < 2 or (count < 32 and self._crowding.level < SHED_THRESHOLD)
            gain = max(1.0 / (count + 1) if first else 0.0, (now - at) / (64 * self._horizon))
            self._class_latency[attempt.class_id] = (max(0.0, extra + error * min(gain, 1.0)), count + 1, now)
            self._crowding.observe_latency(event.lag_ns / self._classes[attempt.class_id].aim_ns)

    def _learn_capacity(self, now: int, server: Server, load: Mapping[str, float]) -> None:
        """Estimate a server's capacity from a load report.

        Exception "told capacity": the reported request rate over the reported utilisation is the capacity of the
        server, whoever calls it and whatever slows it down.
        """
        use, flow = load.get("util", 0.0), load.get("qps", 0.0)
        if use < MIN_UTILISATION or flow <= 0.0 or len(self._up) <= SMALL_FLEET_SIZE:
            return
        # Old reports weigh less: a sidecar with few calls receives one only every few seconds.
        gap = now - server.reported_at
        gain = max(EWMA_GAIN, gap / (gap + self._horizon)) if server.utilisation else 1.0
        server.reported_at = now
        server.utilisation += (use - server.utilisation) * gain
        server.request_rate += (flow - server.request_rate) * gain
        capacity = server.request_rate / server.utilisation
        gain = EWMA_GAIN / 8 if self._mean_capacity else 1.0
        # Averaged over the same time as own responses: the credit of a cold server is based on their ratio, and a
        # burst that affected own responses only would multiply it.
        gap = now - self._mean_request_rate_at
        self._mean_request_rate += (flow - self._mean_request_rate) * max(gain, gap / (gap + self._horizon))
        self._mean_request_rate_at = now
        self._mean_capacity += (capacity - self._mean_capacity) * gain
        mean = self._capacity_by_kind.get(server.kind, capacity)
        self._capacity_by_kind[server.kind] = mean + (capacity - mean) * EWMA_GAIN / 8

    def _draw_weight(self, server: Server) -> float:
        """Return the relative probability of drawing a server.

        Errors reduce it strongly, as most failed requests cannot be retried.
        """
        return self._capacity(server) * (1.0 - server.error_rate) ** 4

    def _capacity(self, server: Server) -> float:
        """Return a server's capacity in requests per second, or the mean of its kind before its first report."""
        return (
            server.request_rate / server.utilisation
            if server.utilisation
            else self._capacity_by_kind.get(server.kind, self._mean_capacity)
        )

    def _estimate_crowding(self, now: int, attempt: Attempt, event: Response) -> None:
        """Update the estimate of crowding from the outcome of an own attempt."""
        # No response to any call since the send, as under congestion.
        silent = event.how == TIMEOUT and attempt.server.seen < attempt.sent_at
        if self._probing or not (silent or event.how in (OK, FULL)):
            return  # probe results are more precise
        if self._mean_capacity and event.how == FULL:
            return  # the server drains or its table is full; latencies show queues
        # A server with spare capacity is slow for another reason than congestion.
        spare = self._mean_capacity and event.load.get("util", BUSY_UTILISATION) < BUSY_UTILISATION
        slow = event.how != OK or (event.lag_ns > SLOW_RATIO * attempt.size and not spare)
        part = event.lag_ns / self._classes[attempt.class_id].aim_ns if event.how == OK else 1.0
        self._crowding.observe_answer(now, slow, part)

    def _update_server_state(self, now: int, attempt: Attempt, how: int) -> None:
        """Update budget, trial backoff, muted classes and ejection of a server after an outcome."""
        server = attempt.server
        if how in (CANCELLED, MOOT):
            return  # withdrawn or never sent: no evidence about the server
        broken = how in (CONNECT_FAILED, RESET)
        if broken and not self._record_fault(now, server, attempt.sent_at):
            return
        failed = how != OK
        before = server.k
        if attempt.is_trial:
            if failed:
                server.backoff = min(max(2 * server.backoff, self._horizon), 8 * self._horizon)
                server.retry_at = now + int(server.backoff * (0.75 + 0.5 * self._random()))
            else:
                server.k = min(server.k + 1, MAX_STEPS)
                server.backoff = server.retry_at = 0
        elif broken and server.k:
            server.k //= 2
        if how == FULL:
            server.figure = max(1.0 / MAX_STEPS, server.figure * 0.7)
        elif how == TIMEOUT:
            self._mute_class(now, attempt)
        elif not failed:
            server.mute.pop(attempt.class_id, None)
            server.figure = min(MAX_FIGURE, server.figure + EWMA_GAIN / 8)
        # A server that repeatedly refuses calls is draining or has a queue that would outlast them.
        again, server.erred = server.erred, how == ERROR or (how == FULL and self._mean_capacity > 0.0)
        server.error_rate += ((how in (ERROR, TIMEOUT)) - server.error_rate) * EWMA_GAIN
        if server.erred and again and self._may_eject():
            # Exception "conviction": failing servers respond fast, look idle and would attract all calls. A
            # single error does not eject a server: healthy servers have some, and a small fleet needs each.
            server.k = 0
        if before and not server.k:
            self._live_count -= server.up
            if not attempt.is_trial:
                server.backoff = max(server.backoff, self._horizon)
                server.retry_at = now + int(server.backoff * (0.75 + 0.5 * self._random()))
        elif server.k and not before:
            self._live_count += server.up

    def _mute_class(self, now: int, attempt: Attempt) -> None:
        """Avoid a server for a class of requests that it left unanswered.

        With probes, the first time since the server last answered the class is only recorded, as a single
        connection may be silent.
        """
        mute = attempt.server.mute
        noted = attempt.class_id in mute or not self._probing
        pause = min(max(2 * mute.get(attempt.class_id, NOT_MUTED)[1], self._horizon), 8 * self._horizon)
        mute[attempt.class_id] = (now + pause if noted else 0, pause)

    def _record_fault(self, now: int, server: Server, sent: int) -> bool:
        """Record a broken or silent connection and return whether it indicates a failed server.

        Exception "broken connection": single connections also break at healthy servers. A crashed or hung process
        shows a second fault without any response in between.

        Args:
            now: Current time in nanoseconds.
            server: Server of the connection.
            sent: When the request or probe was sent, in nanoseconds.
        """
        if server.heard > sent:
            return False
        again = server.struck > server.heard
        server.struck = now
        return again

    def _may_eject(self) -> bool:
        """Return whether another server may be ejected.

        Once half of the servers are out of service the cause is likely shared, and more ejections would only cost
        capacity.
        """
        return 2 * self._live_count > len(self._up)

    # --- server selection -------------------------------------------------------------------------------

    def _has_cold_credit(self, server: Server, now: int) -> bool:
        """Return whether a server is warm, or has credit for a call after its start.

        Exception "cold ramp": a server that may be cold earns credit for one call at a time, at the rate of own
        responses per server times its lowest possible warmth. Responses are counted and not requests, which a
        retry storm multiplies; a share of the request rate is the lower bound, so that a fleet in which all
        servers are cold receives calls.
        """
        ramp = server.ramp(now, self._settings.invariants)
        if ramp >= 1.0 or self.ceded:
            return ramp >= 1.0
        served = min(self._served, 1.0 / max(1, now - self._served_at))
        if self._mean_capacity:
            # A reported capacity includes the effect of the cold start; before the first report the capacity of
            # the kind at its lowest warmth is used. It is relative to the mean reported request rate, which falls
            # under congestion as own responses do.
            ramp = (1.0 if server.utilisation else ramp) * self._capacity(server) / self._mean_request_rate
        rate = ramp * max(served, self._settings.invariants.cold_from * self._rate) / self._draw_size
        server.credit = min(1.0, server.credit + rate * (now - server.credit_at))
        server.credit_at = now
        return server.credit >= 1.0

    def _can_take_call(self, now: int, server: Server) -> bool:
        """Return whether a server is up, has warmed up enough, and is below its budget or due for a trial.

        With probes, a call may also be sent as a trial while all servers are at their budgets, if the server
        reports fewer requests than this sidecar has in flight there: some of those are stuck on silent
        connections. Without probes `_pick_server` decides on such trials.
        """
        stuck = server.load + 0.5 < server.inflight
        grows = self._probing and stuck and not self._available and server.k < MAX_STEPS
        free = server.available_index >= 0 or ((not server.k or grows) and self._trial_due(server, now))
        return server.up and free and self._has_cold_credit(server, now)

    def _latency_ratio(self, now: int, server: Server) -> float:
        """Return a server's measured over expected latency.

        Old measurements fade to the mean of all servers, as a server that is avoided yields no new ones.
        """
        if not server.seen:
            return self._stretch
        fade = 8 * self._horizon / (8 * self._horizon + now - server.seen)
        return self._stretch + (server.stretch - self._stretch) * fade

    def _expected_cost(self, server: Server, call: Call, now: int) -> float:
        """Return the expected latency in nanoseconds, with prices converted to time."""
        aim, prices = call.cls.aim_ns, self._settings.prices
        expect = call.size * self._latency_ratio(now, server)
        if server.zone != self._settings.zone:
            expect += prices.get("crossZone", 0.0) * aim
        if server.inflight >= server.peak or now - server.last_used > self._settings.limits.conn_idle_ns:
            expect += prices.get("handshake", 0.0) * aim
        return expect

    def _draw_server(self, call: Call, turn: int) -> Server | None:
        """Draw a server at random, from the group that a repeat is bound to or from the sidecar's subset."""
        bound = call.ran_on or (call.first_on if call.in_flight else None)
        if bound is not None and call.cls.repeat == "guarded" and call.cls.group != "all":
            members = self._groups.get(bound.cell if call.cls.group == "cell" else -1 - bound.zone)
            return members[int(self._random() * len(members))] if members else None
        # Exception "own subset": a sidecar that calls each server once a minute learns nothing about it, hundreds
        # of sidecars fill the servers' connection tables, and handshakes cost capacity. One more server for every
        # two calls in flight keeps a busy sidecar from overloading its subset.
        need = 0.5 * self._rate * call.size
        size, most = self._subset_size + int(need) + turn // 4, len(self._subset)
        if size > most:
            size = most
        self._draw_size = size or 1
        return self._subset[int(self._random() * size)] if size else None

    def _pick_server(self, now: int, call: Call) -> tuple[Server | None, bool, float]:
        """Return the less loaded of two random servers.

        Returns:
            The server or None, whether the call is a trial, and the expected cost in nanoseconds.
        """
        best: Server | None = None
        best_time = 0.0
        drawn = 0
        for turn in range(MAX_DRAWS):
            server = self._draw_server(call, turn)
            if server is None:
                return None, False, 0.0
            if server is best or server in call.tried:
                continue
            if server.list_weight < self._roster.max_weight * self._random():
                continue  # Exception "listed weight": servers of different sizes are drawn by the weight in the list
            if (
                self._mean_capacity
                and self._draw_weight(server) < MAX_CAPACITY_RATIO * self._mean_capacity * self._random()
            ):
                continue  # drawn by reported capacity as well
            if turn < MAX_DRAWS - 2 and now < server.mute.get(call.class_id, NOT_MUTED)[0]:
                # Exception "unanswered class": a server may fail one class and serve the others, which `k` does
                # not express. The last draws ignore it, as a shared cause could leave the class no server.
                continue
            if not self._can_take_call(now, server):
                continue
            if not server.k:
                return server, True, 0.0
            time = self._expected_cost(server, call, now)
            drawn += 1
            if best is None or (server.inflight, time) < (best.inflight, best_time):
                best, best_time = server, time
            if drawn == 2:
                break
        if best is None and not self._available and self._up:
            server = self._up[int(self._random() * len(self._up))]
            grows = 0 < server.k < MAX_STEPS and self._trial_due(server, now) and self._has_cold_credit(server, now)
            if grows and self._may_send(now, call, server):
                return server, True, 0.0  # all budgets are used, so one call probes for more capacity
        return best, False, best_time

    def _trial_due(self, server: Server, now: int) -> bool:
        return not server.has_trial and now >= server.retry_at

    # --- sending and final answers ---------------------------------------------------------------

    def _may_send(self, now: int, call: Call, server: Server) -> bool:
        """Return whether the class and the limits allow an attempt at this server."""
        cls = call.cls
        if not server.up or call.is_streaming or now >= call.deadline:
            return False
        limits = self._settings.limits
        if call.attempts >= min(call.attempt_limit, limits.max_attempts) or (
            call.in_flight and not limits.second_copies
        ):
            return False
        if cls.repeat == "free":
            return True
        if call.in_flight and cls.repeat != "guarded":
            return False
        if call.ran_on is None and not call.in_flight:
            return True
        # Attempts in flight may have run too. The window starts at the first attempt that may have run and must
        # include the time to connect; all attempts go to the group of that first one.
        ran_on, since = (call.ran_on, call.ran_at) if call.ran_on is not None else (call.first_on, call.first_at)
        if cls.repeat != "guarded" or now + limits.connect_timeout_ns >= since + cls.window_ns:
            return False
        if ran_on is None or cls.group == "all":
            return cls.group == "all"
        if cls.group == "zone":
            return server.zone == ran_on.zone
        return cls.group == "cell" and server.cell == ran_on.cell

    def _may_refuse(self, call: Call) -> bool:
        """Return whether the client may safely retry the call."""
        if call.cls.repeat == "free" or (call.ran_on is None and not call.in_flight):
            return True
        return call.cls.repeat == "guarded" and call.cls.group == "all"

    def _send(self, now: int, call: Call, server: Server, trial: bool) -> bool:
        """Start an attempt if it is allowed; return whether it was. All attempts are started here."""
        if not self._may_send(now, call, server):
            return False
        self._record_connection_use(now, server)
        server.peak = max(server.peak, server.inflight + 1)
        self._attempts[call.tid, call.attempts] = Attempt(server, trial, now, call)
        if not call.in_flight and call.ran_on is None:
            call.first_at, call.first_on = now, server
        call.attempts += 1
        call.in_flight += 1
        call.tried.append(server)
        server.inflight += 1
        server.credit -= 1.0
        server.has_trial = server.has_trial or trial
        server.load += 1.0
        self._held.pop(call.tid, None)
        self._update_availability(server)
        abandon, bounds = call.deadline, call.bounds
        if bounds is not None:
            if bounds.try_ns:
                abandon = min(abandon, now + bounds.try_ns)
            if bounds.copy_after_ns and call.attempts == 1:
                self._last_tag += 1
                self._second_copy_tids[self._last_tag] = call.tid
                self._actions.append(Defer(bounds.copy_after_ns, self._last_tag))
        self._actions.append(Submit(call.tid, server.name, abandon))
        return True

    def _finish(self, now: int, call: Call, hold_off: int) -> None:
        """Give the final answer: a refusal if a retry is safe, else a failure.

        Args:
            now: Current time in nanoseconds.
            call: Call to end.
            hold_off: Suggested delay before the client's retry, in nanoseconds.
        """
        self._forget_call(call.tid)
        if self._may_refuse(call):
            limits = self._settings.limits
            self._actions.append(Refuse(call.tid, min(hold_off, limits.max_retry_after_ns) * limits.retry_after))
        else:
            self._actions.append(Fail(call.tid))

    # --- course of a call -----------------------------------------------------------------------

    def _holding_limit(self, call: Call) -> int:
        """Return when to stop holding a call: a response would be worthless. Always before the client's timeout."""
        last = call.deadline - 2 * self._settings.period_ns
        if call.cls.late_worth > 0:
            return last
        return min(last, call.aim_at - int(call.size * self._stretch / 2))

    def _try_dispatch(self, now: int, call: Call) -> bool:
        """Send or end a call; return False if it has to wait."""
        scan = self._up and not self._live_count and now >= self._unavailable_until
        if scan and not any(self._trial_due(s, now) for s in self._up):
            self._unavailable_until = max(now + self._tick_ns, min(s.retry_at for s in self._up))
        if now < self._unavailable_until and not self._live_count:
            # Every server is ejected and in a trial or backoff, so none will be available soon.
            self._finish(now, call, self._unavailable_until - now)
            return True
        server, trial, expect = self._pick_server(now, call)
        if server is None:
            return False
        if (not trial and self._is_likely_late(now, call, expect)) or not self._send(now, call, server, trial):
            self._finish(now, call, call.cls.aim_ns // 8)
        return True

    def _is_likely_late(self, now: int, call: Call, expect: float) -> bool:
        """Return whether to refuse a call because the selected server would probably respond too late.

        Exception "shedding": a response after the target latency is worth little. The decision is random, so that
        many sidecars with the same outdated information do not start and stop together.
        """
        ratio = expect / max(1, call.aim_at - now)
        doubt = min(0.9, (ratio - ON_TIME_RATIO + self._crowding.level) * 1.5)
        return self._random() < doubt * (1.0 - call.cls.late_worth)

    def _retry(self, now: int, call: Call, how: int) -> None:
        """Retry a call after a failed attempt if class, time and budgets allow, else end it."""
        limit = call.deadline if call.cls.late_worth > 0 else call.aim_at
        if self._tokens >= 1.0 and now + call.size * self._stretch / 2 < limit and call.attempts < call.attempt_limit:
            if self._probing and (call.ran_on is None or call.cls.repeat == "free"):
                if how == MOOT or self._spend_retry_budget(now, call):
                    self._tokens -= 1.0
                    self._probe_servers(now, call)
                    return
            else:
                server, trial, _ = self._pick_server(now, call)
                if (
                    server is not None
                    and self._may_send(now, call, server)
                    and (how == MOOT or self._spend_retry_budget(now, call))
                ):
                    self._tokens -= 1.0
                    self._send(now, call, server, trial)
                    return
        self._finish(now, call, call.cls.aim_ns // 8)

    # --- probes ---------------------------------------------------------------------------------

    def _probe_servers(self, now: int, call: Call) -> None:
        """Start a round of probes for a call.

        Exception "probed pick": if probes yield load reports at low cost, candidates are probed before a send.
        """
        call.probe_rounds += 1
        call.best_server = None
        call.shortest_queue = math.inf
        call.pending_probes = 0
        # If all servers are muted the cause is likely shared, and muted ones are probed as well.
        all_muted = all(self._is_muted(now, s, call) for s in self._up)
        for _ in range(2 * PROBES_PER_ROUND):
            server = self._draw_server(call, 0)
            if server is None or call.pending_probes == PROBES_PER_ROUND:
                break
            skipped = self._is_muted(now, server, call) and not all_muted
            if skipped or server in call.tried or call in server.probing_calls:
                continue
            if not self._can_take_call(now, server):
                continue
            call.pending_probes += 1
            if not server.probing_calls:  # else this call waits for the probe that is pending
                self._actions.append(Probe(server.name))
            server.probing_calls.append(call)
        self._hold(now, call)  # the results may be late or missing

    def _is_muted(self, now: int, server: Server, call: Call) -> bool:
        """Return whether a server is avoided because of failed probes or for the call's class.

        Exception "unanswered class": probes do not reveal that a server leaves a class unanswered.
        """
        return now < max(server.mute_until, server.mute.get(call.class_id, NOT_MUTED)[0])

    def _on_echo(self, now: int, event: Echo) -> None:
        server = self._servers.get(event.server)
        if server is None:
            return
        calls, server.probing_calls = server.probing_calls, []
        if event.how == OK:
            server.heard = now
            # A server that responds without a load report is assumed to be busy, never idle.
            server.load = event.load.get("inflight", event.load.get("queue", max(server.load, UNREPORTED_LOAD)))
        elif event.how == ERROR or (
            event.how in (TIMEOUT, CONNECT_FAILED) and self._record_fault(now, server, now - event.lag_ns)
        ):
            server.mute_until = now + self._horizon  # draining, down, unreachable or hung
        # Other outcomes concern the probe and not the server: a stale connection, an unreadable response, or no
        # file descriptor left in this sidecar.
        for call in calls:
            if not call.pending_probes or call.tid not in self._calls:
                continue
            call.pending_probes -= 1
            if event.how == OK:
                call.shortest_queue = min(call.shortest_queue, event.load.get("queue", call.shortest_queue))
            if event.how == OK and self._can_take_call(now, server):
                best = call.best_server
                wait = (server.load + 1.0) * self._latency_ratio(now, server)
                if best is None or wait < call.best_wait:
                    call.best_server, call.best_wait = server, wait
            if call.pending_probes <= 1 or (call.best_server is not None and call.best_server.load < 1.0):
                call.pending_probes = 0
                self._finish_probe_round(now, call)

    def _finish_probe_round(self, now: int, call: Call) -> None:
        """Send to the best server that was probed if it can respond in time; else probe again or hold the call."""
        server = call.best_server
        if server is not None and server.load >= 1.0 and call.probe_rounds % MAX_PROBE_ROUNDS:
            self._probe_servers(now, call)
            return
        if call.shortest_queue < math.inf:
            self._crowding.observe_queue(now, call.shortest_queue)
        if server is not None:
            expect = (server.load + 1.0) * call.size * max(self._stretch, self._latency_ratio(now, server))
            # An idle server is used even if it was slow before: there is no queue, and without calls its latency
            # would never be measured again. This does harm if a hung server reports no requests.
            is_idle = server.load < 1.0
            trial = server.available_index < 0 and self._trial_due(server, now)
            if (is_idle or now + expect <= call.aim_at) and self._send(now, call, server, trial):
                return
        self._hold(now, call)

    # --- queue of held calls --------------------------------------------------------------------

    def _hold(self, now: int, call: Call) -> None:
        if now + self._tick_ns >= call.hold_until:
            self._finish(now, call, call.cls.aim_ns // 8)
            return
        self._held[call.tid] = call
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        if self._held and not self._tick_scheduled:
            self._tick_scheduled = True
            self._actions.append(Defer(self._tick_ns, TICK))

    def _dispatch_held(self, now: int, ticked: bool = False) -> None:
        """Dispatch held calls in arrival order; at a tick, end those whose time is up."""
        held = self._held
        if not held:
            return
        if ticked:
            for call in [c for c in held.values() if now + self._tick_ns >= c.hold_until]:
                self._finish(now, call, call.cls.aim_ns // 8)
        if not self._probing:
            while held and self._try_dispatch(now, next(iter(held.values()))):
                pass
        elif ticked:
            for call in [c for c in held.values() if not c.pending_probes]:
                self._probe_servers(now, call)
        self._schedule_tick()

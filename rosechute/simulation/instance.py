"""Simulated sidecar instance: a policy, its open requests, connections, attempts and timers.

A policy takes events and returns actions of `rosechute.load_balancing.interface`. The load balancing module and the
baseline policies run in the same environment, so that two runs differ only in the decisions.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

from rosechute.load_balancing.interface import (
    Accept,
    Action,
    Alarm,
    CloseIdle,
    Defer,
    Directory,
    Echo,
    Entry,
    Event,
    Fail,
    Fetch,
    Hangup,
    How,
    Probe,
    Refuse,
    Response,
    Retract,
    Submit,
    Subscribe,
)
from rosechute.simulation.engine import Engine
from rosechute.simulation.listing import Listing
from rosechute.simulation.network import FROM, TO, Paths
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Instances
from rosechute.simulation.trace import (
    ARRIVE,
    DRAINING,
    END,
    FAILED,
    LOST,
    NOTIFIED,
    OUTCOME,
    REFUSED,
    SEND,
    SERVED,
    STOPPED,
    TIMED_OUT,
    UP,
    Trace,
)

RETURN_MARGIN_NS = 2_000_000  # reserved from the client timeout for the transfer of the answer
PROBE_TIMEOUT_NS = 250_000_000
OK, ERROR, FULL, TIMEOUT = How.OK, How.ERROR, How.FULL, How.TIMEOUT
CONNECT_FAILED, RESET, CANCELLED, MOOT = How.CONNECT_FAILED, How.RESET, How.CANCELLED, How.MOOT
STATES = {"up": UP, "draining": DRAINING}


class Policy(Protocol):
    """Routing policy: the load balancing module or a baseline of `rivals`."""

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        """Process an event at the time `now` (ns) and return the resulting actions."""
        ...


class Request:
    """Request accepted by an instance."""

    __slots__ = ("rid", "tid", "cls", "key", "work", "client", "until", "attempts", "out", "ended", "tell")

    def __init__(
        self,
        rid: int,
        cls: int,
        key: int,
        work: float,
        client: int,
        until: int,
        tell: Callable[[Request, int, int], None],
    ) -> None:
        self.rid, self.tid, self.cls, self.key, self.work, self.client = rid, str(rid), cls, key, work, client
        self.until = until
        self.attempts = 0
        self.out: dict[int, Attempt] = {}
        self.ended = False
        self.tell = tell  # called with the request, its ending and the Retry-After delay in ns


class Attempt:
    """Attempt without an outcome."""

    __slots__ = ("request", "number", "server", "at", "sent", "job", "life", "over", "error", "connected")

    def __init__(self, request: Request, number: int, server: Server, at: int, life: int) -> None:
        self.request, self.number, self.server, self.at, self.life = request, number, server, at, life
        self.sent = False
        self.job: Job | None = None
        self.over = False
        self.error = False
        self.connected = False


class Pool:
    """Connections of one instance to one server process; `idle` has the last-use times of the idle ones."""

    __slots__ = ("idle", "process", "open")

    def __init__(self, process: int) -> None:
        self.idle: deque[int] = deque()
        self.process = process
        self.open = 0


class Instance:
    """Instance that hosts a policy. `life` numbers its processes; events of an earlier process are ignored."""

    def __init__(
        self,
        number: int,
        zone: int,
        engine: Engine,
        spec: Instances,
        servers: dict[str, Server],
        paths: Paths,
        listing: Listing,
        trace: Trace,
        make: Callable[[int, int], Policy],
        reports: bool,
        handshake: int,
        cap: int,
    ) -> None:
        self.number, self.zone = number, zone
        self._engine, self._servers, self._paths = engine, servers, paths
        self._listing, self._trace, self._make = listing, trace, make
        self._reports, self._handshake, self._cap = reports, handshake, cap
        self.life = 0
        self.up = False
        self.requests: dict[str, Request] = {}
        self._idle, self._connect = int(spec.idle), int(spec.connect_timeout)
        self._pools: dict[str, Pool] = {}
        self._last: dict[str, Entry] = {}
        self._probed: dict[tuple[str, int], bool] = {}
        self._probes = 0
        self._inbox: deque[Event] = deque()
        self._handling = False
        self._perform: dict[type, Callable[..., None]] = {
            Submit: self._submit,
            Refuse: self._refuse,
            Fail: self._fail,
            Defer: self._defer,
            Retract: self._retract,
            Probe: self._probe,
            Subscribe: self._subscribe,
            Fetch: self._fetch,
            CloseIdle: self._close_idle,
        }

    # --- process lifetime

    def start(self, entries: Sequence[Entry] | None = None) -> None:
        """Start a new process with the server list `entries`, or with the last list of its predecessor."""
        self.life += 1
        self.up = True
        self.policy = self._make(self.number, self.life)
        if entries is not None:
            self._last = {entry.server: entry for entry in entries}
        self.deliver(Directory("SAVED", tuple(self._last.values())))

    def kill(self) -> None:
        """Stop at once and lose all open requests."""
        self.up = False
        self.life += 1
        self._listing.leave(self.number)
        self._inbox.clear()
        requests, self.requests = self.requests, {}
        for request in requests.values():
            for attempt in request.out.values():
                attempt.over = True
                if attempt.job is not None:
                    attempt.server.withdraw(attempt.job)
            if not request.ended:
                self._close(request, LOST, 0)
        for name, pool in self._pools.items():
            if self._servers[name].started == pool.process:
                self._servers[name].connections -= pool.open
        self._pools.clear()

    # --- events

    def deliver(self, event: Event) -> None:
        """Pass an event to the policy and perform its actions; events raised by an action are queued."""
        self._inbox.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._inbox:
                actions = self.policy.handle(self._engine.now, self._inbox.popleft())
                for action in actions:
                    perform = self._perform.get(type(action))
                    if perform is not None:
                        perform(action)
        finally:
            self._handling = False

    def on_directory(self, update: Directory) -> None:
        """Process an update of the server list."""
        if not self.up:
            return
        if update.scope == "FULL":
            for name in self._last.keys() - {entry.server for entry in update.entries}:
                self._trace.add((self._engine.now, NOTIFIED, self.number, self._servers[name].number, STOPPED, 0))
            self._last = {}
        for entry in update.entries:
            self._last[entry.server] = entry
            state = STATES.get(entry.lifecycle, STOPPED)
            self._trace.add(
                (self._engine.now, NOTIFIED, self.number, self._servers[entry.server].number, state, entry.started_ns)
            )
        self.deliver(update)

    def on_request(self, request: Request, tenant: int, retry: bool) -> None:
        """Accept a request of a client."""
        self.requests[request.tid] = request
        wait = request.until - self._engine.now - RETURN_MARGIN_NS
        self.deliver(Accept(request.tid, request.cls, max(1, wait), 0, tenant, str(request.key), retry))

    def on_client_timeout(self, request: Request) -> None:
        """End a request at its client timeout."""
        if request.ended or not self.up or request.tid not in self.requests:
            return
        self._close(request, TIMED_OUT, 0)
        self.deliver(Hangup(request.tid))
        self._forget(request)

    # --- actions

    def _submit(self, action: Submit) -> None:
        request = self.requests[action.tid]
        server = self._servers[action.server]
        now = self._engine.now
        number = request.attempts
        request.attempts += 1
        attempt = request.out[number] = Attempt(request, number, server, now, self.life)
        self._trace.add((now, SEND, request.rid, number, server.number))
        self._engine.at(min(action.abandon_ns, request.until), self._abandon, attempt)
        pool = self._pool(server)
        oldest = now - self._idle
        while pool.idle and pool.idle[0] < oldest:
            pool.idle.popleft()
            self._dropped(pool, server)
        if pool.idle and server.up:
            pool.idle.pop()
            attempt.connected = True
            self._send(attempt, 0)
            return
        # A connection takes one round trip before the request is sent.
        there = self._paths.delay(self.number, server.number, TO, self.zone == server.zone)
        back = self._paths.delay(self.number, server.number, FROM, self.zone == server.zone)
        if there is None or back is None or there + back > self._connect:
            self._engine.after(self._connect, self._unconnected, attempt)
        else:
            self._engine.after(there + back, self._connected, attempt)

    def _pool(self, server: Server) -> Pool:
        """Return the connections to the current process of a server; a new process has none."""
        pool = self._pools.get(server.name)
        if pool is None or pool.process != server.started:
            pool = self._pools[server.name] = Pool(server.started)
        return pool

    def _connected(self, attempt: Attempt) -> None:
        server = attempt.server
        if attempt.over:
            return
        if not server.up or (self._cap and server.connections >= self._cap):
            self._unconnected(attempt)
            return
        server.connections += 1
        pool = self._pool(server)
        pool.open += 1
        attempt.connected = True
        self._send(attempt, self._handshake)

    def _unconnected(self, attempt: Attempt) -> None:
        self._outcome(attempt, CONNECT_FAILED)

    def _send(self, attempt: Attempt, extra_work: int) -> None:
        attempt.sent = True
        server = attempt.server
        delay = self._paths.delay(self.number, server.number, TO, self.zone == server.zone)
        if delay is not None:
            attempt.job = Job(
                attempt.request.rid,
                attempt.number,
                attempt.request.cls,
                attempt.request.key,
                attempt.request.work + extra_work,
                self.number,
                attempt,
                self._done,
            )
            self._engine.after(delay, self._arrive, attempt)

    def _arrive(self, attempt: Attempt) -> None:
        server, request, job = attempt.server, attempt.request, attempt.job
        assert job is not None
        if attempt.over and job.left:
            job.over = True  # withdrawn in transit
            return
        if not server.up:
            self._reply(attempt, RESET)
            return
        taken = server.arrive(job)
        self._trace.add(
            (self._engine.now, ARRIVE, request.rid, attempt.number, server.number, self.number, job.work, int(taken))
        )
        if not taken:
            self._reply(attempt, FULL)

    def _done(self, job: Job, ran: bool) -> None:
        attempt = job.sender
        assert isinstance(attempt, Attempt)
        if not ran:
            self._reply(attempt, RESET)
            return
        server, request = attempt.server, attempt.request
        for cls, clients in server.grey.values():
            if (cls < 0 or cls == request.cls) and (not clients or request.client % clients == 0):
                self._reply(attempt, ERROR)
                return
        self._reply(attempt, OK)

    def _reply(self, attempt: Attempt, how: How) -> None:
        if attempt.over:
            return
        server = attempt.server
        delay = self._paths.delay(self.number, server.number, FROM, self.zone == server.zone)
        if delay is not None:
            load: dict[str, float] = {}
            if self._reports and how in (OK, ERROR, FULL):
                load = report(server)
            self._engine.after(delay, self._replied, (attempt, how, load))

    def _replied(self, reply: tuple[Attempt, How, dict[str, float]]) -> None:
        attempt, how, load = reply
        if not attempt.over:
            self._outcome(attempt, how, load)

    def _abandon(self, attempt: Attempt) -> None:
        if not attempt.over and attempt.life == self.life:
            self._outcome(attempt, TIMEOUT if attempt.sent else CONNECT_FAILED)

    def _outcome(self, attempt: Attempt, how: How, load: dict[str, float] | None = None) -> None:
        if attempt.over or attempt.life != self.life:
            return
        attempt.over = True
        request, server = attempt.request, attempt.server
        if attempt.job is not None and how in (TIMEOUT, CANCELLED):
            server.withdraw(attempt.job)
        self._returned(attempt, how)
        del request.out[attempt.number]
        now = self._engine.now
        self._trace.add((now, OUTCOME, request.rid, attempt.number, int(how)))
        if how is OK and not request.ended:
            self._close(request, SERVED, 0)
        self.deliver(
            Response(request.tid, how, now - attempt.at, server.name, attempt.number, request.ended, load or {})
        )
        self._forget(request)

    def _returned(self, attempt: Attempt, how: How) -> None:
        """Return the attempt's connection to the idle pool, or close it if a response may still arrive on it."""
        if not attempt.connected:
            return
        server = attempt.server
        pool = self._pools.get(server.name)
        if pool is None or pool.process != server.started or not server.up:
            return
        if how in (OK, ERROR, FULL):
            pool.idle.append(self._engine.now)
        else:
            self._dropped(pool, server)

    @staticmethod
    def _dropped(pool: Pool, server: Server) -> None:
        pool.open -= 1
        if server.started == pool.process and server.connections:
            server.connections -= 1

    def _refuse(self, action: Refuse) -> None:
        request = self.requests[action.tid]
        self._close(request, REFUSED, action.hold_off_ns)
        self._forget(request)

    def _fail(self, action: Fail) -> None:
        request = self.requests[action.tid]
        self._close(request, FAILED, 0)
        self._forget(request)

    def _close(self, request: Request, ending: int, hold_off: int) -> None:
        request.ended = True
        self._trace.add((self._engine.now, END, request.rid, ending, hold_off))
        request.tell(request, ending, hold_off)

    def _forget(self, request: Request) -> None:
        if request.ended and not request.out:
            self.requests.pop(request.tid, None)

    def _retract(self, action: Retract) -> None:
        request = self.requests.get(action.tid)
        attempt = request.out.get(action.attempt) if request is not None else None
        if attempt is not None:
            self._outcome(attempt, CANCELLED if attempt.sent else MOOT)

    def _defer(self, action: Defer) -> None:
        self._engine.after(action.in_ns, self._alarm, (self.life, action.tag))

    def _alarm(self, due: tuple[int, int]) -> None:
        if due[0] == self.life and self.up:
            self.deliver(Alarm(due[1]))

    def _subscribe(self, action: Subscribe) -> None:
        self._listing.subscribe(self.number, action.want)

    def _fetch(self, action: Fetch) -> None:
        self._listing.fetch(self.number)

    def _close_idle(self, action: CloseIdle) -> None:
        pool = self._pools.get(action.server)
        if pool is not None:
            while pool.idle:
                pool.idle.pop()
                self._dropped(pool, self._servers[action.server])

    # --- probes

    def _probe(self, action: Probe) -> None:
        server = self._servers[action.server]
        self._probes += 1
        key = (action.server, self._probes)
        probe = (key, self._engine.now, self.life)
        self._probed[key] = True
        there = self._paths.delay(self.number, server.number, TO, self.zone == server.zone)
        if there is not None:
            self._engine.after(there, self._probe_arrived, probe)
        self._engine.after(PROBE_TIMEOUT_NS, self._probe_timed_out, probe)

    def _probe_arrived(self, probe: tuple[tuple[str, int], int, int]) -> None:
        server = self._servers[probe[0][0]]
        back = self._paths.delay(self.number, server.number, FROM, self.zone == server.zone)
        if back is not None and not server.hung:
            how = CONNECT_FAILED if not server.up else ERROR if server.draining else OK
            self._engine.after(back, self._probe_answered, (probe, how, report(server) if how is OK else {}))

    def _probe_answered(self, answer: tuple[tuple[tuple[str, int], int, int], How, dict[str, float]]) -> None:
        (key, at, life), how, load = answer
        if life == self.life and self._probed.pop(key, False):
            self.deliver(Echo(key[0], how, self._engine.now - at, load))

    def _probe_timed_out(self, probe: tuple[tuple[str, int], int, int]) -> None:
        key, at, life = probe
        if self._probed.pop(key, False) and life == self.life:
            self.deliver(Echo(key[0], TIMEOUT, self._engine.now - at))


def report(server: Server) -> dict[str, float]:
    """Return a server's load report: requests held, requests queued, and core utilisation.

    If the server reports rates, the utilisation is smoothed and completed requests per second are added.
    """
    distortion = 1.0
    for factor in server.lies.values():
        distortion *= factor
    load = {
        "inflight": server.held * distortion,
        "queue": server.waiting * distortion,
        "util": server.busy * distortion,
    }
    if server.rates:
        use, flow = server.of_late()
        load |= {"util": use * distortion, "qps": flow}
    return load

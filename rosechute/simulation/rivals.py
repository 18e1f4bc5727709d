"""Baseline policies with the interface of the load balancing module, under the same rules on repeats and drains.

They differ in how they select a server:

| name | picks | source |
| --- | --- | --- |
| `random` | a uniformly random server | the baseline of Mitzenmacher 2001 |
| `round-robin` | the next in turn, from a random start | gRPC's `round_robin`, HAProxy's `roundrobin` |
| `least-requests` | fewest own requests in flight, of all | HAProxy's `leastconn`, Envoy's full scan |
| `two-choices` | the less loaded of two random, by own requests in flight | Mitzenmacher 2001; Envoy's default |
| `peak-ewma` | least of two by peak-sensitive mean latency x (in flight + 1) | Finagle's `PeakEwma`, decay 10 s |
| `reports` | in proportion to requests served per unit of reported utilisation | gRFC A58, weighted round robin |
| `prequal` | lowest latency among cold probe results, else fewest requests | Wydrowski et al., NSDI 2024 |
| `a105` | in turn; `STREAMS` requests a connection, 10 connections a server, then a FIFO queue | gRFC A105 |
| `oracle` | least expected latency by true state | a bound that no real policy can reach |

None of them sheds load, ramps up cold servers or queues requests (except `a105`, whose specification queues them).
This is by design; the checker counts the resulting rule violations.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable, Mapping, Sequence

from rosechute.load_balancing import Balancer
from rosechute.load_balancing.interface import (
    NEVER_RAN,
    SECOND,
    Accept,
    Action,
    Alarm,
    Defer,
    Directory,
    Echo,
    Entry,
    Event,
    Fail,
    Hangup,
    How,
    Probe,
    Refuse,
    Response,
    Settings,
    Submit,
    Subscribe,
)
from rosechute.simulation.engine import Engine
from rosechute.simulation.instance import Policy
from rosechute.simulation.server import Server

OK = How.OK


class PolicyContext:
    """Environment of a policy: its settings, its seed and, only for the oracle, the true state of the servers."""

    def __init__(self, settings: Settings, seed: int, engine: Engine, servers: Mapping[str, Server]) -> None:
        self.settings, self.seed, self.engine, self.servers = settings, seed, engine, servers


class ServerState:
    """State that a baseline policy keeps of a server."""

    __slots__ = ("name", "zone", "cell", "inflight", "cost", "at", "weight", "served", "used", "held", "reported_at")

    def __init__(self, entry: Entry) -> None:
        self.name, self.zone, self.cell = entry.server, entry.zone, entry.cell
        self.inflight = 0
        self.cost = 0.0  # smoothed latency in ns
        self.at = 0
        self.weight = 0.0
        self.served = 0
        self.used = 0.0
        self.held = 0.0  # requests held, as last reported
        self.reported_at = 0


class PendingRequest:
    """Request without a final answer."""

    __slots__ = ("tid", "cls", "until", "sends", "tried", "ran", "work")

    def __init__(self, tid: str, cls: int, until: int) -> None:
        self.tid, self.cls, self.until = tid, cls, until
        self.sends = 0
        self.tried: list[str] = []
        self.ran: tuple[ServerState, int] | None = None  # the first attempt that may have run
        self.work = 0.0


class BaselinePolicy:
    """Base class of the baseline policies: server list, repeat rules and timers; subclasses implement `pick`."""

    def __init__(self, context: PolicyContext) -> None:
        self.context, self.set = context, context.settings
        self.random = random.Random(context.seed).random
        self.servers: list[ServerState] = []  # servers that accept requests
        self.known: dict[str, ServerState] = {}
        self.open: dict[str, PendingRequest] = {}
        self.sent: dict[tuple[str, int], tuple[ServerState, int]] = {}
        self.actions: list[Action] = []
        self._up: set[str] = set()

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        """Process an event and return the resulting actions."""
        self.actions = []
        if isinstance(event, Accept):
            request = self.open[event.tid] = PendingRequest(event.tid, event.cls, now + event.ttl_ns)
            self.go(now, request)
        elif isinstance(event, Response):
            self._response(now, event)
        elif isinstance(event, Directory):
            self._directory(now, event)
        elif isinstance(event, Hangup):
            self.open.pop(event.tid, None)
        elif isinstance(event, Echo):
            self.echo(now, event)
        elif isinstance(event, Alarm):
            self.alarm(now, event)
        return self.actions

    # --- hooks of subclasses

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select one of the servers, or None to queue the request."""
        raise NotImplementedError

    def learn(self, now: int, server: ServerState, event: Response) -> None:
        """Process the outcome of an attempt."""

    def echo(self, now: int, event: Echo) -> None:
        """Process the answer to a probe."""

    def alarm(self, now: int, event: Alarm) -> None:
        """Process a timer."""
        if event.tag == 0 and self.set.must_ask:
            self.actions.append(Subscribe())

    def none(self, now: int, request: PendingRequest) -> None:
        """Handle a request for which no server was selected."""
        self.end(request, False)

    # --- common behaviour

    def go(self, now: int, request: PendingRequest) -> None:
        """Select a server and send the request to it; call `none` if there is no server."""
        cls = self.set.classes[request.cls]
        candidates = self.servers
        if request.ran is not None and cls.repeat == "guarded" and cls.group != "all":
            first = request.ran[0]
            candidates = [
                s for s in candidates if (s.zone == first.zone if cls.group == "zone" else s.cell == first.cell)
            ]
        if request.tried:
            candidates = [s for s in candidates if s.name not in request.tried] or candidates
        server = self.pick(now, candidates, request) if candidates else None
        if server is None:
            self.none(now, request)
            return
        server.inflight += 1
        self.sent[request.tid, request.sends] = (server, now)
        request.sends += 1
        request.tried.append(server.name)
        self.actions.append(Submit(request.tid, server.name, request.until))

    def _response(self, now: int, event: Response) -> None:
        sent = self.sent.pop((event.tid, event.attempt), None)
        if sent is None:
            return
        server, at = sent
        server.inflight -= 1
        self.learn(now, server, event)
        request = self.open.get(event.tid)
        if request is None:
            return
        if event.closed:
            del self.open[event.tid]
            return
        if event.how not in NEVER_RAN and request.ran is None:
            request.ran = (server, at)
        if self._again(now, request):
            self.go(now, request)
        else:
            self.end(request, request.ran is not None)

    def _again(self, now: int, request: PendingRequest) -> bool:
        cls = self.set.classes[request.cls]
        if request.sends >= self.set.limits.max_attempts or now >= request.until or not self.servers:
            return False
        if request.ran is None or cls.repeat == "free":
            return True
        return cls.repeat == "guarded" and now + self.set.limits.connect_timeout_ns < request.ran[1] + cls.window_ns

    def end(self, request: PendingRequest, may_have_run: bool) -> None:
        """Give the final answer: a refusal if the client may safely retry, else a failure."""
        self.open.pop(request.tid, None)
        cls = self.set.classes[request.cls]
        harmless = not may_have_run or cls.repeat == "free" or (cls.repeat == "guarded" and cls.group == "all")
        limits = self.set.limits
        hold = min(cls.aim_ns // 8, limits.max_retry_after_ns) if limits.retry_after else 0
        self.actions.append(Refuse(request.tid, hold) if harmless else Fail(request.tid))

    def _directory(self, now: int, event: Directory) -> None:
        if event.scope == "FAILED":
            self.actions.append(Defer(SECOND, 0))
            return
        if event.scope == "SAVED" and self.set.must_ask:
            self.actions.append(Subscribe())
        if event.scope != "INCREMENTAL":
            self._up = set()
        for entry in event.entries:
            if entry.server not in self.known:
                self.known[entry.server] = ServerState(entry)
            (self._up.add if entry.lifecycle == "up" else self._up.discard)(entry.server)
        self.servers = [s for name, s in self.known.items() if name in self._up]


class Random(BaselinePolicy):
    """Uniformly random server."""

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select a random server."""
        return candidates[int(self.random() * len(candidates))]


class RoundRobin(BaselinePolicy):
    """Round robin from a random start."""

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._turn = int(self.random() * 1_000_000)

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the next server in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastRequests(BaselinePolicy):
    """Fewest own requests in flight, over all servers."""

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the server with the fewest own requests; break ties randomly."""
        least = min(s.inflight for s in candidates)
        best = [s for s in candidates if s.inflight == least]
        return best[int(self.random() * len(best))]


class TwoChoices(BaselinePolicy):
    """Less loaded of two random servers."""

    def pair(self, candidates: list[ServerState]) -> tuple[ServerState, ServerState]:
        """Draw two different servers, or one server twice if there is no other."""
        first = int(self.random() * len(candidates))
        if len(candidates) == 1:
            return candidates[0], candidates[0]
        second = int(self.random() * (len(candidates) - 1))
        return candidates[first], candidates[second + (second >= first)]

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the server with fewer own requests of a random pair."""
        one, other = self.pair(candidates)
        return other if other.inflight < one.inflight else one


class PeakEwma(TwoChoices):
    """Finagle's peak EWMA.

    A latency above the average replaces it at once; a lower one is averaged in by the time since the last update.
    """

    DECAY_NS = 10 * SECOND

    def learn(self, now: int, server: ServerState, event: Response) -> None:
        """Update the average latency of a server."""
        lag = float(event.lag_ns if event.how == OK else max(event.lag_ns, self.set.classes[0].aim_ns))
        if lag > server.cost:
            server.cost = lag
        else:
            weight = math.exp(-(now - server.at) / self.DECAY_NS)
            server.cost = server.cost * weight + lag * (1.0 - weight)
        server.at = now

    def _cost(self, now: int, server: ServerState) -> float:
        if not server.at:
            return float(server.inflight) * self.set.classes[0].aim_ns  # no sample yet: cost 0 while idle
        return server.cost * math.exp(-(now - server.at) / self.DECAY_NS) * (server.inflight + 1)

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the server with the lower cost of a random pair."""
        one, other = self.pair(candidates)
        return other if self._cost(now, other) < self._cost(now, one) else one


class Reports(BaselinePolicy):
    """Weight = requests served per unit of utilisation; a server without reports has the mean weight."""

    PERIOD_NS = SECOND

    def learn(self, now: int, server: ServerState, event: Response) -> None:
        """Update the weight of a server from its reported utilisation, at most once per `PERIOD_NS`."""
        if event.how == OK:
            server.served += 1
        util = event.load.get("util")
        if util is not None:
            server.used = max(0.02, 0.7 * server.used + 0.3 * util) if server.reported_at else max(0.02, util)
            server.reported_at = now
        if now - server.at >= self.PERIOD_NS and server.reported_at:
            server.weight = server.served / (now - server.at) / server.used if server.at else 0.0
            server.served, server.at = 0, now

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Draw a server in proportion to the weights."""
        known = [s.weight for s in candidates if s.weight > 0.0]
        mean = sum(known) / len(known) if known else 1.0
        total = sum(s.weight or mean for s in candidates)
        at = self.random() * total
        for server in candidates:
            at -= server.weight or mean
            if at < 0:
                return server
        return candidates[-1]


class Prequal(TwoChoices):
    """Prequal: selection from a pool of asynchronous probe results.

    A server is hot if it holds more requests than the `HOT` quantile of the pool. If probes are not allowed, load
    reports in answers fill the pool instead.
    """

    PROBES = 3  # sent with each request
    POOL = 16
    HOT = 0.84
    AGE_NS = SECOND
    USES = 2

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._pool: list[list[float | int | str]] = []  # server, requests held, latency, time, remaining uses

    def _keep(self, now: int, name: str, held: float, lag: float) -> None:
        self._pool = [p for p in self._pool if p[0] != name][-self.POOL + 1 :]
        self._pool.append([name, held, lag, now, self.USES])

    def learn(self, now: int, server: ServerState, event: Response) -> None:
        """Update the average latency of a server and add its load report to the pool."""
        if event.how == OK:
            server.cost = event.lag_ns if not server.at else 0.8 * server.cost + 0.2 * event.lag_ns
            server.at = now
            if "inflight" in event.load:
                self._keep(now, server.name, event.load["inflight"], server.cost)

    def echo(self, now: int, event: Echo) -> None:
        """Add a probe result to the pool."""
        server = self.known.get(event.server)
        if server is not None and event.how == OK:
            self._keep(now, server.name, event.load.get("inflight", 0.0), server.cost)

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Send probes and select a server from the pool; with under two usable entries, the better of two."""
        if self.set.limits.may_probe:
            for _ in range(self.PROBES):
                self.actions.append(Probe(candidates[int(self.random() * len(candidates))].name))
        usable = {s.name: s for s in candidates}
        pool = [p for p in self._pool if p[0] in usable and now - int(p[3]) <= self.AGE_NS and int(p[4]) > 0]
        if len(pool) < 2:
            return super().pick(now, candidates, request)
        held = sorted(float(p[1]) for p in pool)
        hot = held[min(len(held) - 1, int(self.HOT * len(held)))]
        cold = [p for p in pool if float(p[1]) <= hot]
        if cold and held[0] < hot:
            best = min((p for p in cold if float(p[1]) < hot), key=lambda p: float(p[2]))
        else:
            best = min(pool, key=lambda p: float(p[1]))
        best[4] = int(best[4]) - 1
        best[1] = float(best[1]) + 1.0  # counts the request sent now
        return usable[str(best[0])]


class A105(BaselinePolicy):
    """gRFC A105: round robin with a limit of concurrent streams per connection.

    A connection takes `STREAMS` requests. When all connections of the selected server are full, one more is added, up
    to `MAX_CONNECTIONS`. A request that finds no free stream waits in a FIFO queue.
    """

    STREAMS = 2
    MAX_CONNECTIONS = 10

    def __init__(self, context: PolicyContext) -> None:
        super().__init__(context)
        self._turn = int(self.random() * 1_000_000)
        self._open: dict[str, int] = {}
        self._waiting: deque[PendingRequest] = deque()

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the next server with a free stream, adding a connection if needed; None if there is none."""
        for _ in range(len(candidates)):
            self._turn += 1
            server = candidates[self._turn % len(candidates)]
            if server.inflight < self.STREAMS * self._open.setdefault(server.name, 1):
                return server
        server = candidates[self._turn % len(candidates)]
        if self._open[server.name] < self.MAX_CONNECTIONS:
            self._open[server.name] += 1
            return server
        return None

    def none(self, now: int, request: PendingRequest) -> None:
        """Queue the request, or end it if there are no servers."""
        if not self.servers:
            self.end(request, False)
            return
        self._waiting.append(request)
        self.actions.append(Defer(max(1, request.until - now), 1))

    def learn(self, now: int, server: ServerState, event: Response) -> None:
        """Remove a connection after a failed attempt."""
        if event.how != OK:
            self._open[server.name] = max(1, self._open.get(server.name, 1) - 1)

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        """Process an event, then send queued requests for which a stream is free."""
        actions = list(super().handle(now, event))
        if isinstance(event, Response | Alarm | Directory):
            self.actions = actions
            for _ in range(len(self._waiting)):
                request = self._waiting.popleft()
                if request.tid not in self.open:
                    continue
                if now >= request.until - 1_000_000:
                    self.end(request, request.ran is not None)
                    continue
                before = len(self._waiting)
                self.go(now, request)
                if len(self._waiting) > before:  # no free stream: the request stays at the head of the queue
                    self._waiting.rotate(1)
                    self.actions.pop()
                    break
        return actions


class Oracle(BaselinePolicy):
    """Least expected latency by the true state of the servers."""

    def pick(self, now: int, candidates: list[ServerState], request: PendingRequest) -> ServerState | None:
        """Select the server with the least expected latency."""
        truth, work = self.context.servers, float(self.set.classes[request.cls].aim_ns) / 50
        return min(candidates, key=lambda s: (truth[s.name].expected(work), s.inflight, self.random()))


BASELINES: dict[str, Callable[[PolicyContext], BaselinePolicy]] = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-requests": LeastRequests,
    "two-choices": TwoChoices,
    "peak-ewma": PeakEwma,
    "reports": Reports,
    "prequal": Prequal,
    "a105": A105,
    "oracle": Oracle,
}
NAMES = ("module", *BASELINES)


def make(name: str, context: PolicyContext) -> Policy:
    """Create the policy with this name."""
    if name == "module":
        return Balancer(context.settings, context.seed, context.engine.now)
    return BASELINES[name](context)

"""Rival policies, on the same wire as the decision module, under the same rules on repeats and drains.

What sets them apart is how they pick. Sources:

| name | picks | source |
| --- | --- | --- |
| `random` | any server | folklore; the baseline of Mitzenmacher 2001 |
| `round-robin` | the next in turn, from a random start | gRPC's `round_robin`, HAProxy's `roundrobin` |
| `least-requests` | fewest own requests in flight, of all | HAProxy's `leastconn`, Envoy's full scan |
| `two-choices` | the less loaded of two random, by own requests in flight | Mitzenmacher 2001; Envoy's default |
| `peak-ewma` | least of two by peak-sensitive mean latency x (in flight + 1) | Finagle's `PeakEwma`, decay 10 s |
| `reports` | in proportion to requests served for each unit of use, as reported | gRFC A58, weighted round robin |
| `prequal` | coldest by latency of a pool of probes, hot ones by requests held | Wydrowski et al., NSDI 2024 |
| `a105` | in turn; each connection takes `STREAMS`, up to 10 a server, the rest waits in order | gRFC A105 |
| `oracle` | least time to the end by true state | a bound, not a policy: no instance can know it |

None of them sheds, ramps up cold servers or holds calls (but for `a105`, whose page has calls wait): that is what
they are, and the judge counts what comes of it.
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


class Place:
    """Where a policy works: its settings, its seed and, for the oracle alone, the truth."""

    def __init__(self, settings: Settings, seed: int, engine: Engine, servers: Mapping[str, Server]) -> None:
        self.settings, self.seed, self.engine, self.servers = settings, seed, engine, servers


class Known:
    """What a rival knows of a server."""

    __slots__ = ("name", "zone", "cell", "inflight", "cost", "at", "weight", "served", "used", "held", "told")

    def __init__(self, entry: Entry) -> None:
        self.name, self.zone, self.cell = entry.server, entry.zone, entry.cell
        self.inflight = 0
        self.cost = 0.0  # latency, as peak-ewma keeps it
        self.at = 0
        self.weight = 0.0
        self.served = 0
        self.used = 0.0
        self.held = 0.0  # requests held, as last told
        self.told = 0


class Open:
    """A request that a rival owes an answer."""

    __slots__ = ("tid", "cls", "until", "sends", "tried", "ran", "work")

    def __init__(self, tid: str, cls: int, until: int) -> None:
        self.tid, self.cls, self.until = tid, cls, until
        self.sends = 0
        self.tried: list[str] = []
        self.ran: tuple[Known, int] | None = None  # the first attempt that may have run
        self.work = 0.0


class Rival:
    """Keeps the list, the rules on repeats, and time; `pick` is what each policy adds."""

    def __init__(self, place: Place) -> None:
        self.place, self.set = place, place.settings
        self.random = random.Random(place.seed).random
        self.servers: list[Known] = []  # those that may be sent to
        self.known: dict[str, Known] = {}
        self.open: dict[str, Open] = {}
        self.sent: dict[tuple[str, int], tuple[Known, int]] = {}
        self.acts: list[Action] = []
        self._up: set[str] = set()

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        self.acts = []
        if isinstance(event, Accept):
            call = self.open[event.tid] = Open(event.tid, event.cls, now + event.ttl_ns)
            self.go(now, call)
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
        return self.acts

    # --- what a policy may do otherwise

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        """One of these servers, or none to wait."""
        raise NotImplementedError

    def learn(self, now: int, server: Known, event: Response) -> None:
        """An attempt has its outcome."""

    def echo(self, now: int, event: Echo) -> None:
        """A probe has come back."""

    def alarm(self, now: int, event: Alarm) -> None:
        """A timer is due."""
        if event.tag == 0 and self.set.must_ask:
            self.acts.append(Subscribe())

    def none(self, now: int, call: Open) -> None:
        """There is no server for a request."""
        self.end(call, False)

    # --- what all do alike

    def go(self, now: int, call: Open) -> None:
        """Send a request to the server that is picked, or end it."""
        cls = self.set.classes[call.cls]
        among = self.servers
        if call.ran is not None and cls.repeat == "guarded" and cls.group != "all":
            first = call.ran[0]
            among = [s for s in among if (s.zone == first.zone if cls.group == "zone" else s.cell == first.cell)]
        if call.tried:
            among = [s for s in among if s.name not in call.tried] or among
        server = self.pick(now, among, call) if among else None
        if server is None:
            self.none(now, call)
            return
        server.inflight += 1
        self.sent[call.tid, call.sends] = (server, now)
        call.sends += 1
        call.tried.append(server.name)
        self.acts.append(Submit(call.tid, server.name, call.until))

    def _response(self, now: int, event: Response) -> None:
        sent = self.sent.pop((event.tid, event.attempt), None)
        if sent is None:
            return
        server, at = sent
        server.inflight -= 1
        self.learn(now, server, event)
        call = self.open.get(event.tid)
        if call is None:
            return
        if event.closed:
            del self.open[event.tid]
            return
        if event.how not in NEVER_RAN and call.ran is None:
            call.ran = (server, at)
        if self._again(now, call):
            self.go(now, call)
        else:
            self.end(call, call.ran is not None)

    def _again(self, now: int, call: Open) -> bool:
        cls = self.set.classes[call.cls]
        if call.sends >= self.set.limits.max_attempts or now >= call.until or not self.servers:
            return False
        if call.ran is None or cls.repeat == "free":
            return True
        return cls.repeat == "guarded" and now + self.set.limits.connect_timeout_ns < call.ran[1] + cls.window_ns

    def end(self, call: Open, may_have_run: bool) -> None:
        """The final answer: a refusal where trying again is harmless, else a failure."""
        self.open.pop(call.tid, None)
        cls = self.set.classes[call.cls]
        harmless = not may_have_run or cls.repeat == "free" or (cls.repeat == "guarded" and cls.group == "all")
        limits = self.set.limits
        hold = min(cls.aim_ns // 8, limits.max_retry_after_ns) if limits.retry_after else 0
        self.acts.append(Refuse(call.tid, hold) if harmless else Fail(call.tid))

    def _directory(self, now: int, event: Directory) -> None:
        if event.scope == "FAILED":
            self.acts.append(Defer(SECOND, 0))
            return
        if event.scope == "SAVED" and self.set.must_ask:
            self.acts.append(Subscribe())
        if event.scope != "INCREMENTAL":
            self._up = set()
        for entry in event.entries:
            if entry.server not in self.known:
                self.known[entry.server] = Known(entry)
            (self._up.add if entry.lifecycle == "up" else self._up.discard)(entry.server)
        self.servers = [s for name, s in self.known.items() if name in self._up]


class Random(Rival):
    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        return among[int(self.random() * len(among))]


class RoundRobin(Rival):
    def __init__(self, place: Place) -> None:
        super().__init__(place)
        self._turn = int(self.random() * 1_000_000)

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        self._turn += 1
        return among[self._turn % len(among)]


class LeastRequests(Rival):
    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        least = min(s.inflight for s in among)
        best = [s for s in among if s.inflight == least]
        return best[int(self.random() * len(best))]


class TwoChoices(Rival):
    def pair(self, among: list[Known]) -> tuple[Known, Known]:
        first = int(self.random() * len(among))
        if len(among) == 1:
            return among[0], among[0]
        second = int(self.random() * (len(among) - 1))
        return among[first], among[second + (second >= first)]

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        one, other = self.pair(among)
        return other if other.inflight < one.inflight else one


class PeakEwma(TwoChoices):
    """Finagle's: a latency above the average replaces it at once, one below moves it by the time since the last."""

    DECAY_NS = 10 * SECOND

    def learn(self, now: int, server: Known, event: Response) -> None:
        lag = float(event.lag_ns if event.how == OK else max(event.lag_ns, self.set.classes[0].aim_ns))
        if lag > server.cost:
            server.cost = lag
        else:
            weight = math.exp(-(now - server.at) / self.DECAY_NS)
            server.cost = server.cost * weight + lag * (1.0 - weight)
        server.at = now

    def _cost(self, now: int, server: Known) -> float:
        if not server.at:
            return float(server.inflight) * self.set.classes[0].aim_ns  # never heard of: free while idle
        return server.cost * math.exp(-(now - server.at) / self.DECAY_NS) * (server.inflight + 1)

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        one, other = self.pair(among)
        return other if self._cost(now, other) < self._cost(now, one) else one


class Reports(Rival):
    """Weight = requests served for each unit of use; a server without news has the mean weight."""

    PERIOD_NS = SECOND

    def learn(self, now: int, server: Known, event: Response) -> None:
        if event.how == OK:
            server.served += 1
        util = event.load.get("util")
        if util is not None:
            server.used = max(0.02, 0.7 * server.used + 0.3 * util) if server.told else max(0.02, util)
            server.told = now
        if now - server.at >= self.PERIOD_NS and server.told:
            server.weight = server.served / (now - server.at) / server.used if server.at else 0.0
            server.served, server.at = 0, now

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        known = [s.weight for s in among if s.weight > 0.0]
        mean = sum(known) / len(known) if known else 1.0
        total = sum(s.weight or mean for s in among)
        at = self.random() * total
        for server in among:
            at -= server.weight or mean
            if at < 0:
                return server
        return among[-1]


class Prequal(TwoChoices):
    """Asynchronous probes fill a pool; hot are those that hold more than the pool's quantile `HOT`. Where no probes
    are allowed, the reports of answers stand in for them."""

    PROBES = 3  # sent with each request
    POOL = 16
    HOT = 0.84
    AGE_NS = SECOND
    USES = 2

    def __init__(self, place: Place) -> None:
        super().__init__(place)
        self._pool: list[list[float | int | str]] = []  # server, held, latency, when, uses left

    def _keep(self, now: int, name: str, held: float, lag: float) -> None:
        self._pool = [p for p in self._pool if p[0] != name][-self.POOL + 1 :]
        self._pool.append([name, held, lag, now, self.USES])

    def learn(self, now: int, server: Known, event: Response) -> None:
        if event.how == OK:
            server.cost = event.lag_ns if not server.at else 0.8 * server.cost + 0.2 * event.lag_ns
            server.at = now
            if "inflight" in event.load:
                self._keep(now, server.name, event.load["inflight"], server.cost)

    def echo(self, now: int, event: Echo) -> None:
        server = self.known.get(event.server)
        if server is not None and event.how == OK:
            self._keep(now, server.name, event.load.get("inflight", 0.0), server.cost)

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        if self.set.limits.may_probe:
            for _ in range(self.PROBES):
                self.acts.append(Probe(among[int(self.random() * len(among))].name))
        usable = {s.name: s for s in among}
        pool = [p for p in self._pool if p[0] in usable and now - int(p[3]) <= self.AGE_NS and int(p[4]) > 0]
        if len(pool) < 2:
            return super().pick(now, among, call)
        held = sorted(float(p[1]) for p in pool)
        hot = held[min(len(held) - 1, int(self.HOT * len(held)))]
        cold = [p for p in pool if float(p[1]) <= hot]
        if cold and held[0] < hot:
            best = min((p for p in cold if float(p[1]) < hot), key=lambda p: float(p[2]))
        else:
            best = min(pool, key=lambda p: float(p[1]))
        best[4] = int(best[4]) - 1
        best[1] = float(best[1]) + 1.0  # what was just sent there
        return usable[str(best[0])]


class A105(Rival):
    """gRFC A105, plain: picks in turn; a server's connections take `STREAMS` requests each, and when all are full one
    more is added after a connection's time, up to `MOST`; a request that finds all full everywhere waits in order."""

    STREAMS = 2
    MOST = 10

    def __init__(self, place: Place) -> None:
        super().__init__(place)
        self._turn = int(self.random() * 1_000_000)
        self._open: dict[str, int] = {}
        self._waiting: deque[Open] = deque()

    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        for _ in range(len(among)):
            self._turn += 1
            server = among[self._turn % len(among)]
            if server.inflight < self.STREAMS * self._open.setdefault(server.name, 1):
                return server
        server = among[self._turn % len(among)]
        if self._open[server.name] < self.MOST:
            self._open[server.name] += 1
            return server
        return None

    def none(self, now: int, call: Open) -> None:
        if not self.servers:
            self.end(call, False)
            return
        self._waiting.append(call)
        self.acts.append(Defer(max(1, call.until - now), 1))

    def learn(self, now: int, server: Known, event: Response) -> None:
        if event.how != OK:
            self._open[server.name] = max(1, self._open.get(server.name, 1) - 1)

    def handle(self, now: int, event: Event) -> Sequence[Action]:
        acts = list(super().handle(now, event))
        if isinstance(event, Response | Alarm | Directory):
            self.acts = acts
            for _ in range(len(self._waiting)):
                call = self._waiting.popleft()
                if call.tid not in self.open:
                    continue
                if now >= call.until - 1_000_000:
                    self.end(call, call.ran is not None)
                    continue
                before = len(self._waiting)
                self.go(now, call)
                if len(self._waiting) > before:  # none is free: it stays first
                    self._waiting.rotate(1)
                    self.acts.pop()
                    break
        return acts


class Oracle(Rival):
    def pick(self, now: int, among: list[Known], call: Open) -> Known | None:
        truth, work = self.place.servers, float(self.set.classes[call.cls].aim_ns) / 50
        return min(among, key=lambda s: (truth[s.name].expected(work), s.inflight, self.random()))


RIVALS: dict[str, Callable[[Place], Rival]] = {
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
NAMES = ("module", *RIVALS)


def make(name: str, place: Place) -> Policy:
    """The policy of this name, at work in this place."""
    if name == "module":
        return Balancer(place.settings, place.seed, place.engine.now)
    return RIVALS[name](place)

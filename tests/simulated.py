"""The real core, module and limiter on a clock of their own, with scripted servers and a judge.

Nothing here waits: a loop of timers stands in for the event loop, so a run is a function of its inputs.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

from rosechute.load_balancing import Directory, Entry, How, Settings
from rosechute.load_balancing.rules import Balancer
from rosechute.proxy.core.calls import MARGIN_NS, Core
from rosechute.proxy.core.ports import Asked, Ending
from rosechute.sidecar.request_limits.limiter import RouteLimiter

MS = 1_000_000
START = 1_000_000_000_000


class Timer:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    """What the core uses of an event loop."""

    def __init__(self) -> None:
        self.now = 0
        self._heap: list[Any] = []
        self._order = itertools.count()

    def time(self) -> float:
        return self.now / 1e9

    def clock(self) -> int:
        return START + self.now

    def call_later(self, delay: float, call: Any, *args: Any) -> Timer:
        return self.at(self.now + max(0, round(delay * 1e9)), call, *args)

    def call_soon(self, call: Any, *args: Any) -> Timer:
        return self.at(self.now, call, *args)

    def at(self, when: int, call: Any, *args: Any) -> Timer:
        timer = Timer()
        heapq.heappush(self._heap, (max(when, self.now), next(self._order), timer, call, args))
        return timer

    def run(self, until: int) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, timer, call, args = heapq.heappop(self._heap)
            if not timer.cancelled:
                call(*args)
        self.now = until


class Ask:
    """A front's request: notes what it is answered."""

    def __init__(self, name: str, came: float) -> None:
        self.name, self.came = name, came
        self.tid = ""
        self.complete, self.stream = True, None
        self.answers: list[tuple[int, Ending]] = []
        self.hold_offs: list[int] = []
        self.loop: Loop | None = None

    def answer(self, ending: Ending, reply: object = None, hold_off_ns: int = 0) -> None:
        self.answers.append((self.loop.now, ending))
        self.hold_offs.append(hold_off_ns)


@dataclass
class Sent:
    """An attempt that was written."""

    ask: Ask
    server: str
    at: int
    ended: int | None = None
    ran: bool = True  # may have


@dataclass
class Play:
    """What a server does with one attempt."""

    connect_ms: float = 0.0
    answer_ms: float = 20.0
    how: How = How.OK


@dataclass
class Servers:
    """The core's backend: plays a script, attempt by attempt."""

    loop: Loop
    connect_timeout_ns: int
    plays: list[Play]
    sent: list[Sent] = field(default_factory=list)
    up: dict[str, bool] = field(default_factory=dict)
    under_way: list[Any] = field(default_factory=list)
    count: int = 0

    def attempt(self, server: str, request: Ask, limit_s: float, watch: Any) -> Any:
        play = self.plays[self.count % len(self.plays)] if self.plays else Play()
        self.count += 1
        return Under(self, server, request, limit_s, watch, play)

    def probe(self, server: str, limit_s: float, echoed: Any) -> None:
        return None

    def close_idle(self, server: str) -> None:
        pass


class Under:
    """One attempt under way."""

    def __init__(self, servers: Servers, server: str, ask: Ask, limit_s: float, watch: Any, play: Play) -> None:
        self.servers, self.server, self.ask, self.watch, self.play = servers, server, ask, watch, play
        self.give_up = servers.loop.now + round(limit_s * 1e9)
        self.sent: Sent | None = None
        self.over = False

    def start(self) -> None:
        loop, play = self.servers.loop, self.play
        self.servers.under_way.append(self)
        connect = round(play.connect_ms * MS)
        if play.how is How.CONNECT_FAILED or connect > self.servers.connect_timeout_ns:
            loop.at(loop.now + min(connect, self.servers.connect_timeout_ns), self.end, How.CONNECT_FAILED)
        else:
            loop.at(loop.now + connect, self.write)
        loop.at(self.give_up, self.late)

    def write(self) -> None:
        if self.over:
            return
        loop = self.servers.loop
        if not self.servers.up.get(self.server) or loop.now >= self.give_up:
            self.end(How.MOOT)
            return
        self.sent = Sent(self.ask, self.server, loop.now)
        self.servers.sent.append(self.sent)
        self.watch.wrote()
        if self.play.how is not How.TIMEOUT:
            loop.at(loop.now + round(self.play.answer_ms * MS), self.end, self.play.how)

    def late(self) -> None:
        self.end(How.TIMEOUT if self.sent else How.MOOT)

    def cancel(self) -> None:
        self.end(How.CANCELLED if self.sent else How.MOOT)

    def withdraw(self) -> None:
        if self.sent is None:
            self.end(How.MOOT)

    def end(self, how: How) -> None:
        if self.over:
            return
        self.over = True
        self.servers.under_way.remove(self)
        if self.sent is not None:
            self.sent.ended = self.servers.loop.now
            self.sent.ran = how not in (How.FULL, How.CONNECT_FAILED, How.MOOT)
        self.watch.outcome(how, object() if how is How.OK else None, {})


class Site:
    """One sidecar's decisions, from requests to servers."""

    def __init__(
        self,
        settings: Settings,
        plays: list[Play],
        servers: int = 4,
        seed: int = 1,
        routes: Any = None,
        limits: Any = (),
        platform: Settings | None = None,
    ) -> None:
        self.settings, self.platform, self.routes = settings, platform or settings, routes
        self.loop = Loop()
        longest = max(c.deadline_ns for c in settings.classes)
        self.core: Any = Core(self.loop, self, longest, self.loop.clock, self.loop.time)  # type: ignore[arg-type]
        self.servers = Servers(self.loop, settings.limits.connect_timeout_ns, plays)
        self.core.join(Balancer(settings, seed, self.loop.clock()), self.servers, self)
        self.limiter = RouteLimiter(
            limits, (t.name for t in settings.tenants), 4096, settings.limits.max_retry_after_ns, seed
        )
        self.core.limiter = self.limiter
        self.asks: list[tuple[Ask, str]] = []
        self.drained: dict[str, int] = {}
        self.entries = {f"s{i}": Entry(f"s{i}", 0, 0, i // 2) for i in range(servers)}
        self.servers.up = dict.fromkeys(self.entries, True)
        self.core.deliver(Directory("FULL", tuple(self.entries.values())))

    # the core's Ends and Directions

    def ended(self, cls: str, ending: Ending) -> None:
        pass

    def wrote(self) -> None:
        pass

    def subscribe(self, want: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    # what happens

    def ask(self, at_ms: float, cls: str, rest: str = "/1", tenant: int = 0, key: str = "") -> Ask:
        """A request of the class that its path names."""
        ask = Ask(f"r{len(self.asks)}", at_ms / 1e3)
        ask.loop = self.loop
        self.asks.append((ask, cls))
        self.loop.at(round(at_ms * MS), self._take, ask, cls, rest, tenant, key)
        return ask

    def _take(self, ask: Ask, cls: str, rest: str, tenant: int, key: str) -> None:
        rule = None
        if self.routes is not None:
            form = next(c for c in self.platform.classes if c.name == cls)
            name = self.settings.tenants[tenant].name.encode() if self.settings.tenants else None
            rule = self.routes.find(b"GET" if form.repeat == "free" else b"POST", f"/{cls}{rest}".encode(), name, {})
        names = [c.name for c in self.settings.classes]
        place = names.index(rule.cls if rule is not None else cls)
        kind = self.settings.classes[place]
        self.core.take(ask, Asked(ask.name.encode(), place, kind, kind.deadline_ns, 0, tenant, key, rule=rule))

    def drain(self, at_ms: float, server: str) -> None:
        def told() -> None:
            self.drained.setdefault(server, self.loop.now)
            self.servers.up[server] = False
            self.core.deliver(Directory("INCREMENTAL", (self.entries[server]._replace(lifecycle="draining"),)))

        self.loop.at(round(at_ms * MS), told)

    def crash(self, at_ms: float, server: str) -> None:
        def die() -> None:
            for under in [u for u in self.servers.under_way if u.server == server]:
                under.end(How.RESET if under.sent else How.CONNECT_FAILED)

        self.loop.at(round(at_ms * MS), die)

    def run(self, seconds: float = 20.0) -> None:
        self.loop.run(round(seconds * 1e9))

    # the judge, who looks at what was asked, sent and answered, and at the platform's classes alone

    def broken_rules(self) -> list[str]:
        found = []
        for ask, name in self.asks:
            cls = next(c for c in self.platform.classes if c.name == name)
            sent = [s for s in self.servers.sent if s.ask is ask]
            if len(ask.answers) != 1:
                found.append(f"{ask.name} had {len(ask.answers)} answers")
                continue
            at, ending = ask.answers[0]
            if at > round(ask.came * 1e9) + cls.deadline_ns:
                found.append(f"{ask.name} was answered after its client had given up")
            for i, later in enumerate(sent):
                for first in sent[:i]:
                    done = first.ended is not None and first.ended <= later.at
                    if cls.repeat == "free" or (done and not first.ran):
                        continue
                    if cls.repeat == "single_shot":
                        found.append(f"{ask.name}, which must not run twice, was sent again")
                    elif later.at > first.at + cls.window_ns:
                        found.append(f"{ask.name} was sent again after its window")
                    elif cls.group == "cell" and (self.entries[first.server].cell != self.entries[later.server].cell):
                        found.append(f"{ask.name} was sent again to another group")
            if (
                ending is Ending.REFUSED
                and cls.repeat != "free"
                and any(s.ran and (s.ended is None or s.ended <= at or s.at <= at) for s in sent)
                and not (cls.repeat == "guarded" and cls.group == "all")
            ):
                found.append(f"{ask.name} was refused though it may have run")
        grace = self.settings.invariants.drain_grace_ns
        for each in self.servers.sent:
            told = self.drained.get(each.server)
            if told is not None and each.at > told + grace:
                found.append(f"{each.ask.name} was sent to a server that drains")
        return found


__all__ = ["MARGIN_NS", "MS", "Play", "Site"]

"""The core, balancer and limiter on a simulated clock, with scripted servers and a check of the rules.

A queue of timers replaces the event loop, so a run is deterministic and does not wait.
"""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Any

from rosechute.load_balancing import Directory, Entry, How, Settings
from rosechute.load_balancing.rules import Balancer
from rosechute.proxy.core.calls import MARGIN_NS, Core
from rosechute.proxy.core.ports import Ending, RequestInfo
from rosechute.sidecar.request_limits.limiter import RouteLimiter

MS = 1_000_000
START = 1_000_000_000_000


class Timer:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SimulatedLoop:
    """The part of an event loop that the core uses, on a simulated clock."""

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


class ClientRequest:
    """Request of a client. Records its answers."""

    def __init__(self, name: str, came: float) -> None:
        self.name, self.came = name, came
        self.tid = ""
        self.complete, self.stream = True, None
        self.answers: list[tuple[int, Ending]] = []
        self.hold_offs: list[int] = []
        self.loop: SimulatedLoop | None = None

    def answer(self, ending: Ending, reply: object = None, hold_off_ns: int = 0) -> None:
        self.answers.append((self.loop.now, ending))
        self.hold_offs.append(hold_off_ns)


@dataclass
class SentAttempt:
    """Attempt whose request was written to a server."""

    ask: ClientRequest
    server: str
    at: int
    ended: int | None = None
    ran: bool = True  # whether the server may have executed it


@dataclass
class AttemptScript:
    """Scripted behaviour of a server for one attempt."""

    connect_ms: float = 0.0
    answer_ms: float = 20.0
    how: How = How.OK


@dataclass
class ScriptedBackend:
    """Backend of the core. Attempts follow the scripts in turn."""

    loop: SimulatedLoop
    connect_timeout_ns: int
    scripts: list[AttemptScript]
    sent: list[SentAttempt] = field(default_factory=list)
    up: dict[str, bool] = field(default_factory=dict)
    pending: list[Any] = field(default_factory=list)
    count: int = 0

    def attempt(self, server: str, request: ClientRequest, limit_s: float, watch: Any) -> Any:
        script = self.scripts[self.count % len(self.scripts)] if self.scripts else AttemptScript()
        self.count += 1
        return PendingAttempt(self, server, request, limit_s, watch, script)

    def probe(self, server: str, limit_s: float, echoed: Any) -> None:
        return None

    def close_idle(self, server: str) -> None:
        pass


class PendingAttempt:
    """Attempt in progress."""

    def __init__(
        self,
        servers: ScriptedBackend,
        server: str,
        ask: ClientRequest,
        limit_s: float,
        watch: Any,
        script: AttemptScript,
    ) -> None:
        self.servers, self.server, self.ask, self.watch, self.script = servers, server, ask, watch, script
        self.give_up = servers.loop.now + round(limit_s * 1e9)
        self.sent: SentAttempt | None = None
        self.over = False

    def start(self) -> None:
        loop, script = self.servers.loop, self.script
        self.servers.pending.append(self)
        connect = round(script.connect_ms * MS)
        if script.how is How.CONNECT_FAILED or connect > self.servers.connect_timeout_ns:
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
        self.sent = SentAttempt(self.ask, self.server, loop.now)
        self.servers.sent.append(self.sent)
        self.watch.wrote()
        if self.script.how is not How.TIMEOUT:
            loop.at(loop.now + round(self.script.answer_ms * MS), self.end, self.script.how)

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
        self.servers.pending.remove(self)
        if self.sent is not None:
            self.sent.ended = self.servers.loop.now
            self.sent.ran = how not in (How.FULL, How.CONNECT_FAILED, How.MOOT)
        self.watch.outcome(how, object() if how is How.OK else None, {})


class SimulatedSidecar:
    """One sidecar with its core, balancer, limiter and scripted servers."""

    def __init__(
        self,
        settings: Settings,
        scripts: list[AttemptScript],
        servers: int = 4,
        seed: int = 1,
        routes: Any = None,
        limits: Any = (),
        platform: Settings | None = None,
    ) -> None:
        self.settings, self.platform, self.routes = settings, platform or settings, routes
        self.loop = SimulatedLoop()
        longest = max(c.deadline_ns for c in settings.classes)
        self.core: Any = Core(self.loop, self, longest, self.loop.clock, self.loop.time)  # type: ignore[arg-type]
        self.servers = ScriptedBackend(self.loop, settings.limits.connect_timeout_ns, scripts)
        self.core.join(Balancer(settings, seed, self.loop.clock()), self.servers, self)
        self.limiter = RouteLimiter(
            limits, (t.name for t in settings.tenants), 4096, settings.limits.max_retry_after_ns, seed
        )
        self.core.limiter = self.limiter
        self.asks: list[tuple[ClientRequest, str]] = []
        self.drained: dict[str, int] = {}
        self.entries = {f"s{i}": Entry(f"s{i}", 0, 0, i // 2) for i in range(servers)}
        self.servers.up = dict.fromkeys(self.entries, True)
        self.core.deliver(Directory("FULL", tuple(self.entries.values())))

    # callbacks of the core

    def ended(self, cls: str, ending: Ending) -> None:
        pass

    def wrote(self) -> None:
        pass

    def subscribe(self, want: bool) -> None:
        pass

    def fetch(self) -> None:
        pass

    # events of a run

    def ask(self, at_ms: float, cls: str, rest: str = "/1", tenant: int = 0, key: str = "") -> ClientRequest:
        """Schedule a request of a class."""
        ask = ClientRequest(f"r{len(self.asks)}", at_ms / 1e3)
        ask.loop = self.loop
        self.asks.append((ask, cls))
        self.loop.at(round(at_ms * MS), self._accept_request, ask, cls, rest, tenant, key)
        return ask

    def _accept_request(self, ask: ClientRequest, cls: str, rest: str, tenant: int, key: str) -> None:
        rule = None
        if self.routes is not None:
            form = next(c for c in self.platform.classes if c.name == cls)
            name = self.settings.tenants[tenant].name.encode() if self.settings.tenants else None
            rule = self.routes.find(b"GET" if form.repeat == "free" else b"POST", f"/{cls}{rest}".encode(), name, {})
        names = [c.name for c in self.settings.classes]
        place = names.index(rule.cls if rule is not None else cls)
        kind = self.settings.classes[place]
        self.core.take(ask, RequestInfo(ask.name.encode(), place, kind, kind.deadline_ns, 0, tenant, key, rule=rule))

    def drain(self, at_ms: float, server: str) -> None:
        def start_draining() -> None:
            self.drained.setdefault(server, self.loop.now)
            self.servers.up[server] = False
            self.core.deliver(Directory("INCREMENTAL", (self.entries[server]._replace(lifecycle="draining"),)))

        self.loop.at(round(at_ms * MS), start_draining)

    def crash(self, at_ms: float, server: str) -> None:
        def die() -> None:
            for attempt in [a for a in self.servers.pending if a.server == server]:
                attempt.end(How.RESET if attempt.sent else How.CONNECT_FAILED)

        self.loop.at(round(at_ms * MS), die)

    def run(self, seconds: float = 20.0) -> None:
        self.loop.run(round(seconds * 1e9))

    # Checks requests, attempts and answers against the classes of the platform only, not those of the sidecar.

    def rule_violations(self) -> list[str]:
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
            drained_at = self.drained.get(each.server)
            if drained_at is not None and each.at > drained_at + grace:
                found.append(f"{each.ask.name} was sent to a server that drains")
        return found


__all__ = ["MARGIN_NS", "MS", "AttemptScript", "SimulatedSidecar"]

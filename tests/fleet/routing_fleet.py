"""A model of a fleet: clients, edges with a router each, and engine servers, on one simulated clock.

It measures policies of the router against each other. Its engine reads prompts in pieces between the tokens of other
requests, keeps the parts of prompts until their memory is needed, and turns away what its queue can't hold. All of it
is drawn from one seed.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from rosechute.routing.model import (
    AttemptResult,
    PromptPart,
    Reject,
    RoutingAction,
    RoutingRequest,
    Send,
    ServerEntry,
)
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

WIRE_S = 0.001
AGAIN_S = 8.0  # a shared part that was used within so long, and is read, is read again
AGAIN_PRICE = 0.25  # of 1,000 tokens read again, in worth
PASS_S = 0.004  # time of a request at an edge and on the way, both ways


class Clock:
    """Events in order of time, and of their making where times are the same."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._made = 0

    def at(self, time: float, pending: Callable[..., None], *arguments: Any) -> None:
        self._made += 1
        heapq.heappush(self._heap, (max(time, self.now), self._made, pending, arguments))

    def after(self, span: float, pending: Callable[..., None], *arguments: Any) -> None:
        self.at(self.now + span, pending, *arguments)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, pending, arguments = heapq.heappop(self._heap)
            pending(*arguments)
        self.now = until


@dataclass(frozen=True)
class Kind:
    """One kind of request."""

    name: str
    service: str
    per_s: float
    priority: int
    worth: float
    late_worth: float
    target_s: float
    deadline_s: float
    max_attempts: int
    repeatable: bool
    shared: tuple[tuple[int, int], ...] = ()  # (tokens, how many of them) of each shared part
    own_tokens: float = 0.0
    spread: float = 0.0
    most_tokens: int = 0
    output_tokens: float = 0.0
    work_s: float = 0.0


@dataclass(frozen=True)
class EngineSheet:
    """Figures of a model server."""

    slots: int = 64
    queue: int = 190
    kv_tokens: int = 420_000
    step_s: float = 0.0038
    step_per_slot_s: float = 0.00009
    prefill_per_s: float = 56_600.0
    chunk: int = 4096
    first_s: float = 0.016


@dataclass
class Job:
    """A request at a server."""

    ticket: int
    request: RoutingRequest
    attempt: int
    arrived: float
    unread: float = 0.0
    left: float = 0.0
    headed: bool = False
    dropped: bool = False


@dataclass
class Host:
    """One server, whatever it runs; `down` answers with resets, `dark` not at all."""

    name: str
    service: str
    clock: Clock
    draw: random.Random
    speed: float = 1.0
    down: bool = False
    dark: bool = False
    failing: float = 0.0
    tell: Callable[[Job, AttemptResult], None] = lambda job, result: None
    jobs: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)

    def take(self, job: Job) -> None:
        if self.down:
            self.tell(job, AttemptResult.CONNECT_FAILED)
        elif self.dark:
            self.clock.after(1.0, self.tell, job, AttemptResult.TIMEOUT)
        elif self.failing and self.draw.random() < self.failing:
            self.clock.after(0.003, self.tell, job, AttemptResult.SERVER_ERROR)
        else:
            self.admit(job)

    def admit(self, job: Job) -> None:
        raise NotImplementedError

    def crash(self) -> None:
        """Every request ends with a reset; nothing is kept."""
        self.down = True
        for job in self.jobs + self.waiting:
            if not job.dropped:
                self.tell(job, AttemptResult.RESET)
        self.jobs.clear()
        self.waiting.clear()


class Worker(Host):
    """A plain server with a few slots and a queue."""

    slots = 6
    queue = 24

    def admit(self, job: Job) -> None:
        if len(self.jobs) < self.slots:
            self._start(job)
        elif len(self.waiting) < self.queue:
            self.waiting.append(job)
        else:
            self.tell(job, AttemptResult.NOT_EXECUTED)

    def _start(self, job: Job) -> None:
        self.jobs.append(job)
        self.clock.after(0.045 * self.draw.lognormvariate(-0.125, 0.5) / self.speed, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job not in self.jobs:
            return
        self.jobs.remove(job)
        self.tell(job, AttemptResult.HEAD)
        self.tell(job, AttemptResult.DONE)
        while self.waiting and len(self.jobs) < self.slots:
            self._start(self.waiting.pop(0))


class Engine(Host):
    """A server of a language model."""

    def __init__(self, name: str, service: str, clock: Clock, draw: random.Random, sheet: EngineSheet) -> None:
        super().__init__(name, service, clock, draw)
        self.sheet = sheet
        self.kept: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self.kept_tokens = 0
        self.busy = False
        self.read = 0.0
        self.read_again = 0
        self.uses: dict[tuple[str, ...], float] = {}  # last use of each shared part, at any server

    def admit(self, job: Job) -> None:
        if len(self.jobs) < self.sheet.slots:
            self._start(job)
        elif len(self.waiting) < self.sheet.queue:
            self.waiting.append(job)
            self.waiting.sort(key=lambda each: (each.request.priority, each.arrived))
        else:
            self.tell(job, AttemptResult.NOT_EXECUTED)

    def crash(self) -> None:
        super().crash()
        self.kept.clear()
        self.kept_tokens = 0

    def _start(self, job: Job) -> None:
        known = self._keep(job.request.parts)
        job.unread = max(1.0, job.request.input_tokens - known)
        job.left = float(job.request.output_tokens)
        self.read += job.unread
        self.jobs.append(job)
        if not self.busy:
            self.busy = True
            self.clock.after(self.sheet.first_s / self.speed, self._step)

    def _keep(self, parts: Sequence[PromptPart]) -> int:
        """Tokens that are kept already; from now on all parts are."""
        known, whole = 0, True
        name: tuple[str, ...] = ()
        for part in parts:
            name = (*name, part.id)
            if part is not parts[-1]:
                if name not in self.kept and self.uses.get(name, -math.inf) > self.clock.now - AGAIN_S:
                    self.read_again += part.tokens
                self.uses[name] = self.clock.now
            if name in self.kept:
                known += part.tokens if whole else 0
                self.kept.move_to_end(name)
                continue
            whole = False
            self.kept[name] = part.tokens
            self.kept_tokens += part.tokens
        running = sum(job.request.output_tokens for job in self.jobs)
        while self.kept and self.kept_tokens + running > self.sheet.kv_tokens:
            self.kept_tokens -= self.kept.popitem(last=False)[1]
        return known

    def _step(self) -> None:
        """Read a piece of a prompt, and a token for each that is past its prompt."""
        self.jobs = [job for job in self.jobs if not job.dropped]
        while self.waiting and len(self.jobs) < self.sheet.slots:
            job = self.waiting.pop(0)
            if not job.dropped:
                self._start(job)
        if not self.jobs:
            self.busy = False
            return
        room = float(self.sheet.chunk)
        read = 0.0
        done = []
        for job in sorted((job for job in self.jobs if job.unread), key=lambda each: each.arrived):
            piece = min(room, job.unread)
            job.unread -= piece
            room -= piece
            read += piece
            if not job.unread:
                done.append(job)
            if room <= 0:
                break
        talking = [job for job in self.jobs if job.headed]
        span = self.sheet.step_s + self.sheet.step_per_slot_s * len(talking) + read / self.sheet.prefill_per_s
        self.clock.after(span / self.speed, self._stepped, done, talking)

    def _stepped(self, done: list[Job], talking: list[Job]) -> None:
        for job in done:
            if job in self.jobs and not job.dropped:
                job.headed = True
                self.tell(job, AttemptResult.HEAD)
        for job in done + talking:
            job.left -= 1
            if job.left <= 0 and job in self.jobs:
                self.jobs.remove(job)
                if not job.dropped:
                    self.tell(job, AttemptResult.DONE)
        if self.down:
            self.busy = False
        else:
            self._step()


@dataclass
class Outcome:
    """What became of the requests of one kind."""

    owed: float = 0.0
    earned: float = 0.0
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    heads: list[float] = field(default_factory=list)


class Edge:
    """One edge: a router, and the carrying out of its actions."""

    def __init__(self, fleet: Fleet, number: int, tuning: RouterTuning) -> None:
        self.fleet, self.clock = fleet, fleet.clock
        self.router = Router(random.Random(1000 * fleet.seed + number).random, tuning)
        self.open: dict[int, tuple[Kind, RoutingRequest, int, Job | None]] = {}
        self.woken = math.inf

    def submit(self, kind: Kind, request: RoutingRequest, tries: int) -> None:
        self.open[request.ticket] = (kind, request, tries, None)
        self.clock.at(request.deadline, self._deadline, request.ticket)
        self._act(self.router.route(self.clock.now, request))

    def _deadline(self, ticket: int) -> None:
        if ticket in self.open:
            kind, _, _, job = self.open.pop(ticket)
            if job is not None:
                job.dropped = True
            self.fleet.outcomes[kind.name].failed += 1
            self._act(self.router.cancel(self.clock.now, ticket))

    def _act(self, actions: list[RoutingAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._start_attempt(action)
            elif isinstance(action, Reject):
                self._reject(action)
        wake = self.router.next_wake()
        if wake is not None and wake < self.woken:
            self.woken = wake
            self.clock.at(wake, self._tick)

    def _tick(self) -> None:
        self.woken = math.inf
        self._act(self.router.tick(self.clock.now))

    def _start_attempt(self, send: Send) -> None:
        kind, request, tries, _ = self.open[send.ticket]
        job = Job(send.ticket, request, 0, self.clock.now)
        self.open[send.ticket] = (kind, request, tries, job)
        host = self.fleet.hosts[send.server_id]
        self.fleet.owner[id(job)] = (self, send.server_id, job)
        self.clock.after(WIRE_S + PASS_S / 2, host.take, job)

    def _reject(self, reject: Reject) -> None:
        kind, request, tries, _ = self.open.pop(reject.ticket)
        outcome = self.fleet.outcomes[kind.name]
        left = request.deadline - self.clock.now
        quick = self.clock.now - request.arrived <= kind.target_s / 4
        self.fleet.reasons[reject.reason.value] = self.fleet.reasons.get(reject.reason.value, 0) + 1
        if tries and 0 < reject.retry_after_s < left / 3:
            other = self.fleet.draw.choice(self.fleet.edges)
            self.clock.after(reject.retry_after_s, self.fleet.again, other, kind, request, quick)
        else:
            outcome.refused += 1

    def told(self, server_id: str, job: Job, result: AttemptResult) -> None:
        if job.ticket not in self.open or self.open[job.ticket][3] is not job:
            return
        kind, request, tries, _ = self.open[job.ticket]
        if result is AttemptResult.HEAD:
            self.fleet.headed(kind, request, self.clock.now)
        again = False
        if result is AttemptResult.DONE:
            self.fleet.served(kind, request, self.clock.now)
            del self.open[job.ticket]
        elif result is not AttemptResult.HEAD:
            known_not_run = result in (
                AttemptResult.CONNECT_FAILED,
                AttemptResult.NOT_EXECUTED,
                AttemptResult.WRONG_INSTANCE,
            )
            again = request.repeatable or known_not_run
            if not again:
                self.fleet.outcomes[kind.name].failed += 1
                del self.open[job.ticket]
        self._act(self.router.report(self.clock.now, job.ticket, server_id, result, again))


class Fleet:
    """All of it."""

    def __init__(
        self,
        seed: int,
        kinds: Sequence[Kind],
        engines: int,
        workers: int,
        edges: int,
        sheet: EngineSheet | None = None,
        tuning: RouterTuning | None = None,
        shares: Sequence[float] | None = None,
        retry_slack: float = 52.0,
        hot: tuple[str, float] = ("", 0.0),
        length_s: float = 30.0,
    ) -> None:
        self.seed, self.kinds, self.clock = seed, kinds, Clock()
        self.draw = random.Random(seed)
        self.shares = list(shares or [1.0] * edges)
        self.hot = hot
        self.surge = 1.0
        self.length_s = length_s
        self.hosts: dict[str, Host] = {}
        self.owner: dict[int, tuple[Edge, str, Job]] = {}
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self.reasons: dict[str, int] = {}
        self.firsts: dict[int, tuple[float, float]] = {}  # first arrival and weight, by ticket
        self.quick: set[int] = set()
        self.first_heads: dict[int, float] = {}
        self.tickets = 0
        self.sheet = sheet or EngineSheet()
        self.uses: dict[tuple[str, ...], float] = {}
        for number in range(engines):
            self.add(Engine(f"e{number}-{seed}", "llm", self.clock, self.draw, self.sheet))
        for number in range(workers):
            self.add(Worker(f"w{number}-{seed}", "app", self.clock, self.draw))
        self.edges = [Edge(self, number, tuning or RouterTuning(zone="z0")) for number in range(edges)]
        for edge in self.edges:
            edge.router.apply_retry_budget(0.2, 10.0, retry_slack, edges)
        self.tell_list()
        for edge in self.edges:
            edge.router.apply_limits(0.0, "llm", 360, edges)
            edge.router.apply_limits(0.0, "app", 96, edges)
        for kind in kinds:
            self._next(kind)

    def add(self, host: Host) -> None:
        self.hosts[host.name] = host
        host.tell = lambda job, result: self.told(job, result)
        if isinstance(host, Engine):
            host.uses = self.uses

    def told(self, job: Job, result: AttemptResult) -> None:
        edge, server_id, _ = self.owner[id(job)]
        self.clock.after(WIRE_S + PASS_S / 2, edge.told, server_id, job, result)

    def tell_list(self, without: Sequence[str] = ()) -> None:
        """Every edge takes up the list now."""
        for service, slots in (("llm", 64), ("app", 6)):
            entries = [
                ServerEntry(host.name, host.name + ":80", f"z{number % 4}", slots, True)
                for number, host in enumerate(self.hosts.values())
                if host.service == service and host.name not in without
            ]
            for edge in self.edges:
                edge._act(edge.router.apply_servers(self.clock.now, service, entries))

    # --- clients

    def _next(self, kind: Kind) -> None:
        self.clock.after(self.draw.expovariate(kind.per_s * self.surge), self._arrive, kind)

    def _arrive(self, kind: Kind) -> None:
        if self.clock.now > self.length_s:
            return
        self._next(kind)
        edge = self.draw.choices(self.edges, self.shares)[0]
        self.tickets += 1
        now = self.clock.now
        parts, prompt = self._prompt(kind)
        output = max(1, int(self.draw.lognormvariate(math.log(kind.output_tokens) - 0.3, 0.8))) if parts else 0
        request = RoutingRequest(
            self.tickets,
            kind.service,
            kind.name,
            kind.priority,
            now + kind.deadline_s,
            kind.target_s,
            now,
            kind.max_attempts,
            kind.repeatable,
            bool(parts),
            "m",
            tuple(parts),
            prompt,
            output,
        )
        size = (
            (prompt + 10 * output) / (kind.own_tokens + sum(t for t, _ in kind.shared) + 10 * kind.output_tokens)
            if parts
            else 1.0
        )
        weight = min(4.0, 0.3 + 0.7 * size) if parts else 1.0
        self.firsts[request.ticket] = (now, weight)
        outcome = self.outcomes[kind.name]
        outcome.asked += 1
        outcome.owed += weight * kind.worth
        edge.submit(kind, request, 1)

    def _prompt(self, kind: Kind) -> tuple[list[PromptPart], int]:
        parts = []
        if kind.shared:
            hot = kind.name == self.hot[0] and self.draw.random() < self.hot[1]
            number = 0 if hot else int(kind.shared[-1][1] * self.draw.random() ** 1.3)
        for level, (tokens, count) in enumerate(kind.shared):
            group = f"{kind.name}{level}.{number % count}"  # each subject belongs to one preamble
            size = random.Random(f"{self.seed}{group}").lognormvariate(math.log(tokens) - 0.2, 0.6)
            parts.append(PromptPart(group, int(min(size, 3 * tokens))))
        if kind.own_tokens:
            own = self.draw.lognormvariate(math.log(kind.own_tokens) - kind.spread**2 / 2, kind.spread)
            parts.append(PromptPart(f"own{self.tickets}", int(min(own, kind.most_tokens))))
        return parts, sum(part.tokens for part in parts)

    def again(self, edge: Edge, kind: Kind, request: RoutingRequest, quick: bool) -> None:
        """A client comes back after a refusal."""
        self.tickets += 1
        fields = {name: getattr(request, name) for name in request.__slots__}
        fields |= {"ticket": self.tickets, "arrived": self.clock.now}
        self.firsts[self.tickets] = self.firsts[request.ticket]
        if quick:
            self.quick.add(self.tickets)
        edge.submit(kind, RoutingRequest(**fields), 0)

    def headed(self, kind: Kind, request: RoutingRequest, now: float) -> None:
        self.first_heads.setdefault(request.ticket, now)

    def served(self, kind: Kind, request: RoutingRequest, now: float) -> None:
        first, weight = self.firsts[request.ticket]
        head = self.first_heads.get(request.ticket, now)
        outcome = self.outcomes[kind.name]
        took, took_again = head + 0.002 - first, head + 0.002 - request.arrived
        worth = kind.worth if took <= kind.target_s else kind.late_worth
        if request.ticket in self.quick and took > kind.target_s and took_again <= kind.target_s:
            worth = (kind.worth + kind.late_worth) / 2
        outcome.in_time += took <= kind.target_s
        outcome.late += took > kind.target_s
        outcome.earned += weight * worth
        outcome.heads.append(took)

    def play(self) -> None:
        """Play the day, and let what is open come to its end."""
        self.clock.run(self.length_s + 16.0)

    # --- figures

    def score(self) -> float:
        """Worth earned over worth owed."""
        return sum(each.earned for each in self.outcomes.values()) / sum(each.owed for each in self.outcomes.values())

    def net_score(self) -> float:
        """The same, less the price of shared parts that were read again."""
        again = sum(host.read_again for host in self.hosts.values() if isinstance(host, Engine))
        return self.score() - AGAIN_PRICE * again / 1000 / sum(each.owed for each in self.outcomes.values())

    def read_tokens(self) -> float:
        """Prompt tokens that engines have read."""
        return sum(host.read for host in self.hosts.values() if isinstance(host, Engine))

    def table(self) -> str:
        """Figures by kind."""
        lines = []
        for name, each in self.outcomes.items():
            heads = sorted(each.heads) or [0.0]
            lines.append(
                f"  {name:16} asked {each.asked:5} worth {each.earned / max(each.owed, 1e-9):.3f} late {each.late:4} "
                f"refused {each.refused:4} failed {each.failed:4} p50 {heads[len(heads) // 2]:.3f} "
                f"p90 {heads[int(len(heads) * 0.9)]:.3f} p99 {heads[int(len(heads) * 0.99)]:.3f}"
            )
        return "\n".join(lines)


LETTERS = (
    Kind("summary", "llm", 28.0, 1, 2.0, 0.6, 0.6, 5.0, 2, True, ((2520, 4), (3780, 481)), 2890, 1.0, 39_600, 50),
    Kind("resolve", "llm", 30.0, 0, 3.0, 0.9, 0.5, 3.0, 1, False, ((341, 20), (227, 507)), 1800, 1.1, 6_870, 22),
    Kind("chat", "llm", 15.0, 2, 1.0, 0.3, 0.5, 15.0, 2, True, ((103, 8), (69, 112)), 543, 0.9, 2_310, 280),
    Kind("pass", "app", 18.0, 2, 1.0, 0.3, 0.2, 2.5, 1, False, work_s=0.045),
)
"""A mix of long prompts, short prompts, long answers and plain work, alike to what a letter of the users tells."""

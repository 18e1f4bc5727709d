"""Simulated fleet for routing policies: clients, edges with a router each, and servers, on one simulated clock.

Engine servers prefill prompts in chunks between the decoding steps of other requests (continuous batching), cache
parts of prompts with LRU eviction, and reject requests when their queue is full. A run is determined by its seed.
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

LINK_DELAY_S = 0.001  # one-way delay between an edge and a server
REUSE_WINDOW_S = 8.0  # the prefill of a shared part that was used within this time is a repeated one
REPREFILL_PRICE = 0.25  # value that a repeated prefill of 1,000 tokens costs
EDGE_ROUND_TRIP_S = 0.004  # processing time at an edge, both directions together


class Clock:
    """Event loop with simulated time; events at the same time run in the order of their scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0

    def call_at(self, time: float, callback: Callable[..., None], *arguments: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._event_count, callback, arguments))

    def call_later(self, delay_s: float, callback: Callable[..., None], *arguments: Any) -> None:
        self.call_at(self.now + delay_s, callback, *arguments)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, arguments = heapq.heappop(self._heap)
            callback(*arguments)
        self.now = until


@dataclass(frozen=True)
class RequestKind:
    """A kind of client request, with its rate, its value and the distribution of its sizes.

    `value` is earned by a response within `target_s`, `late_value` by a later one.
    """

    name: str
    service: str
    per_s: float
    priority: int
    value: float
    late_value: float
    target_s: float
    deadline_s: float
    max_attempts: int
    repeatable: bool
    shared_parts: tuple[tuple[int, int], ...] = ()  # (mean tokens, number of variants) of each shared part
    unique_tokens: float = 0.0
    sigma: float = 0.0  # of the log-normal distribution of the unique part
    max_unique_tokens: int = 0
    output_tokens: float = 0.0
    work_s: float = 0.0


@dataclass(frozen=True)
class EngineParameters:
    """Capacity and speed of an engine server."""

    slots: int = 64
    max_queued: int = 190
    kv_tokens: int = 420_000
    step_s: float = 0.0038
    step_per_slot_s: float = 0.00009
    prefill_per_s: float = 56_600.0
    chunk_tokens: int = 4096
    startup_s: float = 0.016


@dataclass
class Job:
    """An attempt of a request at a server."""

    ticket: int
    request: RoutingRequest
    attempt: int
    arrived: float
    uncached_tokens: float = 0.0
    remaining_output: float = 0.0
    is_responding: bool = False
    is_cancelled: bool = False


@dataclass
class Host:
    """A server of any kind. If `is_down`, it refuses connections; if `is_silent`, requests time out."""

    name: str
    service: str
    clock: Clock
    draw: random.Random
    speed: float = 1.0
    is_down: bool = False
    is_silent: bool = False
    failure_rate: float = 0.0
    report_result: Callable[[Job, AttemptResult], None] = lambda job, result: None
    jobs: list[Job] = field(default_factory=list)
    waiting: list[Job] = field(default_factory=list)

    def receive(self, job: Job) -> None:
        if self.is_down:
            self.report_result(job, AttemptResult.CONNECT_FAILED)
        elif self.is_silent:
            self.clock.call_later(1.0, self.report_result, job, AttemptResult.TIMEOUT)
        elif self.failure_rate and self.draw.random() < self.failure_rate:
            self.clock.call_later(0.003, self.report_result, job, AttemptResult.SERVER_ERROR)
        else:
            self.admit(job)

    def admit(self, job: Job) -> None:
        raise NotImplementedError

    def crash(self) -> None:
        """Reset every request and stop."""
        self.is_down = True
        for job in self.jobs + self.waiting:
            if not job.is_cancelled:
                self.report_result(job, AttemptResult.RESET)
        self.jobs.clear()
        self.waiting.clear()


class Worker(Host):
    """A server with a few slots, a queue and random service times."""

    slots = 6
    max_queued = 24

    def admit(self, job: Job) -> None:
        if len(self.jobs) < self.slots:
            self._start(job)
        elif len(self.waiting) < self.max_queued:
            self.waiting.append(job)
        else:
            self.report_result(job, AttemptResult.NOT_EXECUTED)

    def _start(self, job: Job) -> None:
        self.jobs.append(job)
        self.clock.call_later(0.045 * self.draw.lognormvariate(-0.125, 0.5) / self.speed, self._finish, job)

    def _finish(self, job: Job) -> None:
        if job not in self.jobs:
            return
        self.jobs.remove(job)
        self.report_result(job, AttemptResult.HEAD)
        self.report_result(job, AttemptResult.DONE)
        while self.waiting and len(self.jobs) < self.slots:
            self._start(self.waiting.pop(0))


class Engine(Host):
    """A server of a language model, with a prefix cache."""

    def __init__(
        self, name: str, service: str, clock: Clock, draw: random.Random, parameters: EngineParameters
    ) -> None:
        super().__init__(name, service, clock, draw)
        self.parameters = parameters
        self.cached_parts: OrderedDict[tuple[str, ...], int] = OrderedDict()
        self.cached_tokens = 0
        self.is_stepping = False
        self.prefilled = 0.0
        self.reprefilled = 0
        self.last_uses: dict[tuple[str, ...], float] = {}  # last use of each shared part at any server

    def admit(self, job: Job) -> None:
        if len(self.jobs) < self.parameters.slots:
            self._start(job)
        elif len(self.waiting) < self.parameters.max_queued:
            self.waiting.append(job)
            self.waiting.sort(key=lambda each: (each.request.priority, each.arrived))
        else:
            self.report_result(job, AttemptResult.NOT_EXECUTED)

    def crash(self) -> None:
        super().crash()
        self.cached_parts.clear()
        self.cached_tokens = 0

    def _start(self, job: Job) -> None:
        hit_tokens = self._cache_parts(job.request.parts)
        job.uncached_tokens = max(1.0, job.request.input_tokens - hit_tokens)
        job.remaining_output = float(job.request.output_tokens)
        self.prefilled += job.uncached_tokens
        self.jobs.append(job)
        if not self.is_stepping:
            self.is_stepping = True
            self.clock.call_later(self.parameters.startup_s / self.speed, self._step)

    def _cache_parts(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of the prompt that are cached already, and add all of its parts to the cache."""
        hit_tokens, is_prefix_cached = 0, True
        name: tuple[str, ...] = ()
        for part in parts:
            name = (*name, part.id)
            if part is not parts[-1]:
                if (
                    name not in self.cached_parts
                    and self.last_uses.get(name, -math.inf) > self.clock.now - REUSE_WINDOW_S
                ):
                    self.reprefilled += part.tokens
                self.last_uses[name] = self.clock.now
            if name in self.cached_parts:
                hit_tokens += part.tokens if is_prefix_cached else 0
                self.cached_parts.move_to_end(name)
                continue
            is_prefix_cached = False
            self.cached_parts[name] = part.tokens
            self.cached_tokens += part.tokens
        running = sum(job.request.output_tokens for job in self.jobs)
        while self.cached_parts and self.cached_tokens + running > self.parameters.kv_tokens:
            self.cached_tokens -= self.cached_parts.popitem(last=False)[1]
        return hit_tokens

    def _step(self) -> None:
        """Start a step: prefill a chunk of prompts, and decode one token of each responding request."""
        self.jobs = [job for job in self.jobs if not job.is_cancelled]
        while self.waiting and len(self.jobs) < self.parameters.slots:
            job = self.waiting.pop(0)
            if not job.is_cancelled:
                self._start(job)
        if not self.jobs:
            self.is_stepping = False
            return
        budget = float(self.parameters.chunk_tokens)
        prefilled = 0.0
        done = []
        for job in sorted((job for job in self.jobs if job.uncached_tokens), key=lambda each: each.arrived):
            prefill = min(budget, job.uncached_tokens)
            job.uncached_tokens -= prefill
            budget -= prefill
            prefilled += prefill
            if not job.uncached_tokens:
                done.append(job)
            if budget <= 0:
                break
        responding = [job for job in self.jobs if job.is_responding]
        duration_s = (
            self.parameters.step_s
            + self.parameters.step_per_slot_s * len(responding)
            + prefilled / self.parameters.prefill_per_s
        )
        self.clock.call_later(duration_s / self.speed, self._finish_step, done, responding)

    def _finish_step(self, done: list[Job], responding: list[Job]) -> None:
        for job in done:
            if job in self.jobs and not job.is_cancelled:
                job.is_responding = True
                self.report_result(job, AttemptResult.HEAD)
        for job in done + responding:
            job.remaining_output -= 1
            if job.remaining_output <= 0 and job in self.jobs:
                self.jobs.remove(job)
                if not job.is_cancelled:
                    self.report_result(job, AttemptResult.DONE)
        if self.is_down:
            self.is_stepping = False
        else:
            self._step()


@dataclass
class Outcome:
    """Totals over the requests of one kind."""

    possible_value: float = 0.0
    earned_value: float = 0.0
    requests: int = 0
    on_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    latencies: list[float] = field(default_factory=list)


class Edge:
    """One edge: a router and the execution of its actions."""

    def __init__(self, fleet: Fleet, number: int, tuning: RouterTuning) -> None:
        self.fleet, self.clock = fleet, fleet.clock
        self.router = Router(random.Random(1000 * fleet.seed + number).random, tuning)
        self.open_requests: dict[int, tuple[RequestKind, RoutingRequest, int, Job | None]] = {}
        self.wake_at = math.inf

    def submit(self, kind: RequestKind, request: RoutingRequest, retries_left: int) -> None:
        self.open_requests[request.ticket] = (kind, request, retries_left, None)
        self.clock.call_at(request.deadline, self._deadline, request.ticket)
        self._act(self.router.route(self.clock.now, request))

    def _deadline(self, ticket: int) -> None:
        if ticket in self.open_requests:
            kind, _, _, job = self.open_requests.pop(ticket)
            if job is not None:
                job.is_cancelled = True
            self.fleet.outcomes[kind.name].failed += 1
            self._act(self.router.cancel(self.clock.now, ticket))

    def _act(self, actions: list[RoutingAction]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._start_attempt(action)
            elif isinstance(action, Reject):
                self._reject(action)
        wake = self.router.next_wake()
        if wake is not None and wake < self.wake_at:
            self.wake_at = wake
            self.clock.call_at(wake, self._tick)

    def _tick(self) -> None:
        self.wake_at = math.inf
        self._act(self.router.tick(self.clock.now))

    def _start_attempt(self, send: Send) -> None:
        kind, request, retries_left, _ = self.open_requests[send.ticket]
        job = Job(send.ticket, request, 0, self.clock.now)
        self.open_requests[send.ticket] = (kind, request, retries_left, job)
        host = self.fleet.hosts[send.server_id]
        self.fleet.attempts[id(job)] = (self, send.server_id, job)
        self.clock.call_later(LINK_DELAY_S + EDGE_ROUND_TRIP_S / 2, host.receive, job)

    def _reject(self, reject: Reject) -> None:
        kind, request, retries_left, _ = self.open_requests.pop(reject.ticket)
        outcome = self.fleet.outcomes[kind.name]
        time_left_s = request.deadline - self.clock.now
        is_early = self.clock.now - request.arrived <= kind.target_s / 4
        self.fleet.reasons[reject.reason.value] = self.fleet.reasons.get(reject.reason.value, 0) + 1
        if retries_left and 0 < reject.retry_after_s < time_left_s / 3:
            other = self.fleet.draw.choice(self.fleet.edges)
            self.clock.call_later(reject.retry_after_s, self.fleet.resubmit, other, kind, request, is_early)
        else:
            outcome.rejected += 1

    def on_result(self, server_id: str, job: Job, result: AttemptResult) -> None:
        if job.ticket not in self.open_requests or self.open_requests[job.ticket][3] is not job:
            return
        kind, request, retries_left, _ = self.open_requests[job.ticket]
        if result is AttemptResult.HEAD:
            self.fleet.on_response_head(kind, request, self.clock.now)
        will_retry = False
        if result is AttemptResult.DONE:
            self.fleet.on_response_done(kind, request, self.clock.now)
            del self.open_requests[job.ticket]
        elif result is not AttemptResult.HEAD:
            not_executed = result in (
                AttemptResult.CONNECT_FAILED,
                AttemptResult.NOT_EXECUTED,
                AttemptResult.WRONG_INSTANCE,
            )
            will_retry = request.repeatable or not_executed
            if not will_retry:
                self.fleet.outcomes[kind.name].failed += 1
                del self.open_requests[job.ticket]
        self._act(self.router.report(self.clock.now, job.ticket, server_id, result, will_retry))


class Fleet:
    """The servers, edges and clients of a simulated fleet, and the outcomes of its requests.

    Args:
        seed: Seed of all random numbers.
        kinds: Kinds of requests.
        engines: The number of engine servers.
        workers: The number of worker servers.
        edges: The number of edges.
        parameters: Parameters of the engine servers.
        tuning: Constants of the routers.
        edge_weights: Weight of each edge in the distribution of requests.
        retry_slack: Retries per window that the fleet may send beyond the ratio.
        hot: Kind of request whose first group of shared parts gets an additional share of requests, and that share.
        length_s: Time at which the last request may arrive.
    """

    def __init__(
        self,
        seed: int,
        kinds: Sequence[RequestKind],
        engines: int,
        workers: int,
        edges: int,
        parameters: EngineParameters | None = None,
        tuning: RouterTuning | None = None,
        edge_weights: Sequence[float] | None = None,
        retry_slack: float = 52.0,
        hot: tuple[str, float] = ("", 0.0),
        length_s: float = 30.0,
    ) -> None:
        self.seed, self.kinds, self.clock = seed, kinds, Clock()
        self.draw = random.Random(seed)
        self.edge_weights = list(edge_weights or [1.0] * edges)
        self.hot = hot
        self.rate_factor = 1.0
        self.length_s = length_s
        self.hosts: dict[str, Host] = {}
        self.attempts: dict[int, tuple[Edge, str, Job]] = {}
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self.reasons: dict[str, int] = {}
        self.first_arrivals: dict[int, tuple[float, float]] = {}  # first arrival and weight, by ticket
        self.rejected_early: set[int] = set()
        self.first_heads: dict[int, float] = {}
        self.ticket_count = 0
        self.parameters = parameters or EngineParameters()
        self.last_uses: dict[tuple[str, ...], float] = {}
        for number in range(engines):
            self.add_host(Engine(f"e{number}-{seed}", "llm", self.clock, self.draw, self.parameters))
        for number in range(workers):
            self.add_host(Worker(f"w{number}-{seed}", "app", self.clock, self.draw))
        self.edges = [Edge(self, number, tuning or RouterTuning(zone="z0")) for number in range(edges)]
        for edge in self.edges:
            edge.router.apply_retry_budget(0.2, 10.0, retry_slack, edges)
        self.publish_servers()
        for edge in self.edges:
            edge.router.apply_limits(0.0, "llm", 360, edges)
            edge.router.apply_limits(0.0, "app", 96, edges)
        for kind in kinds:
            self._schedule_arrival(kind)

    def add_host(self, host: Host) -> None:
        self.hosts[host.name] = host
        host.report_result = lambda job, result: self.on_result(job, result)
        if isinstance(host, Engine):
            host.last_uses = self.last_uses

    def on_result(self, job: Job, result: AttemptResult) -> None:
        edge, server_id, _ = self.attempts[id(job)]
        self.clock.call_later(LINK_DELAY_S + EDGE_ROUND_TRIP_S / 2, edge.on_result, server_id, job, result)

    def publish_servers(self, without: Sequence[str] = ()) -> None:
        """Give the endpoint list to every edge now."""
        for service, slots in (("llm", 64), ("app", 6)):
            entries = [
                ServerEntry(host.name, host.name + ":80", f"z{number % 4}", slots, True)
                for number, host in enumerate(self.hosts.values())
                if host.service == service and host.name not in without
            ]
            for edge in self.edges:
                edge._act(edge.router.apply_servers(self.clock.now, service, entries))

    # --- clients

    def _schedule_arrival(self, kind: RequestKind) -> None:
        self.clock.call_later(self.draw.expovariate(kind.per_s * self.rate_factor), self._arrive, kind)

    def _arrive(self, kind: RequestKind) -> None:
        if self.clock.now > self.length_s:
            return
        self._schedule_arrival(kind)
        edge = self.draw.choices(self.edges, self.edge_weights)[0]
        self.ticket_count += 1
        now = self.clock.now
        parts, prompt = self._prompt(kind)
        output = max(1, int(self.draw.lognormvariate(math.log(kind.output_tokens) - 0.3, 0.8))) if parts else 0
        request = RoutingRequest(
            self.ticket_count,
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
            (prompt + 10 * output)
            / (kind.unique_tokens + sum(t for t, _ in kind.shared_parts) + 10 * kind.output_tokens)
            if parts
            else 1.0
        )
        weight = min(4.0, 0.3 + 0.7 * size) if parts else 1.0
        self.first_arrivals[request.ticket] = (now, weight)
        outcome = self.outcomes[kind.name]
        outcome.requests += 1
        outcome.possible_value += weight * kind.value
        edge.submit(kind, request, 1)

    def _prompt(self, kind: RequestKind) -> tuple[list[PromptPart], int]:
        parts = []
        if kind.shared_parts:
            is_hot = kind.name == self.hot[0] and self.draw.random() < self.hot[1]
            number = 0 if is_hot else int(kind.shared_parts[-1][1] * self.draw.random() ** 1.3)
        for level, (tokens, count) in enumerate(kind.shared_parts):
            # With this, each variant of a part follows the same variant of the previous part.
            group = f"{kind.name}{level}.{number % count}"
            size = random.Random(f"{self.seed}{group}").lognormvariate(math.log(tokens) - 0.2, 0.6)
            parts.append(PromptPart(group, int(min(size, 3 * tokens))))
        if kind.unique_tokens:
            unique = self.draw.lognormvariate(math.log(kind.unique_tokens) - kind.sigma**2 / 2, kind.sigma)
            parts.append(PromptPart(f"own{self.ticket_count}", int(min(unique, kind.max_unique_tokens))))
        return parts, sum(part.tokens for part in parts)

    def resubmit(self, edge: Edge, kind: RequestKind, request: RoutingRequest, is_early: bool) -> None:
        """Submit a rejected request again, as a client does after `Retry-After`."""
        self.ticket_count += 1
        fields = {name: getattr(request, name) for name in request.__slots__}
        fields |= {"ticket": self.ticket_count, "arrived": self.clock.now}
        self.first_arrivals[self.ticket_count] = self.first_arrivals[request.ticket]
        if is_early:
            self.rejected_early.add(self.ticket_count)
        edge.submit(kind, RoutingRequest(**fields), 0)

    def on_response_head(self, kind: RequestKind, request: RoutingRequest, now: float) -> None:
        self.first_heads.setdefault(request.ticket, now)

    def on_response_done(self, kind: RequestKind, request: RoutingRequest, now: float) -> None:
        first, weight = self.first_arrivals[request.ticket]
        head = self.first_heads.get(request.ticket, now)
        outcome = self.outcomes[kind.name]
        took, took_since_retry = head + 0.002 - first, head + 0.002 - request.arrived
        value_earned = kind.value if took <= kind.target_s else kind.late_value
        if request.ticket in self.rejected_early and took > kind.target_s and took_since_retry <= kind.target_s:
            value_earned = (kind.value + kind.late_value) / 2
        outcome.on_time += took <= kind.target_s
        outcome.late += took > kind.target_s
        outcome.earned_value += weight * value_earned
        outcome.latencies.append(took)

    def play(self) -> None:
        """Run the simulation until all requests are finished."""
        self.clock.run(self.length_s + 16.0)

    # --- results

    def score(self) -> float:
        """Return the earned value as a share of the possible value."""
        return sum(each.earned_value for each in self.outcomes.values()) / sum(
            each.possible_value for each in self.outcomes.values()
        )

    def net_score(self) -> float:
        """Return the score less the price of repeated prefills of shared parts."""
        total = sum(host.reprefilled for host in self.hosts.values() if isinstance(host, Engine))
        return self.score() - REPREFILL_PRICE * total / 1000 / sum(
            each.possible_value for each in self.outcomes.values()
        )

    def prefilled_tokens(self) -> float:
        """Return the prompt tokens that all engines have prefilled."""
        return sum(host.prefilled for host in self.hosts.values() if isinstance(host, Engine))

    def table(self) -> str:
        """Return a table of the outcomes by kind."""
        lines = []
        for name, each in self.outcomes.items():
            ordered = sorted(each.latencies) or [0.0]
            lines.append(
                f"  {name:16} requests {each.requests:5} "
                f"score {each.earned_value / max(each.possible_value, 1e-9):.3f} late {each.late:4} "
                f"rejected {each.rejected:4} failed {each.failed:4} p50 {ordered[len(ordered) // 2]:.3f} "
                f"p90 {ordered[int(len(ordered) * 0.9)]:.3f} p99 {ordered[int(len(ordered) * 0.99)]:.3f}"
            )
        return "\n".join(lines)


LETTERS = (
    RequestKind(
        "summary", "llm", 28.0, 1, 2.0, 0.6, 0.6, 5.0, 2, True, ((2520, 4), (3780, 481)), 2890, 1.0, 39_600, 50
    ),
    RequestKind(
        "resolve", "llm", 30.0, 0, 3.0, 0.9, 0.5, 3.0, 1, False, ((341, 20), (227, 507)), 1800, 1.1, 6_870, 22
    ),
    RequestKind("chat", "llm", 15.0, 2, 1.0, 0.3, 0.5, 15.0, 2, True, ((103, 8), (69, 112)), 543, 0.9, 2_310, 280),
    RequestKind("pass", "app", 18.0, 2, 1.0, 0.3, 0.2, 2.5, 1, False, work_s=0.045),
)
"""A workload reported by users: long prompts, short prompts, long responses and requests without a prompt."""

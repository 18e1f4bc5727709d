"""Simulation of the quota protocol between edges and core machines.

Messages can be delayed, lost or reordered; leaders change, edges are partitioned, suspended and restarted. Only links
and clocks are simulated; quota clients and services are the production code.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from rosechute.configuration.process import Bounds
from rosechute.control_plane.quota_service import QuotaService
from rosechute.control_plane.rate_lease_owners import OwnerStatement
from rosechute.messages import distribution_pb2 as pb
from rosechute.processes.quota_client import QuotaClient

TENANT = "t"
CORES = 4
MAJORITY = 3
PRIORITIES = 3  # number of request priorities; a request's priority is its size modulo this
TICK_S = 0.04  # interval at which a leader checks for a statement to replicate
SYNC_S = (0.004, 0.06)  # minimum and maximum duration of a disk sync
Call = Callable[[], None]


@dataclass(frozen=True)
class Limit:
    """Rate limit of the tenant: rate in tokens per second, burst in tokens."""

    rate: float
    burst: float


def max_tokens_per_window(bounds: Bounds, limit: Limit) -> float:
    """Return the maximum number of tokens that the rule allows in any window."""
    allowed = limit.rate * bounds.quota_window_s + limit.burst
    return allowed * (1 + bounds.quota_overshoot) + bounds.quota_slack


@dataclass(frozen=True)
class StoredStatement:
    """A statement on the owners of rate leases, as stored on disk; ordered by term and revision."""

    order: tuple[int, int]
    statement: OwnerStatement


@dataclass
class EventQueue:
    """Simulated clock and queue of scheduled calls."""

    now: float = 0.0
    queue: list[tuple[float, int, Call]] = field(default_factory=list)
    sequence: itertools.count[int] = field(default_factory=itertools.count)

    def at(self, when: float, call: Call) -> None:
        heapq.heappush(self.queue, (max(when, self.now), next(self.sequence), call))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = until


@dataclass
class Timer:
    """A cancellable timer."""

    call: Call
    cancelled: bool = False

    def cancel(self) -> None:
        self.cancelled = True


class EdgeLoop:
    """Event loop of one edge process, which may be suspended or dead."""

    def __init__(self, events: EventQueue) -> None:
        self._events = events
        self.frozen_until = 0.0
        self.dead = False

    def time(self) -> float:
        return self._events.now

    def call_at(self, when: float, call: Call) -> Timer:
        timer = Timer(call)
        self._events.at(when, lambda: self.run(timer))
        return timer

    def run(self, timer: Timer) -> None:
        if timer.cancelled or self.dead:
            return
        if self._events.now < self.frozen_until:
            self._events.at(self.frozen_until, lambda: self.run(timer))
        else:
            timer.call()


@dataclass
class RequestLog:
    """Requests by time and tokens, and the number of messages sent to the leader."""

    admitted: list[tuple[float, int]] = field(default_factory=list)
    requested: list[tuple[float, int]] = field(default_factory=list)
    rejected: list[tuple[float, float, float]] = field(default_factory=list)  # arrival, wait and retry delay
    messages: int = 0

    def admitted_share(self, since: float, until: float) -> float:
        requested = sum(tokens for at, tokens in self.requested if since <= at < until)
        return sum(tokens for at, tokens in self.admitted if since <= at < until) / requested

    def max_excess(self, window_s: float, max_tokens: Callable[[float], float]) -> float:
        """Return the largest excess of any window in tokens; `max_tokens` gives the limit of a window by its end."""
        worst, total, start = -1e18, 0.0, 0
        for at, tokens in self.admitted:
            total += tokens
            while self.admitted[start][0] < at - window_s:
                total -= self.admitted[start][1]
                start += 1
            worst = max(worst, total - max_tokens(at))
        return worst


class Edge:
    """One edge, across restarts of its process."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.demand = 0.0  # tokens per second
        self.cut_until = 0.0
        self.leader: int | None = None  # the core machine that the edge considers the leader
        self.leaderless_since: float | None = 0.0
        self.start()

    def start(self) -> None:
        """Start a new process."""
        self.loop = EdgeLoop(self.world.events)
        boot = self.world.draw.getrandbits(32)
        loop: Any = self.loop
        self.client = QuotaClient(loop, self.name, boot, self.send, lambda: self.leaderless_since)

    def restart(self, is_graceful: bool = False) -> None:
        """Kill the process, or shut it down gracefully, and start another."""
        if is_graceful:
            self.client.release()
        self.loop.dead = True
        self.start()

    def set_leader(self, leader: int | None) -> None:
        """Set the core machine that the edge considers the leader; None if it knows none."""
        self.leader = leader
        self.leaderless_since = self.world.events.now if leader is None else None
        if leader is not None:
            on_leader_known = self.client.on_leader_known
            self.loop.run(Timer(lambda: on_leader_known(self.world.term)))

    def send(self, message: pb.Distribution) -> None:
        """Send a message to the leader if one is known."""
        world, leader, loop = self.world, self.leader, self.loop
        if leader is None:
            return
        world.counted.messages += 1
        request = pb.QuotaRequest.FromString(message.quota_request.SerializeToString())
        if not world.lost(self):
            world.events.at(world.events.now + world.latency(), lambda: world.receive(leader, self, loop, request))

    def receive(self, loop: EdgeLoop, issue: pb.QuotaIssue) -> None:
        """Deliver an answer, unless the process that sent the request has ended."""
        client = self.client
        if loop is self.loop:
            loop.run(Timer(lambda: client.on_quota_issue(issue)))

    def request(self, tokens: int) -> None:
        """Handle a client request for a number of tokens."""
        request_log, events, client = self.world.counted, self.world.events, self.client
        arrived_at = events.now
        request_log.requested.append((arrived_at, tokens))

        def on_decision(allowed: bool, retry_after_s: float) -> None:
            if allowed:
                request_log.admitted.append((events.now, tokens))
            else:
                request_log.rejected.append((arrived_at, events.now - arrived_at, retry_after_s))

        self.loop.run(Timer(lambda: client.acquire(TENANT, tokens, on_decision, tokens % PRIORITIES)))


class World:
    """The simulation. `service` creates the quota service of a core machine."""

    def __init__(
        self,
        seed: int,
        bounds: Bounds,
        limit: Limit,
        edges: int = 6,
        sizes: tuple[int, ...] = (500, 1500, 4000),
        service: Callable[[Bounds], QuotaService] = QuotaService,
    ) -> None:
        self.draw = random.Random(seed)
        self.events = EventQueue()
        self.counted = RequestLog()
        self.bounds, self.limit, self.sizes = bounds, limit, sizes
        self.loss, self.slow_share = 0.0, 0.0
        self._service = service
        self.cores = [service(bounds) for _ in range(CORES)]
        self.stored = [StoredStatement((0, 0), OwnerStatement(frozenset()))] * CORES  # by core machine
        self.revisions = 0
        self._body = b""
        self.leader_until: dict[int, float] = {}  # by core machine: until when it considers itself the leader
        self.term = 0
        self.versions = 0
        self.edges = [Edge(self, f"edge-{number}") for number in range(edges)]
        self.configure(limit)
        for edge in self.edges:
            self.schedule_requests(edge)

    # Core machines

    def configure(self, limit: Limit) -> None:
        """Commit a configuration with a new limit at every core machine."""
        self.limit = limit
        self.versions += 1
        tenant = {"name": TENANT, "api_keys": ["k"], "rate_per_s": limit.rate, "burst": limit.burst}
        tenant |= {"unit": "token_stream", "uncached_tokens": 200}
        body = {"config_version": self.versions, "routes": [], "services": [], "tenants": [tenant]}
        self._body = json.dumps(body).encode()
        for core in self.cores:
            core.configuration_committed(self.events.now, self._body)

    def elect(self, core: int, overlap_s: float = 0.0) -> None:
        """Start a new term; the previous leader considers itself the leader for `overlap_s` more."""
        now = self.events.now
        for other in self.leader_until:
            self.leader_until[other] = min(self.leader_until[other], now + overlap_s)
        owners = self.owners_known(core)
        self.term += 1
        self.leader_until[core] = 1e9
        self.cores[core].leadership_gained(now, self.term, owners)
        self.replicate(core, self.term)
        for edge in self.edges:
            self.events.at(now + self.draw.uniform(0.0, 0.4), lambda edge=edge: self.discover_leader(edge, core))  # type: ignore[misc]

    def owners_known(self, core: int) -> frozenset[str] | None:
        """Return what `coordination.leader_lease` gives a new leader: the newest statement of a majority."""
        grantors = self.draw.sample(range(CORES), MAJORITY)
        newest = max((self.stored[grantor] for grantor in grantors), key=lambda stored: stored.order)
        return newest.statement.edges

    def replicate(self, core: int, term: int) -> None:
        """Replicate the statements of a leader periodically, as long as it leads in this term."""
        if self.term != term or self.leader_until.get(core, 0.0) <= self.events.now:
            return
        service = self.cores[core]
        statement = service.rate_lease_owners_to_persist(self.events.now)
        if statement is not None:
            self.revisions += 1
            stored = StoredStatement((term, self.revisions), statement)
            confirmed: set[int] = set()
            for acceptor in range(CORES):
                synced_at = self.events.now + self.draw.uniform(*SYNC_S)
                self.events.at(synced_at, partial(self.store, core, service, acceptor, stored, confirmed))
        self.events.at(self.events.now + TICK_S, partial(self.replicate, core, term))

    def store(
        self, leader: int, service: QuotaService, acceptor: int, stored: StoredStatement, confirmed: set[int]
    ) -> None:
        """Store a statement at one machine, unless that machine has granted the lease to another leader meanwhile."""
        if stored.order[0] != self.term:
            return
        self.stored[acceptor] = max(self.stored[acceptor], stored, key=lambda each: each.order)
        confirmed.add(acceptor)
        if len(confirmed) == MAJORITY and self.cores[leader] is service:
            service.rate_lease_owners_persisted(stored.order[0], stored.statement)

    def lose_power(self, edges: bool = True) -> None:
        """Restart all core machines, and the edges if `edges`; no machine is the leader afterwards."""
        self.leader_until = {}
        for core in range(CORES):
            self.cores[core] = self._service(self.bounds)
            self.cores[core].configuration_committed(self.events.now, self._body)
        for edge in self.edges if edges else ():
            edge.restart()
        for edge in self.edges:
            edge.set_leader(None)

    def discover_leader(self, edge: Edge, core: int) -> None:
        """Let an edge connect to the leader unless the edge is partitioned."""
        if self.leader_until.get(core, 0.0) > self.events.now and self.events.now >= edge.cut_until:
            edge.set_leader(core)

    def end_leadership(self) -> None:
        """End the current term without a successor."""
        now = self.events.now
        self.leader_until = dict.fromkeys(self.leader_until, now)
        for edge in self.edges:
            self.events.at(now + self.draw.uniform(0.0, 0.6), lambda edge=edge: self.on_leader_lost(edge))  # type: ignore[misc]

    def on_leader_lost(self, edge: Edge) -> None:
        """Let an edge notice that its leader no longer leads."""
        if edge.leader is not None and self.leader_until.get(edge.leader, 0.0) <= self.events.now:
            edge.set_leader(None)

    def receive(self, core: int, edge: Edge, loop: EdgeLoop, request: pb.QuotaRequest) -> None:
        """Deliver a request to a core machine; answer it if the machine considers itself the leader."""
        if self.leader_until.get(core, 0.0) <= self.events.now:
            return
        answer = self.cores[core].answer(self.events.now, request)
        if not self.lost(edge):
            issue = pb.QuotaIssue.FromString(answer.SerializeToString())
            self.events.at(self.events.now + self.latency(), lambda: edge.receive(loop, issue))

    # Network

    def lost(self, edge: Edge) -> bool:
        return self.events.now < edge.cut_until or self.draw.random() < self.loss

    def latency(self) -> float:
        if self.draw.random() < self.slow_share:
            return self.draw.uniform(0.1, 4.0)
        return self.draw.uniform(0.0005, 0.01)

    # Clients

    def set_demand(self, demand: float, weights: list[float] | None = None) -> None:
        """Distribute a demand in tokens per second over the edges by weight."""
        weights = weights or [1.0] * len(self.edges)
        for edge, weight in zip(self.edges, weights, strict=True):
            edge.demand = demand * weight / sum(weights)

    def schedule_requests(self, edge: Edge) -> None:
        """Send a request if the edge has demand, and schedule the next one."""
        mean = sum(self.sizes) / len(self.sizes)
        if edge.demand > 0.0:
            edge.request(self.draw.choice(self.sizes))
        wait = self.draw.expovariate(edge.demand / mean) if edge.demand > 0.0 else 0.2
        self.events.at(
            self.events.now + min(wait, 0.5) if edge.demand == 0.0 else self.events.now + wait,
            lambda: self.schedule_requests(edge),
        )

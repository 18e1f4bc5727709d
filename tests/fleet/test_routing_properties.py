"""Invariants of the router under random schedules of events, with servers and faults drawn from each seed."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass, field

from rosechute.routing.model import (
    AttemptResult,
    PromptPart,
    Reject,
    RoutingAction,
    RoutingRequest,
    Send,
    ServerEntry,
    Ticket,
)
from rosechute.routing.router import EXTRA_UNEXECUTED_ATTEMPTS, Router
from rosechute.routing.server import Server
from rosechute.routing.tuning import RouterTuning

SEEDS = 300
EVENTS = 250
RESULTS = (
    AttemptResult.DONE,
    AttemptResult.DONE,
    AttemptResult.DONE,
    AttemptResult.SERVER_ERROR,
    AttemptResult.NOT_EXECUTED,
    AttemptResult.WRONG_INSTANCE,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.RESET,
    AttemptResult.TIMEOUT,
    AttemptResult.CANCELLED,
)
MAYBE_EXECUTED_RESULTS = (AttemptResult.SERVER_ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT)


@dataclass
class TrackedRequest:
    """State of one unfinished request, as the router should have it."""

    request: RoutingRequest
    server: str | None = None
    is_responding: bool = False
    trial: bool = False
    executed_attempts: int = 0
    received_attempts: int = 0
    attempts: int = 0
    servers: list[str] = field(default_factory=list)


class Schedule:
    """One random schedule, whose invariants are checked after every step."""

    def __init__(self, seed: int, patient: bool) -> None:
        self.draw = random.Random(seed)
        self.patient = patient  # whether targets are so long that urgency holds nothing back
        self.now = 0.0
        self.draining = False
        self.router = Router(random.Random(seed + 1).random, RouterTuning(zone="east"))
        self.tracked: dict[Ticket, TrackedRequest] = {}
        self.listed: dict[str, ServerEntry] = {}
        self.server_count = self.ticket_count = 0
        self.edges, self.connections = 6, self.draw.choice([3, 12, 48, 360])
        self.slack = self.draw.choice([0.0, 20.0, 300.0])
        self.request_times: list[float] = []
        self.retry_times: list[float] = []
        self.router.apply_retry_budget(0.2, 2.0, self.slack, self.edges)
        self.change_list()
        self.take(self.router.apply_limits(self.now, "svc", self.connections, self.edges))

    # --- events

    def play(self, events: int) -> None:
        steps = [self.submit] * 6 + [self.progress] * 8 + [self.cancel, self.wait, self.wait, self.tick]
        steps += [self.change_list] * self.draw.choice([0, 1]) + [self.change_limits] * self.draw.choice([0, 1])
        for _ in range(events):
            self.now += self.draw.expovariate(40.0)
            self.draw.choice(steps)()
            self.check()
        self.drain()

    def submit(self) -> None:
        self.ticket_count += 1
        target_s = 1e6 if self.patient else self.draw.choice([0.2, 0.6])
        parts = ()
        if self.draw.random() < 0.5:
            parts = (PromptPart(f"s{self.draw.randrange(5)}", 2000), PromptPart(f"o{self.ticket_count}", 1000))
        request = RoutingRequest(
            self.ticket_count,
            "svc",
            "r",
            1 if self.patient else self.draw.randrange(3),
            self.now + 4e6 * self.patient + 4,
            target_s,
            self.now,
            self.draw.choice([1, 2, 3]),
            self.draw.random() < 0.6,
            bool(parts),
            "m",
            parts,
            sum(part.tokens for part in parts),
        )
        self.tracked[request.ticket] = TrackedRequest(request)
        actions = self.router.route(self.now, request)
        if not any(isinstance(action, Reject) and action.reason.value == "no_servers" for action in actions):
            self.request_times.append(self.now)
        self.take(actions)

    def progress(self) -> None:
        in_flight = [ticket for ticket, tracked in self.tracked.items() if tracked.server is not None]
        if not in_flight:
            return
        tracked = self.tracked[self.draw.choice(in_flight)]
        server = tracked.server
        assert server is not None
        if not tracked.is_responding and self.draw.random() < 0.5:
            tracked.is_responding, tracked.trial = True, False
            self.take(self.router.report(self.now, tracked.request.ticket, server, AttemptResult.HEAD, False))
            return
        result = self.draw.choice(RESULTS)
        tracked.server, tracked.is_responding, tracked.trial = None, False, False
        tracked.executed_attempts += result in MAYBE_EXECUTED_RESULTS
        tracked.received_attempts += result is not AttemptResult.CONNECT_FAILED
        will_retry = result not in (AttemptResult.DONE, AttemptResult.CANCELLED) and (
            tracked.request.repeatable or tracked.executed_attempts == 0
        )
        ticket = tracked.request.ticket
        if not will_retry:
            del self.tracked[ticket]
        self.take(self.router.report(self.now, ticket, server, result, will_retry))

    def cancel(self) -> None:
        if self.tracked:
            ticket = self.draw.choice(list(self.tracked))
            del self.tracked[ticket]
            self.take(self.router.cancel(self.now, ticket))

    def wait(self) -> None:
        self.now += self.draw.choice([0.0, 0.05, 0.4])

    def tick(self) -> None:
        wake = self.router.next_wake()
        if wake is not None and (wake < self.now + 10.0 or self.draining):
            self.now = max(self.now, wake)
        self.take(self.router.tick(self.now))

    def change_list(self) -> None:
        entries = {name: entry for name, entry in self.listed.items() if self.draw.random() < 0.9}
        while len(entries) < self.draw.randrange(1, 7):
            self.server_count += 1
            name = f"s{self.server_count}"
            address = f"10.0.0.{self.draw.randrange(9)}:80"
            entries[name] = ServerEntry(name, address, "east", self.draw.choice([0, 6, 64]), True)
        self.listed = {
            name: ServerEntry(name, entry.address, entry.zone, entry.slots, entry.ready and self.draw.random() < 0.95)
            for name, entry in entries.items()
        }
        self.take(self.router.apply_servers(self.now, "svc", list(self.listed.values())))

    def change_limits(self) -> None:
        self.edges = self.draw.randrange(1, 8)
        self.router.apply_retry_budget(0.2, 2.0, self.slack, self.edges)
        self.take(self.router.apply_limits(self.now, "svc", self.connections, self.edges))

    def drain(self) -> None:
        """Finish all requests, and check that the router keeps no state of them."""
        self.draining = True
        for _ in range(10 * len(self.tracked) + 10):
            self.tick()
            self.check()
            for ticket in [ticket for ticket, tracked in self.tracked.items() if tracked.server is not None]:
                server = self.tracked.pop(ticket).server
                assert server is not None
                self.take(self.router.report(self.now, ticket, server, AttemptResult.DONE, False))
        assert not self.tracked, f"requests without a response: {list(self.tracked)}"
        service = self.router._services["svc"]
        assert not self.router._pending and not service.queue
        assert service.admission._in_flight == 0 and service.admission._pending_prefill_tokens == 0
        for server in service.pool.servers.values():
            assert (server.in_flight, server.responding, server.prefill_tokens, server.trial) == (0, 0, 0, False)

    # --- checks

    def take(self, actions: list[RoutingAction]) -> None:
        """Check actions and record them."""
        sent = []
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
                sent.append(action)
            elif isinstance(action, Reject):
                tracked = self.tracked.pop(action.ticket)  # raises KeyError if the request was finished before
                assert tracked.server is None, "rejected while at a server"
                assert action.retry_after_s >= 0.0
        for action in sent:
            server = self.server(action.server_id)
            at_server = [tracked for tracked in self.tracked.values() if tracked.server == action.server_id]
            trials = sum(tracked.trial for tracked in at_server)
            assert trials <= 1, "more than one trial"
            if not action.trial:
                assert len(at_server) <= server.concurrency_limit + trials, "above the concurrency limit"
            assert len(at_server) <= max(server.max_concurrency, 1), "above the maximum concurrency"

    def check_send(self, send: Send) -> None:
        tracked = self.tracked[send.ticket]
        entry = self.listed[send.server_id]
        assert tracked.server is None, "sent while at a server"
        assert entry.ready and entry.address == send.address
        assert send.server_id not in tracked.servers, "sent to the same server again"
        assert tracked.executed_attempts < tracked.request.max_attempts
        assert not tracked.executed_attempts or tracked.request.repeatable
        if tracked.received_attempts:
            self.retry_times.append(self.now)
            self.check_retries()
        elif self.patient and not tracked.attempts:
            self.check_order(tracked)
        tracked.server, tracked.is_responding, tracked.trial = send.server_id, False, send.trial
        tracked.servers.append(send.server_id)
        tracked.attempts += 1
        assert tracked.attempts <= tracked.request.max_attempts + EXTRA_UNEXECUTED_ATTEMPTS

    def check_order(self, sent: TrackedRequest) -> None:
        """Check that no request that arrived earlier still waits for its first attempt."""
        for tracked in self.tracked.values():
            if tracked.server is None and not tracked.attempts:
                assert tracked.request.arrived >= sent.request.arrived, "sent before a request that arrived earlier"

    def check_retries(self) -> None:
        since = self.now - 2.0
        retries = sum(at > since for at in self.retry_times)
        requests = sum(at > since for at in self.request_times)
        assert retries <= 0.75 * 0.2 * requests + 0.6 * self.slack / self.edges, "over the retry budget"

    def server(self, name: str) -> Server:
        return self.router._services["svc"].pool.servers[name]

    def check(self) -> None:
        pool = self.router._services["svc"].pool
        queue, retries = self.router._services["svc"].queue, self.router._services["svc"].retries
        for server in pool.servers.values():
            in_flight = [tracked for tracked in self.tracked.values() if tracked.server == server.id]
            assert server.in_flight == len(in_flight), (server.id, server.in_flight, len(in_flight))
            assert server.responding == sum(tracked.is_responding for tracked in in_flight)
            assert server.trial == any(tracked.trial for tracked in in_flight)
            assert 0 <= server.concurrency_limit <= server.max_concurrency <= max(1, self.connections // self.edges)
            assert (server in pool.with_capacity) == server.has_capacity()
            assert (server in pool.accepting_trials) <= (
                server.is_available and not server.trial and server.in_flight == server.concurrency_limit > 0
            )
            assert (server in pool.recovering) <= (
                server.is_available and not server.trial and server.concurrency_limit == 0
            )
        assert pool.available_count == sum(server.is_available for server in pool.servers.values())
        assert pool.active_count == sum(
            server.is_available and server.concurrency_limit > 0 for server in pool.servers.values()
        )
        waiting = {ticket for ticket, tracked in self.tracked.items() if tracked.server is None}
        assert set(retries) == {ticket for ticket in waiting if self.tracked[ticket].attempts}
        assert set(queue) == waiting - set(retries)
        if self.patient and queue and not self.draining:
            assert not pool.with_capacity and not pool.recovering and pool.active_count, (
                "queued although a server accepts requests"
            )


class RandomScheduleTest(unittest.TestCase):
    """Each request has one outcome, limits and order are kept, and no state remains."""

    def test_with_long_targets(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                Schedule(seed, patient=True).play(EVENTS)

    def test_with_short_targets_and_priorities(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                Schedule(10_000 + seed, patient=False).play(EVENTS)


if __name__ == "__main__":
    unittest.main()

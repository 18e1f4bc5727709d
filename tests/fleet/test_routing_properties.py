"""Invariants of the router under random schedules: hundreds of seeds, each with its own servers and faults."""

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
ENDS = (
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
RAN = (AttemptResult.SERVER_ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT)


@dataclass
class Known:
    """What the schedule knows of one request."""

    request: RoutingRequest
    server: str | None = None
    headed: bool = False
    trial: bool = False
    runs: int = 0
    arrivals: int = 0
    sends: int = 0
    servers: list[str] = field(default_factory=list)


class Schedule:
    """One random schedule, with the checks after every step."""

    def __init__(self, seed: int, patient: bool) -> None:
        self.draw = random.Random(seed)
        self.patient = patient  # targets so long that nothing is held back by urgency
        self.now = 0.0
        self.draining = False
        self.router = Router(random.Random(seed + 1).random, RouterTuning(zone="east"))
        self.known: dict[Ticket, Known] = {}
        self.listed: dict[str, ServerEntry] = {}
        self.servers_made = self.tickets = 0
        self.edges, self.connections = 6, self.draw.choice([3, 12, 48, 360])
        self.slack = self.draw.choice([0.0, 20.0, 300.0])
        self.requests_at: list[float] = []
        self.repeats_at: list[float] = []
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
        self.tickets += 1
        target = 1e6 if self.patient else self.draw.choice([0.2, 0.6])
        parts = ()
        if self.draw.random() < 0.5:
            parts = (PromptPart(f"s{self.draw.randrange(5)}", 2000), PromptPart(f"o{self.tickets}", 1000))
        request = RoutingRequest(
            self.tickets,
            "svc",
            "r",
            1 if self.patient else self.draw.randrange(3),
            self.now + 4e6 * self.patient + 4,
            target,
            self.now,
            self.draw.choice([1, 2, 3]),
            self.draw.random() < 0.6,
            bool(parts),
            "m",
            parts,
            sum(part.tokens for part in parts),
        )
        self.known[request.ticket] = Known(request)
        actions = self.router.route(self.now, request)
        if not any(isinstance(action, Reject) and action.reason.value == "no_servers" for action in actions):
            self.requests_at.append(self.now)
        self.take(actions)

    def progress(self) -> None:
        out = [ticket for ticket, known in self.known.items() if known.server is not None]
        if not out:
            return
        known = self.known[self.draw.choice(out)]
        server = known.server
        assert server is not None
        if not known.headed and self.draw.random() < 0.5:
            known.headed, known.trial = True, False
            self.take(self.router.report(self.now, known.request.ticket, server, AttemptResult.HEAD, False))
            return
        result = self.draw.choice(ENDS)
        known.server, known.headed, known.trial = None, False, False
        known.runs += result in RAN
        known.arrivals += result is not AttemptResult.CONNECT_FAILED
        again = result not in (AttemptResult.DONE, AttemptResult.CANCELLED) and (
            known.request.repeatable or known.runs == 0
        )
        ticket = known.request.ticket
        if not again:
            del self.known[ticket]
        self.take(self.router.report(self.now, ticket, server, result, again))

    def cancel(self) -> None:
        if self.known:
            ticket = self.draw.choice(list(self.known))
            del self.known[ticket]
            self.take(self.router.cancel(self.now, ticket))

    def wait(self) -> None:
        self.now += self.draw.choice([0.0, 0.05, 0.4])

    def tick(self) -> None:
        wake = self.router.next_wake()
        if wake is not None and (wake < self.now + 10.0 or self.draining):
            self.now = max(self.now, wake)
        self.take(self.router.tick(self.now))

    def change_list(self) -> None:
        kept = {name: entry for name, entry in self.listed.items() if self.draw.random() < 0.9}
        while len(kept) < self.draw.randrange(1, 7):
            self.servers_made += 1
            name = f"s{self.servers_made}"
            address = f"10.0.0.{self.draw.randrange(9)}:80"
            kept[name] = ServerEntry(name, address, "east", self.draw.choice([0, 6, 64]), True)
        self.listed = {
            name: ServerEntry(name, entry.address, entry.zone, entry.slots, entry.ready and self.draw.random() < 0.95)
            for name, entry in kept.items()
        }
        self.take(self.router.apply_servers(self.now, "svc", list(self.listed.values())))

    def change_limits(self) -> None:
        self.edges = self.draw.randrange(1, 8)
        self.router.apply_retry_budget(0.2, 2.0, self.slack, self.edges)
        self.take(self.router.apply_limits(self.now, "svc", self.connections, self.edges))

    def drain(self) -> None:
        """Everything comes to its end, and nothing of it is left."""
        self.draining = True
        for _ in range(10 * len(self.known) + 10):
            self.tick()
            self.check()
            for ticket in [ticket for ticket, known in self.known.items() if known.server is not None]:
                server = self.known.pop(ticket).server
                assert server is not None
                self.take(self.router.report(self.now, ticket, server, AttemptResult.DONE, False))
        assert not self.known, f"left without an answer: {list(self.known)}"
        service = self.router._services["svc"]
        assert not self.router._pending and not service.queue
        assert service.admission._in_flight == 0 and service.admission._pending_prefill_tokens == 0
        for server in service.pool.servers.values():
            assert (server.in_flight, server.responding, server.prefill_tokens, server.trial) == (0, 0, 0, False)

    # --- checks

    def take(self, actions: list[RoutingAction]) -> None:
        """Check actions, and note them."""
        sent = []
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
                sent.append(action)
            elif isinstance(action, Reject):
                known = self.known.pop(action.ticket)  # it was owed an answer
                assert known.server is None, "refused while it is at a server"
                assert action.retry_after_s >= 0.0
        for action in sent:
            server = self.server(action.server_id)
            outside = [known for known in self.known.values() if known.server == action.server_id]
            trials = sum(known.trial for known in outside)
            assert trials <= 1, "more than one trial"
            if not action.trial:
                assert len(outside) <= server.concurrency_limit + trials, "above the budget"
            assert len(outside) <= max(server.max_concurrency, 1), "above the limit"

    def check_send(self, send: Send) -> None:
        known = self.known[send.ticket]
        entry = self.listed[send.server_id]
        assert known.server is None, "sent while it is at a server"
        assert entry.ready and entry.address == send.address
        assert send.server_id not in known.servers, "sent to the same server again"
        assert known.runs < known.request.max_attempts
        assert not known.runs or known.request.repeatable
        if known.arrivals:
            self.repeats_at.append(self.now)
            self.check_retries()
        elif self.patient and not known.sends:
            self.check_order(known)
        known.server, known.headed, known.trial = send.server_id, False, send.trial
        known.servers.append(send.server_id)
        known.sends += 1
        assert known.sends <= known.request.max_attempts + EXTRA_UNEXECUTED_ATTEMPTS

    def check_order(self, sent: Known) -> None:
        """Nobody who was never sent and came earlier waits."""
        for known in self.known.values():
            if known.server is None and not known.sends:
                assert known.request.arrived >= sent.request.arrived, "overtaken"

    def check_retries(self) -> None:
        since = self.now - 2.0
        repeats = sum(at > since for at in self.repeats_at)
        requests = sum(at > since for at in self.requests_at)
        assert repeats <= 0.75 * 0.2 * requests + 0.6 * self.slack / self.edges, "over the retry budget"

    def server(self, name: str) -> Server:
        return self.router._services["svc"].pool.servers[name]

    def check(self) -> None:
        pool = self.router._services["svc"].pool
        line, repeats = self.router._services["svc"].queue, self.router._services["svc"].retries
        for server in pool.servers.values():
            out = [known for known in self.known.values() if known.server == server.id]
            assert server.in_flight == len(out), (server.id, server.in_flight, len(out))
            assert server.responding == sum(known.headed for known in out)
            assert server.trial == any(known.trial for known in out)
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
        waiting = {ticket for ticket, known in self.known.items() if known.server is None}
        assert set(repeats) == {ticket for ticket in waiting if self.known[ticket].sends}
        assert set(line) == waiting - set(repeats)
        if self.patient and line and not self.draining:
            assert not pool.with_capacity and not pool.recovering and pool.active_count, (
                "waits although it could be sent"
            )


class RandomScheduleTest(unittest.TestCase):
    """Each ticket gets exactly one answer, budgets hold, order is kept, nothing is left behind."""

    def test_without_pressure(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                Schedule(seed, patient=True).play(EVENTS)

    def test_under_pressure(self) -> None:
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                Schedule(10_000 + seed, patient=False).play(EVENTS)


if __name__ == "__main__":
    unittest.main()

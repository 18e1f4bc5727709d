"""Simulated clients of the operator's API: they time out, follow redirects and retry with backoff."""

from __future__ import annotations

from random import Random

from rosechute.control_plane.write_requests import write_request_digest
from rosechute.coordination import (
    NoConfiguration,
    Outcome,
    ReadResult,
    Redirect,
    VersionConflict,
    WriteAcknowledged,
    WriteRequest,
)
from tests.fleet.simulation.world import Machine, World

SILENCE_S = 1.0
REDIRECTS = 2


def order_of(base: int, version: int, body: bytes) -> WriteRequest:
    """Return the write request that replaces version `base` by a body."""
    return WriteRequest(0, base, version, body, write_request_digest(base, body))


class Operator:
    """A client with one call at a time, retried until its outcome is known."""

    def __init__(self, world: World, name: str, pause: tuple[float, float] = (0.05, 1.5)) -> None:
        self.world = world
        self.name = name
        self.pause = pause
        self.random = Random(world.random.random())
        self.known = 0  # newest version this operator has heard of
        self.stopped = False
        self.lose_answers = 0.0
        self.order: WriteRequest | None = None
        self.began = 0.0
        self.past: list[WriteRequest] = []
        self.waits: list[float] = []  # of acknowledged orders
        self._call = 0
        self._made = 0

    def start(self) -> None:
        self.world.after(self.random.uniform(*self.pause), self._begin)

    @property
    def busy(self) -> bool:
        return self.order is not None

    def _begin(self) -> None:
        if self.stopped:
            return
        draw = self.random.random()
        if draw < 0.2:
            self._read(0)
        elif draw < 0.3 and self.past:
            self.give_order(self.random.choice(self.past))
        else:
            self.give(self.known)

    def give(self, base: int, to: Machine | None = None) -> WriteRequest:
        """Send a new write on top of a base version."""
        self._made += 1
        version = base + self.random.randint(1, 3)
        body = f"{self.name} {self._made}: {version} on {base}".encode() + b"x" * self.random.randint(0, 50)
        order = order_of(base, version, body)
        self.give_order(order, to)
        return order

    def give_order(self, order: WriteRequest, to: Machine | None = None) -> None:
        """Send a write, a new one or one that was sent before."""
        self.order = order
        self.began = self.world.now
        self._try(0, 0, to)

    def _pick(self) -> Machine | None:
        there = [each for each in self.world.machines if not each.removed]
        return self.random.choice(there) if there else None

    def _try(self, tries: int, redirects: int, target: Machine | None) -> None:
        order = self.order
        if order is None:
            return
        self._call += 1
        call = self._call
        target = target or self._pick()
        if target is None or not target.up:
            self.world.after(0.01, self._next_try, call, tries)
            return
        request = WriteRequest(self.world.new_request(), order.base_version, order.version, order.body, order.digest)

        def answered(machine: Machine, outcome: Outcome) -> None:
            if self.random.random() >= self.lose_answers:
                wait = self.random.uniform(0.001, 0.005)
                self.world.after(wait, self._answered, call, tries, redirects, machine, outcome)

        self.world.after(self.random.uniform(0.001, 0.005), self.world.propose_write, target, request, answered)
        self.world.after(SILENCE_S, self._next_try, call, tries)

    def _next_try(self, call: int, tries: int) -> None:
        if call == self._call and self.order is not None:
            self._call += 1
            wait = min(0.05 * 2**tries, 0.8)
            self.world.after(wait, self._try_again, self._call, tries + 1)

    def _try_again(self, call: int, tries: int) -> None:
        if call == self._call:
            self._try(tries, 0, None)

    def _answered(self, call: int, tries: int, redirects: int, machine: Machine, outcome: Outcome) -> None:
        order = self.order
        if call != self._call or order is None:
            return
        if isinstance(outcome, WriteAcknowledged):
            self.known = max(self.known, outcome.version)
            self.waits.append(self.world.now - self.began)
            if order not in self.past:
                self.past.append(order)
            self._done()
        elif isinstance(outcome, VersionConflict):
            self._done()
            self._read(0)
        elif isinstance(outcome, Redirect) and redirects < REDIRECTS:
            self._try(tries, redirects + 1, self.world.by_control(outcome.control_address) or None)
        else:
            self._next_try(call, tries)

    def _done(self) -> None:
        self.order = None
        self._call += 1
        if not self.stopped:
            self.world.after(self.random.uniform(*self.pause), self._begin)

    # Reads

    def _read(self, redirects: int, target: Machine | None = None) -> None:
        target = target or self._pick()
        if target is None or not target.up:
            return self._after_read()

        def answered(machine: Machine, outcome: Outcome) -> None:
            if isinstance(outcome, ReadResult):
                self.known = max(self.known, outcome.version)
            if isinstance(outcome, Redirect) and redirects < REDIRECTS:
                self._read(redirects + 1, self.world.by_control(outcome.control_address))
            elif not isinstance(outcome, NoConfiguration):
                pass

        self.world.after(self.random.uniform(0.001, 0.005), self.world.read, target, answered)
        return self._after_read() if redirects == 0 else None

    def _after_read(self) -> None:
        if self.order is None and not self.stopped:
            self.world.after(self.random.uniform(*self.pause) + 0.02, self._begin_if_idle, self._call)

    def _begin_if_idle(self, call: int) -> None:
        if call == self._call and self.order is None:
            self._begin()

"""Invariants of the coordination, checked after every step from outside and by true time.

Each check is a method that raises `Violation`; `test_coordination_planted.py` shows for each that it can fail.
"""

from __future__ import annotations

import bisect
from collections.abc import Collection
from typing import TYPE_CHECKING

from rosechute.coordination import (
    CommittedConfiguration,
    LeadershipGained,
    LeadershipLost,
    NoConfiguration,
    Outcome,
    ReadResult,
    VersionConflict,
    View,
    WriteAcknowledged,
    WriteRequest,
)
from tests.fleet.simulation.observer import Observer, Violation
from tests.fleet.simulation.storage import mark_of

if TYPE_CHECKING:
    from tests.fleet.simulation.world import Machine, World

__all__ = ["History", "Violation"]

CLOCK_SLACK_S = 1e-6
LOOK_S = 0.2
ANSWER_WITHIN_S = 1.05  # of an order or a read, at a machine that runs


class History(Observer):
    """History of all writes and reads, and the checks on it."""

    def __init__(self, world: World, judged: Collection[str] | None = None) -> None:
        self.world = world
        self.judged = judged  # the checks that object; none: all
        self.next_look = 0.0
        world.observers.append(self)
        self.orders: dict[bytes, WriteRequest] = {}
        self.line: dict[int, bytes] = {}  # sequence -> digest
        self.place: dict[bytes, int] = {}  # digest -> sequence
        self.refused: set[bytes] = set()
        self.views: dict[int, View] = {}
        self.last_term = 0
        self.claims: set[Machine] = set()  # told that they hold the lease, and not that they lost it
        self.acknowledged_times: list[float] = []
        self.acknowledged_sequences: list[int] = []  # greatest so far, for each time above
        self.requests: dict[int, tuple[Machine, int, float, bytes | None, int]] = {}
        self.told: dict[str, tuple[int, int]] = {}  # machine -> boot, sequence
        self.seen_views: dict[str, tuple[int, int]] = {}
        self.acknowledgements = 0
        self.refusals = 0
        self.reads = 0
        self.longest_answer = 0.0

    def _object(self, check: str, text: str) -> None:
        if self.judged is None or check in self.judged:
            raise Violation(check, text)

    # Sequence of committed writes

    def newest_acknowledged(self) -> int:
        return self.acknowledged_sequences[-1] if self.acknowledged_sequences else 0

    def newest_version(self) -> int:
        """Return the version of the newest configuration that any machine reported as committed."""
        return self.orders[self.line[max(self.line)]].version if self.line else 0

    def on_committed(self, machine: Machine, configuration: CommittedConfiguration) -> None:
        boot, sequence = self.told.get(machine.control, (0, 0))
        if boot == machine.boots and configuration.sequence <= sequence:
            self._object("back", f"{machine.name} went from {sequence} to {configuration.sequence}")
        self.told[machine.control] = (machine.boots, configuration.sequence)
        self._in_line(machine, configuration.sequence, configuration.version, configuration.digest)

    def _in_line(self, machine: Machine, sequence: int, version: int, digest: bytes) -> None:
        known = self.line.get(sequence)
        if known is not None:
            if known != digest:
                self._object("line", f"{machine.name}: two configurations at {sequence}")
            return
        order = self.orders.get(digest)
        if order is None or order.version != version:
            self._object("line", f"{machine.name}: version {version} at {sequence} was never ordered")
            return
        if digest in self.place:
            self._object("twice", f"{machine.name}: order at {self.place[digest]} again at {sequence}")
        self._fits(machine, sequence, order)
        self.line[sequence] = digest
        self.place[digest] = sequence
        if digest in self.refused:
            self._object("refused", f"{machine.name}: refused version {version} is in force at {sequence}")

    def _fits(self, machine: Machine, sequence: int, order: WriteRequest) -> None:
        before = self.line.get(sequence - 1)
        base = self.orders[before].version if before is not None else (0 if sequence == 1 else None)
        after = self.line.get(sequence + 1)
        if base is not None and (order.base_version != base or order.version <= base):
            self._object("line", f"{machine.name}: version {order.version} at {sequence} builds on another one")
        if after is not None and self.orders[after].base_version != order.version:
            self._object("line", f"{machine.name}: version {order.version} at {sequence} doesn't fit what follows")

    # Requests

    def on_request(self, machine: Machine, request: int, order: WriteRequest | None) -> None:
        """Record a request that a process takes."""
        digest = order.digest if order is not None else None
        if order is not None:
            self.orders.setdefault(order.digest, order)
        self.requests[request] = (machine, machine.boots, self.world.now, digest, self.newest_acknowledged())

    def on_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        asked = self.requests.pop(request, None)
        if asked is None:
            self._object("answer", f"{machine.name}: request {request} was answered twice or never asked")
            return
        _, _, since, digest, floor = asked
        self.longest_answer = max(self.longest_answer, self.world.now - since)
        if isinstance(outcome, WriteAcknowledged) and digest is not None:
            self._acknowledged(machine, digest, outcome)
        elif isinstance(outcome, VersionConflict) and digest is not None:
            self._refused(machine, digest)
        elif isinstance(outcome, ReadResult):
            self.reads += 1
            self._in_line(machine, outcome.sequence, outcome.version, outcome.digest)
            if outcome.sequence < floor:
                self._object("read", f"{machine.name}: read {outcome.sequence}, {floor} was acknowledged before")
        elif isinstance(outcome, NoConfiguration):
            self.reads += 1
            if floor:
                self._object("read", f"{machine.name}: read nothing, {floor} was acknowledged before")

    def _acknowledged(self, machine: Machine, digest: bytes, outcome: WriteAcknowledged) -> None:
        self.acknowledgements += 1
        sequence = self.place.get(digest)
        if sequence is None:
            self._object("lost", f"{machine.name}: acknowledged {outcome.version}, which is not in the line")
            return
        if outcome.version != self.orders[digest].version:
            self._object("line", f"{machine.name}: acknowledged another version")
        if sequence > self.newest_acknowledged():
            self.acknowledged_times.append(self.world.now)
            self.acknowledged_sequences.append(sequence)

    def _refused(self, machine: Machine, digest: bytes) -> None:
        self.refusals += 1
        self.refused.add(digest)
        if digest in self.place:
            self._object("refused", f"{machine.name}: refused an order that is in force")
        order, newest = self.orders[digest], self.newest_version()
        if order.base_version == newest < order.version:
            self._object("proper", f"{machine.name}: refused {order.version} on top of {newest}, the newest")

    def on_boot(self, machine: Machine) -> None:
        self.on_end(machine)
        self._check_disk(machine)

    def _check_disk(self, machine: Machine) -> None:
        """Check that a process starts with everything that was reported as synced to an earlier one on its disk."""
        synced = machine.disk.synced
        if synced is None or machine.replica is None:
            return
        found = mark_of(machine.replica._context.replica_state)
        older = found.epoch < synced.epoch or found.tag < synced.tag or found.term < synced.term
        if found.epoch == synced.epoch and synced.promised is not None:
            older = older or found.promised is None or found.promised < synced.promised
        if older:
            self._object("disk", f"{machine.name}: started with {found}, {synced} was synced")

    def on_end(self, machine: Machine) -> None:
        """Forget the requests and the lease of a process that has ended."""
        self.claims.discard(machine)
        for request, asked in list(self.requests.items()):
            if asked[0] is machine:
                del self.requests[request]

    # Leader lease

    def on_lease(self, machine: Machine, action: LeadershipGained | LeadershipLost) -> None:
        if isinstance(action, LeadershipLost):
            self.claims.discard(machine)
            return
        self.claims.add(machine)
        if action.term <= self.last_term:
            self._object("term", f"{machine.name}: gained term {action.term} after {self.last_term}")
        self.last_term = action.term

    # After every step

    def check(self, machine: Machine) -> None:
        replica = machine.replica
        if replica is None:
            return
        self._check_lease(machine)
        self._check_view(machine, replica.view)
        self._check_freshness(machine)
        if self.world.now >= self.next_look:
            self.next_look = self.world.now + LOOK_S
            self.check_answered()

    def _check_lease(self, machine: Machine) -> None:
        """Check that at most one machine leads, by true time; one that doesn't run is judged by its own clock."""
        if machine.replica and machine.replica.is_leader(machine.now()) and machine not in self.claims:
            self._object("lease", f"{machine.name} holds the lease and has not told so")
        if len(self.claims) > 1:
            holders = [each.name for each in self.claims if each.replica and each.replica.is_leader(each.now())]
            if len(holders) > 1:
                self._object("lease", f"{sorted(holders)} hold the lease")

    def _check_view(self, machine: Machine, view: View) -> None:
        boot, epoch = self.seen_views.get(machine.control, (0, 0))
        if boot == machine.boots and epoch == view.epoch:
            return
        if boot == machine.boots and view.epoch < epoch:
            self._object("view", f"{machine.name}: went from epoch {epoch} to {view.epoch}")
        self.seen_views[machine.control] = (machine.boots, view.epoch)
        if view.epoch and self.views.setdefault(view.epoch, view) != view:
            self._object("view", f"{machine.name}: another view for epoch {view.epoch}")
        if len(view.chain) < view.majority and view.epoch:
            self._object("view", f"{machine.name}: chain of epoch {view.epoch} is shorter than a majority")

    def _check_freshness(self, machine: Machine) -> None:
        assert machine.replica is not None
        now = machine.now()
        fresh = machine.replica.freshness(now)
        if fresh is None:
            return
        sequence, age = fresh
        as_of = machine.clock.true(now - age) - CLOCK_SLACK_S
        place = bisect.bisect_right(self.acknowledged_times, as_of) - 1
        if place >= 0 and self.acknowledged_sequences[place] > sequence:
            newer = self.acknowledged_sequences[place]
            self._object("fresh", f"{machine.name}: {sequence} as of {as_of:.3f}, {newer} was acknowledged")

    def check_answered(self) -> None:
        """Check that no running process leaves a request without a reply for long."""
        for request, (machine, boot, since, _, _) in self.requests.items():
            if machine.running and machine.boots == boot and not machine.slept_since(since):
                waited = self.world.now - since
                if waited > ANSWER_WITHIN_S:
                    self._object("answer", f"{machine.name}: request {request} waits for {waited:.2f} s")

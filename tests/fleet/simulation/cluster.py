"""A formed cluster under all checkers, with the operations that scripted schedules consist of."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Collection, Iterable
from typing import Any

from rosechute.coordination import Outcome, Replica, View, WriteAcknowledged, WriteRequest
from tests.fleet.simulation.certainty import Certainty
from tests.fleet.simulation.checkers import History
from tests.fleet.simulation.operators import Operator
from tests.fleet.simulation.world import Machine, World

FORMED_S = 2.3


class Cluster:
    """A simulated world with its checkers."""

    def __init__(
        self, size: int = 3, seed: int = 1, judged: Collection[str] | None = None, compaction: float = 0.0
    ) -> None:
        self.world = World(seed, size)
        self.world.compaction = compaction
        self.history = History(self.world, judged)
        self.certainty = Certainty(self.world, self.history, judged)
        self.world.bootstrap()
        self.world.run_until(FORMED_S + (4.0 if size > 5 else 0.0))
        self._made = 0

    @property
    def machines(self) -> list[Machine]:
        return [each for each in self.world.machines if not each.removed]

    def replica(self, machine: Machine) -> Replica:
        assert machine.replica is not None
        return machine.replica

    def newest_view(self) -> View:
        return max((self.replica(each).view for each in self.machines if each.up), key=lambda view: view.epoch)

    def epoch(self) -> int:
        return self.newest_view().epoch

    def chain(self) -> list[Machine]:
        """Return the members of the newest chain that run, head first."""
        view = self.newest_view()
        by_id = {self.replica(each).identity.id: each for each in self.machines if each.up}
        return [by_id[each] for each in view.chain if each in by_id]

    def role(self, name: str) -> Machine:
        """Return the machine in a role: `head`, `middle`, `tail` or `leader`."""
        if name == "leader":
            leader = self.leader()
            assert leader is not None
            return leader
        chain = self.chain()
        return {"head": chain[0], "middle": chain[len(chain) // 2], "tail": chain[-1]}[name]

    def leader(self) -> Machine | None:
        holders = [each for each in self.machines if each.replica and each.replica.is_leader(each.now())]
        return holders[0] if holders else None

    def run(self, duration: float) -> None:
        self.world.run_for(duration)

    def run_until(self, condition: Callable[[], Any], limit: float = 5.0) -> bool:
        return self.world.run_while(lambda: not condition(), limit)

    def run_until_epoch(self, epoch: int, limit: float = 5.0) -> bool:
        return self.run_until(lambda: self.epoch() >= epoch, limit)

    # Writes and reads at a chosen machine, without retries

    def version(self) -> int:
        return self.history.newest_version()

    def make(self, base: int | None = None, version: int | None = None) -> WriteRequest:
        self._made += 1
        base = self.version() if base is None else base
        version = base + 1 if version is None else version
        body = f"schedule {self._made}: {version} on {base}".encode()
        return WriteRequest(0, base, version, body, hashlib.sha256(body).digest())

    def propose_write(self, machine: Machine, order: WriteRequest) -> list[Outcome]:
        """Send a write request once; its outcome is appended to the list that is returned."""
        request = WriteRequest(self.world.new_request(), order.base_version, order.version, order.body, order.digest)
        outcomes: list[Outcome] = []
        self.world.propose_write(machine, request, lambda _, outcome: outcomes.append(outcome))
        return outcomes

    def read(self, machine: Machine) -> list[Outcome]:
        outcomes: list[Outcome] = []
        self.world.read(machine, lambda _, outcome: outcomes.append(outcome))
        return outcomes

    def settle(self, order: WriteRequest | None = None) -> WriteRequest:
        """Write at the head and return the request; it has to be acknowledged within 0.5 s."""
        order = order or self.make()
        outcomes = self.propose_write(self.role("head"), order)
        self.run(0.5)
        assert outcomes == [WriteAcknowledged(order.version)], outcomes
        return order

    def restart(self, machines: Iterable[Machine]) -> None:
        """Kill processes, and restart each at once from its disk."""
        for machine in machines:
            machine.kill()
            machine.start()

    def operate(self, limit: float = 4.0) -> float:
        """Write as an operator does, with redirects and retries; return the seconds until the acknowledgement."""
        operator = Operator(self.world, f"operator {self.world.now}", (0.0, 0.0))
        operator.stopped = True
        began = self.world.now
        while not operator.waits:
            if not operator.busy:
                operator.give(self.version())
            if not self.world.run_while(lambda: operator.busy, began + limit - self.world.now):
                raise AssertionError(f"no order was acknowledged within {limit} s")
        return self.world.now - began


def kind(message: Any) -> str:
    """Return the name of the message's body field."""
    return str(message.WhichOneof("body"))

"""The simulated world: true time, machines with clocks and disks, and the network between them."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from rosechute.coordination import (
    Action,
    Answer,
    Committed,
    LeaseGained,
    LeaseLost,
    Order,
    Outcome,
    Persist,
    Replica,
    ReplicaConfig,
    Send,
)

SYNC_S = 0.005
TICK_S = 0.05


@dataclass
class Clock:
    """A machine's steady clock: its own zero and a rate that is slightly off."""

    offset: float
    rate: float

    def at(self, true: float) -> float:
        return self.offset + true * self.rate

    def true(self, local: float) -> float:
        return (local - self.offset) / self.rate


@dataclass
class Batch:
    token: int
    records: list[bytes]
    boot: int
    replaces: bool


@dataclass
class SimulatedDisk:
    """Records in order; batches are written and synced one after the other."""

    records: list[bytes] = field(default_factory=list)  # synced
    queue: list[Batch] = field(default_factory=list)  # first: under way
    sync_s: float = SYNC_S
    hung: bool = False
    full: bool = False
    generation: int = 0  # of the queue: raised when the process or the power ends


class Machine:
    """One core machine: its settings, disk and clock, and the process on it while there is one."""

    def __init__(self, world: World, name: str, address: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.control = f"{address}:8367"
        self.peer = f"{address}:7500"
        self.disk = SimulatedDisk()
        self.clock = Clock(world.random.uniform(0, 1000), world.random.uniform(0.995, 1.005))
        self.replica: Replica | None = None
        self.boots = 0
        self.frozen = False
        self.removed = False
        self.thawed_at = -1.0
        self.clock_step = 0.0  # planted: a clock that is not steady
        self.backlog: list[Callable[[Replica], list[Action]]] = []
        self.draws = random.Random(world.random.random())

    @property
    def up(self) -> bool:
        return self.replica is not None

    @property
    def running(self) -> bool:
        return self.replica is not None and not self.frozen

    def now(self) -> float:
        """The steady clock as the process reads it."""
        return self.clock.at(self.world.now) + self.clock_step

    def slept_since(self, when: float) -> bool:
        """Whether the machine was frozen at some time since then."""
        return self.thawed_at >= when

    def start(self, bootstrap: bool = False) -> None:
        """Start the process on what the disk holds."""
        assert self.replica is None and not self.removed
        self.boots += 1
        config = ReplicaConfig(
            self.name, self.zone, self.control, self.peer, bootstrap, tuple(self.world.seeds()), self.world.timing
        )
        self.replica = self.world.make_replica(config, list(self.disk.records), self.now(), self.draws.random)
        self.world.on_boot(self)
        self.run(lambda replica: replica.start(self.now()))
        self.world.after(self.world.random.uniform(0, TICK_S), self._tick, self.boots)

    def kill(self) -> None:
        """End the process; what it had written stays, as far as the disk had come."""
        self._end()
        if not self.disk.hung and not self.disk.full:
            self._keep_part()
        self._clear_queue()

    def power_loss(self) -> None:
        """End the process; of what was not synced, a part from its start may be there."""
        self._end()
        if self.world.random.random() < 0.6 and not self.disk.full:
            self._keep_part()
        self._clear_queue()

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self._end()
        self._clear_queue()
        self.disk.records = []

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        """Go on; what came meanwhile is handled before or after the next tick."""
        if not self.frozen:
            return
        self.frozen = False
        self.thawed_at = self.world.now
        backlog, self.backlog = self.backlog, []
        if self.replica is not None:
            if self.world.random.random() < 0.5:
                self.run(lambda replica: replica.tick(self.now()))
            for call in backlog:
                self.run(call)

    def run(self, call: Callable[[Replica], list[Action]]) -> None:
        """Let the process handle something, now or after its freeze."""
        if self.replica is None:
            return
        if self.frozen:
            self.backlog.append(call)
            return
        for action in call(self.replica):
            self._do(action)
        self.world.check(self)

    def _end(self) -> None:
        if self.replica is not None:
            self.world.on_end(self)
        self.replica = None
        self.frozen = False
        self.backlog = []

    def _keep_part(self) -> None:
        """Of what was not synced, a part from its start is there; a new slot is there whole or not at all."""
        queue, random = self.disk.queue, self.world.random
        for batch in queue[: random.randint(0, len(queue))]:
            whole = batch.replaces or random.random() < 0.5
            if batch.replaces:
                self.disk.records = list(batch.records)
            else:
                self.disk.records += batch.records[: None if whole else random.randint(0, len(batch.records))]
            if not whole:
                return

    def _clear_queue(self) -> None:
        self.disk.queue = []
        self.disk.generation += 1

    def _tick(self, boot: int) -> None:
        if boot != self.boots or self.replica is None:
            return
        if not self.frozen:
            self.run(lambda replica: replica.tick(self.now()))
        self.world.after(self.world.random.uniform(0.8, 1.0) * TICK_S, self._tick, boot)

    def _do(self, action: Action) -> None:
        world = self.world
        if isinstance(action, Send):
            world.network.send(self, action.address, action.message)
        elif isinstance(action, Persist):
            self._persist(action)
        elif isinstance(action, Answer):
            world.on_answer(self, action.request, action.outcome)
        elif isinstance(action, Committed):
            world.on_committed(self, action)
        elif isinstance(action, LeaseGained | LeaseLost):
            world.on_lease(self, action)

    # Disk

    def _persist(self, action: Persist) -> None:
        self.disk.queue.append(Batch(action.token, action.records, self.boots, action.replaces))
        if self.world.skip_sync:
            self.world.after(0.0, self._told, self.boots, action.token, True)
        if len(self.disk.queue) == 1:
            self._write_next()

    def _write_next(self) -> None:
        if self.disk.queue and not self.disk.hung:
            wait = self.disk.sync_s * self.world.random.uniform(0.6, 1.6)
            self.world.after(wait, self._written, self.disk.generation, self.disk.queue[0].token)

    def _written(self, generation: int, token: int) -> None:
        disk = self.disk
        if generation != disk.generation or not disk.queue or disk.queue[0].token != token:
            return
        if disk.hung:
            return  # goes on when the disk works again
        batch = disk.queue.pop(0)
        if disk.full:
            part = 0 if batch.replaces else self.world.random.randint(0, len(batch.records) - 1)
            disk.records += batch.records[:part]
        else:
            disk.records = batch.records if batch.replaces else disk.records + batch.records
            self._compact()
        self._told(batch.boot, token, not disk.full)
        self._write_next()

    def _compact(self) -> None:
        """Now and then the log is replaced by the whole state."""
        if self.replica is not None and self.world.random.random() < self.world.compaction:
            self.disk.records = self.replica.snapshot()

    def _told(self, boot: int, token: int, good: bool) -> None:
        if boot != self.boots:
            return
        if good:
            self.run(lambda replica: replica.persisted(self.now(), token))
        else:
            self.run(lambda replica: replica.persist_failed(self.now(), token))

    def hang_disk(self, hung: bool) -> None:
        self.disk.hung = hung
        if not hung:
            self.disk.generation += 1
            self._write_next()


class Network:
    """Links between core machines. Each keeps the order of its messages; a cut drops or holds them."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.delay = (0.0005, 0.004)
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()  # (from, to) by control address
        self.held: dict[tuple[str, str], list[Any]] = {}
        self._last: dict[tuple[str, str], float] = {}
        self.sent = 0
        self.intercept: Callable[[Machine, Machine, Any], bool] | None = None  # True: the schedule takes it

    def send(self, source: Machine, address: str, message: Any) -> None:
        world = self.world
        target = world.by_peer(address)
        self.sent += 1
        if target is None or not target.up:
            return
        if self.intercept is not None and self.intercept(source, target, message):
            return
        link = (source.control, target.control)
        if link in self.cuts:
            if world.random.random() < 0.5:
                self.held.setdefault(link, []).append((target, target.boots, message))
            return
        if self.loss and world.random.random() < self.loss:
            return
        at = max(world.now + world.random.uniform(*self.delay), self._last.get(link, 0.0))
        self._last[link] = at
        world.at(at, self._deliver, target, target.boots, message)

    def capture(self, matches: Callable[[Machine, Machine, Any], bool]) -> list[tuple[Machine, Any]]:
        """Take messages off the links from here on, with their targets, until `release`."""
        taken: list[tuple[Machine, Any]] = []

        def intercept(source: Machine, target: Machine, message: Any) -> bool:
            if not matches(source, target, message):
                return False
            taken.append((target, message))
            return True

        self.intercept = intercept
        return taken

    def release(self, taken: list[tuple[Machine, Any]]) -> None:
        """Deliver what was taken, late."""
        self.intercept = None
        for target, message in taken:
            self.world.after(0.001, self._deliver, target, target.boots, message)

    def _deliver(self, target: Machine, boot: int, message: Any) -> None:
        # A message for a process that has ended may reach its successor, over the next connection.
        if target.boots == boot or self.world.random.random() < 0.3:
            target.run(lambda replica: replica.receive(target.now(), message))

    def cut(self, source: Machine, target: Machine) -> None:
        self.cuts.add((source.control, target.control))

    def cut_off(self, machine: Machine, inward: bool = True, outward: bool = True) -> None:
        """Cut a machine off from all others, in one direction or both."""
        for other in self.world.machines:
            if other is not machine:
                if outward:
                    self.cut(machine, other)
                if inward:
                    self.cut(other, machine)

    def heal(self, machine: Machine | None = None) -> None:
        """Join the links again, of one machine or all; held bytes arrive, or went with their connection."""
        for link in sorted(self.cuts):
            if machine is None or machine.control in link:
                self.cuts.discard(link)
                held = self.held.pop(link, [])
                if self.world.random.random() < 0.5:
                    for target, boot, message in held:
                        self.world.after(self.world.random.uniform(0.001, 0.01), self._deliver, target, boot, message)


class World:
    """True time and everything in it."""

    def __init__(self, seed: int, size: int = 3, timing: Any = None) -> None:
        from rosechute.coordination import Timing

        self.random = random.Random(seed)
        self.now = 0.0
        self.timing = timing or Timing()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._counter = itertools.count()
        self.network = Network(self)
        self.machines: list[Machine] = []
        self.skip_sync = False  # planted: writes are told to be synced at once
        self.compaction = 0.03  # share of the syncs that are followed by a new whole record
        self.make_replica: Callable[..., Replica] = Replica
        self.observers: list[Any] = []
        self.answers: dict[int, Callable[[Machine, Outcome], None]] = {}
        self._request = itertools.count(1)
        for number in range(size):
            self.add_machine(f"core-{number}", f"10.0.{number}.1")
        self.seed_list = [(each.control, each.peer) for each in self.machines[:3]]

    def seeds(self) -> Iterable[tuple[str, str]]:
        return self.seed_list

    def add_machine(self, name: str, address: str) -> Machine:
        machine = Machine(self, name, address, f"zone-{len(self.machines) % 3}")
        self.machines.append(machine)
        return machine

    def bootstrap(self) -> None:
        """Start all machines for the first time, within 0.3 s."""
        for machine in list(self.machines):
            self.after(self.random.uniform(0, 0.3), machine.start, True)

    def by_peer(self, address: str) -> Machine | None:
        found = [each for each in self.machines if each.peer == address and not each.removed]
        return found[-1] if found else None

    def by_control(self, address: str) -> Machine | None:
        found = [each for each in self.machines if each.control == address and not each.removed]
        return found[-1] if found else None

    # Events

    def at(self, when: float, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (when, next(self._counter), call, arguments))

    def after(self, wait: float, call: Callable[..., None], *arguments: Any) -> None:
        self.at(self.now + wait, call, *arguments)

    def run_until(self, when: float) -> None:
        while self._events and self._events[0][0] <= when:
            self.step()
        self.now = max(self.now, when)

    def run_for(self, duration: float) -> None:
        self.run_until(self.now + duration)

    def run_while(self, condition: Callable[[], bool], limit: float) -> bool:
        """Run until the condition is false; False where the limit comes first."""
        end = self.now + limit
        while condition():
            if not self._events or self._events[0][0] > end:
                self.now = max(self.now, end)
                return False
            self.step()
        return True

    def step(self) -> None:
        when, _, call, arguments = heapq.heappop(self._events)
        self.now = max(self.now, when)
        call(*arguments)

    # Requests of operators

    def submit(self, machine: Machine, order: Order, answered: Callable[[Machine, Outcome], None]) -> None:
        """An order reaches a machine; nothing comes back where no process runs."""
        self.answers[order.request] = answered

        def call(replica: Replica) -> list[Action]:
            self.on_request(machine, order.request, order)
            return replica.submit(machine.now(), order)

        machine.run(call)

    def read(self, machine: Machine, answered: Callable[[Machine, Outcome], None]) -> None:
        """A read reaches a machine."""
        request = self.new_request()
        self.answers[request] = answered

        def call(replica: Replica) -> list[Action]:
            self.on_request(machine, request, None)
            return replica.read(machine.now(), request)

        machine.run(call)

    def new_request(self) -> int:
        return next(self._request)

    # What the processes tell

    def check(self, machine: Machine) -> None:
        for observer in self.observers:
            observer.check(machine)

    def on_boot(self, machine: Machine) -> None:
        for observer in self.observers:
            observer.on_boot(machine)

    def on_end(self, machine: Machine) -> None:
        for observer in self.observers:
            observer.on_end(machine)

    def on_request(self, machine: Machine, request: int, order: Order | None) -> None:
        for observer in self.observers:
            observer.on_request(machine, request, order)

    def on_answer(self, machine: Machine, request: int, outcome: Outcome) -> None:
        for observer in self.observers:
            observer.on_answer(machine, request, outcome)
        answered = self.answers.pop(request, None)
        if answered is not None:
            answered(machine, outcome)

    def on_committed(self, machine: Machine, action: Committed) -> None:
        for observer in self.observers:
            observer.on_committed(machine, action.configuration)

    def on_lease(self, machine: Machine, action: LeaseGained | LeaseLost) -> None:
        for observer in self.observers:
            observer.on_lease(machine, action)

"""The explored world: machines, disks, links and true time, changed by single steps that the search chooses.

The machines and the history are objects that stay; `save` takes their state, and `load` puts it back. A saved state
never changes, and shares with others what is the same. Nothing here is random: a process draws one fixed number of
its own, the clocks have fixed rates.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace
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
    Timing,
)
from rosechute.messages.coordination_pb2 import CoreMessage, Heartbeat
from tests.fleet.exploration.invariants import Ledger
from tests.fleet.exploration.packing import Draw, pack, unpack
from tests.fleet.simulation.machine import Clock

TICK_S = 0.05
HOP_S = 0.005  # in calm: all that is on its way or being synced comes to its end in this time
SLOW_RATE, FAST_RATE = 0.97, 1.05  # of the clocks; their ratio is within what the lease's margin allows
DRAW_OF_MACHINE, DRAW_OF_BOOT = 0.23, 0.013  # apart, so that two candidates don't ask at the same time for ever
UNPACKED = b""  # stands for a process that has changed since it was packed

Link = tuple[int, int]  # numbers of the sender and of the receiver


@dataclass(frozen=True, slots=True)
class Batch:
    """Records that are being written."""

    token: int
    records: tuple[bytes, ...]
    replaces: bool


@dataclass(frozen=True, slots=True)
class MachineState:
    """Everything about one machine. `packed` is its process; None while there is none."""

    packed: bytes | None = None
    boots: int = 0
    frozen: bool = False
    hung: bool = False  # its disk: nothing is written until it works again
    removed: bool = False
    thawed_at: float = -1.0
    next_tick: float = 0.0
    records: tuple[bytes, ...] = ()
    queue: tuple[Batch, ...] = ()


@dataclass(frozen=True, slots=True)
class Saved:
    """A state of the world."""

    now: float
    machines: tuple[MachineState, ...]
    links: dict[Link, tuple[CoreMessage, ...]]
    cuts: frozenset[Link]
    used: frozenset[str]  # calls of operators that were made
    ledger: dict[str, Any]

    def key(self) -> int:
        """A hash of what matters for what can follow."""
        links = tuple(
            (link, tuple(each.SerializeToString(deterministic=True) for each in queue))
            for link, queue in sorted(self.links.items())
        )
        return hash((self.now, self.machines, links, self.cuts, self.used, Ledger.key(self.ledger)))


class Machine:
    """One core machine: what the checkers look at, and its state."""

    def __init__(self, world: World, number: int, name: str) -> None:
        self.world = world
        self.number = number
        self.name = name
        self.control = f"10.0.{number}.1:8367"
        self.peer = f"10.0.{number}.1:7500"
        self.clock = Clock(100.0 * (number + 1), FAST_RATE if number else SLOW_RATE)
        self.state = MachineState()
        self._replica: Replica | None = None
        self._replica_of: bytes | None = None  # the packed state that `_replica` is a copy of

    # What the checkers look at

    @property
    def replica(self) -> Replica | None:
        """The process, to be looked at only."""
        packed = self.state.packed
        if packed and packed is not self._replica_of:
            self._replica, self._replica_of = unpack(packed), packed
        return self._replica if packed is not None else None

    @property
    def up(self) -> bool:
        return self.state.packed is not None

    @property
    def boots(self) -> int:
        return self.state.boots

    @property
    def frozen(self) -> bool:
        return self.state.frozen

    @property
    def running(self) -> bool:
        return self.up and not self.frozen

    @property
    def works(self) -> bool:
        """Whether its process runs and its disk writes."""
        return self.running and not self.state.hung

    def now(self) -> float:
        """The steady clock of the machine."""
        return self.clock.at(self.world.now)

    def slept_since(self, when: float) -> bool:
        """Whether the machine was frozen at some time since then."""
        return self.state.thawed_at >= when

    # State

    def save(self) -> MachineState:
        """The state as it is; it never changes."""
        if self.state.packed == UNPACKED:
            assert self._replica is not None
            self._replica_of = pack(self._replica)
            self.change(packed=self._replica_of)
        return self.state

    def load(self, state: MachineState) -> None:
        """Go back to a state."""
        if self.state.packed == UNPACKED:
            self._replica_of = None
        self.state = state

    def change(self, **changes: Any) -> None:
        """Change parts of the state."""
        self.state = replace(self.state, **changes)

    # Steps

    def start(self, bootstrap: bool = False) -> None:
        """Start a process on what the disk holds."""
        boots = self.boots + 1
        zone, world = f"zone-{self.number % 3}", self.world
        config = ReplicaConfig(
            self.name, zone, self.control, self.peer, bootstrap, world.seeds, world.timing
        )
        draw = Draw((DRAW_OF_MACHINE * self.number + DRAW_OF_BOOT * boots) % 1.0)
        self._replica = self.world.make_replica(config, list(self.state.records), self.now(), draw)
        self.change(boots=boots, frozen=False, queue=(), next_tick=self.world.now + TICK_S, packed=UNPACKED)
        self.world.ledger.on_boot(self)
        self.run(lambda replica: replica.start(self.now()))

    def stop(self, kept: int) -> None:
        """End the process; of the batches that were being written, so many reached the disk."""
        for batch in self.state.queue[:kept]:
            self._write(batch)
        self.world.ledger.on_end(self)
        self._replica, self._replica_of = None, None
        self.change(packed=None, frozen=False, hung=False, queue=())

    def wipe(self) -> None:
        """Lose the disk, and the process with it."""
        self.stop(0)
        self.change(records=())
        self.world.ledger.on_wipe(self)

    def run(self, call: Callable[[Replica], list[Action]]) -> None:
        """Let the process handle something."""
        replica = self.replica
        assert replica is not None
        if self.state.packed != UNPACKED:
            self.change(packed=UNPACKED)
        for action in call(replica):
            self._do(action)
        self.world.ledger.check(self)

    def sync(self) -> None:
        """The oldest batch reaches the disk, and the process is told."""
        batch = self.state.queue[0]
        self._write(batch)
        self.change(queue=self.state.queue[1:])
        self.run(lambda replica: replica.persisted(self.now(), batch.token))

    def refuse(self) -> None:
        """The disk refuses the oldest batch, and all behind it: a snapshot has to come first."""
        batch = self.state.queue[0]
        self.change(queue=())
        self.run(lambda replica: replica.persist_failed(self.now(), batch.token))

    def snapshot(self) -> None:
        """A snapshot of the whole state takes the place of the newest batch; without one, of the log at once."""
        assert self.replica is not None
        records, queue = tuple(self.replica.snapshot()), self.state.queue
        if queue:
            self.change(queue=(*queue[:-1], Batch(queue[-1].token, records, replaces=True)))
        else:
            self._set_records(records)

    def tick(self) -> None:
        self.change(next_tick=self.world.now + TICK_S)
        self.run(lambda replica: replica.tick(self.now()))

    def receive(self, source: int, message: CoreMessage) -> None:
        self.world.ledger.on_heard(self, source)
        self.run(lambda replica: replica.receive(self.now(), message))

    def _do(self, action: Action) -> None:
        world = self.world
        if isinstance(action, Send):
            world.send(self, action.address, action.message)
        elif isinstance(action, Persist):
            batch = Batch(action.token, tuple(action.records), action.replaces)
            self.change(queue=(*self.state.queue, batch))
        elif isinstance(action, Answer):
            world.answered(self, action.request, action.outcome)
        elif isinstance(action, Committed):
            world.ledger.on_committed(self, action.configuration)
        elif isinstance(action, LeaseGained | LeaseLost):
            world.ledger.on_lease(self, action)

    def _write(self, batch: Batch) -> None:
        before = () if batch.replaces else self.state.records
        self._set_records((*before, *batch.records))

    def _set_records(self, records: tuple[bytes, ...]) -> None:
        self.change(records=records)
        self.world.ledger.on_written(self)


class World:
    """True time, the machines and the links between them."""

    def __init__(self, size: int, timing: Timing | None = None, judged: Collection[str] | None = None) -> None:
        self.now = 0.0
        self.timing = timing or Timing()
        self.machines: list[Machine] = []
        self.make_replica: Callable[..., Replica] = Replica
        self.links: dict[Link, tuple[CoreMessage, ...]] = {}
        self.cuts: frozenset[Link] = frozenset()
        self.used: frozenset[str] = frozenset()
        self.observers: list[Any] = []  # the history enters itself here
        self.outcomes: dict[int, Outcome] = {}
        self.ledger = Ledger(self, judged)
        for number in range(size):
            self.add_machine(f"core-{number}")
        self.seeds = tuple((each.control, each.peer) for each in self.machines[:3])

    def add_machine(self, name: str) -> Machine:
        machine = Machine(self, len(self.machines), name)
        self.machines.append(machine)
        return machine

    # Saved states

    def save(self) -> Saved:
        """The state as it is; it never changes."""
        states = tuple(each.save() for each in self.machines)
        links = {link: queue for link, queue in self.links.items() if queue}
        return Saved(self.now, states, links, self.cuts, self.used, self.ledger.save())

    def load(self, saved: Saved) -> None:
        """Go back to a state."""
        self.now = saved.now
        for machine, state in zip(self.machines, saved.machines, strict=True):
            machine.load(state)
        self.links = dict(saved.links)
        self.cuts, self.used = saved.cuts, saved.used
        self.ledger.load(saved.ledger)

    # Links

    def send(self, source: Machine, address: str, message: CoreMessage) -> None:
        """Put a message behind the others of its link. A heartbeat that tells nothing new but its stamps takes the
        place of the one right before it."""
        target = next((each for each in self.machines if each.peer == address), None)
        if target is None or target.state.removed:
            return
        self.ledger.on_sent(source, message)
        link = (source.number, target.number)
        queue = self.links.get(link, ())
        if queue and _tells_the_same(queue[-1], message):
            queue = queue[:-1]
        self.links[link] = (*queue, message)

    def deliverable(self) -> list[Link]:
        """The links whose next message can come now."""
        return [
            link
            for link, queue in sorted(self.links.items())
            if queue and link not in self.cuts and self.machines[link[1]].running
        ]

    def deliver(self, link: Link) -> None:
        """The next message of a link comes."""
        message = self.take(link)
        self.machines[link[1]].receive(link[0], message)

    def take(self, link: Link) -> CoreMessage:
        """Take the next message off a link."""
        message, *rest = self.links[link]
        self.links[link] = tuple(rest)
        return message

    def cut_off(self, machine: Machine, inward: bool, outward: bool) -> None:
        """Hold what a machine is sent, what it sends, or both."""
        links = set()
        for other in self.machines:
            if other is not machine:
                links |= {(other.number, machine.number)} if inward else set()
                links |= {(machine.number, other.number)} if outward else set()
        self.cuts |= links

    def heal(self, keep: bool) -> None:
        """Join the links again; what they held comes late, or is lost with its connection."""
        if not keep:
            for link in self.cuts:
                self.links.pop(link, None)
        self.cuts = frozenset()

    # Operators

    def submit(self, machine: Machine, order: Order) -> None:
        def call(replica: Replica) -> list[Action]:
            self.ledger.on_request(machine, order.request, order)
            return replica.submit(machine.now(), order)

        machine.run(call)

    def read(self, machine: Machine, request: int) -> None:
        def call(replica: Replica) -> list[Action]:
            self.ledger.on_request(machine, request, None)
            return replica.read(machine.now(), request)

        machine.run(call)

    def answered(self, machine: Machine, request: int, outcome: Outcome) -> None:
        self.outcomes[request] = outcome
        self.ledger.on_answer(machine, request, outcome)

    # Time

    def pass_time(self, seconds: float) -> None:
        """Time passes and the machines that run tick, in turn; nothing is delivered or synced."""
        self.now += seconds
        for machine in self.machines:
            if machine.running:
                machine.tick()
        self.ledger.check_answered()

    def calm(self, seconds: float) -> None:
        """Time passes in the usual way: messages come and disks work, but for what is cut, frozen or down."""
        for _ in self.calm_moments(seconds):
            pass
        self.ledger.check_answered()

    def calm_moments(self, seconds: float) -> Iterator[float]:
        """The same, moment by moment."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self._next_moment())
            self._moment()
            yield self.now

    def _next_moment(self) -> float:
        if self.deliverable() or any(each.works and each.state.queue for each in self.machines):
            return self.now + HOP_S
        ticks = [each.state.next_tick for each in self.machines if each.running]
        return max(self.now, min(ticks, default=self.now + TICK_S))  # a tick that fell into a freeze comes at once

    def _moment(self) -> None:
        counts = {link: len(self.links[link]) for link in self.deliverable()}
        for machine in self.machines:
            for _ in machine.state.queue if machine.works else ():
                if machine.state.queue:
                    machine.sync()
        for link, count in counts.items():
            for _ in range(min(count, len(self.links[link]))):
                self.deliver(link)
        for machine in self.machines:
            if machine.running and machine.state.next_tick <= self.now:
                machine.tick()
        for link, queue in self.links.items():
            if queue and not self.machines[link[1]].up:
                self.links[link] = ()


def _tells_the_same(before: CoreMessage, message: CoreMessage) -> bool:
    if before.WhichOneof("body") != "heartbeat" or message.WhichOneof("body") != "heartbeat":
        return False
    return before.boot == message.boot and _without_stamps(before.heartbeat) == _without_stamps(message.heartbeat)


def _without_stamps(beat: Heartbeat) -> Heartbeat:
    plain = Heartbeat()
    plain.CopyFrom(beat)
    plain.stamp = plain.echo = 0.0
    return plain

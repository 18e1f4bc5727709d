"""A machine of the explored world: its process, disk and clock.

The machines are objects that stay, as the checkers know them; `save` takes their state, and `load` puts it back. A
saved state never changes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from rosechute.coordination import (
    Action,
    ConfigurationCommitted,
    LeadershipGained,
    LeadershipLost,
    PersistRecords,
    Replica,
    ReplicaConfig,
    Reply,
    SendMessage,
)
from rosechute.messages.coordination_pb2 import CoreMessage
from tests.fleet.exploration.packing import Draw, pack, unpack
from tests.fleet.simulation.machine import Clock

if TYPE_CHECKING:
    from tests.fleet.exploration.world import World

TICK_S = 0.05
SLOW_RATE, FAST_RATE = 0.97, 1.05  # of the clocks; their ratio is within what the lease's margin allows
DRAW_OF_MACHINE, DRAW_OF_BOOT = 0.23, 0.013  # apart, so that two candidates don't ask at the same time for ever
UNPACKED = b""  # stands for a process that has changed since it was packed


@dataclass(frozen=True, slots=True)
class Batch:
    """A batch of records on its way to the disk."""

    token: int
    records: tuple[bytes, ...]
    replaces: bool


@dataclass(frozen=True, slots=True)
class MachineState:
    """State of one machine. `packed` is its serialized replica; None while no process runs."""

    packed: bytes | None = None
    boots: int = 0
    frozen: bool = False
    hung: bool = False  # its disk: nothing is written until it works again
    removed: bool = False
    thawed_at: float = -1.0
    next_tick: float = 0.0
    records: tuple[bytes, ...] = ()
    queue: tuple[Batch, ...] = ()


class Machine:
    """A core machine: its state, and the attributes that the checkers read."""

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
        """The replica, read-only."""
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
        """Whether the process runs and the disk works."""
        return self.running and not self.state.hung

    def now(self) -> float:
        """The steady clock of the machine."""
        return self.clock.at(self.world.now)

    def slept_since(self, when: float) -> bool:
        """Return whether the machine was frozen at some time since then."""
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
        """Restore a state."""
        if self.state.packed == UNPACKED:
            self._replica_of = None
        self.state = state

    def change(self, **changes: Any) -> None:
        """Replace fields of the state."""
        self.state = replace(self.state, **changes)

    # Steps

    def start(self, bootstrap: bool = False) -> None:
        """Start a process from the records on the disk."""
        boots = self.boots + 1
        zone, world = f"zone-{self.number % 3}", self.world
        config = ReplicaConfig(self.name, zone, self.control, self.peer, bootstrap, world.seeds, world.timing)
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
        """Make a call of the replica and perform its actions."""
        replica = self.replica
        assert replica is not None
        if self.state.packed != UNPACKED:
            self.change(packed=UNPACKED)
        for action in call(replica):
            self._do(action)
        self.world.ledger.check(self)

    def sync(self) -> None:
        """Sync the oldest batch and report it to the replica."""
        batch = self.state.queue[0]
        self._write(batch)
        self.change(queue=self.state.queue[1:])
        self.run(lambda replica: replica.on_persisted(self.now(), batch.token))

    def refuse(self) -> None:
        """Fail the oldest batch and all behind it: a snapshot has to come first."""
        batch = self.state.queue[0]
        self.change(queue=())
        self.run(lambda replica: replica.on_persist_failed(self.now(), batch.token))

    def snapshot(self) -> None:
        """Replace the newest batch by a snapshot; without a batch, replace the log at once."""
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
        if isinstance(action, SendMessage):
            world.send(self, action.address, action.message)
        elif isinstance(action, PersistRecords):
            batch = Batch(action.token, tuple(action.records), action.replaces)
            self.change(queue=(*self.state.queue, batch))
        elif isinstance(action, Reply):
            world.answered(self, action.request_id, action.outcome)
        elif isinstance(action, ConfigurationCommitted):
            world.ledger.on_committed(self, action.configuration)
        elif isinstance(action, LeadershipGained | LeadershipLost):
            world.ledger.on_lease(self, action)

    def _write(self, batch: Batch) -> None:
        before = () if batch.replaces else self.state.records
        self._set_records((*before, *batch.records))

    def _set_records(self, records: tuple[bytes, ...]) -> None:
        self.change(records=records)
        self.world.ledger.on_written(self)

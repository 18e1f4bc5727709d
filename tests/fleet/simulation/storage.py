"""The disk of a simulated machine: the product's record store on a simulated folder, written as its thread does it.

Jobs that wait together go under one sync, a snapshot goes alone, and completions come later. A process may end, and
power may fail, between any two operations of the store on its files.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from rosechute.control_plane.replica_runtime import LOG_LIMIT_BYTES
from rosechute.coordination.replica_state import ReplicaState
from rosechute.coordination.views import Ballot
from rosechute.storage.record_store import RecordStore
from rosechute.storage.writer import OnWritten, WriteResult
from tests.fleet.simulated_disk import PowerLoss, SimulatedDirectory

if TYPE_CHECKING:
    from tests.fleet.simulation.world import World

SYNC_S = 0.005
MOST_OPERATIONS = 6  # of the store for one job: more than any has


@dataclass(frozen=True)
class Mark:
    """How far a machine's knowledge had come."""

    epoch: int
    tag: tuple[int, int]
    promised: Ballot | None
    term: int


def mark_of(replica_state: ReplicaState) -> Mark:
    """How far this knowledge has come."""
    return Mark(replica_state.view.epoch, replica_state.newest.tag, replica_state.promised, replica_state.term.number)


@dataclass(frozen=True)
class Job:
    """What the runtime gave to be written, and the process that waits for it."""

    whole: bool
    records: Sequence[bytes]
    done: OnWritten
    boot: int
    mark: Mark | None


class SimulatedStorage:
    """The records of one machine; `rosechute.control_plane.replica_runtime.Records` for its processes."""

    def __init__(self, world: World, tell: Callable[[int, OnWritten, WriteResult], None]) -> None:
        self._world = world
        self._tell = tell  # the process of this boot that its write has ended
        self._draws = Random(world.random.random())
        self._store: RecordStore | None = None
        self._waiting: list[Job] = []
        self._under_way: list[Job] = []
        self._generation = 0  # of the writer: raised when the process ends or the disk wakes
        self.folder = SimulatedDirectory()
        self.boot = 0
        self.sync_s = SYNC_S
        self.hung = False
        self.snapshots = 0  # written so far
        self.replica_state: ReplicaState | None = None  # of the process
        self.synced: Mark | None = None  # what a process was told to be synced

    @property
    def full(self) -> bool:
        """Whether every write is refused."""
        return self.folder.full

    @full.setter
    def full(self, full: bool) -> None:
        self.folder.full = full

    @property
    def writing(self) -> bool:
        """Whether a write is under way."""
        return bool(self._under_way)

    # What a process does

    def open(self, boot: int) -> tuple[RecordStore, list[bytes]] | None:
        """Load the records for the process of this boot; None where the disk hangs or refuses."""
        if self.hung:
            return None
        opened = RecordStore.open(self.folder)
        if isinstance(opened, Failure):
            return None
        self.boot = boot
        self._store, records = opened.unwrap()
        return self._store, records

    @property
    def log_size(self) -> int:
        """As the store tells it; or, for a snapshot at this moment, too much."""
        assert self._store is not None
        if self._draws.random() < self._world.compaction:
            return LOG_LIMIT_BYTES + 1
        return self._store.log_size

    def append(self, records: Sequence[bytes], done: OnWritten) -> None:
        """Add records."""
        self._give(Job(False, records, done, self.boot, self._mark()))

    def write_snapshot(self, records: Sequence[bytes], done: OnWritten) -> None:
        """Put a snapshot in place of everything."""
        self._give(Job(True, records, done, self.boot, self._mark()))

    # Troubles

    def hang(self, hung: bool) -> None:
        """The disk hangs, or goes on where it was."""
        self.hung = hung
        if not hung:
            self._generation += 1
            self._schedule()

    def kill(self) -> None:
        """The process ends: what it had written stays, as far as it had come."""
        if not self.hung:
            self._go_on()
        self._end(self.folder.after_kill())

    def power_loss(self) -> None:
        """Power fails: what was not synced is present, missing or torn."""
        if self._world.random.random() < 0.6:
            self._go_on()
        self._end(self.folder.after_power_loss(self._draws))

    def wipe(self) -> None:
        """The disk is lost."""
        self._end(SimulatedDirectory())
        self.synced = None

    # The writer

    def _mark(self) -> Mark | None:
        return mark_of(self.replica_state) if self.replica_state is not None else None

    def _ended(self, job: Job, outcome: WriteResult) -> None:
        if isinstance(outcome, Success) and job.mark is not None:
            self.synced = job.mark
        self._tell(job.boot, job.done, outcome)

    def _give(self, job: Job) -> None:
        self._waiting.append(job)
        if self._world.skip_sync:
            self._world.after(0.0, self._ended, job, Success(None))
        if not self._under_way:
            self._begin()

    def _begin(self) -> None:
        """Take what waits together."""
        self._under_way = self._take()
        self._schedule()

    def _take(self) -> list[Job]:
        group = self._waiting[:1]
        del self._waiting[:1]
        while self._waiting and not group[0].whole and not self._waiting[0].whole:
            group.append(self._waiting.pop(0))
        return group

    def _schedule(self) -> None:
        if self._under_way and not self.hung:
            wait = self.sync_s * self._world.random.uniform(0.6, 1.6)
            self._world.after(wait, self._complete, self._generation)

    def _complete(self, generation: int) -> None:
        if generation != self._generation or self.hung:
            return  # a disk that hangs goes on when it works again
        group = self._under_way
        outcome = self._write(group)
        self._under_way = []
        for job in group:
            self._ended(job, outcome)
        if generation == self._generation and not self._under_way:
            self._begin()

    def _write(self, group: list[Job]) -> WriteResult:
        assert self._store is not None
        if group[0].whole:
            self.snapshots += 1
            return self._store.write_snapshot(group[0].records)
        return self._store.append([job.records for job in group])

    def _go_on(self) -> None:
        """The writer comes further before the end than its completions tell, and stops between two operations."""
        random = self._world.random
        while self._under_way and random.random() < 0.5:
            self._write(self._under_way)
            self._under_way = self._take()
        if self._under_way:
            self.folder.power_fails_at = self.folder.operations + random.randint(0, MOST_OPERATIONS)
            try:
                self._write(self._under_way)
            except PowerLoss:
                return

    def _end(self, after: SimulatedDirectory) -> None:
        """The next process finds this folder."""
        after.full = self.folder.full
        self.folder = after
        self._store, self.replica_state = None, None
        self._waiting, self._under_way = [], []
        self._generation += 1

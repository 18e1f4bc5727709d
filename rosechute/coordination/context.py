"""What the parts of a replica share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_state import ReplicaState
from rosechute.coordination.types import MachineIdentity, Timing


@dataclass(slots=True)
class Context:
    """The machine, the time of the current call, its knowledge, its disk and the others."""

    own: MachineIdentity
    incarnation: int
    timing: Timing
    draw: Callable[[], float]
    now: float
    replica_state: ReplicaState
    record_writer: RecordWriter
    outbox: Outbox
    failure_detector: FailureDetector
    is_leaving: bool = False  # the process is about to end
    joined_epoch: int = 0  # epoch that this process adopted itself, synced
    adopted_epoch: int = 0  # newest epoch whose adoption is synced
    heartbeat_due: bool = False  # a heartbeat is sent at the end of this call

    @property
    def is_acceptor(self) -> bool:
        """Whether this machine accepts in the current view."""
        return self.replica_state.view.is_acceptor(self.own.id)

    @property
    def is_in_chain(self) -> bool:
        """Whether this machine stores in the current view."""
        return self.own.id in self.replica_state.view.chain

    @property
    def is_healthy(self) -> bool:
        """Whether the others may count on this machine."""
        return self.record_writer.is_healthy() and not self.is_leaving

    @property
    def is_epoch_adopted(self) -> bool:
        """Whether the epoch in memory is adopted on disk and not sealed."""
        return self.adopted_epoch == self.replica_state.view.epoch and not self.replica_state.sealed

    def chain_position(self) -> int:
        """Place of this machine among the members of the chain that work."""
        place = 0
        for member in self.replica_state.view.chain:
            if member == self.own.id:
                return place
            place += self.failure_detector.is_healthy(member)
        return place + 1

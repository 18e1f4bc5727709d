"""State that the parts of a replica share within its process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.replica_config import MachineIdentity, Timing
from rosechute.coordination.replica_state import ReplicaState


@dataclass(slots=True)
class Context:
    """State shared by the parts of a replica. `Replica` sets the time; the parts change the rest.

    Attributes:
        own: this machine.
        incarnation: random number of this process; it changes with each restart.
        timing: periods and time-outs.
        draw: source of random numbers in [0, 1).
        now: time of the current call, in seconds of the machine's steady clock.
        replica_state: durable state.
        record_writer: log of the durable state.
        outbox: actions of the current call.
        failure_detector: health of the other machines.
        is_leaving: whether the process is about to end.
        joined_epoch: newest epoch that this process itself adopted and synced; 0 after a restart.
        adopted_epoch: newest epoch whose adoption is synced, by this process or an earlier one.
        heartbeat_due: whether the current call ends with a heartbeat to all machines.
    """

    own: MachineIdentity
    incarnation: int
    timing: Timing
    draw: Callable[[], float]
    now: float
    replica_state: ReplicaState
    record_writer: RecordWriter
    outbox: Outbox
    failure_detector: FailureDetector
    is_leaving: bool = False
    joined_epoch: int = 0
    adopted_epoch: int = 0
    heartbeat_due: bool = False

    @property
    def is_acceptor(self) -> bool:
        """Whether this machine is an acceptor of the current view."""
        return self.replica_state.view.is_acceptor(self.own.id)

    @property
    def is_in_chain(self) -> bool:
        """Whether this machine is a member of the current chain."""
        return self.own.id in self.replica_state.view.chain

    @property
    def is_healthy(self) -> bool:
        """Whether the other machines may rely on this one: its disk works and its process is not about to end."""
        return self.record_writer.is_healthy() and not self.is_leaving

    @property
    def is_epoch_adopted(self) -> bool:
        """Whether the current epoch is adopted on the disk and not sealed; otherwise this machine serves nothing."""
        return self.adopted_epoch == self.replica_state.view.epoch and not self.replica_state.is_sealed

    def chain_position(self) -> int:
        """Return the position of this machine among the healthy members of the chain.

        Machines wait by their position before they become a candidate or propose a view, so that they seldom collide.
        A machine outside the chain comes last.
        """
        position = 0
        for member in self.replica_state.view.chain:
            if member == self.own.id:
                return position
            position += self.failure_detector.is_healthy(member)
        return position + 1

"""What the parts of a replica share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from rosechute.coordination.failure_detector import FailureDetector
from rosechute.coordination.memory import Memory
from rosechute.coordination.outbox import Outbox
from rosechute.coordination.record_writer import RecordWriter
from rosechute.coordination.types import Identity, Timing


@dataclass(slots=True)
class Context:
    """The machine, the time of the current call, its knowledge, its disk and the others."""

    own: Identity
    incarnation: int
    timing: Timing
    draw: Callable[[], float]
    now: float
    memory: Memory
    record_writer: RecordWriter
    outbox: Outbox
    failure_detector: FailureDetector
    leaving: bool = False  # the process is about to end
    joined: int = 0  # epoch that this process adopted itself, synced
    adopted: int = 0  # newest epoch whose adoption is synced
    announce: bool = False  # tell the others the new state at once

    @property
    def is_acceptor(self) -> bool:
        """Whether this machine accepts in the current view."""
        return self.memory.view.is_acceptor(self.own.id)

    @property
    def in_chain(self) -> bool:
        """Whether this machine stores in the current view."""
        return self.own.id in self.memory.view.chain

    @property
    def healthy(self) -> bool:
        """Whether the others may count on this machine."""
        return self.record_writer.is_healthy() and not self.leaving

    @property
    def settled(self) -> bool:
        """Whether the epoch in memory is adopted on disk and not sealed."""
        return self.adopted == self.memory.view.epoch and not self.memory.sealed

    def place(self) -> int:
        """Place of this machine among the members of the chain that work."""
        place = 0
        for member in self.memory.view.chain:
            if member == self.own.id:
                return place
            place += self.failure_detector.is_healthy(member)
        return place + 1

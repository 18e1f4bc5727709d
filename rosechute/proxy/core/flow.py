"""Bodies on their way: one memory budget for all of them, and flow control from one end to the other."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

RECEIVE = 128 * 1024  # the kernel's receive buffer of one connection: what one read can bring
FLOOR = 16 * 1024  # what one body may hold however little is free: with less, each packet costs a turn
CEILING = 1 << 20  # and at most
PART = 8  # one body may hold this part of what is free
PROGRAM_MB = 28  # the program without any bodies: 14 MB were measured, the rest is its allocator's
SLACK = 2  # of the rest: bytes held twice for a moment, and what lies in the loop's own buffers


class Budget:
    """Bytes that bodies may hold in all. A share is a part of what is free, so that a few long bodies get
    much and many get little; no queue and no order of who may grow is needed."""

    def __init__(self, memory_mb: int) -> None:
        self.resize(memory_mb, 1)
        self.used = 0

    def resize(self, memory_mb: int, processes: int) -> None:
        """So many processes have this much memory between them."""
        self.total = max(1, memory_mb // processes - PROGRAM_MB) * (1 << 20) // SLACK

    def take(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.used += size

    def give(self, size: int) -> None:
        """And bytes that no longer are."""
        self.used -= size

    @property
    def share(self) -> int:
        """How much one body may hold now."""
        return min(CEILING, max(FLOOR, (self.total - self.used) // PART))


class Body:
    """A request's body that goes out as it comes in: once, as what has gone is no longer here."""

    __slots__ = ("_budget", "_pieces", "_drained", "held", "length", "complete", "begun", "sink")

    def __init__(self, budget: Budget, length: int | None, drained: Callable[[], None]) -> None:
        self._budget = budget
        self._pieces: deque[bytes] = deque()
        self._drained = drained  # called when it holds less, so that more can be read
        self.held = 0
        self.length = length  # None where it comes in chunks
        self.complete = False
        self.begun = False  # part of it has gone
        self.sink: Callable[[], None] | None = None  # called when there is more to take

    def put(self, data: bytes) -> None:
        """Add what has come."""
        self._pieces.append(data)
        self.held += len(data)
        self._budget.take(len(data))
        if self.sink is not None:
            self.sink()

    def finish(self) -> None:
        """All has come."""
        self.complete = True
        if self.sink is not None:
            self.sink()

    def take(self) -> bytes:
        """The next piece; empty if there is none now."""
        if not self._pieces:
            return b""
        self.begun = True
        data = self._pieces.popleft()
        self._less(len(data))
        self._drained()
        return data

    def drop(self) -> None:
        """Nobody takes the rest."""
        self.sink = None
        self._pieces.clear()
        self._less(self.held)

    def _less(self, size: int) -> None:
        self.held -= size
        self._budget.give(size)


class Source(Protocol):
    """Where an answer comes from that is passed on: it can be told to wait."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where it goes."""

    def pass_on(self, data: bytes) -> None: ...

"""The machine's disk as the replica sees it: what is written, what is synced, and whether it works.

Records are numbered. An answer that depends on records waits until all of them up to its number are synced. After a
refused write nothing that was written later counts until the whole state has been written again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rosechute.coordination.memory import Memory
from rosechute.coordination.types import Persist, Timing
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class _Batch:
    token: int
    through: int  # number of its last record
    since: float
    probe: bool


@dataclass(slots=True)
class Disk:
    """Records on their way to the disk."""

    timing: Timing
    memory: Memory
    replace_next: bool = False  # the next batch stands for everything
    number: int = 0  # of the newest record
    durable: int = 0  # all records up to this number are synced
    failed: bool = False
    troubled: bool = False  # until a probe shows that the disk works
    _token: int = 0
    _next_try: float = 0.0
    _unwritten: list[bytes] = field(default_factory=list)
    _deferred: pb.Record | None = None  # written beside the next record, without a sync of its own
    _unwritten_probe: bool = False
    _batches: deque[_Batch] = field(default_factory=deque)
    _waiting: deque[tuple[int, Callable[[], None]]] = field(default_factory=deque)

    def write(self, record: pb.Record, then: Callable[[], None] | None = None) -> None:
        """Change the memory by a record and write it; `then` is called once it is synced."""
        self.memory.apply(record)
        self.number += 1
        if not self.failed:
            self._unwritten.append(record.SerializeToString())
        if then is not None:
            self.after(self.number, then)

    def defer(self, record: pb.Record | None) -> None:
        """Write a record beside the next one; nothing waits for it. A later call replaces it, by none where None."""
        self._deferred = record

    def after(self, number: int, then: Callable[[], None]) -> None:
        """Call this once the record of this number, and with it all before, is synced."""
        if number <= self.durable:
            then()
        else:
            self._waiting.append((number, then))

    def flush(self, now: float) -> Persist | None:
        """What is to be written now."""
        if not self._unwritten:
            return None
        if self._deferred is not None:
            deferred, self._deferred = self._deferred, None
            self.write(deferred)
        records, self._unwritten = self._unwritten, []
        probe, self._unwritten_probe = self._unwritten_probe, False
        self._token += 1
        self._batches.append(_Batch(self._token, self.number, now, probe))
        replaces, self.replace_next = self.replace_next, False
        return Persist(self._token, records, replaces)

    def oldest_age(self, now: float) -> float:
        """Age of the oldest write that has not finished."""
        return now - self._batches[0].since if self._batches else 0.0

    def healthy(self) -> bool:
        """Whether other machines may count on this disk."""
        return not (self.failed or self.troubled)

    def tick(self, now: float) -> None:
        """Notice a disk that hangs; try one again that was in trouble."""
        if self.oldest_age(now) > self.timing.suspect:
            self.troubled = True
        if self._batches or self._unwritten or now < self._next_try:
            return
        if self.failed:
            self._next_try = now + self.timing.disk_retry
            self.failed = False
            self.replace_next = True
            self._unwritten.append(self.memory.whole().SerializeToString())
        elif self.troubled:
            self._next_try = now + self.timing.disk_retry
            self._unwritten_probe = True
            self._unwritten.append(pb.Record(probe=pb.ProbeRecord()).SerializeToString())

    def persisted(self, now: float, token: int) -> None:
        """The batch of this token is synced, and with it all before."""
        batch: _Batch | None = None
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
        if batch is None:
            return
        if batch.probe and now - batch.since <= self.timing.disk_healthy:
            self.troubled = False
        self.durable = max(self.durable, batch.through)
        while self._waiting and self._waiting[0][0] <= self.durable:
            self._waiting.popleft()[1]()

    def persist_failed(self, now: float, token: int) -> None:
        """The batch of this token was refused. Nothing that is under way counts any more."""
        if not any(batch.token == token for batch in self._batches):
            return
        self._batches.clear()
        self._unwritten.clear()
        self.failed = True
        self.troubled = True
        self._next_try = now + self.timing.disk_retry

"""Write-ahead log of a replica: which records are being written, which are synced, and whether the disk works.

Every change of the durable state is a record. Records are numbered; whatever depends on a record waits until all
records up to its number are synced. After a failed write nothing that was written later counts until the whole state
has been written again, since the disk may hold any part of the failed batch.

The writer does no input or output itself: `flush` returns the batch to write, and the runtime reports its outcome by
`on_persisted` or `on_persist_failed`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from rosechute.coordination.actions import PersistRecords
from rosechute.coordination.replica_config import Timing
from rosechute.coordination.replica_state import ReplicaState
from rosechute.messages import coordination_pb2 as pb


@dataclass(slots=True)
class _Batch:
    """Records that were handed to the disk together."""

    token: int
    last_number: int  # number of its newest record
    started_at: float
    is_probe: bool  # written only to check whether the disk works


class _Callback(NamedTuple):
    """A function to call once all records up to a number are synced."""

    number: int
    call: Callable[[], None]


@dataclass(slots=True)
class RecordWriter:
    """Writer of records to the disk. Times are of the machine's steady clock, in seconds.

    Attributes:
        timing: time-outs.
        replica_state: the replica's state, to which each record is applied when it is written.
        replace_next: whether the next batch replaces all records on the disk.
        last_number: number of the newest record.
        synced_number: all records up to this number are synced.
        has_failed: whether a write failed and the whole state has not been handed to the disk since.
        is_suspect: whether the disk failed or hung, until a probe shows that it works; true whenever `has_failed` is.
    """

    timing: Timing
    replica_state: ReplicaState
    replace_next: bool = False
    last_number: int = 0
    synced_number: int = 0
    has_failed: bool = False
    is_suspect: bool = False
    _token: int = 0  # token of the newest batch
    _next_retry_at: float = 0.0
    _unwritten: list[bytes] = field(default_factory=list)
    _deferred: pb.Record | None = None  # written together with the next record, without a sync of its own
    _is_probe_unwritten: bool = False
    _batches: deque[_Batch] = field(default_factory=deque)  # batches in flight, oldest first
    _callbacks: deque[_Callback] = field(default_factory=deque)

    def write(self, record: pb.Record, callback: Callable[[], None] | None = None) -> None:
        """Apply a record to the state and queue it for the disk.

        Args:
            record: the change.
            callback: called once the record is synced.
        """
        self.replica_state.apply(record)
        self.last_number += 1
        if not self.has_failed:
            self._unwritten.append(record.SerializeToString())
        if callback is not None:
            self.call_when_synced(self.last_number, callback)

    def defer(self, record: pb.Record | None) -> None:
        """Write a record together with the next one; nothing may wait for it.

        Args:
            record: replaces the record of an earlier call; None drops that.
        """
        self._deferred = record

    def call_when_synced(self, number: int, callback: Callable[[], None]) -> None:
        """Call back once all records up to this number are synced; immediately if they already are."""
        if number <= self.synced_number:
            callback()
        else:
            self._callbacks.append(_Callback(number, callback))

    def flush(self, now: float) -> PersistRecords | None:
        """Return the next batch to write, or None where there is nothing to write."""
        if not self._unwritten:
            return None
        if self._deferred is not None:
            deferred, self._deferred = self._deferred, None
            self.write(deferred)
        records, self._unwritten = self._unwritten, []
        is_probe, self._is_probe_unwritten = self._is_probe_unwritten, False
        self._token += 1
        self._batches.append(_Batch(self._token, self.last_number, now, is_probe))
        replaces, self.replace_next = self.replace_next, False
        return PersistRecords(self._token, records, replaces)

    def oldest_write_age_s(self, now: float) -> float:
        """Return for how many seconds the oldest batch has been in flight; 0 where none is."""
        return now - self._batches[0].started_at if self._batches else 0.0

    def is_healthy(self) -> bool:
        """Return whether other machines may rely on this disk."""
        return not self.is_suspect

    def tick(self, now: float) -> None:
        """Suspect a disk that hangs; retry or probe one that failed or hung."""
        if self.oldest_write_age_s(now) > self.timing.suspect_after_s:
            self.is_suspect = True
        if self._batches or self._unwritten or now < self._next_retry_at:
            return
        if self.has_failed:
            self._next_retry_at = now + self.timing.disk_retry_s
            self._rewrite()
        elif self.is_suspect:
            self._next_retry_at = now + self.timing.disk_retry_s
            self._probe()

    def _rewrite(self) -> None:
        """Queue the whole state, which replaces all records on the disk."""
        self.has_failed = False
        self.replace_next = True
        self._unwritten.append(self.replica_state.snapshot_record().SerializeToString())

    def _probe(self) -> None:
        """Queue a record that changes nothing, to see how long its sync takes."""
        self._is_probe_unwritten = True
        self._unwritten.append(pb.Record(probe=pb.ProbeRecord()).SerializeToString())

    def on_persisted(self, now: float, token: int) -> None:
        """Mark the batch of this token and all older ones as synced, and run the callbacks that waited for them."""
        batch: _Batch | None = None
        while self._batches and self._batches[0].token <= token:
            batch = self._batches.popleft()
        if batch is None:
            return
        if batch.is_probe and now - batch.started_at <= self.timing.probe_deadline_s:
            self.is_suspect = False
        self.synced_number = max(self.synced_number, batch.last_number)
        while self._callbacks and self._callbacks[0].number <= self.synced_number:
            self._callbacks.popleft().call()

    def on_persist_failed(self, now: float, token: int) -> None:
        """Discard all batches in flight, because the one with this token could not be written."""
        if not any(batch.token == token for batch in self._batches):
            return
        self._batches.clear()
        self._unwritten.clear()
        self.has_failed = True
        self.is_suspect = True
        self._next_retry_at = now + self.timing.disk_retry_s

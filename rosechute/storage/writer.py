"""A thread that writes records, so that no write is on the event loop. Jobs are done in the order they were given.

What waits together is written under one sync. Completions are handed back through `post`, for a loop its
`call_soon_threadsafe`. A write that hangs simply doesn't complete; `oldest_pending_since` tells since when.
"""

import threading
from collections import deque
from collections.abc import Callable, Sequence
from queue import SimpleQueue

import msgspec
from returns.result import Result

from .errors import StorageError
from .record_store import RecordStore

WriteResult = Result[None, StorageError]
OnWritten = Callable[[WriteResult], None]


class _Job(msgspec.Struct, frozen=True):
    records: Sequence[bytes]
    whole: bool
    done: OnWritten
    since: float


class StoreWriter:
    """Owns a record store and writes to it in its own thread."""

    def __init__(self, store: RecordStore, post: Callable[..., object], clock: Callable[[], float]) -> None:
        self._store = store
        self._post = post
        self._clock = clock
        self._pending: deque[_Job] = deque()
        self._queue: SimpleQueue[_Job | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="records", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the thread to end after what it has been given. Doesn't wait for it."""
        self._queue.put(None)

    @property
    def log_size(self) -> int:
        """Bytes in the log since the last snapshot."""
        return self._store.log_size

    def append(self, records: Sequence[bytes], done: OnWritten) -> None:
        """Add records; they survive whole or not at all. Fails until a snapshot where one is needed first."""
        self._give(_Job(records, False, done, self._clock()))

    def write_snapshot(self, records: Sequence[bytes], done: OnWritten) -> None:
        """Put a whole snapshot in place of everything."""
        self._give(_Job(records, True, done, self._clock()))

    def oldest_pending_since(self) -> float | None:
        """When the oldest job that isn't done was given, by the clock; None where all are done."""
        return self._pending[0].since if self._pending else None

    def _give(self, job: _Job) -> None:
        self._pending.append(job)
        self._queue.put(job)

    def _run(self) -> None:
        while True:
            jobs, ends = self._take()
            for group in _groups(jobs):
                self._post(self._finish, group, self._write(group))
            if ends:
                return

    def _take(self) -> tuple[list[_Job], bool]:
        """Wait for a job; take all that are there."""
        jobs: list[_Job] = []
        job = self._queue.get()
        while job is not None:
            jobs.append(job)
            if self._queue.empty():
                return jobs, False
            job = self._queue.get()
        return jobs, True

    def _write(self, group: list[_Job]) -> WriteResult:
        if group[0].whole:
            return self._store.write_snapshot(group[0].records)
        return self._store.append([job.records for job in group])

    def _finish(self, group: list[_Job], outcome: WriteResult) -> None:
        for _ in group:
            self._pending.popleft()
        for job in group:
            job.done(outcome)


def _groups(jobs: list[_Job]) -> list[list[_Job]]:
    """Neighbouring appends together; each snapshot alone."""
    groups: list[list[_Job]] = []
    for job in jobs:
        if groups and not job.whole and not groups[-1][0].whole:
            groups[-1].append(job)
        else:
            groups.append([job])
    return groups

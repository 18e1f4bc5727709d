"""A thread that writes to a record store, so that no disk write blocks the event loop.

Jobs are done in the order of submission; appends that are queued together share one sync. Results are
reported through `post`, for example the `call_soon_threadsafe` of an event loop. A write that hangs never completes;
`oldest_pending_since` returns when it was submitted.
"""

import threading
from collections import deque
from collections.abc import Callable, Sequence
from queue import SimpleQueue

import msgspec
from returns.result import Failure, Result

from .errors import StorageError
from .record_store import RecordStore

WriteResult = Result[None, StorageError]
OnWritten = Callable[[WriteResult], None]
"""Called with the result of a write once it is durable or has failed."""


class _Job(msgspec.Struct, frozen=True):
    records: Sequence[bytes]
    on_written: OnWritten
    submitted_at: float  # in seconds of the writer's clock
    is_snapshot: bool


class StoreWriter:
    """Writer that owns a record store and a thread for its disk writes."""

    def __init__(self, store: RecordStore, post: Callable[..., object], clock: Callable[[], float]) -> None:
        """Create a writer whose thread does not run yet.

        Args:
            store: The store; nothing else may use it from now on.
            post: Calls a function with arguments in the thread of the caller of this class.
            clock: A steady clock, in seconds.
        """
        self._store = store
        self._post = post
        self._clock = clock
        self._pending: deque[_Job] = deque()
        self._queue: SimpleQueue[_Job | None] = SimpleQueue()  # None: stop
        self._thread = threading.Thread(target=self._run, name="records", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Let the thread end after the jobs that are queued. Does not wait for it."""
        self._queue.put(None)

    @property
    def log_size(self) -> int:
        """Return the bytes in the log since the last snapshot."""
        return self._store.log_size

    def append(self, records: Sequence[bytes], on_written: OnWritten) -> None:
        """Append a batch of records, which is stored completely or not at all.

        It fails while a snapshot has to be written first; see `RecordStore.can_append`.
        """
        self._submit(_Job(records, on_written, self._clock(), is_snapshot=False))

    def write_snapshot(self, records: Sequence[bytes], on_written: OnWritten) -> None:
        """Replace all stored records."""
        self._submit(_Job(records, on_written, self._clock(), is_snapshot=True))

    def oldest_pending_since(self) -> float | None:
        """Return when the oldest unfinished job was submitted, by the clock; None if all are finished."""
        return self._pending[0].submitted_at if self._pending else None

    def _submit(self, job: _Job) -> None:
        self._pending.append(job)
        self._queue.put(job)

    def _run(self) -> None:
        while True:
            jobs, is_stopping = self._next_jobs()
            for group in _grouped(jobs):
                self._post(self._finish, group, self._write(group))
            if is_stopping:
                return

    def _next_jobs(self) -> tuple[list[_Job], bool]:
        """Wait for a job; return all that are queued, and whether to stop after them."""
        jobs: list[_Job] = []
        job = self._queue.get()
        while job is not None:
            jobs.append(job)
            if self._queue.empty():
                return jobs, False
            job = self._queue.get()
        return jobs, True

    def _write(self, group: list[_Job]) -> WriteResult:
        try:
            if group[0].is_snapshot:
                return self._store.write_snapshot(group[0].records)
            return self._store.append([job.records for job in group])
        except Exception as error:  # a fault in the program must not end the thread: every later write would hang
            return Failure(StorageError("write", "", repr(error)))

    def _finish(self, group: list[_Job], result: WriteResult) -> None:
        """Report the result of a group; runs in the thread of `post`."""
        for _ in group:
            self._pending.popleft()
        for job in group:
            job.on_written(result)


def _grouped(jobs: list[_Job]) -> list[list[_Job]]:
    """Return the jobs in groups that share one sync: consecutive appends together, each snapshot alone."""
    groups: list[list[_Job]] = []
    for job in jobs:
        if groups and not job.is_snapshot and not groups[-1][0].is_snapshot:
            groups[-1].append(job)
        else:
            groups.append([job])
    return groups

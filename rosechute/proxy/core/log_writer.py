"""Writes log lines to a descriptor from a thread of its own, so that no destination of the log holds up the process.

Lines wait in a bounded queue. Those that find it full, and those that the destination refuses, are dropped and
counted; a line that tells their number follows once the destination takes lines again.
"""

from __future__ import annotations

import atexit
import os
import queue
import threading

STANDARD_ERROR = 2
MAX_QUEUED_LINES = 1000  # lines that may wait to be written
MAX_LINE_BYTES = 8192  # longer lines are cut
FLUSH_TIMEOUT_S = 0.2  # wait at the exit of the process for a destination that takes no lines


class LogWriter:
    """Writes log lines to a descriptor from a thread.

    Args:
        descriptor: The destination.
        max_lines: Number of lines that may wait.

    Attributes:
        dropped: Lines dropped since the last line that told their number.
        dropped_total: Lines dropped since the start.
    """

    def __init__(self, descriptor: int = STANDARD_ERROR, max_lines: int = MAX_QUEUED_LINES) -> None:
        self._descriptor, self._max_lines = descriptor, max_lines
        self._queue: queue.SimpleQueue[bytes | threading.Event] = queue.SimpleQueue()
        self._thread: threading.Thread | None = None
        self.dropped = 0
        self.dropped_total = 0

    def write(self, line: str) -> None:
        """Queue a line; drop it if the queue is full. Never raises."""
        if self._queue.qsize() >= self._max_lines or not self._has_thread():
            self._count_dropped()
            return
        data = line.encode("utf-8", "backslashreplace")
        self._queue.put((data if len(data) <= MAX_LINE_BYTES else data[: MAX_LINE_BYTES - 4] + b" ...") + b"\n")

    def flush(self, timeout_s: float = FLUSH_TIMEOUT_S) -> bool:
        """Wait until all queued lines are written; return False after the timeout."""
        if self._thread is None:
            return True
        flushed = threading.Event()
        self._queue.put(flushed)
        return flushed.wait(timeout_s)

    def _has_thread(self) -> bool:
        """Start the thread if it does not run yet; return whether it runs."""
        if self._thread is None:
            thread = threading.Thread(target=self._run, name="log", daemon=True)
            try:
                thread.start()
            except RuntimeError:  # the system grants no further thread
                return False
            self._thread = thread
        return True

    def _count_dropped(self) -> None:
        self.dropped += 1
        self.dropped_total += 1

    def _run(self) -> None:
        while True:
            item = self._queue.get()
            if isinstance(item, threading.Event):
                item.set()
                continue
            if not self._write_all(item):
                self._count_dropped()
            elif self.dropped:
                self._tell_dropped()

    def _tell_dropped(self) -> None:
        dropped = self.dropped
        if self._write_all(f"level=warning event=log.dropped lines={dropped}\n".encode()):
            self.dropped -= dropped

    def _write_all(self, data: bytes) -> bool:
        """Write all bytes, however long that takes; return False if the destination refuses them."""
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            return False  # closed, broken or full: the process goes on without these lines
        return True


LOG_WRITER = LogWriter()
"""The writer of all log lines of this process."""
atexit.register(LOG_WRITER.flush)

"""Standard output and standard error as text streams that pass their lines to the log's writer.

The interpreter and libraries write tracebacks and warnings there themselves. A write to the descriptor would wait
for a destination that is not read, and the interpreter's last flush of a broken one would end the process with
status 120.
"""

from __future__ import annotations

import io
import sys

from rosechute.proxy.core.log_writer import LOG_WRITER, MAX_LINE_BYTES, LogWriter


class LogStream(io.TextIOBase):
    """A text stream whose complete lines are log lines. Neither writing nor flushing it waits or fails."""

    def __init__(self, writer: LogWriter) -> None:
        self._writer = writer
        self._unfinished = ""

    def writable(self) -> bool:
        """Return True."""
        return True

    def write(self, text: str) -> int:
        """Pass on all complete lines, and what is longer than a line may be."""
        *lines, self._unfinished = (self._unfinished + text).split("\n")
        for line in lines:
            self._writer.write(line)
        if len(self._unfinished) >= MAX_LINE_BYTES:
            self._writer.write(self._unfinished)
            self._unfinished = ""
        return len(text)


def replace_standard_streams(writer: LogWriter = LOG_WRITER) -> None:
    """Have all text for standard output and standard error written by the log's writer."""
    sys.stdout = sys.stderr = LogStream(writer)

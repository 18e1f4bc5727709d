"""Detection of whether an event stream is inside an event, for streams that are forwarded unchanged.

The format is that of server-sent events (WHATWG HTML, section 9.2): a blank line ends an event, and a line that
starts with a colon is a comment, which belongs to no event. Lines end with LF, CRLF or CR.

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

import re

_LINE_END = re.compile(rb"\r\n|\r|\n")
_COMMENT = b":"


class EventBoundary:
    """The position of a stream relative to its events.

    It depends on all bytes of the stream and not on how they are divided into pieces.

    Attributes:
        is_inside_event: Whether an event has begun that no blank line has ended yet.
    """

    __slots__ = ("is_inside_event", "_line_start", "_ends_with_cr", "_has_fields")

    def __init__(self) -> None:
        self._start_event()

    def _start_event(self) -> None:
        """Set the state between two events."""
        self.is_inside_event = False
        self._line_start = b""  # first byte of the current line, if it has any
        self._ends_with_cr = False  # whether an LF at the start of the next piece belongs to the last line end
        self._has_fields = False  # whether the current event has a complete line other than a comment

    def feed(self, data: bytes) -> None:
        """Process the next bytes of the stream."""
        if not data:
            return
        if data.endswith(b"\n\n"):  # fast path: the piece ends with an event
            self._start_event()
            return
        if self._ends_with_cr and data.startswith(b"\n"):
            data = data[1:]
        *complete_lines, current_line = _LINE_END.split(self._line_start + data)
        for line in complete_lines:
            self._has_fields = _is_field(line) or (self._has_fields and bool(line))
        self._line_start = current_line[:1]
        self._ends_with_cr = data.endswith(b"\r")
        self.is_inside_event = self._has_fields or _is_field(current_line)


def _is_field(line: bytes) -> bool:
    """Return whether a line, complete or not, belongs to an event."""
    return bool(line) and not line.startswith(_COMMENT)


def is_inside_event(data: bytes) -> bool:
    """Return whether bytes that start between two events end inside an event."""
    boundary = EventBoundary()
    boundary.feed(data)
    return boundary.is_inside_event

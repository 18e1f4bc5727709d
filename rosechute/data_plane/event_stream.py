"""Parser for resumable event streams: complete events, their ids, and the version of the model's weights.

The format is that of server-sent events (WHATWG HTML, section 9.2).

Pure: performs no I/O and reads no clock.
"""

from __future__ import annotations

import re

from rosechute.data_plane.event_boundary import is_inside_event

VERSIONS = b"versions"
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_VERSION = re.compile(rb"versions:[ ]*([0-9]+)[ ]*\r?\n")
_END = re.compile(rb"\n\r?\n")
_NUMBER = re.compile(rb"[0-9]{1,18}")
_SPLIT_END_BYTES = 2  # bytes of a blank line that may have arrived before its last one


class BrokenStreamError(Exception):
    """Bytes that a server has sent can't continue the event stream."""


class EventStream:
    """The event stream of one response, which may be joined from the responses of several servers.

    Only complete events are forwarded, with increasing ids and without a repeated event where two responses are
    joined. Ids may increase by any step: an event may carry several tokens. An incomplete event is dropped when the
    response that it belongs to is replaced.

    Args:
        last_id: Id of the last event that the client has received; None if it has received none.
        version: Version of the weights that the response is produced with; None if it is not known.
        max_event_bytes: Maximum size of one event.

    Attributes:
        last_id: Id of the last event that was forwarded; initially the client's.
        version: Version of the weights as of that event.
    """

    __slots__ = (
        "last_id",
        "version",
        "_number",
        "_partial",
        "_has_forwarded",
        "_last_event_has_id",
        "_may_repeat_events",
        "_max_event_bytes",
    )

    def __init__(self, last_id: bytes | None, version: bytes | None, max_event_bytes: int) -> None:
        self.last_id = last_id
        self.version = version
        self._number = _as_number(last_id)
        self._partial = bytearray()  # start of an event that is not complete yet
        self._has_forwarded = False  # whether any event has been forwarded
        self._last_event_has_id = True  # whether the last forwarded event had an id
        self._may_repeat_events = False  # whether the next events may repeat forwarded ones
        self._max_event_bytes = max_event_bytes

    def feed(self, data: bytes) -> bytes:
        """Process bytes of the stream; return the completed events that are to be forwarded.

        Raises:
            BrokenStreamError: an event is too long, or its id can't follow the previous one.
        """
        searched = max(0, len(self._partial) - _SPLIT_END_BYTES)  # the partial event has no blank line before
        if self._partial:
            self._partial += data
        received = self._partial or data
        end = _end_of_events(received, searched)
        if len(received) - end > self._max_event_bytes:
            raise BrokenStreamError("event exceeds the size limit")
        complete = bytes(received[:end])
        if end or not self._partial:
            self._partial = bytearray(received[end:])
        return self._filtered(complete) if complete else b""

    def finish(self, has_explicit_length: bool = True) -> bytes:
        """Return the last events of a complete response. The final blank line may be missing.

        Args:
            has_explicit_length: Whether the headers delimited the response; otherwise only the close of the
                connection did.

        Raises:
            BrokenStreamError: a close-delimited response ended inside an event.
        """
        remaining, self._partial = bytes(self._partial), bytearray()
        if not has_explicit_length and is_inside_event(remaining):
            raise BrokenStreamError("connection closed inside an event")
        return self._filtered(remaining) if remaining else b""

    @property
    def held_bytes(self) -> int:
        """Bytes of the event that is not complete yet."""
        return len(self._partial)

    def resumable(self) -> bool:
        """Return whether another server can continue exactly after the last forwarded event."""
        return self._last_event_has_id

    def start_next_response(self) -> None:
        """Continue with the response of another server, which is to start after the last forwarded event."""
        self._partial = bytearray()
        self._may_repeat_events = self._has_forwarded

    def _filtered(self, complete: bytes) -> bytes:
        """Return those of the complete events that are to be forwarded."""
        if complete.find(b"\n\n") == len(complete) - 2:  # fast path for one event
            return complete if self._accept(complete) else b""
        forwarded = []
        for event in _split(complete):
            if self._accept(event):
                forwarded.append(event)
        return b"".join(forwarded)

    def _accept(self, event: bytes) -> bool:
        """Record one event; return False if it repeats an event that was forwarded from another server."""
        version = _VERSION.match(event)
        found = _ID.search(event)
        if found is None:
            self._last_event_has_id = self._last_event_has_id and b"data" not in event  # a comment is not an event
        elif not self._follows_last_id(found[1]):
            return False
        else:
            self.last_id, self._last_event_has_id = found[1], True
        if version is not None:
            self.version = version[1]
        self._has_forwarded, self._may_repeat_events = True, False
        return True

    def _follows_last_id(self, event_id: bytes) -> bool:
        """Return whether an id follows the last one; False means that the event repeats a forwarded one.

        Raises:
            BrokenStreamError: the id is neither a valid successor nor a valid repetition.
        """
        number, before = _as_number(event_id), self._number
        if number is None or before is None:
            if event_id == self.last_id and self._has_forwarded:
                if self._may_repeat_events:
                    return False
                raise BrokenStreamError("repeated event id")
            self._number = number
            return True
        if number <= before:
            if self._may_repeat_events:
                return False
            raise BrokenStreamError("event ids do not increase")
        self._number = number
        return True


def _as_number(event_id: bytes | None) -> int | None:
    return int(event_id) if event_id is not None and _NUMBER.fullmatch(event_id) is not None else None


def _end_of_events(received: bytes | bytearray, searched: int) -> int:
    """Return the offset behind the last blank line; 0 if there is none. None begins before the offset `searched`."""
    end = max(received.rfind(b"\n\n", searched) + 2, received.rfind(b"\n\r\n", searched) + 3)
    return 0 if end < 3 and not received.startswith(b"\n\n") else end


def _split(complete: bytes) -> list[bytes]:
    """Split complete events at their blank lines."""
    events, at = [], 0
    for end in _END.finditer(complete):
        if end.end() > at:
            events.append(complete[at : end.end()])
            at = end.end()
    if at < len(complete):
        events.append(complete[at:])
    return events

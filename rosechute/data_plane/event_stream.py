"""Framing of event streams: complete events, their ids, and the version of the weights. Pure.

The format is that of server-sent events (WHATWG HTML, 9.2).
"""

from __future__ import annotations

import re

VERSIONS = b"versions"
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_VERSION = re.compile(rb"versions:[ ]*([0-9]+)[ ]*\r?\n")
_END = re.compile(rb"\n\r?\n")
_NUMBER = re.compile(rb"[0-9]{1,18}")


class BrokenStreamError(Exception):
    """The bytes of a server can't continue its event stream."""


class EventStream:
    """The events of one response that may be joined from those of several servers.

    Only complete events are forwarded, with ids that rise without a gap or a repeat. An incomplete event is dropped
    with the response that it came in.

    Args:
        last_id: Of the last event that the client has; None for none.
        version: Of the weights by which the response is made; None where it is not known.
        max_event_bytes: Of one event.

    Attributes:
        last_id: Of the last event that was forwarded, or the client's own before that.
        version: Of the weights, as of that event.
    """

    __slots__ = (
        "last_id",
        "version",
        "_number",
        "_ids_are_consecutive",
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
        self._ids_are_consecutive: bool | None = None  # None until one id has followed another
        self._partial = b""  # of an event that is not complete
        self._has_forwarded = False  # whether an event was forwarded
        self._last_event_has_id = True  # of those that were forwarded
        self._may_repeat_events = False  # whether another server may send events again that were forwarded
        self._max_event_bytes = max_event_bytes

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream; return the events that they complete and that are to be forwarded.

        Raises:
            BrokenStreamError: an event is too long, or its id can't follow the last one.
        """
        if self._partial:
            data = self._partial + data
        end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\n\r\n") + 3)
        if end < 3 and not data.startswith(b"\n\n"):
            end = 0
        if len(data) - end > self._max_event_bytes:
            raise BrokenStreamError("an event is too long")
        complete, self._partial = (data, b"") if end == len(data) else (data[:end], data[end:])
        return self._filtered(complete) if complete else b""

    def finish(self, has_explicit_length: bool = True) -> bytes:
        """Return the last events: the server's response is complete, with a final blank line or without.

        Args:
            has_explicit_length: Whether its headers delimit it; otherwise only the close of its connection did.

        Raises:
            BrokenStreamError: a response without explicit length was closed inside an event.
        """
        remaining, self._partial = self._partial, b""
        if remaining and not has_explicit_length:
            raise BrokenStreamError("closed inside an event")
        return self._filtered(remaining) if remaining else b""

    def resumable(self) -> bool:
        """Return whether another server can continue exactly after the last forwarded event."""
        return self._last_event_has_id

    def start_next_response(self) -> None:
        """Continue with the response of another server, which starts after the last forwarded event."""
        self._partial = b""
        self._may_repeat_events = self._has_forwarded

    def _filtered(self, complete: bytes) -> bytes:
        """Return those complete events that are to be forwarded."""
        if complete.find(b"\n\n") == len(complete) - 2:  # the usual case: one event
            return complete if self._accept(complete) else b""
        forwarded = []
        for event in _split(complete):
            if self._accept(event):
                forwarded.append(event)
        return b"".join(forwarded)

    def _accept(self, event: bytes) -> bool:
        """Record one event; return False where it repeats one that was forwarded from another server."""
        version = _VERSION.match(event)
        found = _ID.search(event)
        if found is None:
            self._last_event_has_id = self._last_event_has_id and b"data" not in event  # a comment is no event
        elif not self._follows_last_id(found[1]):
            return False
        else:
            self.last_id, self._last_event_has_id = found[1], True
        if version is not None:
            self.version = version[1]
        self._has_forwarded, self._may_repeat_events = True, False
        return True

    def _follows_last_id(self, event_id: bytes) -> bool:
        """Return whether this id follows the last one; raise `BrokenStreamError` where neither is possible."""
        number, before = _as_number(event_id), self._number
        if number is None or before is None:
            if event_id == self.last_id and self._has_forwarded:
                if self._may_repeat_events:
                    return False
                raise BrokenStreamError("an id repeats")
            self._number = number
            return True
        if number <= before:
            if self._may_repeat_events:
                return False
            raise BrokenStreamError("ids do not rise")
        is_next = number == before + 1
        if not is_next and self._may_repeat_events and self._ids_are_consecutive:
            raise BrokenStreamError("ids leave a gap")
        self._ids_are_consecutive = is_next and self._ids_are_consecutive is not False
        self._number = number
        return True


def _as_number(event_id: bytes | None) -> int | None:
    return int(event_id) if event_id is not None and _NUMBER.fullmatch(event_id) is not None else None


def _split(complete: bytes) -> list[bytes]:
    """Return complete events one by one."""
    events, at = [], 0
    for end in _END.finditer(complete):
        if end.end() > at:
            events.append(complete[at : end.end()])
            at = end.end()
    if at < len(complete):
        events.append(complete[at:])
    return events

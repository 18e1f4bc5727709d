"""Framing of event streams: whole events, the ids they carry and the versions they name. Pure."""

from __future__ import annotations

import re

VERSIONS = b"versions"
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
_VERSION = re.compile(rb"versions:[ ]*([0-9]+)[ ]*\r?\n")
_END = re.compile(rb"\n\r?\n")
_NUMBER = re.compile(rb"[0-9]{1,18}")


class BrokenStreamError(Exception):
    """What a server sends can't be the continuation of its stream."""


class EventStream:
    """The events of one answer, over all runs that it is joined from: whole ones, whose ids rise without a gap or
    a repeat. What a run has sent of an event that it never ended is dropped with that run."""

    __slots__ = (
        "last_id",
        "version",
        "_number",
        "_ids_are_consecutive",
        "_partial",
        "_begun",
        "_last_event_has_id",
        "_may_repeat_events",
        "_most",
    )

    def __init__(self, last_id: bytes | None, version: bytes | None, most_bytes: int) -> None:
        self.last_id = last_id  # of the last event that was passed on; the client's where none was
        self.version = version  # of the weights, as of that event
        self._number = _as_number(last_id)
        self._ids_are_consecutive: bool | None = None  # whether ids rise by one; None where none has followed another
        self._partial = b""
        self._begun = False  # whether an event was passed on
        self._last_event_has_id = True  # whether the last one that was passed on carries an id
        self._may_repeat_events = False  # whether the events to come may repeat some that were passed on
        self._most = most_bytes

    def feed(self, data: bytes) -> bytes:
        """Take what has come; return the whole events that it completes. Raises `BrokenStreamError`."""
        if self._partial:
            data = self._partial + data
        end = max(data.rfind(b"\n\n") + 2, data.rfind(b"\n\r\n") + 3)
        if end < 3 and not data.startswith(b"\n\n"):
            end = 0
        if len(data) - end > self._most:
            raise BrokenStreamError("an event is too long")
        whole, self._partial = (data, b"") if end == len(data) else (data[:end], data[end:])
        return self._checked(whole) if whole else b""

    def finish(self, framed: bool = True) -> bytes:
        """The run has ended whole: what it has sent last is the end of the answer, with a blank line or without.
        Raises `BrokenStreamError` where only the close of its connection says so (not `framed`), inside an event."""
        rest, self._partial = self._partial, b""
        if rest and not framed:
            raise BrokenStreamError("closed inside an event")
        return self._checked(rest) if rest else b""

    def resumable(self) -> bool:
        """Whether another run can go on exactly where this answer stands."""
        return self._last_event_has_id

    def start_next_response(self) -> None:
        """Another run goes on behind the last event that was passed on."""
        self._partial = b""
        self._may_repeat_events = self._begun

    def _checked(self, whole: bytes) -> bytes:
        """Look through whole events; return those that go on."""
        if whole.find(b"\n\n") == len(whole) - 2:  # the usual case: one event
            return whole if self._check(whole) else b""
        passed = []
        for event in _split(whole):
            if self._check(event):
                passed.append(event)
        return b"".join(passed)

    def _check(self, event: bytes) -> bool:
        """Note one event; whether it goes on. One that repeats what was passed on is dropped where a run begins."""
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
        self._begun, self._may_repeat_events = True, False
        return True

    def _follows_last_id(self, event_id: bytes) -> bool:
        """Whether this id follows the last one; raises `BrokenStreamError` where it can't."""
        number, before = _as_number(event_id), self._number
        if number is None or before is None:
            if event_id == self.last_id and self._begun:
                if self._may_repeat_events:
                    return False
                raise BrokenStreamError("an id repeats")
            self._number = number
            return True
        if number <= before:
            if self._may_repeat_events:
                return False
            raise BrokenStreamError("ids do not rise")
        one = number == before + 1
        if not one and self._may_repeat_events and self._ids_are_consecutive:
            raise BrokenStreamError("ids leave a gap")
        self._ids_are_consecutive = one and self._ids_are_consecutive is not False
        self._number = number
        return True


def _as_number(event_id: bytes | None) -> int | None:
    return int(event_id) if event_id is not None and _NUMBER.fullmatch(event_id) is not None else None


def _split(whole: bytes) -> list[bytes]:
    """Whole events, one by one."""
    events, at = [], 0
    for end in _END.finditer(whole):
        if end.end() > at:
            events.append(whole[at : end.end()])
            at = end.end()
    if at < len(whole):
        events.append(whole[at:])
    return events

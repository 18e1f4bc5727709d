"""The one answer that a client's request gets: an own status, a server's whole answer, or one that is passed on as it
comes. An event stream that may be resumed is joined from the answers of several servers.

A client that has reset its connection, unread so far, may make the end of its answer fail (asyncio's own loop raises
OSError where it shuts the connection down). That is no fault of the request, and its connection ends by itself.
"""

from __future__ import annotations

from contextlib import suppress

from hollyport.core.flow import Source
from hollyport.http1.connection import Reply
from hollyport.http1.message import HOP_BY_HOP, Headers, Message
from rosechute.data_plane.admission import REQUEST_ID, Admitted, Resume
from rosechute.data_plane.events import VERSIONS, BrokenStream, EventStream

NOT_RETURNED = HOP_BY_HOP | {b"content-length"}
MAX_EVENT_BYTES = 256 * 1024  # of one event, where only whole ones are passed on
BLANK_LINES = (b"\n\r\n", b"\n\n")  # the ends of an event


class ClientAnswer:
    """What a client is answered with, and how far that has gone."""

    __slots__ = ("begun", "_message", "_admitted", "_events", "_framed", "_last_bytes")

    def __init__(self, message: Message, admitted: Admitted) -> None:
        self.begun = False  # whether the head of an answer has gone out that is passed on as it comes
        self._message, self._admitted = message, admitted
        self._events: EventStream | None = None  # of that answer, where several servers' answers may be joined
        self._framed = True  # whether the server's answer says itself where it ends
        self._last_bytes = b""  # that the client was sent

    # --- answers in one piece

    def send_own(self, status: int, retry_after_s: float = 0.0) -> None:
        """Answer with a status of our own."""
        headers: Headers = [(REQUEST_ID, self._admitted.request_id)]
        if retry_after_s > 0.0:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        with suppress(OSError):
            self._message.reply(status, b"", headers)

    def send_whole(self, reply: Reply) -> None:
        """Answer with a server's whole answer, as it is."""
        with suppress(OSError):
            self._message.reply(reply.status, reply.body, returned_headers(reply))

    # --- answers that are passed on as they come

    def begin(self, reply: Reply, length: int | None, source: Source) -> bool:
        """Send the head of a server's answer; whether there is a client for it. `source` is told when the client
        takes no more."""
        admitted, message = self._admitted, self._message
        if admitted.route.streaming:
            length = None
            if admitted.route.repeatable:
                self._events = EventStream(admitted.last_event_id, reply.header(VERSIONS), MAX_EVENT_BYTES)
        if not message.connection.begin_answer(message, reply.status, returned_headers(reply), length, source):
            return False
        self.begun = True
        self._framed = is_framed(reply)
        return True

    def pass_on(self, data: bytes) -> bool:
        """Pass on what a server has sent, of an event stream that may be resumed whole events only; whether anything
        went out. Raises `BrokenStream`."""
        if self._events is not None:
            data = self._events.feed(data)
        if not data:
            return False
        self._last_bytes = data[-len(BLANK_LINES[0]) :]
        self._message.connection.pass_on(self._message, data)
        return True

    def rest(self) -> bytes:
        """What is to be passed on still, now that the server's answer has come to its end. Raises `BrokenStream`."""
        if self._events is not None:
            return self._events.finish(self._framed)
        inside_event = self._last_bytes and not self._last_bytes.endswith(BLANK_LINES)
        if self._admitted.route.streaming and not self._framed and inside_event:
            raise BrokenStream("closed inside an event")
        return b""

    def finish(self, rest: bytes) -> None:
        """The answer is whole with these bytes."""
        if rest:
            self._message.connection.pass_on(self._message, rest)
        with suppress(OSError):
            self._message.connection.end_answer(self._message, True)

    def cut(self) -> None:
        """The answer that has begun can't be finished: the client sees it break off."""
        with suppress(OSError):
            self._message.connection.end_answer(self._message, False)

    # --- going on at another server

    def resumable(self) -> bool:
        """Whether another server can go on exactly where this answer stands."""
        return self._events is not None and self._events.resumable()

    def resume_point(self) -> Resume | None:
        """Where another server is to go on; None where the answer is not joined from several."""
        events = self._events
        return Resume(events.last_id, events.version) if events is not None else None

    def go_on(self, reply: Reply) -> bool:
        """Another server's answer goes on with this one; False where it can't, as its weights are others."""
        events, version = self._events, reply.header(VERSIONS)
        if events is None or (events.version is not None and version not in (None, events.version)):
            return False
        events.next_run()
        self._framed = is_framed(reply)
        return True

    def go_on_whole(self, reply: Reply) -> bytes | None:
        """What a whole answer of another server adds to this one, which it ends; None where its weights are others.
        Raises `BrokenStream`."""
        if not self.go_on(reply):
            return None
        assert self._events is not None
        return self._events.feed(reply.body) + self._events.finish(self._framed)


def is_framed(reply: Reply) -> bool:
    """Whether an answer says itself where it ends; else the close of its connection does."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in reply.headers)


def returned_headers(reply: Reply) -> Headers:
    """A server's headers, but for those that speak of its connection."""
    return [pair for pair in reply.headers if pair[0] not in NOT_RETURNED]

"""The one response to a client's request.

It is a status of the edge's own, a server's complete response, or a response that is forwarded while it arrives. A
resumable event stream is joined from the responses of several servers.

A client that has reset its connection, with the reset still unread here, may make the end of its response fail:
asyncio's own loop raises OSError where it shuts the connection down. The request is not at fault, and the connection
ends by itself, so that error is suppressed.
"""

from __future__ import annotations

from contextlib import suppress

from rosechute.data_plane.admission import AdmittedRequest
from rosechute.data_plane.event_stream import VERSIONS, BrokenStreamError, EventStream
from rosechute.data_plane.request_headers import REQUEST_ID
from rosechute.data_plane.server_request import ResumePoint
from rosechute.proxy.core.flow import Source
from rosechute.proxy.http1.connection import Reply
from rosechute.proxy.http1.message import HOP_BY_HOP, Headers, Message

NOT_FORWARDED_TO_CLIENTS = HOP_BY_HOP | {b"content-length"}
MAX_EVENT_BYTES = 256 * 1024  # of one event, where only complete ones are forwarded
BLANK_LINES = (b"\n\r\n", b"\n\n")  # that end an event


class ClientResponse:
    """The response to one request, and how much of it has been sent.

    Attributes:
        is_started: Whether the head of a forwarded response has been sent. Its status can't change any more.
    """

    __slots__ = ("is_started", "_message", "_admitted", "_events", "_has_explicit_length", "_last_bytes")

    def __init__(self, message: Message, admitted: AdmittedRequest) -> None:
        self.is_started = False
        self._message, self._admitted = message, admitted
        self._events: EventStream | None = None  # set where responses of several servers may be joined
        self._has_explicit_length = True  # of the server's current response
        self._last_bytes = b""  # that were forwarded

    # --- responses in one piece

    def send_local_response(self, status: int, retry_after_s: float = 0.0) -> None:
        """Send a status of the edge's own, without a body; `Retry-After` in seconds where it is above 0."""
        headers: Headers = [(REQUEST_ID, self._admitted.request_id)]
        if retry_after_s > 0.0:
            headers.append((b"retry-after", b"%.3f" % retry_after_s))
        with suppress(OSError):
            self._message.reply(status, b"", headers)

    def send_complete_response(self, reply: Reply) -> None:
        """Send a server's complete response unchanged."""
        with suppress(OSError):
            self._message.reply(reply.status, reply.body, forwarded_headers(reply))

    # --- responses that are forwarded while they arrive

    def start(self, reply: Reply, length: int | None, source: Source) -> bool:
        """Send the head of a server's response.

        Args:
            reply: Status and headers.
            length: Bytes of the body; None where it is not known.
            source: Paused and resumed by the client's connection.

        Returns:
            False where the client has disconnected.
        """
        admitted, message = self._admitted, self._message
        if admitted.route.streaming:
            length = None
            if admitted.route.repeatable:
                self._events = EventStream(admitted.last_event_id, reply.header(VERSIONS), MAX_EVENT_BYTES)
        if not message.connection.begin_answer(message, reply.status, forwarded_headers(reply), length, source):
            return False
        self.is_started = True
        self._has_explicit_length = has_explicit_length(reply)
        return True

    def forward(self, data: bytes) -> bool:
        """Forward bytes of a server's response; of a resumable event stream, the events that they complete.

        Returns:
            Whether anything was sent.

        Raises:
            BrokenStreamError: the bytes can't continue this stream.
        """
        if self._events is not None:
            data = self._events.feed(data)
        if not data:
            return False
        self._last_bytes = data[-len(BLANK_LINES[0]) :]
        self._message.connection.pass_on(self._message, data)
        return True

    def remaining_bytes(self) -> bytes:
        """Return what is still to be sent now that the server's response has ended.

        Raises:
            BrokenStreamError: the response ended inside an event.
        """
        if self._events is not None:
            return self._events.finish(self._has_explicit_length)
        inside_event = self._last_bytes and not self._last_bytes.endswith(BLANK_LINES)
        if self._admitted.route.streaming and not self._has_explicit_length and inside_event:
            raise BrokenStreamError("closed inside an event")
        return b""

    def finish(self, remaining: bytes) -> None:
        """Send the last bytes and end the response as complete."""
        if remaining:
            self._message.connection.pass_on(self._message, remaining)
        with suppress(OSError):
            self._message.connection.end_answer(self._message, True)

    def truncate(self) -> None:
        """End a started response as incomplete: the client sees its connection break."""
        with suppress(OSError):
            self._message.connection.end_answer(self._message, False)

    # --- resuming at another server

    def is_resumable(self) -> bool:
        """Return whether another server can continue exactly where this response stands."""
        return self._events is not None and self._events.resumable()

    def resume_point(self) -> ResumePoint | None:
        """Return where another server has to continue; None where the response is not an event stream to resume."""
        events = self._events
        return ResumePoint(events.last_id, events.version) if events is not None else None

    def resume_from(self, reply: Reply) -> bool:
        """Continue with the response of another server.

        Returns:
            False where it can't continue this one, as it comes from other weights.
        """
        events, version = self._events, reply.header(VERSIONS)
        if events is None or (events.version is not None and version not in (None, events.version)):
            return False
        events.start_next_response()
        self._has_explicit_length = has_explicit_length(reply)
        return True

    def resume_with_complete_response(self, reply: Reply) -> bytes | None:
        """Return the bytes that the complete response of another server adds to this one, which it ends.

        Returns:
            None where it can't continue this response, as it comes from other weights.

        Raises:
            BrokenStreamError: its events can't continue this stream.
        """
        if not self.resume_from(reply):
            return None
        assert self._events is not None
        return self._events.feed(reply.body) + self._events.finish(self._has_explicit_length)


def has_explicit_length(reply: Reply) -> bool:
    """Return whether the headers delimit the body; otherwise the close of the connection does (RFC 9112, 6.3)."""
    return any(name in (b"content-length", b"transfer-encoding") for name, _ in reply.headers)


def forwarded_headers(reply: Reply) -> Headers:
    """Return a server's headers without those that concern its connection only."""
    return [pair for pair in reply.headers if pair[0] not in NOT_FORWARDED_TO_CLIENTS]

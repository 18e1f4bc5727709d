"""Server side of HTTP/1.1: a connection from a client, its requests and responses, and limits on both."""

from __future__ import annotations

import asyncio
import re
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from rosechute.proxy.core.flow import Body, Budget, Pieces, Source, memory_of_header
from rosechute.proxy.core.log import LOG
from rosechute.proxy.core.shedding import Standing
from rosechute.proxy.http1 import quick
from rosechute.proxy.http1.framing import has_excess_framing
from rosechute.proxy.http1.message import Headers, Message, head

MAX_BODY = 33 << 20  # bytes of a request's body; 32 MB are guaranteed
STREAM_PARSE_BYTES = 64 * 1024  # bytes parsed at a time within a streamed body, where no request can begin
MAX_HEAD = 32 * 1024  # bytes
MAX_SIMPLE_HEAD = 8 * 1024  # bytes of a head that is parsed at once; the parser takes a longer one in pieces
# A body is finely chunked if its framing takes more than this fraction of its payload. It costs much more time than
# another of its size, and is parsed in turns of so many bytes.
FINE_FRAMING_DIVISOR = 4
FINE_PARSE_BYTES = 16 * 1024
MAX_DRAIN = 96 * 1024 * 1024  # bytes discarded after an error, so that the client can read the response
PARSE_BYTES = 4096  # bytes parsed at a time: limits how many requests one read can begin
HEAD_TIMEOUT_S = 2.4  # time for a request's head, from the connect or, for a later request, from its first byte
BODY_PAUSE_S = 1.2  # how long a body may pause after that time
BODY_BASE_S = 4.0  # time for a body in addition to its time at the lowest rate
MIN_BODY_RATE = 32 * 1024  # lowest accepted rate of a body, in bytes per second
KEEPALIVE_INTERVAL_S = 1  # interval of TCP keepalive probes to a client whose body pauses
KEEPALIVE_PROBES = 2  # unanswered TCP keepalive probes after which the connection is lost
STALLED_S = 0.3  # a client that has sent nothing for this long in the middle of a request has stalled
SHED_STATUS = 503  # response to a request that gives way; it promises that the request was not executed
SHED_RETRY_AFTER = b"1"  # seconds
CUT_STATUS = 502  # the same after a server has got a part of the request; it promises nothing
MAX_STARTED_PER_READ = 4  # requests of one read that are handled at once; later ones take turns
MAX_PIPELINED = 8  # pipelined requests that are parsed ahead; further ones stay unparsed or in the kernel
# Statuses after which the connection closes: what follows such a request is likely to be invalid, too.
CLOSING_STATUSES = frozenset({400, 404, 405, 408, 409, 413, 417, 431})
METHODS = frozenset({b"GET", b"POST"})
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: a close resets the connection
DIGITS = re.compile(rb"[0-9]{1,18}")


Queue = dict["ClientConnection", float]


@dataclass(slots=True)
class ConnectionLimits:
    """Limits on the requests of a listener's clients.

    The defaults are the sidecar's. Other users of the listener set their own and may change them at any time.

    Attributes:
        max_head: Limit of a request's head, in bytes.
        max_body: Limit of a request's body, in bytes.
        head_timeout_s: Seconds from the connect, or the first byte of a later request, to the end of its head.
        body_pause_s: Seconds for which a body may pause. Where this is above the default, the kernel probes a client
            whose body pauses for longer than the default.
        body_base_s: Seconds for a body in addition to its time at the lowest rate.
        methods: Accepted methods.
        has_reserved_paths: Whether paths below `/-/` are reserved: `/-/ready` reports readiness, others do not
            exist.
        closing_statuses: Statuses after which the connection closes.
    """

    max_head: int = field(default_factory=lambda: MAX_HEAD)
    max_body: int = field(default_factory=lambda: MAX_BODY)
    head_timeout_s: float = field(default_factory=lambda: HEAD_TIMEOUT_S)
    body_pause_s: float = field(default_factory=lambda: BODY_PAUSE_S)
    body_base_s: float = field(default_factory=lambda: BODY_BASE_S)
    methods: frozenset[bytes] = METHODS
    has_reserved_paths: bool = True
    closing_statuses: frozenset[int] = CLOSING_STATUSES


class Service(Protocol):
    """Handler of the requests of all connections."""

    def ready(self) -> bool:
        """Return whether the process is ready for requests."""
        ...

    def request(self, message: Message) -> None:
        """Handle a request. Its body is complete or, if it is streamed, still arriving."""
        ...

    def complete(self, message: Message) -> None:
        """Handle the end of a streamed request body."""
        ...

    def hangup(self, message: Message) -> None:
        """Handle a client's disconnect before the end of the response."""
        ...


class ConnectionOwner(Protocol):
    """The part of the listener that its connections use. A connection is in at most one of the queues."""

    service: Service
    budget: Budget
    limits: ConnectionLimits
    receiving: Queue  # receiving a request
    idle: Queue  # idle between requests
    readiness_only: Queue  # idle, and only readiness has been requested
    lingering: Queue  # closing after the last response
    paused: set[ClientConnection]  # reading is paused, so that a disconnect has to be polled for
    forwarding: set[ClientConnection]  # forwarding a body that is still arriving

    def relieve(self) -> None:
        """Have connections give way: the budget is spent."""
        ...

    def defer(self, callback: Callable[[], None]) -> bool:
        """Run a callback after those of other connections, in a turn of its own; return False if too many wait."""
        ...

    def may_stream(self) -> bool:
        """Return whether one more body may be forwarded while it arrives, after making room for it if necessary."""
        ...

    def on_connected(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        ...

    def on_disconnected(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        ...

    def move(self, connection: ClientConnection, queue: Queue | None) -> None:
        """Move a connection to a queue, or to none."""
        ...

    def watch_paused(self, connection: ClientConnection) -> None:
        """Poll a connection for a disconnect while reading from it is paused."""
        ...

    def exceeds_keep_alive_limit(self) -> bool:
        """Return whether connections should close after a response."""
        ...

    def is_keep_alive_disabled(self) -> bool:
        """Return whether each response is the last one on its connection."""
        ...


class InvalidRequestError(Exception):
    """The received data is not a valid request; raised in a parser callback to stop the parser."""


class ClientConnection(asyncio.Protocol):
    """One connection from a client.

    Requests may be pipelined. They are handled one after another, and each gets one response.

    Attributes:
        current_queue: The listener's queue that holds the connection.
        accepted: When the connection was accepted.
        last_read_at: When data was last read, or when reading was last resumed.
        last_written_at: When the client last read a part of a response that it had not kept up with.
    """

    def __init__(self, listener: ConnectionOwner, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self.current_queue: dict[ClientConnection, float] | None = None
        self.accepted = loop.time()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._message: Message | None = None  # the request being received
        self._message_bytes = 0  # bytes received since the request began, for the limit of its head
        self._in_head = True
        self._body: Pieces | None = None  # received bytes of a body that is not forwarded while it arrives
        self._size = 0
        self._framing_bytes = 0  # bytes received for the body of the request, with its framing
        self._unsent_bytes = 0  # bytes of responses that are charged until the kernel accepts them
        self._unparsed_at = 0  # offset of the first byte in `_unparsed` that is not parsed
        self._unparsed = b""  # data read but not parsed: enough requests are pending, or enough of a body
        self._paused = False
        self._is_deferred = False  # reading is paused until the listener gives this connection its next turn
        self._budget = listener.budget
        self._limits = listener.limits
        self._active: Message | None = None  # the request whose response is due
        self._pipelined: deque[Message] = deque()  # requests received ahead of the response before them
        self._started_requests = 0  # requests of the data being parsed that were handled at once
        self._length: int | None = None
        self._stream: Body | None = None  # streamed body of the request being received
        self._buffered_bytes = 0  # bytes of buffered bodies
        self._waits_to_stream = False  # the request being received has to wait until the ones before it are answered
        self._owes_continue = False
        self._source: Source | None = None  # source of the streamed response
        # Whether the response is chunked, and whether the connection stays open after it.
        self._chunked = self._keep_alive = False
        self.last_read_at = self.last_written_at = self.accepted
        self._has_request = False  # a complete request has arrived
        self._has_service_request = False  # a request other than for readiness has arrived
        self._error_status = 0  # status with which to reject the received data
        self._discards_input = False  # received data is discarded
        self._discarded_bytes = 0  # bytes of it
        self._is_write_paused = False  # writing is paused: the client does not read its responses
        self._unsent_before = 0  # unsent bytes of the last response at the last check
        self._unsent_changed_at = 0.0  # when their number last changed
        self._is_keepalive_enabled = False  # the kernel sends TCP keepalive probes

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the listener."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._listener.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data, keep it for later, or discard it after an error."""
        self.last_read_at = self._loop.time()
        if self._discards_input:
            # A close with unread data would reset the connection, and the client could lose the error response.
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DRAIN:
                self.abort()
            return
        if self._unparsed:
            self._keep_unparsed(b"".join((self._unparsed[self._unparsed_at :], data)), 0)
            return
        if (
            self._message_bytes
            or self._message is not None
            or self._active is not None
            or not self._parse_simple(data)
        ):
            self._parse_pieces(data)

    def _parse_simple(self, data: bytes) -> bool:
        """Handle `data` without the parser if it is exactly one ordinary request; return whether it was.

        Only called between requests, when the parser holds no part of one.
        """
        if self._pipelined or self._is_write_paused or self._waits_to_stream or self._error_status:
            return False
        found = quick.request(data, min(self._limits.max_head, MAX_SIMPLE_HEAD), self._budget.share)
        if found is None or len(found[4]) > self._limits.max_body:
            return False
        message = Message(self)
        message.method, message.target, message.headers, message.headers_by_name, message.body = found
        message.began = message.came = self.last_read_at
        message.complete = True
        self._has_request = True
        if message.body:
            self._charge_message(message, len(message.body))
        self._start_request(message)
        return True

    def _keep_unparsed(self, data: bytes, at: int) -> None:
        """Keep data from an offset on for later, in place of what was kept before; all of it is held."""
        self._charge(len(data) - len(self._unparsed))
        self._unparsed, self._unparsed_at = data, at

    def _take_unparsed(self) -> bytes:
        """Remove and return the data that was kept, with what was parsed of it already."""
        data = self._unparsed
        self._keep_unparsed(b"", 0)
        return data

    def _parse_pieces(self, data: bytes, start: int = 0) -> None:
        """Parse data from an offset on, in pieces, until enough requests are pending; keep the rest."""
        at = start
        self._started_requests = 0
        while at < len(data) and not self._discards_input and not self._is_closing():
            if self._should_pause():
                self._keep_unparsed(data, at)
                self._pause()
                return
            if at - start >= FINE_PARSE_BYTES and self._is_finely_chunked():
                self._keep_unparsed(data, at)
                self._defer()
                return
            size = STREAM_PARSE_BYTES if self._stream is not None else PARSE_BYTES
            piece = data[at : at + size]
            at += size
            self._feed_parser(piece)
            if not self._in_head and self._stream is None and self._size > self._budget.share:
                self._start_streaming()
            if self._budget.is_spent:
                self._listener.relieve()
        if self._should_pause():
            self._pause()
        if (self._active is None or self._stream is not None) and not self._discards_input:
            self._listener.move(self, self._idle_queue())

    def _is_closing(self) -> bool:
        """Return whether the connection is lost or closing: what was read of it needs no response any more."""
        return self._transport is None or self._transport.is_closing()

    def _is_finely_chunked(self) -> bool:
        """Return whether the body that is being received has many short chunks."""
        return not self._in_head and self._framing_bytes > self._size + self._size // FINE_FRAMING_DIVISOR

    def _defer(self) -> None:
        """Pause reading until the listener gives this connection its next turn."""
        if not self._listener.defer(self._resume_deferred):
            self.shed()
            return
        self._pause()
        self._is_deferred = True

    def _resume_deferred(self) -> None:
        """Parse the next part of a finely chunked body."""
        self._is_deferred = False
        if self._paused and not self._should_pause():
            self._resume_reading()

    def _should_pause(self) -> bool:
        """Return whether reading should pause."""
        if self._stream is not None:
            return self._stream.held > self._budget.share
        if self._pipelined and self._buffered_bytes > self._budget.share:
            return True
        return len(self._pipelined) >= MAX_PIPELINED or self._is_write_paused or self._waits_to_stream

    def _pause(self) -> None:
        """Pause reading."""
        self._paused = True
        self._listener.watch_paused(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _on_body_drained(self) -> None:
        """Resume reading once enough of the streamed body has been forwarded."""
        if self._is_deferred:
            return
        if self._paused and self._stream is not None and self._stream.held <= self._budget.share // 2:
            self._paused = False
            self._loop.call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        """Parse the data that was kept, then resume reading."""
        self.last_read_at = self._loop.time()  # the pause was not caused by the client
        if self._transport is None or self.check_disconnected():
            return  # a request that was read ahead would be sent although its client has disconnected
        at = self._unparsed_at
        rest = self._take_unparsed()
        self._paused = False
        if rest:
            self._parse_pieces(rest, at)
        if not self._paused and not self._unparsed and not self._transport.is_closing():
            self._listener.paused.discard(self)
            self._transport.resume_reading()

    def _start_streaming(self) -> None:
        """Start to stream a body that is too large to buffer; wait if earlier requests are not answered yet."""
        message = self._message
        if message is None or self._discards_input:
            return
        if self._active is not None or self._pipelined:
            self._waits_to_stream = True
            return
        self._waits_to_stream = False
        if not self._listener.may_stream():
            self.shed()
            return
        received, self._body = self._body, None
        if received is not None:
            self._charge_message(message, -received.size)  # the stream charges it
        self._stream = message.stream = Body(self._budget, self._length, self._on_body_drained, received)
        self._listener.forwarding.add(self)
        message.came = self._loop.time()
        self._start_request(message)

    def _charge(self, size: int) -> None:
        """Charge the budget for buffered bytes; a negative size releases them."""
        self._buffered_bytes += size
        self._budget.take(size)

    def _charge_message(self, message: Message, size: int) -> None:
        """Charge the budget for bytes that are held until a request has been answered."""
        message.held += size
        self._charge(size)

    def charge_unsent(self) -> None:
        """Charge the budget for the response bytes that the kernel has not accepted by now."""
        unsent = self.unsent_bytes()
        if unsent != self._unsent_bytes:
            self.last_written_at = self._loop.time()
            self._budget.take(unsent - self._unsent_bytes)
            self._unsent_bytes = unsent
            if self._budget.is_spent:
                self._listener.relieve()

    def _feed_parser(self, piece: bytes) -> None:
        """Feed the parser; reject invalid data."""
        assert self._parser is not None
        self._message_bytes += len(piece)
        if not self._in_head:
            self._framing_bytes += len(piece)
        try:
            while piece:
                piece = self._parse_until_offer(piece)
        except httptools.HttpParserError:  # also raised for exceptions in callbacks
            self._error_status = self._error_status or 400
        # Received bytes are counted, as the parser reports a header only at its end and buffers it until then.
        if self._in_head and self._message_bytes > self._limits.max_head:
            self._error_status = self._error_status or 431
        if has_excess_framing(self._framing_bytes, self._size) and not self._in_head:
            self._error_status = self._error_status or 400
        # If a request in this piece got an error response, the data behind it gets no second one.
        if self._error_status and not self._discards_input:
            if self._stream is not None:
                self._abort_streamed_request()  # the rest of the streamed body can't be parsed
                return
            self._discards_input = True
            self._parser = None
            if self._active is None:
                self._reject_input()

    def _parse_until_offer(self, piece: bytes) -> bytes:
        """Parse data up to the end of a head that offers another protocol; return the data behind it.

        Raises:
            httptools.HttpParserError: The data is invalid.
        """
        if self._parser is None:
            return b""  # the connection was closed while earlier data of this piece was parsed
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as stopped:
            self._decline_offer()
            return piece[stopped.args[0] :]
        return b""

    def _decline_offer(self) -> None:
        """Parse a head that offers another protocol again, without the offer.

        A server may ignore the offer (RFC 9110, section 7.8). The parser takes it for accepted: it ends the request
        without its body, and it parses nothing that follows.
        """
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        start_line = b"%s %s HTTP/%s\r\n" % (
            parser.get_method(),
            message.target,
            parser.get_http_version().encode(),
        )
        fields = [b"%s: %s\r\n" % pair for pair in message.headers if pair[0] != b"upgrade"]
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"".join((start_line, *fields, b"\r\n")))

    def eof_received(self) -> None:
        """Treat the end of the input as a disconnect.

        The transport closes once all is written. That may never happen, so the listener watches the connection.
        """
        self._on_client_disconnected()
        self._listener.move(self, self._listener.lingering)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the listener and cancel its requests."""
        self._listener.on_disconnected(self)
        self._on_client_disconnected()
        self._budget.give(self._unsent_bytes)
        self._unsent_bytes = 0

    def _on_client_disconnected(self) -> None:
        """Cancel all requests: the client has disconnected."""
        self._listener.paused.discard(self)
        self._discards_input = True
        self._parser = None  # breaks a reference cycle, so that both are freed without the garbage collector
        self._message = None
        self._unparsed, self._unparsed_at = b"", 0
        self._body = None
        self._pipelined.clear()
        self._charge(-self._buffered_bytes)
        self._source = None
        active, self._active = self._active, None
        if active is not None:
            self._listener.service.hangup(active)
        self._drop_stream()

    def _drop_stream(self) -> None:
        """Discard the rest of a body that is being forwarded."""
        if self._stream is not None:
            self._stream.drop()
            self._stream = None
            self._listener.forwarding.discard(self)

    def pause_writing(self) -> None:
        """Start no further request and pause the streamed response: the client does not read."""
        self._is_write_paused = True
        if self._source is not None:
            self._source.pause()

    def resume_writing(self) -> None:
        """Resume the streamed response or start the next request."""
        self._is_write_paused = False
        self.charge_unsent()
        if self._source is not None:
            self._source.resume()
        if self._active is None:
            self._start_next()

    # --- httptools

    def on_message_begin(self) -> None:
        """Start a request, or start anew one whose head is parsed again."""
        began = self.last_read_at if self._message is None else self._message.began
        self._message = Message(self)
        self._message.began = began
        self._in_head = True
        self._body, self._size, self._stream = None, 0, None
        self._framing_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if self._message is not None:
            self._message.target = b"".join((self._message.target, url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore trailers, which must not alter the meaning of a request."""
        assert self._message is not None
        if self._in_head:
            self._message.headers.append((name.lower(), value.strip(b" \t")))  # the parser leaves trailing spaces
            self._charge_message(self._message, memory_of_header(name, value))

    def on_headers_complete(self) -> None:
        """Check the head.

        Ambiguous framing is rejected: two parsers could read it differently, which enables request smuggling.

        Raises:
            InvalidRequestError: The request is invalid or too long; `_error_status` holds the status.
        """
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        if parser.get_method() == b"CONNECT":
            self._error_status = 405  # the parser reads no request behind it
            raise InvalidRequestError
        if parser.should_upgrade():
            return  # the head is parsed again, without its offer
        self._in_head = False
        lengths, codings = message.all(b"content-length"), message.all(b"transfer-encoding")
        hosts, version = len(message.all(b"host")), parser.get_http_version()
        if (
            len(lengths) > 1
            or any(DIGITS.fullmatch(value) is None for value in lengths)
            or (codings and (lengths or version != "1.1" or [v.lower() for v in codings] != [b"chunked"]))
            or hosts > 1
            or (not hosts and version == "1.1")
            or version not in ("1.0", "1.1")
        ):
            self._error_status = 400
        elif lengths and int(lengths[0]) > self._limits.max_body:
            self._error_status = 413
        else:
            expect = message.header(b"expect")
            if expect is not None and expect.lower() != b"100-continue":
                self._error_status = 417
            elif expect is not None:
                self._owes_continue = True
                self._continue()
        if self._error_status:
            raise InvalidRequestError
        message.method = parser.get_method()
        message.target = origin_form(message.target)
        message.chunks = version == "1.1"
        self._length = int(lengths[0]) if lengths else None

    def _continue(self) -> None:
        """Send `100 Continue` if the client waits for it and no earlier response is due."""
        owes = self._owes_continue and self._message is not None and not self._pipelined
        if owes and self._transport is not None and self._active is None and not self._discards_input:
            self._owes_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Buffer or forward a part of the body.

        Raises:
            InvalidRequestError: The body is too long.
        """
        self._size += len(body)
        if self._size > self._limits.max_body:
            self._error_status = 413
            raise InvalidRequestError
        if self._stream is not None:
            self._stream.put(body)
        else:
            if self._body is None:
                self._body = Pieces()
            self._body.append(body)
            if self._message is not None:
                self._charge_message(self._message, len(body))

    def on_message_complete(self) -> None:
        """Complete the request; handle it now or once the ones before it are answered."""
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        if parser.should_upgrade():
            return  # not the end of the request: its head is parsed again, without the offer
        self._message = None
        self._message_bytes, self._in_head, self._has_request = 0, True, True
        self._owes_continue = False
        if self._discards_input:
            return
        message.keep_alive = parser.should_keep_alive()
        message.came = self._loop.time()
        message.complete = True
        stream, self._stream = self._stream, None
        if stream is not None:
            self._listener.forwarding.discard(self)
            self._listener.move(self, None)
            self._listener.service.complete(message)
            stream.finish()
            return
        if self._body is not None:
            message.body = self._body.join()
        self._body = None
        self._start_or_queue(message)

    def _start_or_queue(self, message: Message) -> None:
        """Handle a complete request now, in a later turn of the event loop, or once those before it are answered."""
        if self._active is not None or self._pipelined or self._is_write_paused:
            self._pipelined.append(message)
        elif self._started_requests < MAX_STARTED_PER_READ:
            self._started_requests += 1
            self._start_request(message)
        else:
            self._pipelined.append(message)
            self._loop.call_soon(self._start_next)

    # --- responses

    def _start_request(self, message: Message) -> None:
        """Handle a request: respond directly or pass it to the service."""
        self._active = message
        self._listener.move(self, None if message.complete else self._listener.receiving)
        limits = self._limits
        if limits.has_reserved_paths and message.target.startswith(b"/-/"):
            path = message.target.partition(b"?")[0]
            message.reply((200 if self._listener.service.ready() else 503) if path == b"/-/ready" else 404)
        elif message.method not in limits.methods:
            message.reply(405, headers=self._allowed_methods())
        # The client may have disconnected before its first request was read.
        elif self._has_service_request or not self.check_disconnected():
            self._has_service_request = True
            try:
                self._listener.service.request(message)
            except Exception:
                # The parser would turn an exception in its callback into a parser error and hide the cause.
                LOG.error("clients.broken", exc_info=True)
                message.reply(500)

    def _allowed_methods(self) -> Headers:
        """Return the header that a response with status 405 needs."""
        return [(b"Allow", b", ".join(sorted(self._limits.methods)))]

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """Send a response with a complete body."""
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._keep_alive = self._stays_open(message) and status not in self._limits.closing_statuses
        # Bytes are joined, here and above, because mypyc 1.19.1 leaks memory when it compiles `bytes + bytes`.
        transport.write(b"".join((head(status, len(body), headers, self._keep_alive), body)))
        self.charge_unsent()
        self._finish_response(message, status in self._limits.closing_statuses)

    def _stays_open(self, message: Message) -> bool:
        """Return whether the connection stays open after the response to `message`."""
        # The number of connections is limited: many clients that each send one request would use up all of them.
        last = self._listener.is_keep_alive_disabled() or self._listener.exceeds_keep_alive_limit()
        ahead = bool(self._pipelined or self._unparsed)
        return message.keep_alive and message.complete and (ahead or not last)

    def begin_response(
        self, message: Message, status: int, headers: Headers, length: int | None, source: Source
    ) -> bool:
        """Start a streamed response; return whether the client can still receive it."""
        transport = self._transport
        if message is not self._active or transport is None or transport.is_closing():
            return False
        self._chunked = length is None and message.chunks
        self._keep_alive = self._stays_open(message) and (length is not None or self._chunked)
        self._source = source
        # The transport's write buffer is limited like any other buffer for a body.
        transport.set_write_buffer_limits(high=min(STREAM_PARSE_BYTES, self._budget.share))
        transport.write(head(status, length, headers, self._keep_alive, self._chunked))
        if self._is_write_paused:
            source.pause()
        return True

    def pass_on(self, message: Message, data: bytes) -> None:
        """Send a part of a streamed response."""
        if message is self._active and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)
            self.charge_unsent()

    def end_response(self, message: Message, is_complete: bool) -> None:
        """End a streamed response.

        An incomplete response ends without its last chunk or short of its length, so that the client detects it.
        """
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._source = None
        if is_complete:
            if self._chunked:
                transport.write(b"0\r\n\r\n")
            self._finish_response(message, False)
            return
        self._keep_alive = False
        if not message.chunks:
            # A regular close would look like the end of the response, so the connection is reset.
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            transport.abort()
        else:
            self._finish_response(message, False)

    def _finish_response(self, message: Message, closing: bool) -> None:
        """Continue after a response: start the next request or close the connection.

        Args:
            message: The request that was answered.
            closing: Whether the status requires that the connection closes.
        """
        transport = self._transport
        assert transport is not None
        self._active = None
        self._charge(-min(self._buffered_bytes, message.held))
        self._continue()
        if not message.complete:
            self._close_lingering()  # the rest of its body is read and discarded
        elif (
            not (self._keep_alive or closing or self._error_status or self.unsent_bytes())
            and self.has_no_unread_data()
        ):
            # All is sent and nothing is unread. A close with unread data would reset the connection, and the
            # client could lose the response.
            self._discards_input = True
            self._listener.move(self, self._listener.lingering)
            transport.close()
        elif not self._keep_alive:
            self._close_lingering()
        elif self._error_status:
            self._reject_input()
        else:
            self._listener.move(self, self._idle_queue())
            if self._pipelined or self._unparsed or self._paused or self._waits_to_stream:
                self._loop.call_soon(self._start_next)

    def _idle_queue(self) -> dict[ClientConnection, float]:
        """Return the listener's queue for this connection while no response is due."""
        if self.is_receiving():
            return self._listener.receiving
        return self._listener.idle if self._has_service_request else self._listener.readiness_only

    def _start_next(self) -> None:
        """Start the next pipelined request, or continue to parse data that was read ahead."""
        if self._active is not None or self._is_write_paused or self._is_closing():
            return
        if self._pipelined:
            self._start_request(self._pipelined.popleft())
        elif self._waits_to_stream:
            self._start_streaming()
            self._resume_reading()
        elif self._unparsed or self._paused:
            self._resume_reading()

    def _reject_input(self) -> None:
        """Respond with an error to data that can't be handled as a request."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            headers = self._error_headers()
            transport.write(head(self._error_status, 0, headers, False))
            self._close_lingering()

    def _error_headers(self) -> Headers:
        """Return the headers of the response to data that can't be handled."""
        if self._error_status == SHED_STATUS:
            return [(b"Retry-After", SHED_RETRY_AFTER)]
        return self._allowed_methods() if self._error_status == 405 else []

    def _close_lingering(self) -> None:
        """Start a lingering close: send all that is written, and discard input until the client closes.

        The listener ends the connection of a client that neither reads nor closes.
        """
        self._discards_input = True
        self._pipelined.clear()
        self._unparsed, self._unparsed_at = b"", 0
        self._body = None
        self._message = None
        self._charge(-self._buffered_bytes)
        self._drop_stream()
        self._parser = None
        self._listener.paused.discard(self)
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()
            self._listener.move(self, self._listener.lingering)

    # --- for the listener

    def is_receiving(self) -> bool:
        """Return whether a part of a request has been received."""
        return self._message is not None or self._message_bytes > 0

    def has_no_request(self) -> bool:
        """Return whether no complete request has been received yet."""
        return not self._has_request

    def busy(self) -> bool:
        """Return whether a response is due."""
        return self._active is not None or bool(self._pipelined)

    def is_forwarding_or_paused(self) -> bool:
        """Return whether the request being received is already forwarded, or reading is paused."""
        return self._stream is not None or self._paused

    def is_deferred(self) -> bool:
        """Return whether a finely chunked body waits for its next turn."""
        return self._is_deferred

    def has_charged_unsent(self) -> bool:
        """Return whether bytes of a response are charged to the budget."""
        return self._unsent_bytes > 0

    def has_no_unread_data(self) -> bool:
        """Return whether the kernel holds no unread data.

        A close would cut off a request that has arrived but was not read yet.
        """
        descriptor = self.descriptor()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return not poll.poll(0)

    def descriptor(self) -> int:
        """Return the socket's file descriptor; -1 if it is closed or closing."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return -1
        return int(transport.get_extra_info("socket").fileno())

    def check_disconnected(self) -> bool:
        """Return whether the client has disconnected, by a close or a reset; if so, cancel its requests."""
        descriptor = self.descriptor()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)  # POLLHUP and POLLERR are always reported
        if not poll.poll(0):
            return False
        self._on_client_disconnected()
        self.abort()
        return True

    def standing(self, now: float) -> Standing:
        """Return why this connection holds memory."""
        if self._stream is not None:
            if self._paused and not self._is_deferred:
                return Standing.KEPT  # the server does not take the body yet
            stalled = now - self.last_read_at >= STALLED_S
            if self._stream.begun:
                return Standing.STALLED_FORWARDED if stalled else Standing.ARRIVING_FORWARDED
            return Standing.STALLED if stalled else Standing.ARRIVING
        if self._is_write_paused or (self._unsent_bytes and now - self.last_written_at >= STALLED_S):
            return Standing.NOT_READING
        if self._active is None and self.is_receiving():
            return Standing.STALLED if now - self.last_read_at >= STALLED_S else Standing.ARRIVING
        return Standing.KEPT

    def held_bytes(self) -> int:
        """Return the number of bytes that this connection has charged to the budget."""
        stream = self._stream.held if self._stream is not None else 0
        return self._buffered_bytes + self._unsent_bytes + stream

    def shed(self) -> None:
        """Give way: refuse the request that is arriving, and abort the connection of a client that does not read.

        The refusal promises that the request was not executed, unless a part of it was passed on.
        """
        if self._unsent_bytes:
            self.abort()
            return
        if self._discards_input:
            return
        is_partly_sent = self._stream is not None and self._stream.begun
        self._error_status = CUT_STATUS if is_partly_sent else SHED_STATUS
        if self._active is None:
            self._reject_input()
        else:
            self._abort_streamed_request()

    def unsent_bytes(self) -> int:
        """Return the number of response bytes that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def sending(self) -> bool:
        """Return whether a response has begun and the kernel has not accepted all of it."""
        return self._source is not None or self.unsent_bytes() > 0

    def has_stalled(self, now: float, timeout_s: float) -> bool:
        """Return whether a client has read none of its last response for `timeout_s`, as seen by these calls."""
        unsent = self.unsent_bytes()
        if unsent != self._unsent_before:
            self._unsent_before, self._unsent_changed_at = unsent, now
        return now - self._unsent_changed_at >= timeout_s

    def is_overdue(self, now: float, started_at: float) -> bool:
        """Return whether a request that began at `started_at` takes too long.

        The head has a time limit. A body must not pause for too long, nor fall below a minimum rate that every
        working client reaches.
        """
        if self._paused or now - started_at < self._limits.head_timeout_s:
            return False  # the client is not to blame for a pause of ours, or has time left
        if self._in_head:
            return True
        pause_s = now - self.last_read_at
        if pause_s >= BODY_PAUSE_S and self._limits.body_pause_s > BODY_PAUSE_S:
            self._enable_keepalive()
        return (
            pause_s >= self._limits.body_pause_s
            or now - started_at >= self._limits.body_base_s + self._size / MIN_BODY_RATE
        )

    def _enable_keepalive(self) -> None:
        """Enable TCP keepalive for a client whose body pauses: only the connection of a dead client is lost."""
        if self._is_keepalive_enabled or self._transport is None:
            return
        self._is_keepalive_enabled = True
        client = self._transport.get_extra_info("socket")
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def time_out(self) -> None:
        """Reject a request that takes too long to arrive, with status 408."""
        if self._discards_input:
            return
        if self._active is None:
            self._error_status = 408
            self._reject_input()
        elif self._stream is not None:
            self._error_status = 408
            self._abort_streamed_request()

    def _abort_streamed_request(self) -> None:
        """Cancel a request whose streamed body will not be completed, and respond with the error."""
        message = self._active
        if message is not None:
            self._listener.service.hangup(message)
            message.reply(self._error_status, headers=self._error_headers())

    def close(self) -> None:
        """Close the connection; abort it if the client does not read, as a regular close would never finish."""
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


def origin_form(target: bytes) -> bytes:
    """Return the path and query of a request target, which may be in absolute form, as for a proxy."""
    if target[:7].lower() != b"http://":
        return target
    at = target.find(b"/", 7)
    return target[at:] if at >= 0 else b"/"

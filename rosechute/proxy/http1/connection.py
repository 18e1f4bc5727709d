"""Client side of HTTP/1.1: a connection to a server or to discovery, and the validation of its responses."""

from __future__ import annotations

import asyncio
import enum
import re
import select
import socket
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from rosechute.proxy.core.flow import Body, Budget, Pieces, Sink, memory_of_header
from rosechute.proxy.core.receive_buffers import LARGE_RECEIVE_BUFFER_BYTES
from rosechute.proxy.core.turns import TurnQueue
from rosechute.proxy.http1 import quick
from rosechute.proxy.http1.framing import has_excess_framing

MAX_BODY = 33 << 20  # bytes of a streamed response; 32 MB are guaranteed
MAX_BUFFERED_BODY = 1 << 20  # bytes of a response that is buffered
HOLD_BYTES = 64 * 1024  # a response up to this size is checked to its end before any of it is forwarded
HOLD_S = 0.15  # how long a response of unknown size is held back for this check
MAX_HEAD = 16 * 1024  # bytes of the heads of one response, including preceding 1xx responses
PARSE_BYTES = 4096  # bytes parsed at a time: limits the calls that one step makes
MAX_CALLS_PER_TURN = 256  # parser callbacks, and lines of a stream, after which the rest of a read waits for its turn
DIGITS = re.compile(rb"[0-9]{1,18}")
# Some parsers take one of these for the end of a header or of the head.
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
BODILESS_STATUSES = (204, 304)  # of responses that never have a body
STREAMED_STATUSES = range(200, 201)  # of responses that may be streamed, by default


class Reply:
    """A response: its body is complete, or empty where it is streamed."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    @property
    def memory_bytes(self) -> int:
        """Memory that it takes, in bytes."""
        return len(self.body) + sum(memory_of_header(name, value) for name, value in self.headers)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Done = Callable[["Reply | None"], None]  # called with the response, or with `None` for a failed exchange
Begin = Callable[["Reply", "int | None"], "Sink | None"]  # called with a response's head and length; returns its sink
Wrote = Callable[[], None]  # called once the request is fully written
Echo = tuple[bytes, bytes]  # a lower-case header name and the value that identifies responses to a request


class Refusal(enum.Enum):
    """Why a response is not accepted. The values appear in the log and as labels of a metric."""

    MALFORMED = "malformed"  # can't be parsed, or its framing is ambiguous
    HEAD = "head"  # its heads are too long
    BODY = "body"  # its body is too long
    FRAMING = "framing"  # it has much more framing than payload
    STALLED = "stalled"  # it has paused for too long
    MEMORY = "memory"  # it takes more memory than its share
    UNWANTED = "unwanted"  # its receiver does not take it as a stream; no fault of the server, and not told


class InvalidResponseError(Exception):
    """The received data is not a valid response; raised in a parser callback to stop the parser."""


class ResponseObserver(Protocol):
    """Is told of servers' responses that harm this process."""

    def on_response_refused(self, connection: Connection, refusal: Refusal) -> None:
        """Record that a response was not accepted."""
        ...

    def on_response_costly(self, connection: Connection) -> None:
        """Record that one read of a response takes several turns of the event loop."""
        ...


class Connection(asyncio.Protocol):
    """One HTTP/1.1 client connection, with one exchange at a time and no retries.

    Responses are not trusted. A response that can't be parsed, has an ambiguous length, is too long or stalls is
    invalid, and is reported as early as possible: the request has been executed, and its client is waiting.

    Args:
        on_lost: Called when the connection is lost.
        max_body: Limit of a buffered response's body, in bytes.
        stall_s: Seconds for which a response may pause once it has begun; 0 for no limit.
        budget: Memory budget to which buffered bodies are charged.
        trust_end: Whether a close by the server ends a response that has no length.
        successes: Statuses of responses that may be streamed.
        turns: Turns for reads that cost much work; shared by connections, so that they take turns.
        observer: Is told of harmful responses.

    Attributes:
        touched: Whether any byte of the last request was written.
        progress: Bytes transferred in both directions, for checks whether an exchange stalls.
        lost: Whether the connection is lost.
        reusable: Whether another request may be sent.
        idle_since: When the connection became idle, for its owner.
        answered: Whether a request has been answered on it.
        owner: The object that holds the connection; for that object alone.
    """

    def __init__(
        self,
        on_lost: Callable[[Connection], None],
        max_body: int = MAX_BUFFERED_BODY,
        stall_s: float = 0.0,
        budget: Budget | None = None,
        trust_end: bool = True,
        successes: range = STREAMED_STATUSES,
        turns: TurnQueue | None = None,
        observer: ResponseObserver | None = None,
    ) -> None:
        self._on_lost = on_lost
        self._turns = turns if turns is not None else TurnQueue()
        self._observer = observer
        self._successes = successes
        self._trust_end = trust_end
        self._max_body = self._limit = max_body
        self._max_simple_body = min(max_body, HOLD_BYTES)
        self._stall_s = stall_s
        self._stall_timer: asyncio.TimerHandle | None = None
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._on_done: Done | None = None
        self._on_written: Wrote | None = None  # called once the last byte is written
        self._blocked = False
        self._written = True
        self.touched = False
        self._is_eager = False  # whether a successful response is streamed from its head on
        self._echo: Echo | None = None
        self._is_stale = False  # the response being received belongs to an earlier request
        self._request: Body | None = None  # body that is not fully written
        self._on_begin: Begin | None = None  # returns the sink for a streamed response
        self._sink: Sink | None = None
        self._hold_timer: asyncio.TimerHandle | None = None
        self.progress = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_memory = 0  # bytes, of `_headers` with their objects
        self._body = Pieces()
        self._charged = 0  # bytes that are charged to the budget
        self._unparsed = b""  # data that was read, and is parsed up to `_unparsed_at`
        self._unparsed_at = 0
        self._calls = 0  # calls that this turn has made
        self._is_costly = False  # a read of this response took several turns: later ones wait for theirs
        self._is_deferred = False  # waits for its turn
        self._is_receiver_paused = False  # the receiver of a streamed response is slow
        self._is_reading = True
        self._refusal = Refusal.MALFORMED  # of the data being parsed, if the parser rejects it
        self._size = self._raw = 0
        self._in_head = True
        self._complete = False
        self._status = 0
        self._length: int | None = None
        self._ends_at_close = False  # the response has no length: it ends when the server closes
        self.lost = False
        self.is_response_invalid = False  # the last response was invalid
        self.reusable = True
        self.idle_since = 0.0
        self.answered = False
        self.owner: object = None

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the buffers of a new connection."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        # With a high-water mark of 0, pause_writing is called whenever the kernel accepts only part of a write.
        self._transport.set_write_buffer_limits(high=0)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LARGE_RECEIVE_BUFFER_BYTES)
        self._poll = select.poll()
        self._poll.register(sock.fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        """Stop writing: the kernel's send buffer is full."""
        self._blocked = True

    def resume_writing(self) -> None:
        """Continue writing: the kernel has accepted all that was written."""
        self._blocked = False
        if self._request is not None:
            self._write_body()
        else:
            self._finish_write()

    def data_received(self, data: bytes) -> None:
        """Parse received data; forward or buffer the response."""
        if self._on_done is None or self._parser is None:
            self.abort()  # unsolicited data: the two sides disagree about where a response ends
            return
        self.progress += len(data)
        if not self._raw and self._request is None and not self._is_eager:
            # Nothing of this response has been parsed: a complete ordinary response needs no parser.
            found = quick.reply(data, MAX_HEAD, self._max_simple_body)
            if found is not None and (self._echo is None or self._echo in found[0]):
                self._finish(Reply(200, found[0], found[1]))
                return
        self._unparsed = b"".join((self._unparsed[self._unparsed_at :], data)) if self._unparsed else data
        self._unparsed_at = 0
        if self._is_costly or self._is_receiver_paused:
            self._wait_for_turn()
        else:
            self._take_turn()

    def _take_turn(self) -> None:
        """Parse the data that was read until enough calls were made; the rest waits for the next turn."""
        self._calls = 0
        while self._unparsed and self._on_done is not None and not self._is_receiver_paused:
            if self._calls >= MAX_CALLS_PER_TURN:
                self._become_costly()
                break
            piece = self._unparsed[self._unparsed_at : self._unparsed_at + PARSE_BYTES]
            self._unparsed_at += len(piece)
            if self._unparsed_at >= len(self._unparsed):
                self._unparsed, self._unparsed_at = b"", 0
            self._parse(piece)
        self._pass_on()
        if self._unparsed:
            self._wait_for_turn()
            return
        self._charge()
        if self._on_done is not None and not self._is_receiver_paused:
            self._set_reading(True)

    def _become_costly(self) -> None:
        """Have this and later reads of the response wait for their turns."""
        if not self._is_costly:
            self._is_costly = True
            if self._observer is not None:
                self._observer.on_response_costly(self)

    def _wait_for_turn(self) -> None:
        """Pause reading until the data that was read has had its turn."""
        self._set_reading(False)
        self._charge()
        if self._unparsed and not self._is_deferred and not self._is_receiver_paused:
            self._is_deferred = True
            self._turns.add(self._on_turn)

    def _on_turn(self) -> None:
        """Parse the next part of the data that was read."""
        self._is_deferred = False
        if self._on_done is not None and not self._is_receiver_paused:
            self._take_turn()

    def _parse(self, piece: bytes) -> None:
        """Parse a piece of the response; forward, buffer or refuse it."""
        assert self._parser is not None
        self._raw += len(piece)
        is_invalid = False
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:  # also raised for exceptions in callbacks and for protocol switches
            is_invalid = True
        if self._complete:
            # Data that follows belongs to no request. The response stays valid, but the connection is closed.
            rest = self._unparsed[self._unparsed_at :]
            self.reusable = self.reusable and not is_invalid and not rest.strip(b"\r\n")
            self._end()
        elif is_invalid:
            self._refuse(self._refusal)
        elif self._in_head and self._raw > MAX_HEAD:
            self._refuse(Refusal.HEAD)
        elif has_excess_framing(self._raw - MAX_HEAD, self._size):
            self._refuse(Refusal.FRAMING)
        elif self._sink is not None:
            if self._is_eager:
                self._pass_on()
        elif self._should_stream():
            self._start_streaming()
        elif self._stall_s:
            if self._stall_timer is not None:
                self._stall_timer.cancel()
            self._stall_timer = asyncio.get_running_loop().call_later(self._stall_s, self._refuse, Refusal.STALLED)

    def eof_received(self) -> None:
        """Complete a response that ends with the connection.

        The server of a response without a length has closed regularly: a server that dies resets the connection.
        """
        self.reusable = False
        if self._ends_at_close and self._on_done is not None:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is under way and inform the owner."""
        self.lost = True
        self.reusable = False
        self._parser = None  # breaks a reference cycle, so that both are freed without the garbage collector
        self._finish(None)
        self._on_lost(self)

    def _refuse(self, refusal: Refusal) -> None:
        """Fail the exchange because its response is not accepted."""
        self.is_response_invalid = True
        is_faulty = refusal is not Refusal.UNWANTED
        if is_faulty and self._observer is not None and self._on_done is not None:
            self._observer.on_response_refused(self, refusal)
        self.abort()
        self._finish(None)

    # --- httptools

    def on_message_begin(self) -> None:
        """Start a response, or an informational one ahead of it."""
        if self._complete:
            self.reusable = False  # a second response to one request
            raise InvalidResponseError
        self._headers, self._headers_memory = [], 0
        self._body, self._size = Pieces(), 0
        self._in_head = True
        self._calls += 1

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; ignore trailers."""
        self._calls += 1
        if self._in_head:
            self._headers_memory += memory_of_header(name, value)
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        """Check the head.

        Raises:
            InvalidResponseError: The framing is ambiguous, or the response is too long or belongs to no request.
        """
        parser = self._parser
        assert parser is not None
        self._status = status = parser.get_status_code()
        if status == 101:
            raise InvalidResponseError  # no request asks for another protocol
        if status < 200:
            return
        self._in_head = False
        if self._echo is not None:
            echoed = [value for name, value in self._headers if name == self._echo[0]]
            if len(echoed) != 1:
                raise InvalidResponseError  # the request that it answers can't be determined
            self._is_stale = echoed[0] != self._echo[1]
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value.lower() for name, value in self._headers if name == b"transfer-encoding"]
        if (codings and (lengths or codings != [b"chunked"])) or len(lengths) > 1:
            raise InvalidResponseError
        self._limit = MAX_BODY if self._on_begin is not None and status in self._successes else self._max_body
        if lengths and (DIGITS.fullmatch(lengths[0]) is None or int(lengths[0]) > self._limit):
            self._refusal = Refusal.BODY
            raise InvalidResponseError
        self._length = int(lengths[0]) if lengths else None
        self._ends_at_close = not codings and not lengths and status not in BODILESS_STATUSES
        if self._ends_at_close and (self._is_stale or not self._trust_end):
            raise InvalidResponseError  # its end can't be distinguished from a failure
        if any(CONTROL_CHARACTERS.search(value) for _, value in self._headers):
            raise InvalidResponseError

    def on_body(self, body: bytes) -> None:
        """Buffer a part of the body, or discard it if it belongs to an earlier request.

        Raises:
            InvalidResponseError: The body is too long.
        """
        self._calls += 1
        self._size += len(body)
        if self._size > self._limit:
            self._refusal = Refusal.BODY
            raise InvalidResponseError
        if not self._is_stale:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is informational or belongs to an earlier request."""
        parser = self._parser
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return  # 1xx: the final response follows
        if self._is_stale:
            # The response to an earlier request. The current one follows; then the connection is not used again.
            self._is_stale, self._in_head, self._raw, self.reusable = False, True, 1, False
            return
        # Read here and not after feed_data: the parser resets the message's framing at its end and then reports
        # that no connection can be kept alive.
        self.reusable = self.reusable and parser.should_keep_alive()
        self._complete = True

    # --- for the owner

    @property
    def written(self) -> bool:
        """Whether the kernel has accepted the last byte of the request."""
        return self._written

    def send(
        self,
        data: bytes,
        done: Done,
        wrote: Wrote | None = None,
        request: Body | None = None,
        begin: Begin | None = None,
        eager: bool = False,
        echo: Echo | None = None,
    ) -> None:
        """Send a request.

        Args:
            data: The encoded request, without a streamed body.
            done: Called with the complete response, or with `None` if the exchange fails.
            wrote: Called once the kernel has accepted the last byte of the request.
            request: A body that is streamed: written as it arrives.
            begin: Called with the head of a long response; returns the sink to which its body is streamed.
            eager: Whether every successful response is streamed, from its head on.
            echo: A header that identifies responses to this request. Responses with another value belong to
                earlier requests and are discarded; a response without the header is invalid.
        """
        assert self._on_done is None and self._transport is not None
        self._on_written, self._on_begin, self._ends_at_close = wrote, begin, False
        self._on_done, self._complete, self._raw, self._in_head = done, False, 0, True
        self._written = self.touched = False
        self._is_eager, self._echo, self._is_stale = eager, echo, False
        self._is_costly, self._refusal = False, Refusal.MALFORMED
        if self._transport.is_closing():
            # A server at its connection limit accepts and closes: the transport may be closing before the first
            # send, and a write would then raise and leave the attempt without an outcome.
            self._finish(None)
            return
        self.touched = True
        self._transport.write(data)
        if request is not None:
            self._request = request
            request.sink = self._write_body
            self._write_body()
        elif not self._blocked and not self._transport.is_closing():
            self._finish_write()

    def _write_body(self) -> None:
        """Write the available part of the body until the kernel's send buffer is full."""
        request, transport = self._request, self._transport
        if request is None or transport is None:
            return
        chunked = request.length is None
        while not self._blocked and not transport.is_closing():
            data = request.take()
            if not data:
                break
            self.progress += len(data)
            transport.write(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
        if request.complete and not request.held and self._request is not None:
            self._request = request.sink = None
            if chunked and not transport.is_closing():
                transport.write(b"0\r\n\r\n")
            if not self._blocked and not transport.is_closing():
                self._finish_write()

    def _finish_write(self) -> None:
        """Record that the kernel has accepted the last byte of the request."""
        self._written = True
        wrote, self._on_written = self._on_written, None
        if wrote is not None:
            wrote()

    def silent(self) -> bool:
        """Return whether an idle connection has nothing to read, neither data nor an end of the stream.

        A request that is sent on a connection whose end has arrived but was not read yet would count as possibly
        executed. A second copy of the last response could be taken for the response to the next request.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.reusable:
            return False
        return not self._poll.poll(0)

    def pause(self) -> None:
        """Pause reading: the receiver of a streamed response is slow."""
        self._is_receiver_paused = True
        self._set_reading(False)

    def resume(self) -> None:
        """Resume reading, once the data that was read has been parsed."""
        self._is_receiver_paused = False
        if self._unparsed:
            self._wait_for_turn()
        else:
            self._set_reading(True)

    def _set_reading(self, is_reading: bool) -> None:
        """Pause or resume reading from the socket."""
        if is_reading == self._is_reading:
            return
        self._is_reading = is_reading
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if is_reading:
            transport.resume_reading()
        else:
            transport.pause_reading()

    def _should_stream(self) -> bool:
        """Return whether to start streaming the response; hold back a short or unknown one for a while."""
        if self._in_head or self._on_begin is None or self._is_stale or self._status not in self._successes:
            return False
        if self._is_eager or (self._length or self._size) > HOLD_BYTES:
            return True
        if self._length is None and self._size and self._hold_timer is None:
            self._hold_timer = asyncio.get_running_loop().call_later(HOLD_S, self._start_streaming)
        return False

    def _start_streaming(self) -> None:
        """Start streaming the response. From here on its receiver watches for stalls."""
        begin, self._on_begin = self._on_begin, None
        self._cancel_timers()
        if begin is None or self._on_done is None:
            return
        self._sink = begin(Reply(self._status, self._headers, b""), self._length)
        if self._sink is None:
            self._refuse(Refusal.UNWANTED)
        else:
            self._pass_on()
            self._charge()

    def _pass_on(self) -> None:
        """Forward the buffered part of a streamed response."""
        sink = self._sink
        if sink is None or not self._body.size:
            return
        self._calls += sink.pass_on(self._take_buffered())

    def _take_buffered(self) -> bytes:
        """Remove and return the buffered part of the body."""
        body, self._body = self._body, Pieces()
        return body.join()

    def _charge(self) -> None:
        """Charge what the response holds; refuse it if that is more than its share."""
        budget = self._budget
        if budget is None:
            return
        held = self._headers_memory + self._body.size + len(self._unparsed)
        budget.take_response(held - self._charged)
        self._charged = held
        if held > budget.response_share and self._on_done is not None:
            self._refuse(Refusal.MEMORY)

    def _end(self) -> None:
        """Complete the exchange with a complete response."""
        if self._sink is not None:
            self._pass_on()
        self._finish(Reply(self._status, self._headers, self._take_buffered()))

    def forget(self) -> None:
        """Drop the exchange: its response is not wanted any more."""
        self._on_done = None
        self._release_exchange()
        self._cancel_timers()

    def close(self) -> None:
        """Close the connection; abort it if the peer does not read, as a regular close would never finish."""
        self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        self._cancel_timers()
        if self._transport is not None:
            self._transport.abort()

    def _cancel_timers(self) -> None:
        """Cancel the timers."""
        for timer in (self._stall_timer, self._hold_timer):
            if timer is not None:
                timer.cancel()
        self._stall_timer = self._hold_timer = None

    def _release_exchange(self) -> None:
        """Release the buffers and references of the exchange, and read on."""
        self._headers, self._headers_memory = [], 0
        self._body = Pieces()
        self._unparsed, self._unparsed_at = b"", 0
        if self._budget is not None:
            self._budget.give_response(self._charged)
            self._charged = 0
        self._is_receiver_paused = False
        self._set_reading(True)
        if self._request is not None:
            self._request.sink = None
        self._request = self._sink = self._on_begin = None

    def _finish(self, reply: Reply | None) -> None:
        """End the exchange and report its response, or `None` for a failure."""
        self._cancel_timers()
        self._release_exchange()
        done, self._on_done = self._on_done, None
        if done is not None:
            done(reply)

"""One connection of the application: bytes in, requests out, one answer each, and bounds on all of it."""

from __future__ import annotations

import asyncio
import re
import select
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol, cast

import httptools

from rosechute.proxy.core.flow import Body, Budget, Source
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1 import quick
from rosechute.proxy.http1.message import Headers, Message, head

MAX_BODY = 33 << 20  # of a request; 32 MB are promised
PASS_PIECE = 64 * 1024  # and in a body that goes out as it comes in, which begins nothing
MAX_HEAD = 32 * 1024
MAX_DRAIN = 96 * 1024 * 1024  # what is read on after an error, so that the client gets to read it
PIECE = 4096  # bytes parsed at a time: bounds what one read can begin
WHOLE_S = 2.4  # from connecting, or the first byte of a later request, to the end of its head
PAUSE_S = 1.2  # how long a body may pause after that
BODY_S = 4.0  # how long a body may take besides its time at the slowest rate
SLOWEST = 32 * 1024  # bytes a second
PROBE_S = 1  # between the kernel's probes of a client whose body pauses
PROBES = 2  # unanswered ones end its connection
AHEAD = 8  # requests read ahead of the answer before; the rest waits unparsed or in the kernel
CLOSING = frozenset({400, 404, 405, 408, 409, 413, 417, 431})  # answered and closed: what follows is as bad
METHODS = frozenset({b"GET", b"POST"})
NO_LINGER = struct.pack("ii", 1, 0)
DIGITS = re.compile(rb"[0-9]{1,18}")


Queue = dict["ClientConnection", float]


@dataclass(slots=True)
class ClientTerms:
    """What a listener's clients may send and how long they may take. The defaults are those of the sidecar in
    service; other fronts name their own, and may change them while they listen."""

    max_head: int = field(default_factory=lambda: MAX_HEAD)
    max_body: int = field(default_factory=lambda: MAX_BODY)
    whole_s: float = field(default_factory=lambda: WHOLE_S)
    pause_s: float = field(default_factory=lambda: PAUSE_S)  # beyond the default: the kernel probes who pauses
    body_s: float = field(default_factory=lambda: BODY_S)
    methods: frozenset[bytes] = METHODS
    own_paths: bool = True  # whether the paths below /-/ are the listener's own
    closing: frozenset[int] = CLOSING


class Service(Protocol):
    """What the connections need of the sidecar."""

    def ready(self) -> bool: ...

    def request(self, message: Message) -> None: ...

    def complete(self, message: Message) -> None: ...

    def hangup(self, message: Message) -> None: ...


class Desk(Protocol):
    """What a connection needs of the listener that let it in. It stands in at most one queue there."""

    service: Service
    budget: Budget
    terms: ClientTerms
    partial: Queue  # part of a request has come
    kept: Queue  # between requests
    visitors: Queue  # have asked for readiness and nothing else
    leaving: Queue  # had its last answer
    paused: set[ClientConnection]  # nothing is read from them, so their end has to be looked for

    def made(self, connection: ClientConnection) -> None: ...

    def lost(self, connection: ClientConnection) -> None: ...

    def move(self, connection: ClientConnection, queue: Queue | None) -> None: ...

    def unread(self, connection: ClientConnection) -> None: ...

    def crowded(self) -> bool: ...

    def last_answers(self) -> bool: ...


class Refused(Exception):
    """What the client sends can't be a request; raised through the parser to stop it."""


class ClientConnection(asyncio.Protocol):
    """One connection of the application."""

    def __init__(self, listener: Desk, loop: asyncio.AbstractEventLoop) -> None:
        self._listener, self._loop = listener, loop
        self.place: dict[ClientConnection, float] | None = None  # the listener's queue that it stands in
        self.accepted = loop.time()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._message: Message | None = None  # being read
        self._raw = 0  # bytes since the message began, while its head is not whole
        self._in_head = True
        self._body: list[bytes] = []
        self._size = 0
        self._rest = b""  # read, and not parsed yet: enough requests wait already, or enough of a body
        self._paused = False
        self._budget = listener.budget
        self._terms = listener.terms
        self._active: Message | None = None  # owed an answer
        self._waiting: deque[Message] = deque()  # sent ahead of the answer before
        self._length: int | None = None
        self._stream: Body | None = None  # of the message that is being read
        self._held = 0  # bytes of bodies that are held whole
        self._overfull = False  # the message being read has to wait for those before it
        self._owes_continue = False
        self._source: Source | None = None  # of the answer that is being passed on
        self._chunked = self._keep = False  # how it is
        self.heard = self.accepted  # when something came last
        self._spoke = False  # a whole request has come
        self._asked = False  # one that was more than a look at readiness
        self._error = 0
        self._deaf = False  # nothing more is read from here
        self._drained = 0
        self._full = False  # the client does not read its answers
        self._left = 0  # bytes of its last answer that it had not taken at the last look
        self._left_at = 0.0  # when that changed last
        self._probed = False  # the kernel probes whether the client lives

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._listener.made(self)

    def data_received(self, data: bytes) -> None:
        self.heard = self._loop.time()
        if self._deaf:
            # Read on for a while, or the close would reset the connection and take the error with it.
            self._drained += len(data)
            if self._drained > MAX_DRAIN:
                self.abort()
            return
        if self._rest:
            self._rest = b"".join((self._rest, data))
            return
        if self._raw or self._message is not None or self._active is not None or not self._quick(data):
            self._feed(data)

    def _quick(self, data: bytes) -> bool:
        """Take a request that came whole and by itself; whether it was one. Between messages alone, where the
        parser has nothing of it yet."""
        if self._waiting or self._full or self._overfull or self._error:
            return False
        found = quick.request(data, self._terms.max_head, self._budget.share)
        if found is None or len(found[4]) > self._terms.max_body:
            return False
        message = Message(self)
        message.method, message.target, message.headers, message.told, message.body = found
        message.began = message.came = self.heard
        message.complete = True
        self._spoke = True
        if message.body:
            self._hold(len(message.body))
        self._begin(message)
        return True

    def _feed(self, data: bytes) -> None:
        """Parse piece by piece, for as long as more requests may wait."""
        at = 0
        while at < len(data) and not self._deaf:
            if self._enough():
                self._rest = data[at:]
                self._pause()
                return
            size = PASS_PIECE if self._stream is not None else PIECE
            piece = data[at : at + size]
            at += size
            self._parse(piece)
            if not self._in_head and self._stream is None and self._size > self._budget.share:
                self._pass_body()
        if self._enough():
            self._pause()
        if (self._active is None or self._stream is not None) and not self._deaf:
            self._listener.move(self, self._place())

    def _enough(self) -> bool:
        """Whether nothing more should be read for now."""
        if self._stream is not None:
            return self._stream.held > self._budget.share
        return len(self._waiting) >= AHEAD or self._full or self._overfull

    def _pause(self) -> None:
        self._paused = True
        self._listener.unread(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _more_room(self) -> None:
        """Some of the body has gone on: there may be room for more of it."""
        if self._paused and self._stream is not None and self._stream.held <= self._budget.share // 2:
            self._paused = False
            self._loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        self.heard = self._loop.time()  # until now it was not the client that was slow
        if self._transport is None or self.look():
            return  # what was read ahead would pass for news
        rest, self._rest = self._rest, b""
        self._paused = False
        if rest:
            self._feed(rest)
        if not self._paused and not self._rest and not self._transport.is_closing():
            self._listener.paused.discard(self)
            self._transport.resume_reading()

    def _pass_body(self) -> None:
        """The body is more than may be held: its request goes out now, and the rest follows as it comes."""
        message = self._message
        if message is None or self._deaf:
            return
        if self._active is not None or self._waiting:
            self._overfull = True
            return
        self._overfull = False
        self._stream = message.stream = Body(self._budget, self._length, self._more_room)
        body, self._body = self._body, []
        for data in body:
            self._stream.put(data)
        self._hold(-sum(map(len, body)))
        message.came = self._loop.time()
        self._begin(message)

    def _hold(self, size: int) -> None:
        self._held += size
        self._budget.take(size)

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        self._raw += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError:  # also what a callback refused, CONNECT and upgrades
            self._error = self._error or 400
        # Counted raw: a header that never ends would only grow inside the parser.
        if self._in_head and self._raw > self._terms.max_head:
            self._error = self._error or 431
        # Where a request in this piece was answered with an error, what follows it gets no second one.
        if self._error and not self._deaf:
            if self._stream is not None:
                self._break_off()  # the body that is going out can't be read any further
                return
            self._deaf = True
            self._parser = None
            if self._active is None:
                self._reject()

    def eof_received(self) -> None:
        """A client that closes has gone away. The transport closes once all is written, which may never be."""
        self._gone()
        self._listener.move(self, self._listener.leaving)

    def connection_lost(self, exc: Exception | None) -> None:
        self._listener.lost(self)
        self._gone()

    def _gone(self) -> None:
        """The client has left: nothing that it sent is wanted any more."""
        self._listener.paused.discard(self)
        self._deaf = True
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._message = None
        self._rest = b""
        self._waiting.clear()
        self._hold(-self._held)
        self._source = None
        active, self._active = self._active, None
        if active is not None:
            self._listener.service.hangup(active)
        if self._stream is not None:
            self._stream.drop()
            self._stream = None

    def pause_writing(self) -> None:
        self._full = True  # nothing further is begun for a client that does not read
        if self._source is not None:
            self._source.pause()

    def resume_writing(self) -> None:
        self._full = False
        if self._source is not None:
            self._source.resume()
        if self._active is None:
            self._next()

    # --- httptools

    def on_message_begin(self) -> None:
        self._message = Message(self)
        self._message.began = self.heard
        self._in_head = True
        self._body, self._size, self._stream = [], 0, None

    def on_url(self, url: bytes) -> None:
        if self._message is not None:
            self._message.target = b"".join((self._message.target, url))

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self._message is not None
        if self._in_head:  # else a trailer, which is no place for what a request asks
            self._message.headers.append((name.lower(), value.strip(b" \t")))  # the parser leaves some

    def on_headers_complete(self) -> None:
        """Framing that two readers could read in two ways is refused: it may hide another request."""
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
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
            self._error = 400
        elif lengths and int(lengths[0]) > self._terms.max_body:
            self._error = 413
        else:
            expect = message.header(b"expect")
            if expect is not None and expect.lower() != b"100-continue":
                self._error = 417
            elif expect is not None:
                self._owes_continue = True
                self._continue()
        if self._error:
            raise Refused
        message.method = parser.get_method()
        message.target = origin_form(message.target)
        message.chunks = version == "1.1"
        self._length = int(lengths[0]) if lengths else None

    def _continue(self) -> None:
        """Tell the client to go on with its body, unless answers are due before."""
        owes = self._owes_continue and self._message is not None and not self._waiting
        if owes and self._transport is not None and self._active is None and not self._deaf:
            self._owes_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._terms.max_body:
            self._error = 413
            raise Refused
        if self._stream is not None:
            self._stream.put(body)
        else:
            self._body.append(body)
            self._hold(len(body))

    def on_message_complete(self) -> None:
        message, parser = self._message, self._parser
        assert message is not None and parser is not None
        self._message = None
        self._raw, self._in_head, self._spoke = 0, True, True
        self._owes_continue = False
        if self._deaf:
            return
        message.keep_alive = parser.should_keep_alive()
        message.came = self._loop.time()
        message.complete = True
        stream, self._stream = self._stream, None
        if stream is not None:
            self._listener.move(self, None)
            self._listener.service.complete(message)
            stream.finish()
            return
        message.body = b"".join(self._body)
        self._body = []
        if self._active is None and not self._waiting and not self._full:
            self._begin(message)
        else:
            self._waiting.append(message)

    # --- answers

    def _begin(self, message: Message) -> None:
        self._active = message
        self._listener.move(self, None if message.complete else self._listener.partial)
        terms = self._terms
        if terms.own_paths and message.target.startswith(b"/-/"):
            path = message.target.partition(b"?")[0]
            message.reply((200 if self._listener.service.ready() else 503) if path == b"/-/ready" else 404)
        elif message.method not in terms.methods:
            message.reply(405, headers=[(b"Allow", b", ".join(sorted(terms.methods)))])
        elif self._asked or not self.look():  # else it had left before it was let in, or read from
            self._asked = True
            try:
                self._listener.service.request(message)
            except Exception:
                # Raised through the parser it would pass for bad HTTP, and leave no trace.
                LOG.error("clients.broken", exc_info=True)
                message.reply(500)

    def answer(self, message: Message, status: int, body: bytes, headers: Headers) -> None:
        """See Message.reply."""
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._keep = self._keeps(message) and status not in self._terms.closing
        # Joined, here and above: compiled (mypyc 1.19.1), a sum of bytes leaves one of them in memory for good.
        transport.write(b"".join((head(status, len(body), headers, self._keep), body)))
        self._settle(message, status in self._terms.closing)

    def _keeps(self, message: Message) -> bool:
        """Whether the connection stays open after this answer."""
        # Clients have only so many connections: where many ask once and stay, kept ones would use them up.
        last = self._listener.last_answers() or self._listener.crowded()
        ahead = bool(self._waiting or self._rest)
        return message.keep_alive and message.complete and (ahead or not last)

    def begin_answer(
        self, message: Message, status: int, headers: Headers, length: int | None, source: Source
    ) -> bool:
        """See Message.begin."""
        transport = self._transport
        if message is not self._active or transport is None or transport.is_closing():
            return False
        self._chunked = length is None and message.chunks
        self._keep = self._keeps(message) and (length is not None or self._chunked)
        self._source = source
        # What is written and not taken counts as held by this body.
        transport.set_write_buffer_limits(high=min(PASS_PIECE, self._budget.share))
        transport.write(head(status, length, headers, self._keep, self._chunked))
        if self._full:
            source.pause()
        return True

    def pass_on(self, message: Message, data: bytes) -> None:
        """See Message.pass_on."""
        if message is self._active and self._transport is not None and not self._transport.is_closing():
            self._transport.write(b"%x\r\n%s\r\n" % (len(data), data) if self._chunked else data)

    def end_answer(self, message: Message, whole: bool) -> None:
        """See Message.end. A broken answer lacks its last chunk, or bytes of its length."""
        transport = self._transport
        if message is not self._active or transport is None:
            return
        self._source = None
        if whole:
            if self._chunked:
                transport.write(b"0\r\n\r\n")
            self._settle(message, False)
            return
        self._keep = False
        if not message.chunks:
            # A mere close would pass for the end: this one resets.
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            transport.abort()
        else:
            self._settle(message, False)

    def _settle(self, message: Message, closing: bool) -> None:
        """An answer is written: on to the next request, or to the end."""
        transport = self._transport
        assert transport is not None
        self._active = None
        self._hold(-min(self._held, len(message.body)))
        self._continue()
        if not message.complete:
            self._leave()  # what is left of its body is read and dropped
        elif not (self._keep or closing or self._error or self.unsent()) and self.quiet():
            # All is out and nothing is unread, which would turn the close into a reset and take the answer along.
            self._deaf = True
            self._listener.move(self, self._listener.leaving)
            transport.close()
        elif not self._keep:
            self._leave()
        elif self._error:
            self._reject()
        else:
            self._listener.move(self, self._place())
            if self._waiting or self._rest or self._overfull:
                self._loop.call_soon(self._next)

    def _place(self) -> dict[ClientConnection, float]:
        """The queue to stand in while no answer is owed."""
        if self.reading():
            return self._listener.partial
        return self._listener.kept if self._asked else self._listener.visitors

    def _next(self) -> None:
        """Begin what was sent ahead, and parse on what was read ahead."""
        if self._active is not None or self._full or self._transport is None or self._transport.is_closing():
            return
        if self._waiting:
            self._begin(self._waiting.popleft())
        elif self._overfull:
            self._pass_body()
            self._read_on()
        elif self._rest or self._paused:
            self._read_on()

    def _reject(self) -> None:
        """Answer what can't be served."""
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.write(head(self._error, 0, [], False))
            self._leave()

    def _leave(self) -> None:
        """Close once all is written and the client has had time to read it. The listener ends it in the end,
        also where the client neither reads nor closes."""
        self._deaf = True
        self._waiting.clear()
        self._rest = b""
        self._body = []
        self._hold(-self._held)
        if self._stream is not None:
            self._stream.drop()
            self._stream = None
        self._parser = None
        self._listener.paused.discard(self)
        transport = self._transport
        if transport is not None and not transport.is_closing():
            transport.resume_reading()
            transport.write_eof()
            self._listener.move(self, self._listener.leaving)

    # --- for the listener

    def reading(self) -> bool:
        """Whether part of a request has come."""
        return self._message is not None or self._raw > 0

    def fresh(self) -> bool:
        """Whether no whole request has ever come."""
        return not self._spoke

    def busy(self) -> bool:
        """Whether an answer is owed."""
        return self._active is not None or bool(self._waiting)

    def owing(self) -> bool:
        """Whether the request that is coming in is already on its way to a server, or we are slow to read."""
        return self._stream is not None or self._paused

    def quiet(self) -> bool:
        """Whether nothing that was sent here is left unread.

        Protects a request that has come and was not read yet: closing would cut it off.
        """
        descriptor = self.descriptor()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return not poll.poll(0)

    def descriptor(self) -> int:
        """What to ask the kernel by; -1 where it is closed, or is about to be."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return -1
        return int(transport.get_extra_info("socket").fileno())

    def look(self) -> bool:
        """See whether the client has left, by a close or a reset behind what it sent; what it asked for ends then."""
        descriptor = self.descriptor()
        if descriptor < 0:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)  # the others always count
        if not poll.poll(0):
            return False
        self._gone()
        self.abort()
        return True

    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._transport.get_write_buffer_size() if self._transport is not None else 0

    def sending(self) -> bool:
        """Whether an answer that has begun is not all with the kernel."""
        return self._source is not None or self.unsent() > 0

    def stuck(self, now: float, most: float) -> bool:
        """Whether a client that had its last answer reads no more of it, for so long as these looks have seen."""
        left = self.unsent()
        if left != self._left:
            self._left, self._left_at = left, now
        return now - self._left_at >= most

    def overdue(self, now: float, since: float) -> bool:
        """Whether a request that has been coming in since then takes too long. A head has a time limit; a
        body must go on coming, and at a rate that no working client falls below."""
        if self._paused or now - since < self._terms.whole_s:
            return False  # it is we who don't read, or it has time left
        if self._in_head:
            return True
        pause_s = now - self.heard
        if pause_s >= PAUSE_S and self._terms.pause_s > PAUSE_S:
            self._probe()
        return pause_s >= self._terms.pause_s or now - since >= self._terms.body_s + self._size / SLOWEST

    def _probe(self) -> None:
        """Have the kernel probe a client whose body pauses: a dead one's connection ends, the others go on."""
        if self._probed or self._transport is None:
            return
        self._probed = True
        client = self._transport.get_extra_info("socket")
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def time_out(self) -> None:
        """The request has been coming in for too long."""
        if self._deaf:
            return
        if self._active is None:
            self._error = 408
            self._reject()
        elif self._stream is not None:
            self._error = 408
            self._break_off()

    def _break_off(self) -> None:
        """The rest of a body that is going out will not come: its request was never whole."""
        message = self._active
        if message is not None:
            self._listener.service.hangup(message)
            message.reply(self._error)

    def close(self) -> None:
        """Close; with an answer that the client does not read, a mere close would never come to its end."""
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()


def origin_form(target: bytes) -> bytes:
    """Path and query of a target; a client may send the whole URL, as it would to a proxy."""
    if target[:7].lower() != b"http://":
        return target
    at = target.find(b"/", 7)
    return target[at:] if at >= 0 else b"/"

"""One connection to a server or to discovery: requests out, answers in, and what makes an answer useless."""

from __future__ import annotations

import asyncio
import re
import select
import socket
from collections.abc import Callable
from typing import cast

import httptools

from rosechute.proxy.core.flow import RECEIVE, Body, Budget, Sink
from rosechute.proxy.http1 import quick

MAX_BODY = 33 << 20  # of an answer that is passed on; 32 MB are promised
MAX_KEPT = 1 << 20  # of one that is not
WHOLE = 64 * 1024  # an answer up to this size is checked whole before any of it is passed on
HOLD_S = 0.15  # how long one of unknown size is held back for that
MAX_HEAD = 16 * 1024  # of one answer, the 1xx ahead of it included
DIGITS = re.compile(rb"[0-9]{1,18}")
SPLITS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # what may end a header, or the answer, for some reader
NO_BODY = (204, 304)
PLAIN = range(200, 201)


class Reply:
    """One whole answer."""

    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def header(self, name: bytes) -> bytes | None:
        """The first header of this lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


Done = Callable[["Reply | None"], None]
Begin = Callable[["Reply", "int | None"], "Sink | None"]
Wrote = Callable[[], None]
Echo = tuple[bytes, bytes]  # a header, in lower case, and the value with which answers to a request carry it


class Spoilt(Exception):
    """What comes can't be an answer; raised through the parser to stop it."""


class Connection(asyncio.Protocol):
    """One HTTP/1.1 connection as a client: one exchange at a time, and nothing is ever sent again.

    Answers are not trusted. One that can't be read, has no or an ambiguous length, is too long or stops half
    way is spoilt, and known to be as early as it can be: the request has run, and its client is waiting.
    """

    def __init__(
        self,
        on_lost: Callable[[Connection], None],
        max_body: int = MAX_KEPT,
        stall_s: float = 0.0,
        budget: Budget | None = None,
        trust_end: bool = True,
        successes: range = PLAIN,
    ) -> None:
        self._on_lost = on_lost
        self._successes = successes  # statuses of answers that may be passed on as they come
        self._trust_end = trust_end  # whether a close ends an answer that has no length
        self._max_body = self._limit = max_body
        self._plain = min(max_body, WHOLE)
        self._stall_s = stall_s  # how long an answer that has begun may pause; 0 for any time
        self._stall: asyncio.TimerHandle | None = None
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._done: Done | None = None
        self._wrote: Wrote | None = None  # called once the last byte is written
        self._blocked = False
        self._written = True
        self.touched = False  # whether any byte of the last request was written
        self._eager = False  # whether a successful answer is passed on from its head on
        self._echo: Echo | None = None
        self._surplus = False  # what comes answers an earlier request
        self._request: Body | None = None  # what is still to be written
        self._begin: Begin | None = None  # asked where a long answer goes
        self._sink: Sink | None = None
        self._hold: asyncio.TimerHandle | None = None
        self.progress = 0  # bytes moved either way, for whoever looks whether any are
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = self._raw = 0
        self._in_head = True
        self._complete = False
        self._status = 0
        self._length: int | None = None
        self._until_end = False  # the answer has no length: it goes on until the server closes
        self.lost = False
        self.spoilt = False  # the last answer was no answer
        self.reusable = True
        self.idle_since = 0.0
        self.answered = False  # whether a request has been answered on it
        self.owner: object = None  # whom it belongs to, for its owner alone

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        # Without a buffer to hide in, a write that the kernel did not take whole shows in pause_writing.
        self._transport.set_write_buffer_limits(high=0)
        made = transport.get_extra_info("socket")
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
        self._poll = select.poll()
        self._poll.register(made.fileno(), select.POLLIN)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        if self._request is not None:
            self._pump()
        else:
            self._whole()

    def data_received(self, data: bytes) -> None:
        if self._done is None or self._parser is None:
            self.abort()  # nobody asked: the two sides disagree about where an answer ends
            return
        self.progress += len(data)
        if not self._raw and self._request is None and not self._eager:
            # Nothing of this answer has been parsed: what is whole and plain needs no parser.
            found = quick.reply(data, MAX_HEAD, self._plain)
            if found is not None and (self._echo is None or self._echo in found[0]):
                self._finish(Reply(200, found[0], found[1]))
                return
        self._raw += len(data)
        spoilt = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:  # also what a callback found spoilt, and switched protocols
            spoilt = True
        if self._complete:
            # What may follow belongs to nobody. It does not make the answer worse, but ends the connection.
            self.reusable = self.reusable and not spoilt
            self._end()
        elif spoilt or (self._in_head and self._raw > MAX_HEAD):
            self._spoil()
        elif self._sink is not None:
            self._pass_on()
        elif self._long():
            self._start()
        elif self._stall_s:
            if self._stall is not None:
                self._stall.cancel()
            self._stall = asyncio.get_running_loop().call_later(self._stall_s, self._spoil)

    def eof_received(self) -> None:
        # An answer without a length ends here; a server that dies resets, so this is no break.
        self.reusable = False
        if self._until_end and self._done is not None:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.reusable = False
        self._parser = None  # it holds this connection: without the cycle both go at once
        self._finish(None)
        self._on_lost(self)

    def _spoil(self) -> None:
        self.spoilt = True
        self.abort()
        self._finish(None)

    # --- httptools

    def on_message_begin(self) -> None:
        if self._complete:
            self.reusable = False  # a second answer to one request
            raise Spoilt
        self._headers, self._body, self._size = [], [], 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:  # else a trailer
            self._headers.append((name.lower(), value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self._status = status = parser.get_status_code()
        if status == 101:
            raise Spoilt  # nobody asked for another protocol
        if status < 200:
            return
        self._in_head = False
        if self._echo is not None:
            echoed = [value for name, value in self._headers if name == self._echo[0]]
            if len(echoed) != 1:
                raise Spoilt  # nobody can tell whose answer it is
            self._surplus = echoed[0] != self._echo[1]
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value.lower() for name, value in self._headers if name == b"transfer-encoding"]
        if (codings and (lengths or codings != [b"chunked"])) or len(lengths) > 1:
            raise Spoilt
        self._limit = MAX_BODY if self._begin is not None and status in self._successes else self._max_body
        if lengths and (DIGITS.fullmatch(lengths[0]) is None or int(lengths[0]) > self._limit):
            raise Spoilt
        self._length = int(lengths[0]) if lengths else None
        self._until_end = not codings and not lengths and status not in NO_BODY
        if self._until_end and (self._surplus or not self._trust_end):
            raise Spoilt  # its end can't be told from a break
        if any(SPLITS.search(value) for _, value in self._headers):
            raise Spoilt

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._limit:
            raise Spoilt
        if self._surplus:
            return
        self._body.append(body)
        if self._budget is not None:
            self._budget.take(len(body))

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        status = parser.get_status_code()
        if status < 200:
            return  # 1xx: the answer is still to come
        if self._surplus:
            # The answer to an earlier request: ours is still to come, and the connection serves no other one.
            self._surplus, self._in_head, self._raw, self.reusable = False, True, 1, False
            return
        # Asked here and not after feed_data: the parser forgets the message's framing when it ends, and then
        # says that no connection can be kept.
        self.reusable = self.reusable and parser.should_keep_alive()
        self._complete = True

    # --- for the owner

    @property
    def written(self) -> bool:
        """Whether the kernel has taken the last byte of the request."""
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
        """Write a request, its body as it comes where there is one apart; `done` gets the answer, or None if
        the connection ends before its last byte. A long answer goes where `begin` says, as it comes; with
        `eager`, so does every successful one, from its head on. With `echo`, answers that carry
        another value are those to earlier requests and are dropped; one that carries none is spoilt."""
        assert self._done is None and self._transport is not None
        self._wrote, self._begin, self._until_end = wrote, begin, False
        self._done, self._complete, self._raw, self._in_head = done, False, 0, True
        self._written = self.touched = False
        self._eager, self._echo, self._surplus = eager, echo, False
        if self._transport.is_closing():
            # A server at its limit accepts and closes: the end may be known before the first send, and a
            # write would then raise and leave the attempt without an outcome.
            self._finish(None)
            return
        self.touched = True
        self._transport.write(data)
        if request is not None:
            self._request = request
            request.sink = self._pump
            self._pump()
        elif not self._blocked and not self._transport.is_closing():
            self._whole()

    def _pump(self) -> None:
        """Write what there is of the body, for as long as the kernel takes it."""
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
                self._whole()

    def _whole(self) -> None:
        """The kernel has taken the last byte."""
        self._written = True
        wrote, self._wrote = self._wrote, None
        if wrote is not None:
            wrote()

    def silent(self) -> bool:
        """Whether an idle connection has nothing to read, neither an end nor a stray byte.

        Protects against sending on a connection whose end has arrived but was not read yet: that send would
        count as run. Nor may a second copy of the last answer pass for the answer to the next request.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.reusable:
            return False
        return not self._poll.poll(0)

    def pause(self) -> None:
        """Read no more for now: what is passed on is not taken."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _long(self) -> bool:
        """Whether the answer is not held back any longer."""
        if self._in_head or self._begin is None or self._surplus or self._status not in self._successes:
            return False
        if self._eager or (self._length or self._size) > WHOLE:
            return True
        if self._length is None and self._size and self._hold is None:
            self._hold = asyncio.get_running_loop().call_later(HOLD_S, self._start)
        return False

    def _start(self) -> None:
        """Pass on from here, and no longer look at how long it pauses: that is for whoever takes it."""
        begin, self._begin = self._begin, None
        self._calm()
        if begin is None or self._done is None:
            return
        self._sink = begin(Reply(self._status, self._headers, b""), self._length)
        if self._sink is None:
            self._spoil()
        else:
            self._pass_on()

    def _pass_on(self) -> None:
        sink, data = self._sink, self._taken()
        if sink is not None and data:
            sink.pass_on(data)

    def _taken(self) -> bytes:
        data = b"".join(self._body)
        self._body = []
        if self._budget is not None:
            self._budget.give(len(data))
        return data

    def _end(self) -> None:
        """The answer is whole."""
        if self._sink is not None:
            self._pass_on()
        self._finish(Reply(self._status, self._headers, self._taken()))

    def forget(self) -> None:
        """Nobody waits for the answer any more."""
        self._done = None
        self._release()
        self._calm()

    def close(self) -> None:
        """Close; with bytes that the peer does not take, a mere close would never come to its end."""
        self.reusable = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()
        elif transport is not None:
            transport.close()

    def abort(self) -> None:
        """Close at once."""
        self.reusable = False
        self._calm()
        if self._transport is not None:
            self._transport.abort()

    def _calm(self) -> None:
        for timer in (self._stall, self._hold):
            if timer is not None:
                timer.cancel()
        self._stall = self._hold = None

    def _release(self) -> None:
        """Let go of what belongs to this exchange."""
        self._taken()
        if self._request is not None:
            self._request.sink = None
        self._request = self._sink = self._begin = None

    def _finish(self, reply: Reply | None) -> None:
        self._calm()
        self._headers = []
        self._release()
        done, self._done = self._done, None
        if done is not None:
            done(reply)

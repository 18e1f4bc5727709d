"""The operators' address: readiness, figures, and the drain. One call to a connection, apart from clients."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from rosechute.proxy.core.address import Address
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.message import head

MOST = 8  # connections at a time; their descriptors are out of the program's reserve
MAX_CALL = 8 * 1024  # bytes of one call, its body included
WHOLE_S = 2.0  # from connecting to the last byte of the call
LINGER_S = 0.5  # how long a caller that was answered may take to close
BACKLOG = 64
PATHS = {
    "/healthcheck": b"GET",
    "/stats": b"GET",
    "/routes": b"GET",
    "/healthcheck/fail": b"PUT",
    "/healthcheck/ok": b"PUT",
}


class Operated(Protocol):
    """What operators can ask of the sidecar, whatever it speaks with its clients."""

    def healthy(self) -> bool: ...

    def figures(self) -> bytes: ...

    def routes(self) -> bytes | None: ...

    def drain(self, on: bool) -> None: ...


class Control:
    """The listener and its few connections, the longest there first."""

    def __init__(self, operated: Operated) -> None:
        self.operated = operated
        self.calls: dict[Call, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self, loop: asyncio.AbstractEventLoop, address: Address) -> int:
        """Listen; return the port."""
        self._server = await loop.create_server(lambda: Call(self, loop), address.host, address.port, backlog=BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Listen no more. Calls that are on are ended: the process exits next."""
        if self._server is not None:
            self._server.close()
        for call in list(self.calls):
            call.abort()

    def came(self, call: Call) -> None:
        """One more connection. Those that have been there longest without a whole call give way: a caller
        that stays silent must not keep out one that asks."""
        while len(self.calls) >= MOST:
            next(iter(self.calls)).abort()
        self.calls[call] = None

    def answer(self, method: bytes, path: str) -> tuple[HTTPStatus, bytes]:
        """The answer to one call."""
        asked = PATHS.get(path)
        if asked is None:
            return HTTPStatus.NOT_FOUND, b"no such call\n"
        if method != asked:
            return HTTPStatus.METHOD_NOT_ALLOWED, b"use %s\n" % asked
        match path:
            case "/stats":
                return HTTPStatus.OK, self.operated.figures()
            case "/routes":
                shown = self.operated.routes()
                return (HTTPStatus.OK, shown) if shown is not None else (HTTPStatus.NOT_FOUND, b"no routes are set\n")
            case "/healthcheck":
                if not self.operated.healthy():
                    return HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n"
            case _:
                self.operated.drain(path == "/healthcheck/fail")
        return HTTPStatus.OK, b"ok\n"


class Call(asyncio.Protocol):
    """One connection of an operator."""

    def __init__(self, control: Control, loop: asyncio.AbstractEventLoop) -> None:
        self._control, self._loop = control, loop
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._control.came(self)
        self._timer = self._loop.call_later(WHOLE_S, self._answer, HTTPStatus.REQUEST_TIMEOUT, b"too slow\n")

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return  # answered; read on, or the close would reset the connection and take the answer with it
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(HTTPStatus.BAD_REQUEST, b"not a call\n")
        if self._size > MAX_CALL:
            self._answer(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, b"too long\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self._control.calls.pop(self, None)
        self._parser = None
        if self._timer is not None:
            self._timer.cancel()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        path = self._target.partition(b"?")[0].decode("latin-1")
        try:
            status, body = self._control.answer(self._parser.get_method(), path)
        except Exception:
            # Raised through the parser it would pass for a bad call, and leave no trace.
            LOG.error("control.broken", exc_info=True)
            status, body = HTTPStatus.INTERNAL_SERVER_ERROR, b"failed\n"
        self._answer(status, body)

    # --- answers

    def _answer(self, status: HTTPStatus, body: bytes) -> None:
        transport = self._transport
        if self._parser is None or transport is None or transport.is_closing():
            return
        self._parser = None
        path = self._target.partition(b"?")[0].decode("latin-1")
        shown = path == "/routes" and status is HTTPStatus.OK
        headers = [(b"Content-Type", b"application/json" if shown else b"text/plain; charset=utf-8")]
        if status is HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append((b"Allow", PATHS[path]))
        if 400 <= status < 500:
            LOG.info("control.refused", status=status.value, path=path[:80])
        transport.write(head(status.value, len(body), headers, False) + body)
        transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(LINGER_S, self.abort)

    def abort(self) -> None:
        """Close at once."""
        self._control.calls.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

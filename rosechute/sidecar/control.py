"""Control interface for operators: readiness, metrics and drain. One request per connection."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from rosechute.proxy.core.address import Address
from rosechute.proxy.core.log import LOG
from rosechute.proxy.http1.message import head

MAX_CONNECTIONS = 8  # open connections; their descriptors come from the reserve of the program
MAX_REQUEST_BYTES = 8 * 1024  # bytes of one request, including its body
REQUEST_TIMEOUT_S = 2.0  # from connecting to the last byte of the request
CLOSE_TIMEOUT_S = 0.5  # after the response, until the connection is aborted
BACKLOG = 64
PATHS = {
    "/healthcheck": b"GET",
    "/stats": b"GET",
    "/routes": b"GET",
    "/healthcheck/fail": b"PUT",
    "/healthcheck/ok": b"PUT",
}


class ControlTarget(Protocol):
    """Operations of the sidecar that operators can request."""

    def healthy(self) -> bool:
        """Return whether the sidecar is ready to serve."""
        ...

    def figures(self) -> bytes:
        """Return the metrics as text."""
        ...

    def routes(self) -> bytes | None:
        """Return limits and metrics of the routes; None without an operator's file."""
        ...

    def drain(self, on: bool) -> None:
        """Start or end the drain."""
        ...


class Control:
    """Listener for operators and its connections, oldest first."""

    def __init__(self, target: ControlTarget) -> None:
        self.target = target
        self.connections: dict[ControlConnection, None] = {}
        self._server: asyncio.Server | None = None

    async def start(self, loop: asyncio.AbstractEventLoop, address: Address) -> int:
        """Start to listen; return the port."""
        self._server = await loop.create_server(
            lambda: ControlConnection(self, loop), address.host, address.port, backlog=BACKLOG
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and abort open connections: the process exits next."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def add(self, connection: ControlConnection) -> None:
        """Add a connection. If there are too many, the oldest are aborted, so that idle ones can't block others."""
        while len(self.connections) >= MAX_CONNECTIONS:
            next(iter(self.connections)).abort()
        self.connections[connection] = None

    def answer(self, method: bytes, path: str) -> tuple[HTTPStatus, bytes]:
        """Return status and body of the response to a request."""
        allowed = PATHS.get(path)
        if allowed is None:
            return HTTPStatus.NOT_FOUND, b"no such call\n"
        if method != allowed:
            return HTTPStatus.METHOD_NOT_ALLOWED, b"use %s\n" % allowed
        match path:
            case "/stats":
                return HTTPStatus.OK, self.target.figures()
            case "/routes":
                is_json = self.target.routes()
                return (
                    (HTTPStatus.OK, is_json)
                    if is_json is not None
                    else (HTTPStatus.NOT_FOUND, b"no routes are set\n")
                )
            case "/healthcheck":
                if not self.target.healthy():
                    return HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n"
            case _:
                self.target.drain(path == "/healthcheck/fail")
        return HTTPStatus.OK, b"ok\n"


class ControlConnection(asyncio.Protocol):
    """Connection of an operator, with one request."""

    def __init__(self, control: Control, loop: asyncio.AbstractEventLoop) -> None:
        self._control, self._loop = control, loop
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._timer: asyncio.TimerHandle | None = None

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its timeout."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._control.add(self)
        self._timer = self._loop.call_later(
            REQUEST_TIMEOUT_S, self._answer, HTTPStatus.REQUEST_TIMEOUT, b"too slow\n"
        )

    def data_received(self, data: bytes) -> None:
        """Parse received data; answer a malformed or oversized request with an error."""
        if self._parser is None:
            return  # answered; unread data at the close would reset the connection and lose the response
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._answer(HTTPStatus.BAD_REQUEST, b"not a call\n")
        if self._size > MAX_REQUEST_BYTES:
            self._answer(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, b"too long\n")

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self._control.connections.pop(self, None)
        self._parser = None
        if self._timer is not None:
            self._timer.cancel()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        """Collect a piece of the request target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Answer the request."""
        if self._parser is None:
            return
        path = self._target.partition(b"?")[0].decode("latin-1")
        try:
            status, body = self._control.answer(self._parser.get_method(), path)
        except Exception:
            # If it passed through the parser, it would look like a malformed request and not be logged.
            LOG.error("control.broken", exc_info=True)
            status, body = HTTPStatus.INTERNAL_SERVER_ERROR, b"failed\n"
        self._answer(status, body)

    # --- Responses

    def _answer(self, status: HTTPStatus, body: bytes) -> None:
        transport = self._transport
        if self._parser is None or transport is None or transport.is_closing():
            return
        self._parser = None
        path = self._target.partition(b"?")[0].decode("latin-1")
        is_json = path == "/routes" and status is HTTPStatus.OK
        headers = [(b"Content-Type", b"application/json" if is_json else b"text/plain; charset=utf-8")]
        if status is HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append((b"Allow", PATHS[path]))
        if 400 <= status < 500:
            LOG.info("control.refused", status=status.value, path=path[:80])
        transport.write(head(status.value, len(body), headers, False) + body)
        transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(CLOSE_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Abort the connection."""
        self._control.connections.pop(self, None)
        if self._transport is not None:
            self._transport.abort()

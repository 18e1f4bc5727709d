"""An HTTP server for callers other than clients, whose connections are held within the limits of a listener.

The library bounds what one connection may have parsed and buffered. It bounds neither the number of connections nor
what they hold together, and it never closes one that sends no complete request.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import web

from rosechute.listening.connections import STALLED_S, ConnectionTable
from rosechute.listening.limits import ListenerLimits
from rosechute.listening.sockets import listen
from rosechute.proxy.core.shedding import Standing

BODY_COPIES = 2  # a body is held in pieces, and once more when it is joined
UNPARSED_OVERHEAD = 8  # memory for each byte outside of a body: the parser's pieces, and objects for each header
FEED_BYTES = 8 * 1024  # bytes that the library is passed at a time
SEND_PIECE_BYTES = 64 * 1024  # bytes of a long response that are sent at a time
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class HttpServer:
    """Serves an application at one address.

    Args:
        application: The application; it must not be in use yet.
        name: Name of the listener, for the log.
        limits: Limits of the listener.
        shutdown_timeout_s: Seconds for which requests may continue once the server stops.

    Attributes:
        connections: The open connections.
    """

    def __init__(
        self, application: web.Application, name: str, limits: ListenerLimits, shutdown_timeout_s: float = 60.0
    ) -> None:
        self.connections = ConnectionTable(name, limits)
        self._limits = limits
        self._by_handler: dict[Any, HttpConnection] = {}

        @web.middleware
        async def track(request: web.Request, handler: Handler) -> web.StreamResponse:
            return await self._handle(request, handler)

        application.middlewares.append(track)
        self._runner = web.AppRunner(
            application, access_log=None, handle_signals=False, shutdown_timeout=shutdown_timeout_s
        )

    async def start(self, host: str, port: int) -> None:
        """Listen.

        Raises:
            OSError: The address is in use or does not belong to this machine.
        """
        if self._runner.server is None:  # not after an attempt that failed
            await self._runner.setup()
        await _Site(self._runner, self._make_connection, (host, port), self._limits.receive_buffer_bytes).start()

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        self.connections.close()
        await self._runner.cleanup()

    @property
    def addresses(self) -> list[Any]:
        """Return the addresses that are listened at."""
        return self._runner.addresses

    def _make_connection(self) -> HttpConnection:
        make_handler = self._runner.server
        assert make_handler is not None
        handler = make_handler()
        connection = self._by_handler[handler] = HttpConnection(handler, self.connections, self._forget)
        return connection

    def _forget(self, handler: asyncio.Protocol) -> None:
        self._by_handler.pop(handler, None)

    async def _handle(self, request: web.Request, handle: Handler) -> web.StreamResponse:
        """Handle a request, and tell its connection that it is being handled."""
        connection = self._by_handler.get(request.protocol)
        if connection is None:
            return await handle(request)
        connection.on_request(request)
        try:
            response = await handle(request)
            if isinstance(response, web.Response) and isinstance(response.body, bytes):
                return await _send_in_pieces(request, response, response.body)
            return response
        except BaseException as error:
            # The library keeps the error of a broken body, and with it the frames that hold what was read.
            traceback.clear_frames(error.__traceback__)
            raise
        finally:
            connection.on_handled()


async def _send_in_pieces(request: web.Request, response: web.Response, body: bytes) -> web.StreamResponse:
    """Send a long response as fast as the caller reads it, so that its body is not copied for each caller."""
    if len(body) <= SEND_PIECE_BYTES:
        return response
    streamed = web.StreamResponse(status=response.status, headers=response.headers)
    streamed.content_length = len(body)
    await streamed.prepare(request)
    for start in range(0, len(body), SEND_PIECE_BYTES):
        await streamed.write(body[start : start + SEND_PIECE_BYTES])
    await streamed.write_eof()
    return streamed


class _Site(web.BaseSite):
    """A listening socket that the library's runner closes."""

    __slots__ = ("_make_connection", "_address", "_receive_buffer_bytes")

    def __init__(
        self,
        runner: web.AppRunner,
        make_connection: Callable[[], asyncio.Protocol],
        address: tuple[str, int],
        receive_buffer_bytes: int,
    ) -> None:
        super().__init__(runner)
        self._make_connection, self._address = make_connection, address
        self._receive_buffer_bytes = receive_buffer_bytes

    @property
    def name(self) -> str:
        """Return the URL of the site."""
        return f"http://{self._address[0]}:{self._address[1]}"

    async def start(self) -> None:
        """Listen; the runner knows the site only once that has succeeded."""
        server = await listen(self._make_connection, self._address, self._receive_buffer_bytes)
        await super().start()
        self._server = server


class ReadingGate:
    """The transport as the library sees it: its pauses of reading are joined with those of the connection.

    Attributes:
        is_paused: Whether the library asks for a pause.
    """

    def __init__(self) -> None:
        self.is_paused = False
        self._is_held = False
        self._transport: asyncio.Transport | None = None
        self._on_resumed: Callable[[], None] | None = None

    def open(self, transport: asyncio.Transport, on_resumed: Callable[[], None]) -> None:
        """Use a transport; `on_resumed` is called when the library ends a pause."""
        self._transport, self._on_resumed = transport, on_resumed

    def hold(self) -> None:
        """Pause reading for the connection."""
        self._is_held = True
        self._apply()

    def release(self) -> None:
        """End the connection's pause."""
        self._is_held = False
        self._apply()

    def pause_reading(self) -> None:
        """Pause reading for the library."""
        self.is_paused = True
        self._apply()

    def resume_reading(self) -> None:
        """End the library's pause."""
        self.is_paused = False
        self._apply()
        if self._on_resumed is not None:
            self._on_resumed()

    def _apply(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._is_held or self.is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class HttpConnection(asyncio.Protocol):
    """One connection: passes its events to the handler of the library, and accounts for what it holds.

    Args:
        handler: The library's protocol.
        table: The connections of the listener.
        on_closed: Called with the handler once the connection has ended.
    """

    def __init__(
        self, handler: asyncio.Protocol, table: ConnectionTable, on_closed: Callable[[asyncio.Protocol], None]
    ) -> None:
        self._handler, self._table, self._on_closed = handler, table, on_closed
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._last_active_at = self._loop.time()
        self._unhandled_bytes = 0  # bytes received since the last request was handled, without a body
        self._request: web.Request | None = None
        self._has_request = False
        self._is_write_paused = False
        self._unfed = b""  # data that the library has not been passed yet
        self._has_turn = False  # a turn to pass data on is due
        self._reading = ReadingGate()

    # --- asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or close it if there is no place for it."""
        self._transport = cast(asyncio.Transport, transport)
        self._reading.open(self._transport, self._feed_later)
        self._handler.connection_made(cast(asyncio.Transport, self._reading))
        if not self._table.add(self):
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Pass data on; what is long in turns, as a body in very short chunks costs much time."""
        self._last_active_at = self._loop.time()
        if self._unfed or len(data) > FEED_BYTES:
            self._unfed = b"".join((self._unfed, data))
            self._reading.hold()
            self._feed_later()
        else:
            self._feed(data)
        self._table.relieve()

    def _feed(self, data: bytes) -> None:
        if self._request is None:
            self._unhandled_bytes += len(data)
        self._handler.data_received(data)

    def _feed_later(self) -> None:
        """Take a turn to pass on the next piece of what was kept, unless one is due already."""
        if self._unfed and not self._has_turn:
            self._has_turn = True
            self._table.turns.add(self._feed_next)

    def _feed_next(self) -> None:
        """Pass on the next piece; read on once all is passed on. The library may ask for a pause."""
        self._has_turn = False
        if self._reading.is_paused or not self._unfed:
            return
        piece, self._unfed = self._unfed[:FEED_BYTES], self._unfed[FEED_BYTES:]
        self._feed(piece)
        if self._unfed:
            self._feed_later()
        else:
            self._reading.release()

    def eof_received(self) -> bool | None:
        """Pass the end of the input on."""
        return self._handler.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection."""
        self._table.remove(self)
        self._request = None
        self._unfed = b""
        self._on_closed(self._handler)
        self._handler.connection_lost(exc)

    def pause_writing(self) -> None:
        """Note that the caller does not read."""
        self._is_write_paused = True
        self._handler.pause_writing()
        self._loop.call_soon(self._table.relieve)

    def resume_writing(self) -> None:
        """Note that the caller has read."""
        self._is_write_paused = False
        self._last_active_at = self._loop.time()
        self._handler.resume_writing()

    # --- the application

    def on_request(self, request: web.Request) -> None:
        """Note that the handling of a request begins; its body may still be arriving."""
        self._request, self._has_request, self._unhandled_bytes = request, True, 0

    def on_handled(self) -> None:
        """Note that the handling of the request has ended."""
        self._request = None

    # --- GuardedConnection

    def standing(self, now: float) -> Standing:
        """Return why this connection holds memory and a descriptor."""
        if self._is_write_paused:
            return Standing.NOT_READING
        if self._request is not None and self._request.content.is_eof():
            return Standing.KEPT
        if self._request is not None or self._unhandled_bytes:
            return Standing.STALLED if now - self._last_active_at >= STALLED_S else Standing.ARRIVING
        return Standing.IDLE if self._has_request else Standing.SILENT

    def held_bytes(self) -> int:
        """Return an upper bound of the memory that is free once this connection is closed."""
        body = self._request.content.total_bytes if self._request is not None else 0
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        return unsent + len(self._unfed) + BODY_COPIES * body + UNPARSED_OVERHEAD * self._unhandled_bytes

    def last_active_at(self) -> float:
        """Return the loop time at which the caller last sent or read anything."""
        return self._last_active_at

    def shed(self) -> None:
        """Refuse what is arriving, and close."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._is_write_paused or not (self._request is not None or self._unhandled_bytes):
            transport.abort()
            return
        transport.write(REFUSAL)
        transport.close()

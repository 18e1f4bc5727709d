"""A fake HTTP server with a concurrency limit, a queue, a cold start and injectable faults."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import cast

import httptools


@dataclass
class ServerBehavior:
    """The behavior of a server. All fields may be changed while the server runs."""

    slots: int = 4
    """Maximum number of concurrent requests."""
    queue: int = 64
    """Maximum number of queued requests; further requests are rejected."""
    service_s: float = 0.02
    """Mean service time in seconds; each time is drawn uniformly between 0.5 and 1.5 times the mean."""
    slow: float = 1.0
    """Factor on the service time."""
    fail_share: float = 0.0
    """Fraction of requests that are answered with 500."""
    hang: bool = False
    """Accept requests and never answer them."""
    draining: bool = False
    """Reject new requests."""
    cold_s: float = 0.0
    """Length of the cold start in seconds."""
    cold_from: float = 0.1
    """Fraction of the full speed at the start; it rises linearly to 1."""


@dataclass(slots=True)
class ServerRequest:
    """One request whose processing has begun."""

    rid: str
    path: str
    at: float
    server: str


@dataclass
class ServerStats:
    """The requests that a server has seen, for the check of the rules."""

    started_requests: list[ServerRequest] = field(default_factory=list)
    received: list[tuple[float, str]] = field(default_factory=list)
    rejected: int = 0
    max_queued: int = 0


class FakeServer:
    """A fake HTTP server on its own loopback port."""

    def __init__(self, name: str, behavior: ServerBehavior | None = None, seed: int = 1) -> None:
        self.name, self.behavior, self.stats = name, behavior or ServerBehavior(), ServerStats()
        self._random = random.Random(f"{seed}/{name}")
        self._busy = 0
        self._queue: deque[Exchange] = deque()
        self._connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.started = 0.0

    async def start(self, port: int = 0) -> int:
        """Listen on loopback, by default on any free port, and return the port."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(lambda: ServerConnection(self), "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.started = self._loop.time()
        return self.port

    def stop(self) -> None:
        """Stop listening and reset all connections, like a process that is killed."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.reset()

    @property
    def load(self) -> tuple[int, int]:
        """The numbers of running and of queued requests."""
        return self._busy, len(self._queue)

    def speed_share(self) -> float:
        """Return the current fraction of the full speed."""
        behavior = self.behavior
        if not behavior.cold_s:
            return 1.0
        age = (self._loop.time() - self.started) / behavior.cold_s
        return min(1.0, behavior.cold_from + (1.0 - behavior.cold_from) * age)

    def accept(self, exchange: Exchange) -> None:
        """Reject, start or queue a complete request."""
        behavior = self.behavior
        self.stats.received.append((self._loop.time(), exchange.rid))
        if behavior.draining or len(self._queue) >= behavior.queue:
            self.stats.rejected += 1
            exchange.answer(503, b"not now\n", b"X-Not-Processed: 1\r\n")
        elif self._busy < behavior.slots:
            self._begin(exchange)
        else:
            self._queue.append(exchange)
            self.stats.max_queued = max(self.stats.max_queued, len(self._queue))

    def _begin(self, exchange: Exchange) -> None:
        self._busy += 1
        self.stats.started_requests.append(ServerRequest(exchange.rid, exchange.path, self._loop.time(), self.name))
        if self.behavior.hang:
            return
        service_time = (
            self.behavior.service_s * self.behavior.slow / self.speed_share() * (0.5 + self._random.random())
        )
        failed = self._random.random() < self.behavior.fail_share
        self._loop.call_later(service_time, self._end, exchange, failed)

    def _end(self, exchange: Exchange, failed: bool) -> None:
        self._busy -= 1
        exchange.answer(500 if failed else 200, b"failed\n" if failed else exchange.rid.encode(), b"")
        while self._queue and self._busy < self.behavior.slots:
            waiting = self._queue.popleft()
            if waiting.open:
                self._begin(waiting)

    def connection_opened(self, connection: ServerConnection) -> None:
        """Register an open connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class Exchange:
    """One request and its connection."""

    __slots__ = ("connection", "path", "rid", "open")

    def __init__(self, connection: ServerConnection) -> None:
        self.connection, self.path, self.rid, self.open = connection, "", "", True

    def answer(self, status: int, body: bytes, headers: bytes) -> None:
        """Send the response unless one was sent or the connection is closed."""
        if self.open:
            self.open = False
            self.connection.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)
            )


class ServerConnection(asyncio.Protocol):
    """One client connection of a server."""

    def __init__(self, server: FakeServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange = Exchange(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._exchange.open = False
        self._server.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            self.reset()

    def on_message_begin(self) -> None:
        self._exchange = Exchange(self)

    def on_url(self, url: bytes) -> None:
        self._exchange.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._exchange.rid = value.decode("latin-1")

    def on_message_complete(self) -> None:
        if self._exchange.path.startswith("/-/"):
            self._exchange.answer(503 if self._server.behavior.draining else 200, b"", b"")
        else:
            self._server.accept(self._exchange)

    def write(self, data: bytes) -> None:
        """Write unless the connection is closed."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def reset(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

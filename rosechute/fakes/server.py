"""A booking server: so many at a time, a queue, a cold start, and faults that can be switched on."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import cast

import httptools


@dataclass
class Conduct:
    """How a server behaves. All of it may change while it runs."""

    slots: int = 4
    """Requests at a time."""
    queue: int = 64
    """Requests that wait; beyond that they are turned away."""
    service_s: float = 0.02
    """Mean time that one takes; each is drawn from half to one and a half of it."""
    slow: float = 1.0
    """By how much slower than that."""
    fail_share: float = 0.0
    """Share of requests that end with 500."""
    hang: bool = False
    """Take requests and answer none."""
    draining: bool = False
    """Turn new requests away."""
    cold_s: float = 0.0
    """For how long after its start it is slower."""
    cold_from: float = 0.1
    """The share of its speed at its start; it grows evenly from there."""


@dataclass(slots=True)
class Run:
    """One request that a server has begun."""

    rid: str
    path: str
    at: float
    server: str


@dataclass
class Seen:
    """What a server has seen, for a judge."""

    runs: list[Run] = field(default_factory=list)
    came: list[tuple[float, str]] = field(default_factory=list)
    turned_away: int = 0
    most_waiting: int = 0


class StandInServer:
    """One server on a port of its own."""

    def __init__(self, name: str, conduct: Conduct | None = None, seed: int = 1) -> None:
        self.name, self.conduct, self.seen = name, conduct or Conduct(), Seen()
        self._random = random.Random(f"{seed}/{name}")
        self._busy = 0
        self._queue: deque[Exchange] = deque()
        self._connections: set[Conversation] = set()
        self._server: asyncio.Server | None = None
        self.port = 0
        self.started = 0.0

    async def start(self, port: int = 0) -> int:
        """Listen; return the port."""
        self._loop = asyncio.get_running_loop()
        self._server = await self._loop.create_server(lambda: Conversation(self), "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        self.started = self._loop.time()
        return self.port

    def stop(self) -> None:
        """Die: every connection is reset."""
        if self._server is not None:
            self._server.close()
        for conversation in list(self._connections):
            conversation.reset()

    @property
    def load(self) -> tuple[int, int]:
        """Requests under way and waiting."""
        return self._busy, len(self._queue)

    def warmth(self) -> float:
        """The share of its speed that it has now."""
        conduct = self.conduct
        if not conduct.cold_s:
            return 1.0
        age = (self._loop.time() - self.started) / conduct.cold_s
        return min(1.0, conduct.cold_from + (1.0 - conduct.cold_from) * age)

    # --- requests

    def take(self, exchange: Exchange) -> None:
        """A request has come in whole."""
        conduct = self.conduct
        self.seen.came.append((self._loop.time(), exchange.rid))
        if conduct.draining or len(self._queue) >= conduct.queue:
            self.seen.turned_away += 1
            exchange.answer(503, b"not now\n", b"X-Not-Processed: 1\r\n")
        elif self._busy < conduct.slots:
            self._begin(exchange)
        else:
            self._queue.append(exchange)
            self.seen.most_waiting = max(self.seen.most_waiting, len(self._queue))

    def _begin(self, exchange: Exchange) -> None:
        self._busy += 1
        self.seen.runs.append(Run(exchange.rid, exchange.path, self._loop.time(), self.name))
        if self.conduct.hang:
            return
        takes = self.conduct.service_s * self.conduct.slow / self.warmth() * (0.5 + self._random.random())
        failed = self._random.random() < self.conduct.fail_share
        self._loop.call_later(takes, self._end, exchange, failed)

    def _end(self, exchange: Exchange, failed: bool) -> None:
        self._busy -= 1
        exchange.answer(500 if failed else 200, b"failed\n" if failed else exchange.rid.encode(), b"")
        while self._queue and self._busy < self.conduct.slots:
            waiting = self._queue.popleft()
            if waiting.open:
                self._begin(waiting)

    def joined(self, conversation: Conversation) -> None:
        """A connection has come up."""
        self._connections.add(conversation)

    def left(self, conversation: Conversation) -> None:
        """A connection has ended."""
        self._connections.discard(conversation)


class Exchange:
    """One request on its connection."""

    __slots__ = ("conversation", "path", "rid", "open")

    def __init__(self, conversation: Conversation) -> None:
        self.conversation, self.path, self.rid, self.open = conversation, "", "", True

    def answer(self, status: int, body: bytes, headers: bytes) -> None:
        """Write the answer, if its connection is still there."""
        if self.open:
            self.open = False
            self.conversation.write(
                b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)
            )


class Conversation(asyncio.Protocol):
    """One connection at a server."""

    def __init__(self, server: StandInServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchange = Exchange(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._exchange.open = False
        self._server.left(self)

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
            self._exchange.answer(503 if self._server.conduct.draining else 200, b"", b"")
        else:
            self._server.take(self._exchange)

    def write(self, data: bytes) -> None:
        """Write, if the connection is still there."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def reset(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

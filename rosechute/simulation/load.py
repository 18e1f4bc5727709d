"""Open-loop HTTP/1.1 load generator without coordinated omission, for servers on the loopback interface only.

The due time of each request is fixed before the first is sent, and latency is measured from the due time, whether or
not a connection was available then. A server that stalls for a second thus affects all requests of that second (Tene,
"How not to measure latency", 2013). Requests due while `MAX_OPEN` are open are counted as not sent.
"""

from __future__ import annotations

import asyncio
import ipaddress
from collections import Counter, deque
from typing import NamedTuple, cast
from urllib.parse import urlsplit

import httptools
import numpy as np
from hdrh.histogram import HdrHistogram

from rosechute.simulation.clients import level, peak

MAX_RATE_PER_S = 20_000.0
MAX_DURATION_S = 600.0
MAX_OPEN = 4000
REQUEST_TIMEOUT_S = 10.0  # after which a request counts as unanswered


class Target(NamedTuple):
    """Destination of the requests: a loopback address, a port and a path."""

    host: str
    port: int
    path: str


def target(url: str) -> Target:
    """Parse a URL.

    Raises:
        ValueError: The URL is not an http URL of a loopback address.
    """
    parts = urlsplit(url)
    if parts.scheme != "http":
        raise ValueError(f"{url!r} does not begin with http://")
    host = "127.0.0.1" if parts.hostname == "localhost" else parts.hostname or ""
    try:
        loopback = ipaddress.ip_address(host).is_loopback
        port = parts.port or 80
    except ValueError:
        raise ValueError(f"{url!r} has no address; names are not looked up") from None
    if not loopback:
        raise ValueError(f"{host} is not a loopback address; load is sent only to this machine")
    return Target(host, port, (parts.path or "/") + (f"?{parts.query}" if parts.query else ""))


def due(
    rate: float, seconds: float, shape: str = "flat", depth: float = 0.5, period_s: float = 10.0, seed: int = 1
) -> list[float]:
    """Return the due times of requests in seconds from the start: a Poisson process whose rate follows the shape.

    Raises:
        ValueError: The rate exceeds `MAX_RATE_PER_S` or the duration exceeds `MAX_DURATION_S`.
    """
    if not 0 < rate <= MAX_RATE_PER_S or not 0 < seconds <= MAX_DURATION_S:
        raise ValueError(
            f"a load has up to {MAX_RATE_PER_S:g} requests a second and lasts up to {MAX_DURATION_S:g} s"
        )
    rng = np.random.default_rng(seed)
    top = rate * peak(shape, depth)
    count = rng.poisson(top * seconds)
    times = np.sort(rng.random(count) * seconds).tolist()
    keep = rng.random(count).tolist()
    return [t for t, u in zip(times, keep, strict=True) if u * top < rate * level(shape, depth, period_s, t)]


class LoadResult:
    """Results of a load run."""

    def __init__(self) -> None:
        self.statuses: Counter[int] = Counter()
        self.asked = self.not_sent = self.unanswered = 0
        self.times = HdrHistogram(1, 60_000_000, 3)  # latency in microseconds, from the due time
        self.max_send_delay_s = 0.0  # worst delay of this program in sending a due request

    def lines(self) -> list[tuple[str, str]]:
        """Return the names and formatted values of the results."""
        shown = [("due", str(self.asked)), ("not sent", str(self.not_sent)), ("unanswered", str(self.unanswered))]
        shown += [(f"status {status}", str(count)) for status, count in sorted(self.statuses.items())]
        shown += [
            (f"p{q:g}", f"{self.times.get_value_at_percentile(q) / 1000:.3f} ms") for q in (50, 90, 99, 99.9, 100)
        ]
        return [*shown, ("sent late by up to", f"{self.max_send_delay_s * 1000:.1f} ms")]


class _Connection(asyncio.Protocol):
    """Client connection with at most one request in flight."""

    def __init__(self, load: _LoadRun) -> None:
        self._load = load
        self._parser = httptools.HttpResponseParser(self)
        self._due: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def send(self, due_at: float, data: bytes) -> None:
        assert self.transport is not None
        self._due = due_at
        self._timer = self._load.loop.call_at(due_at + REQUEST_TIMEOUT_S, self.transport.abort)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def on_message_complete(self) -> None:
        if self._due is None:
            return
        ended, self._due = self._due, None
        if self._timer is not None:
            self._timer.cancel()
        status, keep = self._parser.get_status_code(), self._parser.should_keep_alive()
        self._parser = httptools.HttpResponseParser(self)
        self._load.answered(self, ended, status, keep)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._load.lost(self, self._due is not None)


class _LoadRun:
    """Load run in progress."""

    def __init__(self, to: Target, times: list[float], method: str, headers: list[str]) -> None:
        self.loop = asyncio.get_running_loop()
        self.to, self.times = to, times
        self.head = "\r\n".join(
            [
                f"{method} {to.path} HTTP/1.1",
                f"Host: {to.host}:{to.port}",
                *headers,
                *(["Content-Length: 0"] if method == "POST" else []),
            ]
        )
        self.found = LoadResult()
        self.idle: deque[_Connection] = deque()
        self.open = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.finished = asyncio.Event()
        self.all_sent = False

    async def play(self) -> LoadResult:
        start = self.loop.time()
        for number, time in enumerate(self.times):
            at = start + time
            if at > self.loop.time():
                await asyncio.sleep(at - self.loop.time())
            self.found.max_send_delay_s = max(self.found.max_send_delay_s, self.loop.time() - at)
            self.found.asked += 1
            if self.open >= MAX_OPEN:
                self.found.not_sent += 1
                continue
            self.open += 1
            data = f"{self.head}\r\nX-Request-ID: {id(self):x}-{number}\r\n\r\n".encode()
            while self.idle:
                connection = self.idle.pop()
                if connection.transport is not None and not connection.transport.is_closing():
                    connection.send(at, data)
                    break
            else:
                task = self.loop.create_task(self._connect(at, data))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
        self.all_sent = True
        if self.open:
            await asyncio.wait_for(self.finished.wait(), REQUEST_TIMEOUT_S + 5)
        for connection in self.idle:
            if connection.transport is not None:
                connection.transport.abort()
        return self.found

    async def _connect(self, at: float, data: bytes) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                _, made = await self.loop.create_connection(lambda: _Connection(self), self.to.host, self.to.port)
        except OSError:
            self._ended(False)
            return
        made.send(at, data)

    def answered(self, connection: _Connection, at: float, status: int, keep: bool) -> None:
        self.found.statuses[status] += 1
        self.found.times.record_value(max(1, int((self.loop.time() - at) * 1e6)))
        if keep:
            self.idle.append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        self._ended(True)

    def lost(self, connection: _Connection, asked: bool) -> None:
        if asked:
            self._ended(False)

    def _ended(self, answered: bool) -> None:
        self.found.unanswered += not answered
        self.open -= 1
        if self.all_sent and not self.open:
            self.finished.set()


async def load(to: Target, times: list[float], method: str = "GET", headers: list[str] | None = None) -> LoadResult:
    """Send a request at each of the given times (seconds from now) and wait for all answers.

    A request counts as unanswered after `REQUEST_TIMEOUT_S`.
    """
    return await _LoadRun(to, times, method, headers or []).play()

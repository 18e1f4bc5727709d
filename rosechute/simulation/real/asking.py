"""A sidecar process as an instance of a run: its clients' requests over real sockets, its list, its end."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol, cast

import httptools

from rosechute.fakes.discovery import StandInDiscovery
from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.engine import Engine
from rosechute.simulation.instance import Request
from rosechute.simulation.real.process import Process
from rosechute.simulation.real.pump import Pump
from rosechute.simulation.spec import Class
from rosechute.simulation.trace import DRAINING, END, FAILED, GONE, LEFT, LOST, REFUSED, SERVED, TOLD, UP, Trace

SLACK_NS = 50_000_000  # how much longer than its time an answer is waited for, so that it can be seen to be late
STATUSES = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
STATES = {"SERVING": UP, "DRAINING": DRAINING}


class Known(Protocol):
    """What a sidecar needs of the run."""

    def taken(self, request: Request, by: Sidecar) -> None:
        """A client has asked: servers may see this request from now on."""

    def place(self, server: str) -> tuple[int, int, int]:
        """A server's number, the port that it has now, and when its process started by the wall clock, in ms."""

    def started(self, server: str, since_ms: int) -> int:
        """When that process started by the run's clock, in ns."""

    def watch(self, instance: int) -> None:
        """Its sidecar has asked for the list."""


class Sidecar:
    """One instance of a run, as a process. `rosechute.simulation.host.Host` says what for."""

    def __init__(
        self, number: int, zone: int, engine: Engine, pump: Pump, trace: Trace, classes: Sequence[Class], known: Known
    ) -> None:
        self.number, self.zone = number, zone
        self.up = False
        self.requests: dict[str, Request] = {}
        self.discovery = StandInDiscovery()
        self.discovery.asked = lambda: known.watch(number)
        self.discovery.told = lambda lines, whole: pump.act(self._told, (lines, whole))
        self.process: Process | None = None
        self._engine, self._pump, self._trace, self._classes, self._known = engine, pump, trace, classes, known
        self._loop = asyncio.get_running_loop()
        self._idle: list[Line] = []
        self._lines: dict[str, Line] = {}  # by request: the connection it went by
        self._tenants: dict[str, tuple[int, bool]] = {}
        self._listed: set[str] = set()

    # --- its life

    def join(self, process: Process) -> None:
        """The process that this instance is."""
        self.process = process

    def start(self, entries: Sequence[Entry] | None = None) -> None:
        """Take requests: the process is ready. With `entries`, the list at the run's start."""
        if entries is None:
            self.up = True
            return
        for entry in entries:
            self._put(entry)
        self._listed = {entry.server for entry in entries}

    def kill(self) -> None:
        """Gone at once, with all that it held."""
        self.up = False
        assert self.process is not None
        self.process.kill()
        requests, self.requests = self.requests, {}
        for request in requests.values():
            self._close(request, LOST, 0)
        for line in [*self._idle, *self._lines.values()]:
            line.drop()
        self._idle, self._lines = [], {}

    # --- its list

    def hear(self, news: Directory) -> None:
        """What discovery has for it; its sidecar gets it with the next answer."""
        for entry in news.entries:
            self._put(entry)

    def _put(self, entry: Entry) -> None:
        _, port, since_ms = self._known.place(entry.server)
        self.discovery.put(
            entry.server,
            port,
            STATUSES[entry.lifecycle],
            since_ms,
            zone=f"z{entry.zone}",
            group=entry.cell,
            weight=entry.weight,
        )

    def _told(self, told: tuple[list[dict[str, object]], bool]) -> None:
        lines, whole = told
        now, names = self._engine.now, set()
        for line in lines:
            name, since_ms = str(line["name"]), cast(int, line["since_ms"])
            state = STATES.get(str(line["status"]), GONE)
            number = self._known.place(name)[0]
            if state != GONE:
                names.add(name)
            self._trace.add((now, TOLD, self.number, number, state, self._known.started(name, since_ms)))
        if whole:
            for name in sorted(self._listed - names):
                self._trace.add((now, TOLD, self.number, self._known.place(name)[0], GONE, 0))
        self._listed = names if whole else self._listed | names

    # --- its clients

    def take(self, request: Request, tenant: int, retry: bool) -> None:
        """Send a client's request, on a connection that is free or a new one."""
        self._known.taken(request, self)
        self.requests[request.tid] = request
        self._tenants[request.tid] = tenant, retry
        line = self._idle.pop() if self._idle else None
        if line is None:
            line = self._lines[request.tid] = Line(self)
            line.request = request
            self._loop.create_task(self._connect(line))
        else:
            self._lines[request.tid] = line
            line.send(request, self._head(request))

    async def _connect(self, line: Line) -> None:
        assert self.process is not None
        try:
            await self._loop.create_connection(lambda: line, "127.0.0.1", self.process.port)
        except OSError:
            if line.request is not None:
                self._pump.act(self._unanswered, line.request)
            return
        if line.request is None or line.dropped:
            line.drop()  # it was killed, or its client left, while the connection came up
        else:
            line.send(line.request, self._head(line.request))

    def _head(self, request: Request) -> bytes:
        cls = self._classes[request.cls]
        tenant, retry = self._tenants[request.tid]
        lines = [
            f"{'GET' if cls.repeat == 'free' else 'POST'} /{cls.name}/{request.rid} HTTP/1.1",
            "Host: lab",
            f"X-Request-ID: {request.rid}",
            f"X-Timeout: {max(1, request.until - self._engine.now) / 1e9:.4f}",
            f"X-Tenant-Id: t{tenant}",
            f"Cookie: key={request.key}",
        ]
        lines += [f"Idempotency-Key: {request.rid}"] if cls.repeat == "guarded" else []
        lines += ["X-Retried: 1"] if retry else []
        lines += ["Content-Length: 0"] if cls.repeat != "free" else []
        return "\r\n".join([*lines, "", ""]).encode()

    def answered(self, line: Line, status: int, hold_off: int) -> None:
        """An answer has come whole."""
        request, line.request = line.request, None
        if line.kept and self.up:
            self._idle.append(line)
        else:
            line.drop()
        if request is not None:
            self._lines.pop(request.tid, None)
            self._pump.act(self._ended, (request, {200: SERVED, 503: REFUSED}.get(status, FAILED), hold_off))

    def broken(self, line: Line) -> None:
        """A connection has ended."""
        request, line.request = line.request, None
        if line in self._idle:
            self._idle.remove(line)
        if request is not None and self.requests.get(request.tid) is request:
            self._pump.act(self._unanswered, request)

    def _unanswered(self, request: Request) -> None:
        """Its connection ended without an answer. Where its process was killed, it is lost with it already."""
        self._ended((request, LEFT, 0))

    def _ended(self, told: tuple[Request, int, int]) -> None:
        request, ending, hold_off = told
        if self.requests.pop(request.tid, None) is not None:
            self._lines.pop(request.tid, None)
            self._close(request, ending, hold_off)

    def _close(self, request: Request, ending: int, hold_off: int) -> None:
        request.ended = True
        self._tenants.pop(request.tid, None)
        self._trace.add((self._engine.now, END, request.rid, ending, hold_off))
        request.tell(request, ending, hold_off)

    def hang_up(self, request: Request) -> None:
        """The client's time is over; it looks a little longer, so that a late answer is seen as one."""
        if not request.ended:
            self._engine.after(SLACK_NS, self._leave, request)

    def _leave(self, request: Request) -> None:
        if not request.ended:
            line = self._lines.get(request.tid)
            self._ended((request, LEFT, 0))
            if line is not None:
                line.request = None
                line.drop()

    def close(self) -> None:
        """End its process and connections, for the end of the run."""
        for line in [*self._idle, *self._lines.values()]:
            line.drop()
        self.discovery.stop()
        if self.process is not None:
            self.process.kill()


class Line(asyncio.Protocol):
    """One connection of a client to a sidecar, one request at a time."""

    def __init__(self, owner: Sidecar) -> None:
        self._owner = owner
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.kept = True
        self.dropped = False
        self._hold_off = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: Request, head: bytes) -> None:
        """Send a request."""
        self.request, self._hold_off = request, 0
        if self._transport is not None:
            self._transport.write(head)

    def data_received(self, data: bytes) -> None:
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._hold_off = int(float(value) * 1e9)
        elif name.lower() == b"connection" and value.lower() == b"close":
            self.kept = False

    def on_message_complete(self) -> None:
        assert self._parser is not None
        self._owner.answered(self, self._parser.get_status_code(), self._hold_off)

    def connection_lost(self, exc: Exception | None) -> None:
        self.kept = False
        self._parser = None  # it knows this connection: without the cycle both go at once
        self._owner.broken(self)

    def drop(self) -> None:
        """Close it."""
        self.dropped, self.kept = True, False
        if self._transport is not None:
            self._transport.abort()

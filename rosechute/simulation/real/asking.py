"""Sidecar process as an instance of a run: client requests over sockets, discovery updates and process lifetime."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Protocol, cast

import httptools

from rosechute.fakes.discovery import FakeDiscovery
from rosechute.load_balancing.interface import Directory, Entry
from rosechute.simulation.engine import Engine
from rosechute.simulation.instance import Request
from rosechute.simulation.real.process import Process
from rosechute.simulation.real.pump import Pump
from rosechute.simulation.spec import Class
from rosechute.simulation.trace import (
    DRAINING,
    END,
    FAILED,
    LOST,
    NOTIFIED,
    REFUSED,
    SERVED,
    STOPPED,
    TIMED_OUT,
    UP,
    Trace,
)

SLACK_NS = 50_000_000  # wait after the client timeout, so that a late answer is recorded as late
STATUSES = {"up": "SERVING", "draining": "DRAINING", "removed": "DELETED"}
STATES = {"SERVING": UP, "DRAINING": DRAINING}


class RunContext(Protocol):
    """Interface of the run that a sidecar uses."""

    def taken(self, request: Request, by: Sidecar) -> None:
        """Register a client request; servers may receive it from now on."""

    def place(self, server: str) -> tuple[int, int, int]:
        """Return a server's number, its current port, and the start of its process in ms of the wall clock."""

    def started(self, server: str, since_ms: int) -> int:
        """Return the start of that process in ns of the simulated clock."""

    def watch(self, instance: int) -> None:
        """Subscribe an instance whose sidecar has requested the server list."""


class Sidecar:
    """Instance of a run backed by a sidecar process; implements `rosechute.simulation.host.Host`."""

    def __init__(
        self,
        number: int,
        zone: int,
        engine: Engine,
        pump: Pump,
        trace: Trace,
        classes: Sequence[Class],
        run: RunContext,
    ) -> None:
        self.number, self.zone = number, zone
        self.up = False
        self.requests: dict[str, Request] = {}
        self.discovery = FakeDiscovery()
        self.discovery.on_request = lambda: run.watch(number)
        self.discovery.on_response = lambda entries, is_full: pump.act(self._record_update, (entries, is_full))
        self.process: Process | None = None
        self._engine, self._pump, self._trace, self._classes, self._run = engine, pump, trace, classes, run
        self._loop = asyncio.get_running_loop()
        self._idle: list[ClientConnection] = []
        self._connections: dict[str, ClientConnection] = {}  # connection of each open request
        self._tenants: dict[str, tuple[int, bool]] = {}
        self._listed: set[str] = set()

    # --- process lifetime

    def join(self, process: Process) -> None:
        """Attach the process of this instance."""
        self.process = process

    def start(self, entries: Sequence[Entry] | None = None) -> None:
        """Accept requests, as the process is ready; or, given `entries`, set the list at the start of the run."""
        if entries is None:
            self.up = True
            return
        for entry in entries:
            self._put(entry)
        self._listed = {entry.server for entry in entries}

    def kill(self) -> None:
        """Kill the process and lose all open requests."""
        self.up = False
        assert self.process is not None
        self.process.kill()
        requests, self.requests = self.requests, {}
        for request in requests.values():
            self._close(request, LOST, 0)
        for connection in [*self._idle, *self._connections.values()]:
            connection.drop()
        self._idle, self._connections = [], {}

    # --- server list

    def on_directory(self, update: Directory) -> None:
        """Pass an update to the discovery server of the sidecar, which sends it with its next answer."""
        for entry in update.entries:
            self._put(entry)

    def _put(self, entry: Entry) -> None:
        _, port, since_ms = self._run.place(entry.server)
        self.discovery.put(
            entry.server,
            port,
            STATUSES[entry.lifecycle],
            since_ms,
            zone=f"z{entry.zone}",
            group=entry.cell,
            weight=entry.weight,
        )

    def _record_update(self, update: tuple[list[dict[str, object]], bool]) -> None:
        entries, is_full = update
        now, names = self._engine.now, set()
        for entry in entries:
            name, since_ms = str(entry["name"]), cast(int, entry["since_ms"])
            state = STATES.get(str(entry["status"]), STOPPED)
            number = self._run.place(name)[0]
            if state != STOPPED:
                names.add(name)
            self._trace.add((now, NOTIFIED, self.number, number, state, self._run.started(name, since_ms)))
        if is_full:
            for name in sorted(self._listed - names):
                self._trace.add((now, NOTIFIED, self.number, self._run.place(name)[0], STOPPED, 0))
        self._listed = names if is_full else self._listed | names

    # --- clients

    def on_request(self, request: Request, tenant: int, retry: bool) -> None:
        """Send a client's request on an idle connection or a new one."""
        self._run.taken(request, self)
        self.requests[request.tid] = request
        self._tenants[request.tid] = tenant, retry
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            connection = self._connections[request.tid] = ClientConnection(self)
            connection.request = request
            self._loop.create_task(self._connect(connection))
        else:
            self._connections[request.tid] = connection
            connection.send(request, self._head(request))

    async def _connect(self, connection: ClientConnection) -> None:
        assert self.process is not None
        try:
            await self._loop.create_connection(lambda: connection, "127.0.0.1", self.process.port)
        except OSError:
            if connection.request is not None:
                self._pump.act(self._unanswered, connection.request)
            return
        if connection.request is None or connection.dropped:
            connection.drop()  # the process was killed or the client timed out while connecting
        else:
            connection.send(connection.request, self._head(connection.request))

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

    def answered(self, connection: ClientConnection, status: int, hold_off: int) -> None:
        """Process a complete answer."""
        request, connection.request = connection.request, None
        if connection.kept and self.up:
            self._idle.append(connection)
        else:
            connection.drop()
        if request is not None:
            self._connections.pop(request.tid, None)
            self._pump.act(self._ended, (request, {200: SERVED, 503: REFUSED}.get(status, FAILED), hold_off))

    def broken(self, connection: ClientConnection) -> None:
        """Process the loss of a connection."""
        request, connection.request = connection.request, None
        if connection in self._idle:
            self._idle.remove(connection)
        if request is not None and self.requests.get(request.tid) is request:
            self._pump.act(self._unanswered, request)

    def _unanswered(self, request: Request) -> None:
        """End a request whose connection was lost; after a kill of the process it has ended as lost already."""
        self._ended((request, TIMED_OUT, 0))

    def _ended(self, result: tuple[Request, int, int]) -> None:
        request, ending, hold_off = result
        if self.requests.pop(request.tid, None) is not None:
            self._connections.pop(request.tid, None)
            self._close(request, ending, hold_off)

    def _close(self, request: Request, ending: int, hold_off: int) -> None:
        request.ended = True
        self._tenants.pop(request.tid, None)
        self._trace.add((self._engine.now, END, request.rid, ending, hold_off))
        request.tell(request, ending, hold_off)

    def on_client_timeout(self, request: Request) -> None:
        """Handle the client timeout; wait `SLACK_NS` longer, so that a late answer is recorded as late."""
        if not request.ended:
            self._engine.after(SLACK_NS, self._leave, request)

    def _leave(self, request: Request) -> None:
        if not request.ended:
            connection = self._connections.get(request.tid)
            self._ended((request, TIMED_OUT, 0))
            if connection is not None:
                connection.request = None
                connection.drop()

    def close(self) -> None:
        """Stop the process, its discovery server and its connections at the end of the run."""
        for connection in [*self._idle, *self._connections.values()]:
            connection.drop()
        self.discovery.stop()
        if self.process is not None:
            self.process.kill()


class ClientConnection(asyncio.Protocol):
    """Client connection to a sidecar with at most one request in flight."""

    def __init__(self, owner: Sidecar) -> None:
        self._owner = owner
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self.request: Request | None = None
        self.kept = True
        self.dropped = False
        self._hold_off = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, request: Request, head: bytes) -> None:
        """Send a request."""
        self.request, self._hold_off = request, 0
        if self._transport is not None:
            self._transport.write(head)

    def data_received(self, data: bytes) -> None:
        """Parse response bytes; close the connection on a protocol error."""
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate the Retry-After and Connection header fields."""
        if name.lower() == b"retry-after":
            self._hold_off = int(float(value) * 1e9)
        elif name.lower() == b"connection" and value.lower() == b"close":
            self.kept = False

    def on_message_complete(self) -> None:
        """Report the complete answer to the sidecar."""
        assert self._parser is not None
        self._owner.answered(self, self._parser.get_status_code(), self._hold_off)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss of the connection to the sidecar."""
        self.kept = False
        self._parser = None  # breaks the reference cycle with the parser, so that both are freed at once
        self._owner.broken(self)

    def drop(self) -> None:
        """Abort the connection."""
        self.dropped, self.kept = True, False
        if self._transport is not None:
            self._transport.abort()

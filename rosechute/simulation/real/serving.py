"""Simulated server behind a loopback socket: receives HTTP/1.1 requests, applies the server model, sends answers."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Protocol, cast

import httptools

from rosechute.load_balancing.interface import How
from rosechute.simulation.engine import Engine
from rosechute.simulation.instance import Request, report
from rosechute.simulation.network import FROM, TO, Paths
from rosechute.simulation.real.pump import Pump
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Fleet
from rosechute.simulation.trace import ARRIVE, OUTCOME, SEND, Trace

BACKLOG = 1024
LINES = {
    How.OK: b"HTTP/1.1 200 OK\r\n",
    How.ERROR: b"HTTP/1.1 500 Failed\r\n",
    How.FULL: b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\n",
}
BODY = b"done\n"


class RunComponents(Protocol):
    """Components of the run shared by its servers."""

    engine: Engine
    pump: Pump
    trace: Trace
    paths: Paths

    def asked(self, rid: str) -> tuple[Request, int, int] | None:
        """Return the client request with this id and the number and zone of its instance, or None if unknown."""


class Listener:
    """Listening socket of a server, open while its process is up. Each new process gets a new port."""

    def __init__(self, run_components: RunComponents, server: Server, spec: Fleet) -> None:
        self.run_components, self.server, self.spec = run_components, server, spec
        self.port = 0
        self.reports = spec.reports != "none"
        self.handshake = int(spec.handshake or 0)
        self._connections: set[Connection] = set()
        self._listener: asyncio.Server | None = None
        self._opening: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Open the listening socket."""
        listening = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.port = int(listening.getsockname()[1])
        self._opening = asyncio.get_running_loop().create_task(self._open(listening))

    async def _open(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), sock=listening, backlog=BACKLOG)

    async def opened(self) -> None:
        """Wait until connections are accepted."""
        if self._opening is not None:
            await self._opening

    def close(self) -> None:
        """Close the socket and reset all connections, as the process has stopped."""
        if self._opening is not None and not self._opening.done():
            self._opening.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.abort()

    def joined(self, connection: Connection) -> bool:
        """Register a connection; return False if the server is down or its connection limit is reached."""
        if not self.server.up or (self.spec.connections and self.server.connections >= self.spec.connections):
            return False
        self._connections.add(connection)
        self.server.connections += 1
        return True

    def left(self, connection: Connection) -> None:
        """Unregister a connection."""
        if connection in self._connections:
            self._connections.discard(connection)
            if self.server.connections:
                self.server.connections -= 1


class ServerRequest:
    """Request at a server, from the receipt of its last byte to its outcome."""

    __slots__ = ("at", "connection", "request", "number", "instance", "zone", "job", "over", "how", "fresh")

    def __init__(
        self, at: Listener, connection: Connection, request: Request, instance: int, zone: int, fresh: bool
    ) -> None:
        self.at, self.connection, self.request = at, connection, request
        self.instance, self.zone, self.fresh = instance, zone, fresh
        self.number = request.attempts
        self.job: Job | None = None
        self.over = False
        self.how = How.OK
        request.attempts += 1

    def begin(self) -> None:
        """Record the request and schedule its arrival after the simulated network delay."""
        run_components, server = self.at.run_components, self.at.server
        run_components.trace.add((run_components.engine.now, SEND, self.request.rid, self.number, server.number))
        delay = run_components.paths.delay(self.instance, server.number, TO, self.zone == server.zone)
        if delay is not None:
            run_components.engine.after(delay, ServerRequest._arrive, self)

    def _arrive(self) -> None:
        run_components, server, request = self.at.run_components, self.at.server, self.request
        if self.over:
            return
        work = request.work + (self.at.handshake if self.fresh else 0)
        self.job = Job(request.rid, self.number, request.cls, request.key, work, self.instance, self, self._done)
        taken = server.arrive(self.job)
        run_components.trace.add(
            (
                run_components.engine.now,
                ARRIVE,
                request.rid,
                self.number,
                server.number,
                self.instance,
                work,
                int(taken),
            )
        )
        if not taken:
            self._reply(How.FULL)

    def _done(self, job: Job, ran: bool) -> None:
        if not ran:
            self.end(How.RESET)
            return
        request = self.request
        for cls, clients in self.at.server.grey.values():
            if (cls < 0 or cls == request.cls) and (not clients or request.client % clients == 0):
                self._reply(How.ERROR)
                return
        self._reply(How.OK)

    def _reply(self, how: How) -> None:
        run_components, server = self.at.run_components, self.at.server
        self.how = how
        delay = run_components.paths.delay(self.instance, server.number, FROM, self.zone == server.zone)
        if delay is not None and not self.over:
            run_components.engine.after(delay, ServerRequest._replied, self)

    def _replied(self) -> None:
        if not self.over:
            self.end(self.how)
            self.connection.answer(LINES[self.how])

    def end(self, how: How) -> None:
        """Record the outcome as seen by the server; later calls have no effect."""
        if self.over:
            return
        self.over = True
        run_components = self.at.run_components
        run_components.trace.add((run_components.engine.now, OUTCOME, self.request.rid, self.number, int(how)))
        job, self.job = self.job, None  # breaks the reference cycle with the job, so that both are freed at once
        if job is not None and how is How.CANCELLED:
            self.at.server.withdraw(job)


class Connection(asyncio.Protocol):
    """Connection from a sidecar."""

    def __init__(self, at: Listener) -> None:
        self._at = at
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._served: ServerRequest | None = None
        self._fresh = True
        self._begin()

    def _begin(self) -> None:
        self._path, self._rid = b"", ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the server does not accept it."""
        self._transport = cast(asyncio.Transport, transport)
        if not self._at.joined(self):
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse request bytes; abort the connection on a protocol error."""
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection and cancel its request."""
        self._parser = None  # breaks the reference cycle with the parser, so that both are freed at once
        self._at.left(self)
        served, self._served = self._served, None
        if served is not None:
            self._at.run_components.pump.act(lambda one: one.end(How.CANCELLED), served)

    def abort(self) -> None:
        """Abort the connection."""
        self._transport.abort()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Evaluate the X-Request-ID header field."""
        if name.lower() == b"x-request-id":
            self._rid = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Process a complete request: a probe, a client request, or abort on an unknown one."""
        path, rid = self._path, self._rid
        self._begin()
        if path.startswith(b"/-/"):
            self._probed()
            return
        found = self._at.run_components.asked(rid)
        if found is None or self._served is not None:
            self._transport.abort()  # unknown request id, or a request before the previous answer
            return
        request, instance, zone = found
        self._served = ServerRequest(self._at, self, request, instance, zone, self._fresh)
        self._fresh = False
        self._at.run_components.pump.act(ServerRequest.begin, self._served)

    def _probed(self) -> None:
        server = self._at.server
        if not server.hung:
            status = b"503 Draining" if server.draining else b"200 OK"
            body = json.dumps(report(server)).encode() if self._at.reports else b"{}"
            self._transport.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def answer(self, line: bytes) -> None:
        """Write the answer to the current request."""
        self._served = None
        if self._transport.is_closing():
            return
        load = b""
        if self._at.reports:
            load = b"X-Server-Load: %s\r\n" % json.dumps(report(self._at.server)).encode()
        self._transport.write(b"%s%sContent-Length: %d\r\n\r\n%s" % (line, load, len(BODY), BODY))

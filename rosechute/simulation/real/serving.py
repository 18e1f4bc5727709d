"""A model's server behind a real socket: HTTP/1.1 requests in, the model's work and waiting, answers out."""

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


class Surroundings(Protocol):
    """What the servers of a run share."""

    engine: Engine
    pump: Pump
    trace: Trace
    paths: Paths

    def asked(self, rid: str) -> tuple[Request, int, int] | None:
        """A client's request by its id, with its instance's number and zone."""


class Listening:
    """The socket of one server, which comes and goes with its process. A new process has a port of its own."""

    def __init__(self, around: Surroundings, server: Server, spec: Fleet) -> None:
        self.around, self.server, self.spec = around, server, spec
        self.port = 0
        self.reports = spec.reports != "none"
        self.handshake = int(spec.handshake or 0)
        self._connections: set[Connection] = set()
        self._listener: asyncio.Server | None = None
        self._opening: asyncio.Task[None] | None = None

    def open(self) -> None:
        """Listen, from this moment on."""
        made = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
        self.port = int(made.getsockname()[1])
        self._opening = asyncio.get_running_loop().create_task(self._open(made))

    async def _open(self, made: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(lambda: Connection(self), sock=made, backlog=BACKLOG)

    async def opened(self) -> None:
        """Wait until it does."""
        if self._opening is not None:
            await self._opening

    def close(self) -> None:
        """The process is gone: nobody listens, and every connection is reset."""
        if self._opening is not None and not self._opening.done():
            self._opening.cancel()
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for connection in list(self._connections):
            connection.abort()

    def joined(self, connection: Connection) -> bool:
        """A connection has come up; False where it is one too many."""
        if not self.server.up or (self.spec.connections and self.server.connections >= self.spec.connections):
            return False
        self._connections.add(connection)
        self.server.connections += 1
        return True

    def left(self, connection: Connection) -> None:
        """A connection has ended."""
        if connection in self._connections:
            self._connections.discard(connection)
            if self.server.connections:
                self.server.connections -= 1


class Served:
    """One request at a server, from its last byte to its outcome."""

    __slots__ = ("at", "connection", "request", "number", "instance", "zone", "job", "over", "how", "fresh")

    def __init__(
        self, at: Listening, connection: Connection, request: Request, instance: int, zone: int, fresh: bool
    ) -> None:
        self.at, self.connection, self.request = at, connection, request
        self.instance, self.zone, self.fresh = instance, zone, fresh
        self.number = request.attempts
        self.job: Job | None = None
        self.over = False
        self.how = How.OK
        request.attempts += 1

    def begin(self) -> None:
        """It has come; the scenario's network has it arrive later."""
        around, server = self.at.around, self.at.server
        around.trace.add((around.engine.now, SEND, self.request.rid, self.number, server.number))
        delay = around.paths.delay(self.instance, server.number, TO, self.zone == server.zone)
        if delay is not None:
            around.engine.after(delay, Served._arrive, self)

    def _arrive(self) -> None:
        around, server, request = self.at.around, self.at.server, self.request
        if self.over:
            return
        work = request.work + (self.at.handshake if self.fresh else 0)
        self.job = Job(request.rid, self.number, request.cls, request.key, work, self.instance, self, self._done)
        taken = server.arrive(self.job)
        around.trace.add(
            (around.engine.now, ARRIVE, request.rid, self.number, server.number, self.instance, work, int(taken))
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
        around, server = self.at.around, self.at.server
        self.how = how
        delay = around.paths.delay(self.instance, server.number, FROM, self.zone == server.zone)
        if delay is not None and not self.over:
            around.engine.after(delay, Served._replied, self)

    def _replied(self) -> None:
        if not self.over:
            self.end(self.how)
            self.connection.answer(LINES[self.how])

    def end(self, how: How) -> None:
        """Its one outcome, as this end sees it."""
        if self.over:
            return
        self.over = True
        around = self.at.around
        around.trace.add((around.engine.now, OUTCOME, self.request.rid, self.number, int(how)))
        job, self.job = self.job, None  # it knows this one: without the cycle both go at once
        if job is not None and how is How.CANCELLED:
            self.at.server.withdraw(job)


class Connection(asyncio.Protocol):
    """One connection of a sidecar."""

    def __init__(self, at: Listening) -> None:
        self._at = at
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._served: Served | None = None
        self._fresh = True
        self._begin()

    def _begin(self) -> None:
        self._path, self._rid = b"", ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if not self._at.joined(self):
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            if self._parser is not None:
                self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._parser = None  # it knows this connection: without the cycle both go at once
        self._at.left(self)
        served, self._served = self._served, None
        if served is not None:
            self._at.around.pump.act(lambda one: one.end(How.CANCELLED), served)

    def abort(self) -> None:
        """Reset it."""
        self._transport.abort()

    # --- httptools

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._rid = value.decode("latin-1")

    def on_message_complete(self) -> None:
        path, rid = self._path, self._rid
        self._begin()
        if path.startswith(b"/-/"):
            self._probed()
            return
        found = self._at.around.asked(rid)
        if found is None or self._served is not None:
            self._transport.abort()  # nobody has asked for this, or not in turn
            return
        request, instance, zone = found
        self._served = Served(self._at, self, request, instance, zone, self._fresh)
        self._fresh = False
        self._at.around.pump.act(Served.begin, self._served)

    def _probed(self) -> None:
        server = self._at.server
        if not server.hung:
            status = b"503 Draining" if server.draining else b"200 OK"
            body = json.dumps(report(server)).encode() if self._at.reports else b"{}"
            self._transport.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))

    def answer(self, line: bytes) -> None:
        """Write the answer to the request in hand."""
        self._served = None
        if self._transport.is_closing():
            return
        load = b""
        if self._at.reports:
            load = b"X-Server-Load: %s\r\n" % json.dumps(report(self._at.server)).encode()
        self._transport.write(b"%s%sContent-Length: %d\r\n\r\n%s" % (line, load, len(BODY), BODY))

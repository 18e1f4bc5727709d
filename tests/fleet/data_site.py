"""Test harness: a data plane with loopback connections and a virtual clock, which advances when nothing is ready.

Listener, connections and router are real. Servers and clients are scripted and run on the same event loop.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import selectors
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from rosechute.configuration.operator import Configuration
from rosechute.configuration.process import Bounds, Listen, ProcessLimits, ProcessSettings
from rosechute.data_plane.plane import DataPlane
from rosechute.routing.model import ServerEntry
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

DELIVERY_S = 0.0005  # real time in which the kernel delivers bytes over loopback
SCENARIO_TIMEOUT_S = 60.0  # virtual time; a scenario that takes longer is considered hung
KEY = "k1"
NO_LINGER = struct.pack("ii", 1, 0)
BACKGROUND_POLL_S = 0.001  # real time between polls while a thread is working
MAX_BACKGROUND_POLLS = 10_000  # then the clock advances anyway


class VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances the clock instead of waiting, except while `has_background_work` returns True."""

    now = 1000.0
    has_background_work: Callable[[], bool] = staticmethod(lambda: False)

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if not ready and (timeout is None or timeout > 0):
            ready = super().select(DELIVERY_S)
        for _ in range(MAX_BACKGROUND_POLLS):
            if ready or not self.has_background_work():
                break
            ready = super().select(BACKGROUND_POLL_S)
        if not ready:
            assert timeout is not None, "deadlock: no event is ready and no timer is set"
            self.now += max(0.0, timeout)
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock."""

    def __init__(self) -> None:
        self._virtual_selector = VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-6

    def time(self) -> float:
        return self._virtual_selector.now


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection. `transport.abort` alone closes it gracefully if no data is unread."""
    descriptor = writer.get_extra_info("socket")
    if descriptor is not None and descriptor.fileno() >= 0:
        descriptor.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


class Call:
    """A request as a server has received it."""

    def __init__(self, head: bytes, at: float) -> None:
        first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        self.method, self.target, _ = first.split(" ")
        pairs = [line.split(": ", 1) for line in lines]
        self.headers = {name.lower(): value for name, value in pairs}
        self.body = b""
        self.at = at

    @property
    def id(self) -> str:
        return self.headers["x-rosechute-request-id"]


class ServerConnection:
    """A connection at a scripted server."""

    def __init__(self, server: Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.server, self.reader, self.writer = server, reader, writer
        self.call: Call

    async def read(self) -> Call:
        head = await self.reader.readuntil(b"\r\n\r\n")
        self.call = call = Call(head, asyncio.get_running_loop().time())
        if call.headers.get("transfer-encoding") == "chunked":
            while size := int(await self.reader.readline(), 16):
                call.body += await self.reader.readexactly(size)
                await self.reader.readline()
            await self.reader.readline()
        else:
            call.body = await self.reader.readexactly(int(call.headers.get("content-length", 0)))
        return call

    def serialize_head(self, status: int, *lines: str, stamp: str | None = "stamp-1", id: str | None = None) -> bytes:
        own = [f"HTTP/1.1 {status} X", f"X-Rosechute-Request-Id: {id or self.call.id}"]
        if stamp is not None:
            own.append(f"X-Rosechute-Server-Stamp: {stamp}")
        return "\r\n".join([*own, *lines, "", ""]).encode()

    def respond(self, status: int = 200, body: bytes = b"whole", *lines: str, **more: Any) -> None:
        self.writer.write(self.serialize_head(status, f"Content-Length: {len(body)}", *lines, **more) + body)

    def reject_as_full(self) -> None:
        self.respond(503, b"", "X-Rosechute-Not-Executed: 1", stamp=None)

    def start_stream(self, *lines: str, **more: Any) -> None:
        """Send the head of an event stream."""
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        self.writer.write(self.serialize_head(200, *fields, *lines, **more))

    def send_chunk(self, data: bytes) -> None:
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def send_event(self, number: int) -> None:
        self.send_chunk(event(number))

    def finish_stream(self) -> None:
        self.writer.write(b"0\r\n\r\n")

    def reset(self) -> None:
        reset(self.writer)


def event(number: int, version: int | None = None) -> bytes:
    first = f"versions:{version}\n" if version is not None else ""
    return f"{first}id: {number}\ndata: piece {number}\n\n".encode()


Script = Callable[[ServerConnection, Call], Awaitable[None]]


async def respond_ok(conn: ServerConnection, call: Call) -> None:
    conn.respond()


class Server:
    """A server that runs a script for each request and records the requests."""

    def __init__(self, harness: DataPlaneHarness, name: str, script: Script) -> None:
        self.harness, self.id, self.script = harness, name, script
        self.calls: list[Call] = []
        self.closed: list[Call] = []  # requests whose connection the edge closed before the response was written
        self.connections = 0
        self.port = 0
        self.entry = ServerEntry(name, "", "east", 8, True)
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._listening.sockets[0].getsockname()[1]
        self.entry = ServerEntry(self.id, f"127.0.0.1:{self.port}", "east", 8, True)

    def stop(self) -> None:
        self._listening.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        conn = ServerConnection(self, reader, writer)
        call: Call | None = None
        try:
            while True:
                call = None
                call = await conn.read()
                self.calls.append(call)
                await self.script(conn, call)
        except (asyncio.IncompleteReadError, ConnectionError):
            if call is not None:
                self.closed.append(call)
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()


async def wait_until_closed(conn: ServerConnection, call: Call) -> None:
    """Never respond: wait until the connection is closed."""
    await conn.reader.readexactly(1)


class Response:
    """A response as a client has received it."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, is_complete: bool, at: float) -> None:
        self.status, self.headers, self.body, self.is_complete, self.at = status, headers, body, is_complete, at


class Client:
    """A client with one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self._ids = itertools.count(1)

    def send(
        self,
        path: str = "/plain/1",
        *lines: str,
        body: bytes = b"",
        key: str | None = KEY,
        deadline: int = 5000,
        host: str = "app.example",
        method: str = "POST",
        id: str = "",
        length: int | None = None,
    ) -> str:
        """Send a request, or its head and the first `body` of `length` bytes; return its id."""
        name = id or f"id-{next(IDS)}"
        fields = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Rosechute-Request-Id: {name}"]
        if deadline:
            fields.append(f"X-Rosechute-Deadline-Ms: {deadline}")
        if key is not None:
            fields.append(f"X-Rosechute-Credential: {key}")
        fields += [*lines, f"Content-Length: {len(body) if length is None else length}", "", ""]
        self.writer.write("\r\n".join(fields).encode() + body)
        return name

    async def read_head(self) -> tuple[int, dict[str, str]]:
        text = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.rstrip("\r\n").split("\r\n")
        return int(first.split(" ")[1]), {n.lower(): v for n, v in (line.split(": ", 1) for line in lines)}

    async def read_chunk(self) -> bytes:
        """Read one chunk; the last one is empty."""
        size = int(await self.reader.readline(), 16)
        data = await self.reader.readexactly(size)
        await self.reader.readline()
        return data

    async def read_response(self) -> Response:
        status, headers = await self.read_head()
        body, is_complete = b"", True
        try:
            if headers.get("transfer-encoding") == "chunked":
                while data := await self.read_chunk():
                    body += data
            else:
                body = await self.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ValueError, ConnectionError):
            is_complete = False
        return Response(status, headers, body, is_complete, asyncio.get_running_loop().time())

    async def fetch(self, path: str = "/plain/1", *lines: str, **more: Any) -> Response:
        self.send(path, *lines, **more)
        return await self.read_response()

    async def read_until_closed(self) -> bytes:
        """Return all bytes up to the end of the connection."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        reset(self.writer)


IDS = itertools.count(1000)


class FakeQuota:
    """Tokens by tenant. A tenant that is not in `remaining` has no limit."""

    def __init__(self) -> None:
        self.remaining: dict[str, int] = {}
        self.spent: list[tuple[str, int]] = []
        self.deferred_decisions: list[Callable[[bool, float], None]] | None = None  # decisions that a test defers

    def acquire(self, tenant: str, tokens: int, decided: Callable[[bool, float], None], priority: int) -> None:
        self.spent.append((tenant, tokens))
        if self.deferred_decisions is not None:
            self.deferred_decisions.append(decided)
            return
        left = self.remaining.get(tenant)
        if left is not None:
            if left < tokens:
                decided(False, 0.25)
                return
            self.remaining[tenant] = left - tokens
        decided(True, 0.0)


class FakeFreshness:
    """Time of the last confirmation of the configuration."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.last_confirmed: float | None = None  # None: always the current time

    def confirmed_at(self) -> float:
        return self._loop.time() if self.last_confirmed is None else self.last_confirmed


def route(name: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "app.example",
        "path_prefix": f"/{name}/",
        "route_type": "non_idempotent",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "svc",
        "max_attempts": 2,
        **changes,
    }


def configuration(version: int = 1, **changes: Any) -> Configuration:
    document = {
        "config_version": version,
        "routes": [
            route("plain"),
            route("again", route_type="idempotent"),
            route("open", public_access=True),
            route("stream", route_type="streaming", gap_aim_ms=500, max_attempts=1),
            route("resume", route_type="streaming", gap_aim_ms=500, stream_resume=True, sticky=True, max_attempts=3),
            route("other", service="other"),
        ],
        "services": [{"name": "svc", "max_connections": 48}, {"name": "other", "max_connections": 8}],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "first", "api_keys": [KEY, "k2"], "priority": 1},
            {"name": "metered", "api_keys": ["m1"], "priority": 0, "rate_per_s": 5, "burst": 5},
            {
                "name": "tokens",
                "api_keys": ["t1"],
                "unit": "token_stream",
                "uncached_tokens": 150,
                "rate_per_s": 500,
                "burst": 500,
            },
        ],
        **changes,
    }
    return msgspec.convert(document, Configuration)


class DataPlaneHarness:
    """A data plane with its servers and clients."""

    def __init__(self, memory_mb: int = 260, grace_s: float = 8.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.settings = ProcessSettings(
            node_name="edge-1",
            ip="127.0.0.1",
            zone="east",
            port_range=(7000, 7001),
            listen=Listen(front="127.0.0.1:0"),
            limits=ProcessLimits(memory_mb=memory_mb, max_fds=1024),
            bounds=Bounds(
                strict_revoke=True,
                revoke_ms=5000,
                grace_s=grace_s,
                retry_budget_ratio=0.2,
                retry_slack=50,
            ),
        )
        self.quota = FakeQuota()
        self.freshness = FakeFreshness(self.loop)
        self.router = Router(random.Random(7).random, RouterTuning(zone="east"))
        self.plane = DataPlane(
            self.loop,
            self.settings,
            self.router,
            self.quota,
            self.freshness,
            clock=self.loop.time,
            draw=random.Random(8).random,
        )
        self.servers: dict[str, Server] = {}
        self.clients: list[Client] = []

    async def start(self, **scripts: Script) -> DataPlaneHarness:
        await self.plane.start()
        self.plane.apply_configuration(configuration(), 1)
        await self.serve("svc", **(scripts or {"s1": respond_ok}))
        return self

    async def serve(self, service: str, **scripts: Script) -> None:
        """Replace the servers of a service."""
        made = [Server(self, name, script) for name, script in scripts.items()]
        for server in made:
            await server.start()
            self.servers[server.id] = server
        self.plane.apply_servers(service, [server.entry for server in made])

    def apply_list(self, *entries: ServerEntry) -> None:
        self.plane.apply_servers("svc", entries)

    async def client(self) -> Client:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.plane.port)
        client = Client(reader, writer)
        self.clients.append(client)
        return client

    async def fetch(self, path: str = "/plain/1", *lines: str, **more: Any) -> Response:
        """Send one request on a new connection and return its response."""
        client = await self.client()
        response = await client.fetch(path, *lines, **more)
        client.close()
        return response

    @property
    def calls(self) -> list[Call]:
        return sorted((call for server in self.servers.values() for call in server.calls), key=lambda call: call.at)

    def close(self) -> None:
        for client in self.clients:
            client.reset()
        for server in self.servers.values():
            server.stop()
        self.plane.client_listener.listener.stop_accepting()


class VirtualTimeTestCase(unittest.TestCase):
    """Runs scenarios on the virtual clock."""

    def run_scenario(self, scenario: Callable[[], Coroutine[Any, Any, None]]) -> None:
        loop = VirtualLoop()
        try:
            loop.run_until_complete(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))
            loop.run_until_complete(self._end_tasks(loop))
        finally:
            loop.close()

    @staticmethod
    async def _end_tasks(loop: asyncio.AbstractEventLoop) -> None:
        tasks = asyncio.all_tasks(loop) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.1)  # lets connections close

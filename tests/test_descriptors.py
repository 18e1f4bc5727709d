"""Idle clients use all descriptors of the clients while discovery is down: all other connections still work.

A sidecar process has a low descriptor limit, and hundreds of clients connect and reconnect. Meanwhile discovery, the
control address, connections to servers and a takeover each need a descriptor. To make accepts fail, the tests lower
the descriptor limit of the process that they have started, and raise it again.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from backend import LIMIT_S, Client, Server, dump, line, listing, ok, operate, play, settings, sidecar
from peers import Raw, until
from test_process import ROOT, config, free_port
from test_takeover import wait_for_log

from rosechute.proxy.http1 import listener
from rosechute.proxy.http1.listener import Listener

MAX_DESCRIPTORS = 64
IDLE_CLIENTS = 150  # more than twice the descriptor limit
MAX_CHANGE_DELAY_S = 6.0  # a change must arrive within this time after discovery has it and is reachable
MAX_RESPONSE_S = 3.0
SUBSCRIBE_SETTINGS = {"discovery": "subscribe", "invariants": {"mustAskInNs": 4 * 10**9}}
IDLE_INPUTS = (
    b"",
    b"GET /fr",
    b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n",
    b"GET /free HTTP/1.1\r\nHost: app\r\nX-Request-ID: %s\r\nX-Timeout: 5\r\n\r\n",
)


class Process:
    """A sidecar process with a descriptor limit."""

    def __init__(
        self, folder: Path, discovery: int, held: socket.socket, configured: int, limit: int, raw: dict, *lines: dict
    ) -> None:
        self.control, self.held, self.limit = free_port(), held, limit
        path = folder / f"config{self.control}.json"
        path.write_text(
            json.dumps(
                config(
                    listen=f"127.0.0.1:{held.getsockname()[1]}",
                    discovery=f"127.0.0.1:{discovery}",
                    known=listing(*lines),
                    limits={"sockets": configured},
                    settings=settings(**raw),
                )
            )
        )
        self.env = {
            **os.environ,
            "NODE_CONFIG": str(path),
            "NODE_CONTROL": f"127.0.0.1:{self.control}",
            "NODE_LISTEN_FD": str(held.fileno()),
            "TMPDIR": str(folder),
        }

    async def __aenter__(self) -> Process:
        self.started = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "rosechute.sidecar",
            cwd=ROOT,
            env=self.env,
            pass_fds=[self.held.fileno()],
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.limit, self.limit)),
        )
        self.pid = self.started.pid
        self.log: list[bytes] = []
        await wait_for_log(self.started, b"listening")
        self.reading = asyncio.ensure_future(self._read())
        return self

    async def _read(self) -> None:
        assert self.started.stderr is not None
        async for said in self.started.stderr:
            self.log.append(said)

    async def __aexit__(self, *exc: object) -> None:
        if self.started.returncode is None:
            self.started.kill()
        await self.started.wait()
        await self.reading

    def open(self) -> int:
        """Return the number of open descriptors."""
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    def may_open(self, most: int) -> None:
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (most, self.limit))

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def idle_clients(port: int) -> AsyncIterator[None]:
    """Run idle clients with various inputs, which reconnect when they are closed."""

    async def stay_connected(number: int) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    say = IDLE_INPUTS[number % len(IDLE_INPUTS)]
                    writer.write(say % f"idle-{number}-{time.monotonic_ns()}".encode() if b"%s" in say else say)
                    while await reader.read(65536):
                        pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.2)

    tasks = [asyncio.ensure_future(stay_connected(number)) for number in range(IDLE_CLIENTS)]
    await asyncio.sleep(1.0)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def assert_served(port: int, seconds: float = MAX_RESPONSE_S) -> None:
    """Check that a request on a new connection is served in time."""
    start = time.monotonic()
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    status, _, _ = await client.ask("single_shot")
    client.writer.close()
    assert status == 200 and time.monotonic() - start < seconds, (status, time.monotonic() - start)


async def assert_operable(port: int) -> None:
    start = time.monotonic()
    assert (await operate(port, "GET /stats"))[0] == 200
    assert time.monotonic() - start < MAX_RESPONSE_S


class Discovery:
    """Discovery that is down until `back` is called."""

    def __init__(self) -> None:
        self.port = free_port()
        self.list = b""
        self.asked = asyncio.Event()

    async def back(self, *lines: dict) -> asyncio.Server:
        self.list = dump(listing(*lines, index=2))
        return await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"after=2" in head and b"wait_ms=0" not in head:
                    await asyncio.sleep(0.4)
                self.asked.set()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(self.list), self.list))
        writer.close()


async def seconds_until_used(port: int, server: Server) -> float:
    """Send requests until this server gets one; return the seconds that it took."""
    start = time.monotonic()
    while not server.calls and time.monotonic() - start < LIMIT_S:
        await assert_served(port)
        await asyncio.sleep(0.05)
    return time.monotonic() - start


def exhaust_descriptors(process: Process) -> None:
    """Lower the limit of a process so that each accept and each connect fails."""
    process.may_open(process.open())


@pytest.mark.parametrize("raw", [SUBSCRIBE_SETTINGS, {}], ids=["asked", "pushed"])
@pytest.mark.parametrize(
    ("configured", "with_failing_accepts"),
    [(MAX_DESCRIPTORS, False), (MAX_DESCRIPTORS, True), (2 * MAX_DESCRIPTORS, False)],
    ids=["all", "accepts-fail", "fewer-than-told"],
)
def test_all_connection_kinds_get_descriptors_despite_idle_clients(tmp_path, raw, configured, with_failing_accepts):
    async def scenario():
        discovery = Discovery()
        with socket.create_server(("127.0.0.1", 0), backlog=1024) as held:
            port = held.getsockname()[1]
            async with Server(ok) as one, Server(ok) as two:
                old = Process(tmp_path, discovery.port, held, configured, MAX_DESCRIPTORS, raw, line("s1", one.port))
                async with old, idle_clients(port):
                    for _ in range(3):
                        await assert_operable(old.control)
                        await assert_served(port)
                    if with_failing_accepts:
                        spent, start = old.cpu_s(), time.monotonic()
                        exhaust_descriptors(old)
                        await asyncio.sleep(0.3)
                        for _ in range(20):  # while each accept of a client fails
                            await assert_operable(old.control)
                            await asyncio.sleep(0.03)
                        spent = (old.cpu_s() - spent) / (time.monotonic() - start)
                        old.may_open(MAX_DESCRIPTORS)
                        assert spent < 0.5, spent
                        await asyncio.sleep(0.1)
                        for _ in range(3):
                            await assert_operable(old.control)
                            await assert_served(port)
                    place = await discovery.back(line("s2", two.port))
                    assert await seconds_until_used(port, two) < MAX_CHANGE_DELAY_S
                    await assert_operable(old.control)
                    new = Process(
                        tmp_path, discovery.port, held, configured, MAX_DESCRIPTORS, raw, line("s1", one.port)
                    )
                    async with new:
                        await assert_operable(new.control)
                        assert (await operate(new.control, "GET /healthcheck"))[0] == 200
                        old.started.send_signal(signal.SIGTERM)
                        await asyncio.wait_for(old.started.wait(), LIMIT_S)
                        for _ in range(3):
                            await assert_served(port)
                            await assert_operable(new.control)
                        assert not any(b"cold_start" in said for said in new.log)
                        for said in old.log + new.log:
                            assert b"Traceback" not in said and b"Too many open" not in said, said
                    place.close()

    play(scenario)


@pytest.mark.plain  # a compiled method can't be replaced
def test_closed_connection_counts_until_its_descriptor_is_free(monkeypatch):
    """Regression test: descriptors of evicted connections are freed in the next turn of the event loop, but up to 64
    connections were accepted before."""
    most_open = []
    take = Listener._accept_one
    monkeypatch.setattr(
        Listener,
        "_accept_one",
        lambda self: (most_open.append(len(list(Path("/proc/self/fd").iterdir()))), take(self))[1],
    )
    monkeypatch.setattr(listener, "EVICT_SILENT_S", 60.0)

    async def scenario():
        async with sidecar(sockets=72) as world:
            held = world.sidecar._listener
            clients = [await Raw(world.port).connect() for _ in range(held.max_connections + 100)]
            await until(lambda: len(held.connections) == held.max_connections)
            before = len(list(Path("/proc/self/fd").iterdir()))
            monkeypatch.setattr(listener, "EVICT_SILENT_S", 0.0)
            most_open.clear()
            await until(lambda: len(most_open) > 100)
            assert max(most_open) - before <= listener.MAX_CLOSING
            assert len(held.connections) <= held.max_connections
            for client in clients:
                client.close()

    play(scenario)


@pytest.mark.plain
def test_connection_limit_is_reduced_for_a_while_after_descriptor_exhaustion(monkeypatch):
    monkeypatch.setattr(listener, "EVICT_SILENT_S", 60.0)
    monkeypatch.setattr(listener, "REDUCED_LIMIT_S", 0.2)

    async def scenario():
        async with sidecar(sockets=104) as world:
            held = world.sidecar._listener
            clients = [await Raw(world.port).connect() for _ in range(held.max_connections)]
            await until(lambda: len(held.connections) == held.max_connections)
            monkeypatch.setattr(listener, "EVICT_SILENT_S", 0.0)
            share = held.max_connections
            held._reduce_limit()
            assert len(held.connections) == held.max_connections == share - listener.RESERVED_DESCRIPTORS
            for _ in range(20):  # repeated evictions don't go below half
                held._reduce_limit()
            assert share // 4 < len(held.connections) <= held.max_connections == share // 2
            await until(lambda: held.max_connections == share)
            for client in clients:
                client.close()

    play(scenario)

"""Idle clients fill the descriptors while discovery is down: everything else still gets its own.

A process of its own that may open few, hundreds of clients that stay and come again where they are closed.
Discovery's connection, the operators' address, connections to servers and a takeover each need a descriptor
meanwhile. Accepts that fail are forced by lowering the limit of that process, which this test has started, and
raising it again.
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
from test_takeover import heard

from rosechute.proxy.http1 import listener
from rosechute.proxy.http1.listener import Listener

MOST = 64
IDLE = 150  # more than twice as many as may be open
FRESH_S = 6.0  # a change counts as told so long after discovery had it and could be reached
SOON_S = 3.0
ASKS = {"discovery": "subscribe", "invariants": {"mustAskInNs": 4 * 10**9}}
STAY = (
    b"",
    b"GET /fr",
    b"GET /-/ready HTTP/1.1\r\nHost: app\r\n\r\n",
    b"GET /free HTTP/1.1\r\nHost: app\r\nX-Request-ID: %s\r\nX-Timeout: 5\r\n\r\n",
)


class Process:
    """One sidecar in a process of its own, and the descriptors that it may open."""

    def __init__(
        self, folder: Path, discovery: int, held: socket.socket, told: int, may: int, raw: dict, *lines: dict
    ) -> None:
        self.control, self.held, self.may = free_port(), held, may
        path = folder / f"config{self.control}.json"
        path.write_text(
            json.dumps(
                config(
                    listen=f"127.0.0.1:{held.getsockname()[1]}",
                    discovery=f"127.0.0.1:{discovery}",
                    known=listing(*lines),
                    limits={"sockets": told},
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
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (self.may, self.may)),
        )
        self.pid = self.started.pid
        self.log: list[bytes] = []
        await heard(self.started, b"listening")
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
        """Descriptors that are open."""
        return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))

    def may_open(self, most: int) -> None:
        resource.prlimit(self.pid, resource.RLIMIT_NOFILE, (most, self.may))

    def cpu_s(self) -> float:
        """Processor time that it has used."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@contextlib.asynccontextmanager
async def crowd(port: int) -> AsyncIterator[None]:
    """Clients that stay, each in its own way, and come again as soon as they are closed."""

    async def stays(number: int) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    say = STAY[number % len(STAY)]
                    writer.write(say % f"idle-{number}-{time.monotonic_ns()}".encode() if b"%s" in say else say)
                    while await reader.read(65536):
                        pass
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.2)

    tasks = [asyncio.ensure_future(stays(number)) for number in range(IDLE)]
    await asyncio.sleep(1.0)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def served(port: int, seconds: float = SOON_S) -> None:
    """A request on a new connection is served in time, however many stand before it."""
    start = time.monotonic()
    client = Client(*await asyncio.open_connection("127.0.0.1", port))
    status, _, _ = await client.ask("single_shot")
    client.writer.close()
    assert status == 200 and time.monotonic() - start < seconds, (status, time.monotonic() - start)


async def operated(port: int) -> None:
    start = time.monotonic()
    assert (await operate(port, "GET /stats"))[0] == 200
    assert time.monotonic() - start < SOON_S


class Discovery:
    """Discovery on a port of its own: down at first, and back when it is told."""

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


async def until_fresh(port: int, server: Server) -> float:
    """Ask until this server gets the requests; seconds that it took."""
    start = time.monotonic()
    while not server.calls and time.monotonic() - start < LIMIT_S:
        await served(port)
        await asyncio.sleep(0.05)
    return time.monotonic() - start


def full(process: Process) -> None:
    """Nothing more can be opened by it: each accept fails, and each connect."""
    process.may_open(process.open())


@pytest.mark.parametrize("raw", [ASKS, {}], ids=["asked", "pushed"])
@pytest.mark.parametrize(
    ("told", "between"),
    [(MOST, False), (MOST, True), (2 * MOST, False)],
    ids=["all", "accepts-fail", "fewer-than-told"],
)
def test_each_gets_its_descriptor_while_idle_clients_take_all_that_they_may(tmp_path, raw, told, between):
    async def scene():
        discovery = Discovery()
        with socket.create_server(("127.0.0.1", 0), backlog=1024) as held:
            port = held.getsockname()[1]
            async with Server(ok) as one, Server(ok) as two:
                old = Process(tmp_path, discovery.port, held, told, MOST, raw, line("s1", one.port))
                async with old, crowd(port):
                    for _ in range(3):
                        await operated(old.control)
                        await served(port)
                    if between:
                        spent, start = old.cpu_s(), time.monotonic()
                        full(old)
                        await asyncio.sleep(0.3)
                        for _ in range(20):  # while each accept of a client's fails
                            await operated(old.control)
                            await asyncio.sleep(0.03)
                        spent = (old.cpu_s() - spent) / (time.monotonic() - start)
                        old.may_open(MOST)
                        assert spent < 0.5, spent
                        await asyncio.sleep(0.1)
                        for _ in range(3):
                            await operated(old.control)
                            await served(port)
                    place = await discovery.back(line("s2", two.port))
                    assert await until_fresh(port, two) < FRESH_S
                    await operated(old.control)
                    new = Process(tmp_path, discovery.port, held, told, MOST, raw, line("s1", one.port))
                    async with new:
                        await operated(new.control)
                        assert (await operate(new.control, "GET /healthcheck"))[0] == 200
                        old.started.send_signal(signal.SIGTERM)
                        await asyncio.wait_for(old.started.wait(), LIMIT_S)
                        for _ in range(3):
                            await served(port)
                            await operated(new.control)
                        assert not any(b"cold_start" in said for said in new.log)
                        for said in old.log + new.log:
                            assert b"Traceback" not in said and b"Too many open" not in said, said
                    place.close()

    play(scene)


@pytest.mark.plain  # a compiled method can't be exchanged
def test_a_connection_counts_until_its_descriptor_is_free(monkeypatch):
    """Found on reading: each that gave way was free with the loop's next turn, and up to 64 were let in before."""
    most_open = []
    take = Listener._take
    monkeypatch.setattr(
        Listener, "_take", lambda self: (most_open.append(len(list(Path("/proc/self/fd").iterdir()))), take(self))[1]
    )
    monkeypatch.setattr(listener, "HUSH_S", 60.0)

    async def scene():
        async with sidecar(sockets=72) as world:
            held = world.sidecar._listener
            clients = [await Raw(world.port).connect() for _ in range(held.most + 100)]
            await until(lambda: len(held.connections) == held.most)
            before = len(list(Path("/proc/self/fd").iterdir()))
            monkeypatch.setattr(listener, "HUSH_S", 0.0)
            most_open.clear()
            await until(lambda: len(most_open) > 100)
            assert max(most_open) - before <= listener.OVERDRAFT
            assert len(held.connections) <= held.most
            for client in clients:
                client.close()

    play(scene)


@pytest.mark.plain
def test_clients_keep_to_fewer_for_a_while_where_there_was_no_descriptor(monkeypatch):
    monkeypatch.setattr(listener, "HUSH_S", 60.0)
    monkeypatch.setattr(listener, "RELAX_S", 0.2)

    async def scene():
        async with sidecar(sockets=104) as world:
            held = world.sidecar._listener
            clients = [await Raw(world.port).connect() for _ in range(held.most)]
            await until(lambda: len(held.connections) == held.most)
            monkeypatch.setattr(listener, "HUSH_S", 0.0)
            share = held.most
            held._give_way()
            assert len(held.connections) == held.most == share - listener.SPARE
            for _ in range(20):  # again and again: no less than half
                held._give_way()
            assert share // 4 < len(held.connections) <= held.most == share // 2
            await until(lambda: held.most == share)
            for client in clients:
                client.close()

    play(scene)

"""Processor time of an edge's data plane for each event that it passes on, and for each request.

Three processes on loopback: the edge's data plane (real, with router, one service and the project's configuration), a
model server that writes events at a set pace, and a client. Only the edge's own processor time counts.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
import time
from typing import Any

from benchmarks.fitting import Slope
from rosechute.configuration.operator import parse_configuration
from rosechute.configuration.process import Listen, ProcessLimits, ProcessSettings
from rosechute.data_plane.plane import DataPlane
from rosechute.routing.model import ServerEntry
from rosechute.routing.router import Router
from rosechute.routing.tuning import RouterTuning

SERVICE = "model-00"
KEY = "key-1"
EVENT_TOKENS = 6
STREAMS = 60
RATES = (200, 600, 1200, 2400)  # events a second over all streams
PLAY_S = 5.0
EVENTS_A_STREAM = 50  # 300 tokens in events of 6
REQUEST_RATES = (5, 10, 20, 40)  # a second, of one event each
CONFIGURATION = {
    "config_version": 1,
    "routes": [
        {
            "name": "r",
            "host": "e",
            "path_prefix": "/s/",
            "route_type": "streaming",
            "timeout_ms": 60_000,
            "target_latency_ms": 1500,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 2,
            "sticky": True,
            "stream_resume": True,
            "gap_aim_ms": 600,
        }
    ],
    "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 1000}],
    "tenants": [{"name": "t", "api_keys": [KEY], "priority": 0}],
}


class AllowAll:
    """Every quota allows."""

    def acquire(self, tenant: str, tokens: int, decided: Any) -> None:
        """Allow."""
        decided(True, 0.0)


class AlwaysFresh:
    """The configuration is always the newest."""

    def confirmed_at(self) -> float:
        """Now."""
        return time.monotonic()


async def _edge(server_port: int) -> None:
    """Run the data plane; answer each line on standard input with the processor time in nanoseconds."""
    loop = asyncio.get_running_loop()
    settings = ProcessSettings(
        node_name="edge-1",
        ip="127.0.0.1",
        zone="east-1",
        port_range=(7000, 7001),
        listen=Listen(front="127.0.0.1:0"),
        limits=ProcessLimits(memory_mb=300, max_fds=2000),
    )
    router = Router(random.random, RouterTuning(initial_limit=200))
    plane = DataPlane(loop, settings, router, AllowAll(), AlwaysFresh())
    await plane.start()
    plane.apply_configuration(parse_configuration(json.dumps(CONFIGURATION).encode()).unwrap(), 1)
    plane.apply_servers(SERVICE, [ServerEntry("i-1", f"127.0.0.1:{server_port}", "east-1", 500, True)])
    print(plane.port, flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(time.process_time_ns(), flush=True)


async def _serve() -> None:
    """A model server: the path tells how many events and the pause between them in microseconds."""

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = dict(line.split(": ", 1) for line in head.lower().split("\r\n")[1:-2])
                await reader.readexactly(int(lines.get("content-length", 0)))
                count, pause = (int(part) for part in head.split(" ")[1].split("/")[2:4])
                writer.write(
                    (
                        f"HTTP/1.1 200 OK\r\nX-Rosechute-Request-Id: {lines['x-rosechute-request-id']}\r\n"
                        "X-Rosechute-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n"
                    ).encode()
                )
                loop = asyncio.get_running_loop()
                due = loop.time()
                for number in range(1, count + 1):
                    due += pause / 1e6
                    await asyncio.sleep(max(0.0, due - loop.time()))
                    event = f"id: {number}\ndata: {'x' * 5 * EVENT_TOKENS}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                writer.write(b"0\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    listening = await asyncio.start_server(talk, "127.0.0.1", 0, backlog=500)
    print(listening.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def _stream(port: int, name: str, count: int, pause_us: int) -> int:
    """One request on a connection of its own; the events that came."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        (
            f"POST /s/{count}/{pause_us} HTTP/1.1\r\nHost: e\r\nX-Rosechute-Request-Id: {name}\r\n"
            f"X-Rosechute-Deadline-Ms: 60000\r\nX-Rosechute-Credential: {KEY}\r\nX-Rosechute-Model: m\r\n"
            "X-Rosechute-Token-Count: 1400,300\r\nX-Rosechute-Prompt-Prefix: aa:800,bb:400,cc:200\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        ).encode()
    )
    try:
        data = await reader.read()
    finally:
        writer.close()
    return data.count(b"\nid: ") if b" 200 " in data[:20] else 0


async def _play(port: int, streams: int, count: int, pause_us: int) -> int:
    """All streams at once, their starts spread over one pause."""

    async def later(number: int) -> int:
        await asyncio.sleep(number * pause_us / 1e6 / streams)
        return await _stream(port, f"q-{os.getpid()}-{time.monotonic_ns()}-{number}", count, pause_us)

    return sum(await asyncio.gather(*(later(number) for number in range(streams))))


async def _requests(port: int, per_s: float, seconds: float) -> int:
    """Requests of one event, at an even pace."""

    async def later(number: int) -> int:
        await asyncio.sleep(number / per_s)
        return await _stream(port, f"r-{os.getpid()}-{time.monotonic_ns()}-{number}", 1, 0)

    return sum(value > 0 for value in await asyncio.gather(*(later(n) for n in range(int(per_s * seconds)))))


class _Child:
    """A process of this module in another part."""

    def __init__(self, *part: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.fleet_slopes_events", *part],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = self.number()

    def number(self) -> int:
        """The next line."""
        assert self.process.stdout is not None
        return int(self.process.stdout.readline())

    def ask(self) -> int:
        """The processor time so far."""
        assert self.process.stdin is not None
        self.process.stdin.write("\n")
        self.process.stdin.flush()
        return self.number()

    def end(self) -> None:
        """End it."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            self.process.wait(3)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def events() -> list[Slope]:
    """Processor time of the edge a second, by events and by requests a second."""
    spent = Slope("edge: processor time, 60 streams", "us a second", "events a second")
    each = Slope("edge: processor time an event", "us", "events a second")
    asked = Slope("edge: processor time, requests of one event", "us a second", "requests a second")
    server = _Child("server")
    edge = _Child("edge", str(server.port))
    try:
        asyncio.run(_play(edge.port, 10, 5, 1000))  # warm
        idle_began, began = edge.ask(), time.monotonic()
        time.sleep(1.0)
        idle = (edge.ask() - idle_began) / 1e3 / (time.monotonic() - began)
        for rate in RATES:
            pause_us = int(1e6 * STREAMS / rate)
            count = max(2, int(PLAY_S * rate / STREAMS))
            before, began = edge.ask(), time.monotonic()
            came = asyncio.run(_play(edge.port, STREAMS, count, pause_us))
            took, cpu = time.monotonic() - began, (edge.ask() - before) / 1e3
            assert came == STREAMS * count, f"{came} events came of {STREAMS * count}"
            spent.points[rate] = cpu / took
            each.points[rate] = (cpu - idle * took) / came
        for per_s in REQUEST_RATES:
            before, began = edge.ask(), time.monotonic()
            came = asyncio.run(_requests(edge.port, per_s, PLAY_S))
            took, cpu = time.monotonic() - began, (edge.ask() - before) / 1e3
            assert came == int(per_s * PLAY_S), f"{came} answers came"
            asked.points[per_s] = cpu / took
    finally:
        edge.end()
        server.end()
    return [spent, each, asked]


if __name__ == "__main__":
    asyncio.run(_edge(int(sys.argv[2])) if sys.argv[1] == "edge" else _serve())

"""CPU time a request: the sidecar beside a bare uvloop byte relay, in one run, as a ratio.

    python -m benchmarks.cpu [--requests 12000] [--clients 8] [--rounds 3] [--program NAME=FOLDER ...]

Starts stand-in servers, a stand-in for discovery and, in turn, the relay and each program, all on loopback;
sends the same requests through each and reads from the kernel what processor time its process took. Where the
platform's build has compiled modules, the program is measured plain and compiled. With several checkouts named,
they take turns, so that a machine whose speed drifts does so for all of them. Prints microseconds a request
(user and system), and the ratio to the relay of the same round.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator

import uvloop

from rosechute import native

HERE = pathlib.Path(__file__).resolve().parent.parent
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
BODY = b"x" * 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Type: text/plain\r\n\r\n%s" % (len(BODY), BODY)
SERVERS = 4
WARM_UP = 1000


class Serving(asyncio.Protocol):
    """A server that answers each whole head at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.rest = b""

    def data_received(self, data: bytes) -> None:
        self.rest += data
        count = self.rest.count(b"\r\n\r\n")
        if count:
            self.rest = b""
            self.transport.write(ANSWER * count)  # type: ignore[attr-defined]


class Relay(asyncio.Protocol):
    """One side of a bare byte relay: what comes goes out on the other side."""

    def __init__(self, target: tuple[str, int] | None, other: Relay | None = None) -> None:
        self.target, self.other = target, other
        self.pending = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.target is not None:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(loop.create_connection(lambda: Relay(None, self), *self.target))
        elif self.other is not None:
            self.other.other = self
            transport.write(self.other.pending)  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self.other.transport.write(data)  # type: ignore[attr-defined]
        else:
            self.pending += data

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None:
            self.other.transport.close()


class Asking(asyncio.Protocol):
    """A client that sends the next request once the answer to the last is whole."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.rest = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        number = self.work.next()
        if number is None:
            self.transport.close()
            return
        self.transport.write(  # type: ignore[attr-defined]
            b"GET /free/7?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: r%x-%x\r\nX-Tenant-Id: acme\r\n"
            b"Cookie: key=7f3a9c21e0b4d655\r\nX-Timeout: 3.000\r\n\r\n" % (self.work.seed, number)
        )

    def data_received(self, data: bytes) -> None:
        self.rest += data
        at = self.rest.find(b"\r\n\r\n")
        if at < 0 or len(self.rest) < at + 4 + length(self.rest[:at]):
            return
        self.work.done(self.rest[9:12])
        self.rest = b""
        self.ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self.work.left()


def length(head: bytes) -> int:
    """The body's length by an answer's head."""
    at = head.lower().find(b"content-length:")
    return int(head[at + 15 :].split(b"\r\n")[0])


class Work:
    """So many requests, handed out to clients."""

    def __init__(self, count: int, clients: int) -> None:
        self.count, self.clients = count, clients
        self.seed = time.monotonic_ns()
        self.sent = self.ended = 0
        self.statuses: dict[bytes, int] = {}
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def next(self) -> int | None:
        if self.sent == self.count:
            return None
        self.sent += 1
        return self.sent

    def done(self, status: bytes) -> None:
        self.ended += 1
        self.statuses[status] = self.statuses.get(status, 0) + 1

    def left(self) -> None:
        self.clients -= 1
        if not self.clients and not self.over.done():
            self.over.set_result(None)


async def send(port: int, count: int, clients: int) -> Work:
    loop = asyncio.get_running_loop()
    work = Work(count, clients)
    for _ in range(clients):
        await loop.create_connection(lambda: Asking(work), "127.0.0.1", port)
    async with asyncio.timeout(120):
        await work.over
    return work


def processor_s(pid: int) -> float:
    """Processor time that a process has taken, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def memory_mb(pid: int) -> float:
    """Memory that a process holds, in MiB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0]) / 1024


def free_port() -> int:
    import socket

    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def config(port: int, discovery: int, servers: list[int]) -> dict[str, object]:
    """What the platform tells a sidecar."""
    lines = [
        {
            "name": f"s{i}",
            "address": f"127.0.0.1:{p}",
            "zone": "a",
            "type": "m",
            "group": 0,
            "status": "SERVING",
            "weight": 1.0,
            "since_ms": 0,
        }
        for i, p in enumerate(servers)
    ]
    kinds = ("free", "single_shot", "guarded")
    return {
        "name": "bench",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 1, "snapshot": True, "endpoints": lines},
        "settings": {
            "classes": [{"name": k, "onTimeNs": 3 * 10**9, "hardLimitNs": 6 * 10**9, "repeat": k} for k in kinds],
            "failureDomains": ["a"],
            "kinds": ["m"],
            "projects": [{"name": "acme", "share": 1.0}],
            "limits": {
                "maxAttempts": 3,
                "retryAfter": True,
                "maxRetryAfterNs": 10**9,
                "connectTimeoutNs": 10**9,
                "connIdleNs": 30 * 10**9,
            },
            "invariants": {"drainGraceNs": 10**9},
        },
    }


async def until_ready(port: int) -> float:
    """Wait for a yes; the seconds it took."""
    start = time.monotonic()
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head[:16]:
                    return time.monotonic() - start
            await asyncio.sleep(0.005)


async def until_listening(port: int) -> None:
    """Wait until a connection is let in; on a busy machine that takes its time."""
    async with asyncio.timeout(20):
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                return
            await asyncio.sleep(0.05)


class Subject:
    """One program under measurement."""

    def __init__(self, name: str, folder: pathlib.Path | None, arguments: list[str], plain: bool = False) -> None:
        self.name, self.folder, self.arguments, self.plain = name, folder, arguments, plain
        self.costs: list[float] = []
        self.starts: list[float] = []
        self.memory: list[float] = []
        self.statuses: dict[bytes, int] = {}

    async def run(self, discovery: int, servers: list[int], count: int, clients: int) -> None:
        port = free_port()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "config.json")
            path.write_text(json.dumps(config(port, discovery, servers)))
            env = {
                **os.environ,
                "NODE_CONFIG": str(path),
                "TMPDIR": folder,
                native.DISABLE_VARIABLE: str(int(self.plain)),
            }
            if self.folder is None:
                command = [sys.executable, "-m", "benchmarks.cpu", "--relay", str(port), str(servers[0])]
            else:
                command = [sys.executable, *(self.arguments or ["-m", "rosechute.sidecar"])]
            process = await asyncio.create_subprocess_exec(
                *command,
                cwd=self.folder or HERE,
                env=env,
                stderr=asyncio.subprocess.DEVNULL,
            )
            try:
                start = time.monotonic()
                if self.folder is None:
                    await until_listening(port)
                else:
                    await until_ready(port)
                    self.starts.append(time.monotonic() - start)
                await send(port, WARM_UP, clients)
                before = processor_s(process.pid)
                work = await send(port, count, clients)
                self.costs.append((processor_s(process.pid) - before) / count * 1e6)
                self.memory.append(memory_mb(process.pid))
                for status, times in work.statuses.items():
                    self.statuses[status] = self.statuses.get(status, 0) + times
            finally:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()


async def discover(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A discovery that is down: the list that a sidecar was started with holds."""
    writer.close()


async def measure(subjects: list[Subject], count: int, clients: int, rounds: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Serving, "127.0.0.1", 0) for _ in range(SERVERS)]
    ports = [made.sockets[0].getsockname()[1] for made in servers]
    discovery = await asyncio.start_server(discover, "127.0.0.1", 0)
    told = discovery.sockets[0].getsockname()[1]
    for _ in range(rounds):
        for subject in subjects:
            await subject.run(told, ports, count, clients)


def rows(subjects: list[Subject]) -> Iterator[str]:
    relay = subjects[0].costs
    yield f"{'':14}{'us a request':>14}{'min':>8}{'max':>8}{'ratio':>8}{'start s':>9}{'MiB':>7}  served"
    for subject in subjects:
        costs = subject.costs
        ratio = statistics.median(a / b for a, b in zip(costs, relay, strict=True))
        start = f"{statistics.median(subject.starts):9.2f}" if subject.starts else " " * 9
        total = sum(subject.statuses.values())
        yield (
            f"{subject.name:14}{statistics.median(costs):14.1f}{min(costs):8.1f}{max(costs):8.1f}"
            f"{ratio:8.2f}{start}{statistics.median(subject.memory):7.1f}"
            f"  {subject.statuses.get(b'200', 0) / total:.4f}"
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--requests", type=int, default=12_000)
    parser.add_argument("--clients", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--program", action="append", default=[], metavar="NAME=FOLDER[:ARGUMENTS]")
    parser.add_argument("--relay", nargs=2, type=int, help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.relay:
        uvloop.run(relay(*chosen.relay))
        return
    subjects = [Subject("relay", None, [])]
    if not chosen.program:
        subjects.append(Subject("sidecar", HERE, [], plain=True))
        if native.find_libraries():
            subjects.append(Subject("compiled", HERE, []))
    for text in chosen.program:
        name, _, rest = text.partition("=")
        folder, _, arguments = rest.partition(":")
        subjects.append(Subject(name, pathlib.Path(folder).resolve(), arguments.split()))
    uvloop.run(measure(subjects, chosen.requests, chosen.clients, chosen.rounds))
    print("\n".join(rows(subjects)))


async def relay(port: int, target: int) -> None:
    """Relay bytes, and nothing else, for good."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Relay(("127.0.0.1", target)), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    main()

"""Time added to a call: an open loop of calls straight to the servers and through the sidecar, in turns.

    python -m benchmarks.latency [--rate 264 ...] [--seconds 10] [--rounds 3] [--paced] [--work-ms 0]
                                 [--servers 4] [--seed 1] [--plain] [--program NAME=FOLDER ...]

Starts stand-in servers in a process of their own and a stand-in for discovery, all on loopback. In each round each
rate is played straight to the servers and through each program, freshly started, with the same times of sending:
drawn (Poisson) or evenly spaced (`--paced`). Without `--program` that is this checkout; other checkouts are built
first (`sh deploy/build.sh`) and named, so that all are measured in one run.

Nothing waits for an answer before it sends, and a connection is always free for the next call. The sender is no
event loop, whose timers would count whole milliseconds: it sleeps to the microsecond, and `lag` tells by how much
the 99th percentile of its calls was late all the same. Times run from the send to the last byte of the answer, in
milliseconds; `added` is the difference to the same percentile straight to the servers, over all rounds. `start` is
the share served of the calls in the first two seconds after the program was ready, `served` of those after it: only
these are timed. `held` and `opened` are the connections at the servers: the mean at the end of each slice, and how
many were opened a second after the start. `cpu` is the program's processor time a call, in microseconds.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import json
import multiprocessing
import os
import pathlib
import random
import select
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from multiprocessing.connection import Connection

import uvloop
from hdrh.histogram import HdrHistogram

from benchmarks.cpu import ANSWER, HERE, config, free_port, length, processor_s, until_ready
from rosechute import native

WARM_UP_S = 2.0
AHEAD = 32  # client connections that are open before the first call; more follow where all are in use
PATIENCE_S = 8.0  # how long answers are waited for after the last call
LONGEST_US = 60_000_000
POINTS = (50.0, 99.0, 99.9)


class Standing(asyncio.Protocol):
    """A server that answers each whole head, at once or after a drawn time; how many connections there are."""

    opened = 0
    held = 0
    work_s = 0.0
    draw = random.Random(0)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.rest = b""
        Standing.opened += 1
        Standing.held += 1

    def connection_lost(self, exc: Exception | None) -> None:
        Standing.held -= 1

    def data_received(self, data: bytes) -> None:
        self.rest += data
        if not self.rest.endswith(b"\r\n\r\n"):
            return
        self.rest = b""
        if self.work_s:
            took = self.draw.expovariate(1.0 / self.work_s)
            asyncio.get_running_loop().call_later(took, self.transport.write, ANSWER)  # type: ignore[attr-defined]
        else:
            self.transport.write(ANSWER)  # type: ignore[attr-defined]


def serve(count: int, work_s: float, seed: int, link: Connection) -> None:
    """Be the servers: tell their ports, then the counts whenever anything comes over the link."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        servers = [await loop.create_server(Standing, "127.0.0.1", 0, backlog=1024) for _ in range(count)]
        discovery = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        link.send([s.sockets[0].getsockname()[1] for s in (*servers, discovery)])
        over = loop.create_future()

        def asked() -> None:
            try:
                link.recv()
            except EOFError:
                loop.remove_reader(link.fileno())
                over.set_result(None)
            else:
                link.send((Standing.opened, Standing.held))

        loop.add_reader(link.fileno(), asked)
        await over

    Standing.work_s, Standing.draw = work_s, random.Random(seed)
    uvloop.run(run())


@dataclasses.dataclass
class Talk:
    """One client connection."""

    made: socket.socket
    port: int
    sent_at: float = 0.0
    timed: bool = False
    rest: bytes = b""


class Sender:
    """Sends calls at given times, whatever has been answered, and times the answers."""

    def __init__(self, ports: list[int]) -> None:
        self._ports = ports
        self._poll = select.epoll()
        self._free: dict[int, list[Talk]] = {port: [] for port in ports}
        self._out: dict[int, Talk] = {}
        self.times, self.lag = HdrHistogram(1, LONGEST_US, 3), HdrHistogram(1, LONGEST_US, 3)
        self.sent, self.served = [0, 0], [0, 0]  # in the start, and after it
        self.statuses: dict[bytes, int] = {}
        for port in ports:
            self._free[port] = [self._open(port) for _ in range(AHEAD)]

    def _open(self, port: int) -> Talk:
        made = socket.create_connection(("127.0.0.1", port))
        made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        made.setblocking(False)
        self._poll.register(made.fileno(), select.EPOLLIN)
        return Talk(made, port)

    def play(self, plan: list[float], seed: int, started: Callable[[], None]) -> float:
        """Send at these times from now on, in seconds; `started` is called before the first that is timed. Return
        for how long the timed part went on."""
        draw = random.Random(seed)
        start = time.perf_counter()
        begun = 0.0
        for number, at in enumerate(plan):
            timed = at >= WARM_UP_S
            if timed and not begun:
                started()
                begun = time.perf_counter()
            while (left := start + at - time.perf_counter()) > 0.0:
                self._wait(left)
            self._send(draw.choice(self._ports), b"r%x-%x" % (time.monotonic_ns(), number), timed)
            if timed:
                self.lag.record_value(max(1, int((time.perf_counter() - start - at) * 1e6)))
            self._read()
        end = time.perf_counter()
        while self._out and time.perf_counter() - end < PATIENCE_S:
            self._wait(0.1)
        return end - begun

    def _send(self, port: int, rid: bytes, timed: bool) -> None:
        free = self._free[port]
        talk = free.pop() if free else self._open(port)
        talk.timed, talk.rest = timed, b""
        self.sent[timed] += 1
        self._out[talk.made.fileno()] = talk
        talk.sent_at = time.perf_counter()
        talk.made.send(
            b"GET /free/7?q=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Tenant-Id: acme\r\n"
            b"X-Timeout: 3.000\r\n\r\n" % rid
        )

    def _wait(self, left: float) -> None:
        select.select([self._poll.fileno()], [], [], left)  # epoll itself counts whole milliseconds
        self._read()

    def _read(self) -> None:
        for number, _ in self._poll.poll(0):
            talk = self._out.get(number)
            if talk is None:
                self._drop(number)
                continue
            try:
                data = talk.made.recv(65536)
            except ConnectionError:
                data = b""
            now = time.perf_counter()
            if not data:
                del self._out[number]  # broke off: not served
                self._drop(number, talk)
                continue
            talk.rest += data
            at = talk.rest.find(b"\r\n\r\n")
            if at < 0 or len(talk.rest) < at + 4 + length(talk.rest[:at]):
                continue
            del self._out[number]
            self._free[talk.port].append(talk)
            status = talk.rest[9:12]
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status == b"200":
                self.served[talk.timed] += 1
                if talk.timed:
                    self.times.record_value(max(1, int((now - talk.sent_at) * 1e6)))

    def _drop(self, number: int, talk: Talk | None = None) -> None:
        """A connection has ended."""
        for free in self._free.values():
            for other in free:
                if other.made.fileno() == number:
                    talk = other
        if talk is not None:
            self._poll.unregister(number)
            if talk in self._free[talk.port]:
                self._free[talk.port].remove(talk)
            talk.made.close()

    def close(self) -> None:
        """Close all connections."""
        for talk in (*self._out.values(), *(talk for free in self._free.values() for talk in free)):
            talk.made.close()
        self._poll.close()


class Figures:
    """What was found of one program at one rate, over all rounds."""

    def __init__(self) -> None:
        self.times, self.lag = HdrHistogram(1, LONGEST_US, 3), HdrHistogram(1, LONGEST_US, 3)
        self.sent, self.served = [0, 0], [0, 0]
        self.held: list[int] = []
        self.opened: list[float] = []
        self.costs: list[float] = []
        self.p99: list[float] = []  # round by round
        self.statuses: dict[bytes, int] = {}

    def add(self, sender: Sender) -> None:
        """Take in one slice."""
        self.times.add(sender.times)
        self.lag.add(sender.lag)
        self.p99.append(sender.times.get_value_at_percentile(99.0) / 1e3)
        for part in (0, 1):
            self.sent[part] += sender.sent[part]
            self.served[part] += sender.served[part]
        for status, times in sender.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + times


def plan_of(rate: float, seconds: float, seed: int, paced: bool) -> list[float]:
    """When to send, in seconds from the start."""
    draw, at, found = random.Random(seed), 0.0, []
    while True:
        at += 1.0 / rate if paced else draw.expovariate(rate)
        if at >= WARM_UP_S + seconds:
            return found
        found.append(at)


class Bench:
    """The servers, and the programs that are measured against them in turns."""

    def __init__(self, chosen: argparse.Namespace) -> None:
        self._chosen = chosen
        self.link, theirs = multiprocessing.Pipe()
        context = multiprocessing.get_context("spawn")
        self._process = context.Process(
            target=serve, args=(chosen.servers, chosen.work_ms / 1e3, chosen.seed, theirs), daemon=True
        )
        self._process.start()
        theirs.close()
        *self.ports, self.discovery = self.link.recv()

    def counts(self) -> tuple[int, int]:
        """Connections opened at the servers so far, and held now."""
        self.link.send(None)
        opened, held = self.link.recv()
        return int(opened), int(held)

    def direct(self, plan: list[float], seed: int, figures: Figures) -> None:
        """One slice straight to the servers."""
        sender = Sender(self.ports)
        sender.play(plan, seed, lambda: None)
        figures.add(sender)
        sender.close()

    def through(self, folder: pathlib.Path, plan: list[float], seed: int, figures: Figures) -> None:
        """One slice through a program that is started for it."""
        port = free_port()
        before = (0, 0.0)

        def now() -> tuple[int, float]:
            return self.counts()[0], processor_s(process.pid)

        def started() -> None:
            nonlocal before
            before = now()

        with tempfile.TemporaryDirectory() as place:
            path = pathlib.Path(place, "config.json")
            path.write_text(json.dumps(config(port, self.discovery, self.ports)))
            env = {
                **os.environ,
                "NODE_CONFIG": str(path),
                "TMPDIR": place,
                native.DISABLE_VARIABLE: str(int(self._chosen.plain)),
            }
            process = subprocess.Popen(
                [sys.executable, "-m", "rosechute.sidecar"], cwd=folder, env=env, stderr=subprocess.DEVNULL
            )
            try:
                asyncio.run(until_ready(port))
                sender = Sender([port])
                spent = sender.play(plan, seed, started)
                opened, cost = now()
                figures.opened.append((opened - before[0]) / spent)
                figures.held.append(self.counts()[1])
                figures.costs.append((cost - before[1]) / max(1, sender.sent[1]) * 1e6)
                figures.add(sender)
                sender.close()
            finally:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                process.wait()
        time.sleep(0.2)  # the servers see its end before the next one is counted

    def play(self, subjects: dict[str, pathlib.Path]) -> None:
        """All rounds; print a table for each rate."""
        chosen = self._chosen
        for rate in chosen.rate:
            found = {name: Figures() for name in ("direct", *subjects)}
            for number in range(chosen.rounds):
                seed = chosen.seed * 1000 + number
                plan = plan_of(rate, chosen.seconds, seed, chosen.paced)
                self.direct(plan, seed, found["direct"])
                for name, folder in subjects.items():
                    self.through(folder, plan, seed, found[name])
            print("\n".join(rows(rate, chosen, found)), flush=True)

    def close(self) -> None:
        """End the servers."""
        self.link.close()
        self._process.join(5.0)


def rows(rate: float, chosen: argparse.Namespace, found: dict[str, Figures]) -> Iterator[str]:
    """The table of one rate."""
    direct = found["direct"].times
    base = [direct.get_value_at_percentile(point) / 1e3 for point in POINTS]
    yield (
        f"{rate:g} calls/s, {'paced' if chosen.paced else 'Poisson'}, {chosen.rounds} x {chosen.seconds:g} s, "
        f"{chosen.servers} servers, work {chosen.work_ms:g} ms, seed {chosen.seed}, load {os.getloadavg()[0]:.1f}"
    )
    yield (
        f"{'':12}{'p50':>8}{'p99':>8}{'p99.9':>8}{'added p50':>11}{'p99':>8}{'p99.9':>8}{'p99 a round':>18}"
        f"{'lag':>7}{'start':>9}{'served':>9}{'held':>7}{'opened/s':>10}{'cpu':>7}"
    )
    for name, figures in found.items():
        times = [figures.times.get_value_at_percentile(point) / 1e3 for point in POINTS]
        row = f"{name:12}" + "".join(f"{value:8.2f}" for value in times)
        row += "".join(f"{a - b:{width}.2f}" for a, b, width in zip(times, base, (11, 8, 8), strict=True))
        row += f"{min(figures.p99):9.2f} ..{max(figures.p99):6.2f}"
        row += f"{figures.lag.get_value_at_percentile(99.0) / 1e3:7.2f}"
        row += "".join(
            f"{served / max(1, sent):9.5f}" for served, sent in zip(figures.served, figures.sent, strict=True)
        )
        if figures.held:
            row += (
                f"{statistics.mean(figures.held):7.1f}{statistics.mean(figures.opened):10.2f}"
                f"{statistics.median(figures.costs):7.0f}"
            )
        others = {status.decode(): times for status, times in figures.statuses.items() if status != b"200"}
        yield row + (f"  {others}" if others else "")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--rate", type=float, nargs="+", default=[264.0], help="calls a second")
    parser.add_argument("--seconds", type=float, default=10.0, help="timed, after the start of 2 s")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--paced", action="store_true", help="evenly spaced calls in place of a Poisson stream")
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--work-ms", type=float, default=0.0, help="mean time that servers take, drawn")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plain", action="store_true", help="from the sources, whatever was compiled")
    parser.add_argument("--program", action="append", default=[], metavar="NAME=FOLDER")
    chosen = parser.parse_args()
    subjects = {
        name: pathlib.Path(folder).resolve() for name, _, folder in (text.partition("=") for text in chosen.program)
    } or {"sidecar": HERE}
    bench = Bench(chosen)
    try:
        bench.play(subjects)
    finally:
        bench.close()


if __name__ == "__main__":
    main()

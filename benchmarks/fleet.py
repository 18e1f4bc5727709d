"""A fleet on one machine: when a change is in force everywhere, and what that costs.

    python -m benchmarks.fleet --quick                 about a minute
    python -m benchmarks.fleet [--point SIDECARS SERVERS ...] [--mode ask|push] [--helpers 2] [--seed 1]
    python -m benchmarks.fleet --point 5 20 --fault stale        shows that the check can fail

Hollow sidecars share a few processes: the module, discovery's client and the list are those of the product, over
connections of their own on loopback to the project's stand-in for discovery; there is no data path. One more has a
process to itself, so that the stall of a loop is seen that is not shared; and one real program (`python -m
rosechute.sidecar`) carries calls beside them. `--tree` takes sidecars, hollow and real, from another checkout.

The events of a point: all start within a second, knowing nothing; nothing happens; single changes; a zone (a fifth
of the servers) leaves within a second, told one by one, and comes back; discovery is killed, a server leaves
meanwhile, and it is back after two seconds, with its version numbers or with new ones; all sidecars are restarted
within a second. After each, every hollow sidecar must have discovery's list, and of the calls handed to its module
none may be sent to a server that discovery had not named as up for longer than the grace. Exit status 1 if not.

Columns: seconds from a change (the last one; for starts, each sidecar's own) until it is in force, for half, 99 in
100 and all of the sidecars; how many took more than 6 s; then for each sidecar and second of the event the messages
(answers), bytes both ways and milliseconds of processor time, and for discovery its part of a core and bytes; the
longest stall of the loop, alone and shared, in milliseconds (looking for it costs processor time, which is measured
before and taken off); the real one's processor time, calls and all, and its calls: added time is not measured here,
only their p99 and longest in the same time. Hollow sidecars wait for each other's work, real ones would not.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import inspect
import json
import math
import os
import pathlib
import random
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("a", "b", "c", "d", "e")
SECOND = 1_000_000_000
TOLD_S = 6.0  # a change counts as told after this
GRACE_S = 0.3  # the drain grace of the settings, and what the loopback takes
DOWN_S = 2.0  # how long discovery is away
LEAST_S = 1.0  # figures for each second are of so many seconds at least
CALLS = 24  # handed to each module at a check
BEAT_S = 0.005
EVENTS = ("nothing", "change", "zone", "back", "renumbered", "restart")
POINTS = [(100, 100), (100, 450), (100, 1800), (100, 7200), (1000, 100), (1000, 1800)]
QUICK = [(100, 100), (100, 1800)]
HEAD = (
    "event",
    "s",
    "p50",
    "p99",
    "last",
    "late",
    "msgs/s",
    "B/s",
    "ms/s",
    "disc. core",
    "disc. KB/s",
    "stall ms",
    "shared ms",
    "real ms/s",
    "real p99 ms",
    "longest ms",
    "check",
)


def settings(mode: str) -> dict[str, Any]:
    """Settings as a platform would give them."""
    return {
        "classes": [{"name": "list", "onTimeNs": 400_000_000, "hardLimitNs": 1_500_000_000, "repeat": "free"}],
        "discovery": "subscribe" if mode == "ask" else "automatic",
        "failureDomains": list(ZONES),
        "kinds": ["m"],
        "limits": {
            "maxAttempts": 3,
            "retryAfter": True,
            "maxRetryAfterNs": SECOND,
            "connectTimeoutNs": SECOND // 4,
            "cancel": True,
            "connIdleNs": 30 * SECOND,
        },
        "invariants": {
            "drainGraceNs": SECOND // 4,
            "coldFrom": 0.1,
            "coldNs": 4 * SECOND,
            "fallMultiple": 3.0,
            "fallNs": 3 * SECOND // 2,
        },
    }


def name_of(number: int) -> str:
    """A server's name; they come in no order."""
    return f"s-{number * 2654435761 % 2**32:08x}"


def quantile(values: list[float], share: float) -> float:
    """The smallest value that this share of them does not exceed; nan of none."""
    return sorted(values)[max(0, math.ceil(share * len(values)) - 1)] if values else math.nan


class Role:
    """A process that is told what to do, line by line."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.stalled_s = 0.0
        self._beat(self.loop.time())

    def _beat(self, due: float) -> None:
        now = self.loop.time()
        self.stalled_s = max(self.stalled_s, now - due)
        self.loop.call_later(BEAT_S, self._beat, now + BEAT_S)

    async def figures(self) -> dict[str, Any]:
        """Processor time, memory, and the longest stall since the last time."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        with open("/proc/self/statm", encoding="ascii") as file:
            held = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        stalled, self.stalled_s = self.stalled_s, 0.0
        return {"cpu_s": used.ru_utime + used.ru_stime, "rss": held, "stalled_s": stalled}

    async def run(self) -> None:
        """Carry out what stdin says until it ends."""
        reader = asyncio.StreamReader(limit=1 << 26)
        await self.loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            told = json.loads(line)
            answer = await getattr(self, told.pop("do"))(**told)
            sys.stdout.write(json.dumps(answer) + "\n")
            sys.stdout.flush()


class DiscoveryRole(Role):
    """The stand-in for discovery."""

    async def begin(
        self,
        port: int,
        servers: int,
        backend: int,
        lines: Mapping[str, Any] | None = None,
        index: int = 0,
        gone: int | None = None,
    ) -> dict[str, Any]:
        """Listen, at a port of before and with what was known then, but for a server that is gone since."""
        from rosechute.fakes.discovery import FakeDiscovery

        self.discovery = FakeDiscovery()
        self.backend = backend
        for number in range(servers):
            told = (lines or {}).get(name_of(number), {"status": "SERVING", "since_ms": 0})
            self._put(number, told["status"], told["since_ms"])
        if lines and not index:
            self.discovery.renumber()
        self.discovery.index = max(index, self.discovery.index)
        if gone is not None:
            self._put(gone, "DELETED")
        return {"port": await self.discovery.start(port), "index": self.discovery.index}

    def _put(self, number: int, status: str, since_ms: int | None = None) -> None:
        # All lines lead to one server on this machine: the list is what is tried here.
        self.discovery.put(
            name_of(number), self.backend, status, since_ms, zone=ZONES[number % len(ZONES)], group=number % 16
        )

    async def change(self, numbers: list[int], status: str, over_s: float = 0.0) -> dict[str, Any]:
        """Change lines one by one, evenly over a time; when the last was put, and the version then."""
        start = time.monotonic()
        since = self.discovery.started_now() if status == "SERVING" else None
        for turn, number in enumerate(numbers):
            await asyncio.sleep(max(0.0, start + over_s * turn / len(numbers) - time.monotonic()))
            self._put(number, status, since)
        return {"start": start, "end": time.monotonic(), "index": self.discovery.index}

    async def list(self) -> dict[str, Any]:
        """The list as it is."""
        return {
            "index": self.discovery.index,
            "lines": {
                name: {"status": line["status"], "since_ms": line["since_ms"]}
                for name, line in self.discovery._lines.items()
            },
        }

    async def figures(self) -> dict[str, Any]:
        at = self.discovery
        return {**await super().figures(), "calls": at.calls, "bytes": at.bytes_in + at.bytes_out}


class Hollow:
    """A sidecar without a data path."""

    def __init__(self, loop: asyncio.AbstractEventLoop, told: Any, seed: int, port: int, stale: bool) -> None:
        from rosechute.load_balancing.rules import Balancer
        from rosechute.proxy.core.address import Address
        from rosechute.proxy.core.clock import Clock
        from rosechute.sidecar.discovery import Discovery

        self._loop, self._clock, self._ask, self._stale = loop, Clock(), told.must_ask, stale
        self.module = Balancer(told, seed, self._clock())
        self.lines: dict[str, Any] = {}
        self.version, self.at = 0, math.nan
        self.born = time.monotonic()
        self.over = False
        # Some checkouts tell large lists in parts, by comparing them with what is known here, or draw their pauses.
        takes = inspect.signature(Discovery).parameters
        more = {
            name: value
            for name, value in (("known", self.lines), ("draw", random.Random(seed).random))
            if name in takes
        }
        self._discovery = Discovery(loop, Address("127.0.0.1", port), told, 0, self._told, **more)
        self._follows: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to ask, or to listen to what is pushed."""
        from rosechute.load_balancing.interface import Directory

        self.deliver(Directory("SAVED", (), 0))
        if not self._ask:
            self._follows = self._loop.create_task(self._discovery.follow())

    def close(self) -> None:
        """End as a process ends."""
        self.over = True
        self._discovery.close()
        if self._follows is not None:
            self._follows.cancel()

    def deliver(self, event: Any) -> None:
        """What the module says to an event, carried out."""
        from rosechute.load_balancing.interface import Defer, Fetch, Subscribe

        if self.over:
            return
        for action in self.module.handle(self._clock(), event):
            if isinstance(action, Subscribe):
                self._discovery.subscribe(action.want)
            elif isinstance(action, Fetch):
                self._discovery.fetch()
            elif isinstance(action, Defer):
                self._loop.call_later(action.in_ns / 1e9, self._alarm, self._clock() + action.in_ns, action.tag)

    def _alarm(self, due: int, tag: int) -> None:
        from rosechute.load_balancing.interface import Alarm

        if self._clock() < due:  # timers of the loop may be early, and the module's clock is finer: as in the core
            self._loop.call_later(0.001, self._alarm, due, tag)
        else:
            self.deliver(Alarm(tag))

    def _told(self, listing: Any) -> None:
        from rosechute.load_balancing.interface import Directory

        if isinstance(listing, str):
            self.deliver(Directory(listing))
            return
        if not hasattr(listing, "lines"):  # a call that brought none; its scope, and how long it took
            self.deliver(Directory(listing.scope, took_ns=listing.took_ns))
            return
        lines = listing.lines
        if self._stale:  # the planted fault: what has gone stays
            lines = tuple(line for line in lines if line.entry.lifecycle != "removed")
        if listing.is_snapshot:
            self.lines.clear()
        for line in lines:
            if line.entry.lifecycle == "removed":
                self.lines.pop(line.entry.server, None)
            else:
                self.lines[line.entry.server] = line
        self.deliver(
            Directory(
                "FULL" if listing.is_snapshot else "INCREMENTAL", tuple(line.entry for line in lines), listing.version
            )
        )
        if listing.version != self.version and not getattr(listing, "part", False):
            self.version, self.at = listing.version, time.monotonic()

    def chosen(self, calls: int) -> set[str]:
        """Where the module sends so many calls."""
        from rosechute.load_balancing.interface import Accept, Hangup, How, Response, Submit

        servers = set()
        for number in range(calls):
            tid = f"check-{number}"
            for action in self.module.handle(self._clock(), Accept(tid, 0, SECOND)):
                if isinstance(action, Submit):
                    servers.add(action.server)
                    self.module.handle(self._clock(), Response(tid, How.MOOT, 1, action.server, 0, True))
            self.module.handle(self._clock(), Hangup(tid))
        return servers

    def listed(self) -> int:
        """How many servers the module knows of."""
        return int(self.module.census(self._clock())[0])


class HollowRole(Role):
    """Some hollow sidecars."""

    async def begin(self, count: int, first: int, port: int, mode: str, seed: int, fault: str) -> dict[str, Any]:
        from rosechute.load_balancing.interface import Settings

        self.told, self.port, self.seed, self.fault = settings(mode), port, seed, fault
        self.parse, self.first, self.count = Settings.parse, first, count
        self.hollow: list[Hollow] = []
        return {}

    async def start(self, over_s: float) -> dict[str, Any]:
        """Start all, in place of those that were there, evenly over a time."""
        start = self.loop.time()
        before, self.hollow = self.hollow, []
        for turn in range(self.count):
            number = self.first + turn
            await asyncio.sleep(max(0.0, start + over_s * turn / self.count - self.loop.time()))
            if before:
                before[turn].close()
            told = self.parse({**self.told, "index": number, "zone": number % len(ZONES)})
            made = Hollow(
                self.loop, told, self.seed * 100_003 + number, self.port, self.fault == "stale" and number == 0
            )
            self.hollow.append(made)
            made.start()
        return {}

    async def wait(self, index: int, limit_s: float) -> dict[str, Any]:
        """Wait until all have this version; when each did, and when each was started. Those without are left out."""
        until = self.loop.time() + limit_s
        while any(one.version != index for one in self.hollow) and self.loop.time() < until:
            await asyncio.sleep(0.005)
        had = [one for one in self.hollow if one.version == index]
        return {"at": [one.at for one in had], "born": [one.born for one in had]}

    async def check(self, lines: Mapping[str, Any]) -> dict[str, Any]:
        """What is not as it must be, of the list and of what the module would send."""
        from rosechute.sidecar.discovery import LIFECYCLES

        listed = {name: LIFECYCLES[line["status"]] for name, line in lines.items() if line["status"] != "DELETED"}
        up = {name for name, lifecycle in listed.items() if lifecycle == "up"}
        wrong = []
        for number, one in enumerate(self.hollow, self.first):
            if {name: line.entry.lifecycle for name, line in one.lines.items()} != listed:
                wrong.append(f"sidecar {number}: its list is not discovery's")
            elif one.listed() != len(listed):
                wrong.append(f"sidecar {number}: its module knows {one.listed()} of {len(listed)} servers")
            chosen = one.chosen(CALLS)
            if chosen - up:
                wrong.append(f"sidecar {number}: sends to {len(chosen - up)} servers that have gone")
            elif not chosen and up:
                wrong.append(f"sidecar {number}: sends nothing, so nothing was checked")
            await asyncio.sleep(0)
        return {"wrong": wrong}


class ApplicationRole(Role):
    """A server that answers at once, and an application that calls it through the real sidecar."""

    async def begin(self) -> dict[str, Any]:
        from benchmarks.cpu import Serving

        server = await self.loop.create_server(Serving, "127.0.0.1", 0)
        self.calls: list[tuple[float, float, bool]] = []  # when, how long, whether served
        self.free: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        return {"port": server.sockets[0].getsockname()[1]}

    async def load(self, port: int, per_s: float, seed: int) -> dict[str, Any]:
        """Call from now on, at times that are drawn."""
        from benchmarks.cpu import until_ready

        await until_ready(port)
        task = self.loop.create_task(self._loading(port, per_s, random.Random(seed)))
        self.tasks.add(task)
        return {}

    async def _loading(self, port: int, per_s: float, draw: random.Random) -> None:
        due, number = self.loop.time(), 0
        while True:
            due += draw.expovariate(per_s)
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            number += 1
            task = self.loop.create_task(self._call(port, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _call(self, port: int, number: int) -> None:
        start, served = time.monotonic(), False
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self.free and (self.free[-1][1].is_closing() or self.free[-1][0].at_eof()):
                self.free.pop()
            reader, writer = self.free.pop() if self.free else await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"GET /list/7 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: f%x\r\nX-Timeout: 1.500\r\n\r\n" % number
            )
            head = await reader.readuntil(b"\r\n\r\n")
            size = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
            await reader.readexactly(size)
            served = b" 200 " in head[:16]
            self.free.append((reader, writer))
        self.calls.append((start, time.monotonic() - start, served))

    async def window(self, start: float) -> dict[str, Any]:
        """Calls since then: how many, how many served, p99 and longest in ms."""
        calls = [call for call in self.calls if call[0] >= start]
        times = [call[1] * 1e3 for call in calls]
        return {
            "calls": len(calls),
            "served": sum(call[2] for call in calls),
            "p99": quantile(times, 0.99),
            "max": max(times, default=math.nan),
        }


ROLES: dict[str, Callable[[], Role]] = {
    "discovery": DiscoveryRole,
    "hollow": HollowRole,
    "application": ApplicationRole,
}


class Child:
    """A process with a role, from here."""

    async def start(self, role: str, tree: pathlib.Path) -> Child:
        env = {**os.environ, "PYTHONPATH": f"{tree}{os.pathsep}{HERE}", "PYTHONHASHSEED": "0"}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__).resolve()),
            "--role",
            role,
            cwd=tree,
            env=env,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            limit=1 << 26,
        )
        return self

    async def do(self, what: str, **told: Any) -> Any:
        """Have it do something; its answer."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps({"do": what, **told}).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f"{what}: the process has ended")
        return json.loads(line)

    async def kill(self) -> None:
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


async def all_do(children: list[Child], what: str, **told: Any) -> list[Any]:
    """Have all do the same at once."""
    return list(await asyncio.gather(*(child.do(what, **told) for child in children)))


class Point:
    """So many hollow sidecars, so many servers in the list."""

    def __init__(self, sidecars: int, servers: int, chosen: argparse.Namespace) -> None:
        self.sidecars, self.servers, self.chosen = sidecars, servers, chosen
        self.draw = random.Random(chosen.seed)
        self.rows: list[dict[str, Any]] = []
        self.failures: list[str] = []
        self.memory: dict[str, float] = {}

    async def play(self) -> None:
        """All of it; processes end with it."""
        self.children: list[Child] = []
        self.real: asyncio.subprocess.Process | None = None
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._begin(pathlib.Path(folder))
                await self._events()
            finally:
                for child in self.children:
                    await child.kill()
                if self.real is not None:
                    with contextlib.suppress(ProcessLookupError):
                        self.real.kill()
                    await self.real.wait()

    async def _child(self, role: str, tree: pathlib.Path) -> Child:
        child = await Child().start(role, tree)
        self.children.append(child)
        return child

    async def _begin(self, folder: pathlib.Path) -> None:
        chosen = self.chosen
        self.application = await self._child("application", HERE)
        self.backend = (await self.application.do("begin"))["port"]
        self.discovery = await self._child("discovery", HERE)
        begun = await self.discovery.do("begin", port=0, servers=self.servers, backend=self.backend)
        self.port = begun["port"]
        self.alone = await self._child("hollow", chosen.tree)
        shared = [await self._child("hollow", chosen.tree) for _ in range(chosen.helpers)]
        self.hollow = [self.alone, *shared]
        counts = [1, *((self.sidecars - 1 + turn) // chosen.helpers for turn in range(chosen.helpers))]
        first = 0
        # The one alone is the last: with a fault planted in number 0, a shared one has it.
        for child, count in zip([*shared, self.alone], [*counts[1:], counts[0]], strict=True):
            await child.do(
                "begin",
                count=count,
                first=first,
                port=self.port,
                mode=chosen.mode,
                seed=chosen.seed,
                fault=chosen.fault,
            )
            first += count
        assert first == self.sidecars
        self.empty = [(await child.do("figures"))["rss"] for child in shared]
        before = [(await child.do("figures"))["cpu_s"] for child in (*self.hollow, self.discovery)]
        await asyncio.sleep(LEAST_S)
        after = [(await child.do("figures"))["cpu_s"] for child in (*self.hollow, self.discovery)]
        spent = [(b - a) / LEAST_S for a, b in zip(before, after, strict=True)]
        self.base_hollow, self.base_discovery = sum(spent[:-1]), spent[-1]  # a core, for looking whether it stalls
        if chosen.real:
            await self._real(folder)

    async def _real(self, folder: pathlib.Path) -> None:
        chosen = self.chosen
        with socket.socket() as found:
            found.bind(("127.0.0.1", 0))
            port = found.getsockname()[1]
        # It starts with one server: the rest comes from discovery, as with the hollow ones.
        known = {
            "index": 0,
            "snapshot": True,
            "endpoints": [
                {
                    "name": name_of(0),
                    "address": f"127.0.0.1:{self.backend}",
                    "zone": "a",
                    "type": "m",
                    "group": 0,
                    "status": "SERVING",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            ],
        }
        path = folder / "config.json"
        path.write_text(
            json.dumps(
                {
                    "name": "real",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{self.port}",
                    "seed": "7",
                    "limits": {"sockets": 1024},
                    "known": known,
                    "settings": settings(chosen.mode),
                }
            )
        )
        env = {**os.environ, "NODE_CONFIG": str(path), "TMPDIR": str(folder), "PYTHONPATH": str(chosen.tree)}
        self.real = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rosechute.sidecar", cwd=chosen.tree, env=env, stderr=subprocess.DEVNULL
        )
        await self.application.do("load", port=port, per_s=chosen.per_s, seed=chosen.seed)

    def _real_rss(self) -> float:
        if self.real is None:
            return math.nan
        with open(f"/proc/{self.real.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _real_cpu_s(self) -> float:
        if self.real is None:
            return math.nan
        with open(f"/proc/{self.real.pid}/stat", encoding="ascii") as file:
            fields = file.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def _events(self) -> None:
        chosen = self.chosen
        zone = [number for number in range(self.servers) if number % len(ZONES) == 1]
        parts = chosen.events
        await self._event("all start", self._start, born=True)
        held = [(await child.do("figures"))["rss"] for child in self.hollow[1:]]
        self.memory = {
            "hollow_mb": (sum(held) - sum(self.empty)) / 1e6 / max(1, self.sidecars - 1),
            "empty_mb": statistics.fmean(self.empty) / 1e6,
            "real_mb": self._real_rss(),
        }
        if "nothing" in parts:
            await self._event("nothing", lambda: asyncio.sleep(chosen.idle_s))
        for turn in range(chosen.changes if "change" in parts else 0):
            status = "DRAINING" if turn % 2 == 0 else "SERVING"
            await self._event("one change", lambda status=status: self._change([0], status))
        if "zone" in parts:
            await self._event("a zone leaves", lambda: self._change(zone, "DELETED", 1.0))
            await self._event("a zone comes back", lambda: self._change(zone, "SERVING", 1.0))
        away = self.draw.sample([n for n in range(1, self.servers) if n % len(ZONES) != 1], 2)
        if "back" in parts:
            await self._event("discovery back", lambda: self._killed(away[0], True))
        if "renumbered" in parts:
            await self._event("back, renumbered", lambda: self._killed(away[1], False))
        if "restart" in parts:
            await self._event("all restarted", self._start, born=True)
            held = [(await child.do("figures"))["rss"] for child in self.hollow[1:]]
            self.memory["hollow_after_mb"] = (sum(held) - sum(self.empty)) / 1e6 / max(1, self.sidecars - 1)
        self.memory["real_after_mb"] = self._real_rss()

    async def _start(self) -> None:
        await all_do(self.hollow, "start", over_s=1.0)

    async def _change(self, numbers: list[int], status: str, over_s: float = 0.0) -> float:
        return float((await self.discovery.do("change", numbers=numbers, status=status, over_s=over_s))["end"])

    async def _killed(self, gone: int, numbers_kept: bool) -> float:
        """Discovery ends, a server goes meanwhile, and it is back; when it was."""
        known = await self.discovery.do("list")
        at = await self.discovery.do("figures")
        self.lost_cpu, self.lost_bytes = self.lost_cpu + at["cpu_s"], self.lost_bytes + at["bytes"]
        self.lost_calls += at["calls"]
        self.children.remove(self.discovery)
        await self.discovery.kill()
        down = time.monotonic()
        self.discovery = await self._child("discovery", HERE)
        await asyncio.sleep(max(0.0, down + DOWN_S - time.monotonic()))
        await self.discovery.do(
            "begin",
            port=self.port,
            servers=self.servers,
            backend=self.backend,
            lines=known["lines"],
            index=known["index"] if numbers_kept else 0,
            gone=gone,
        )
        return time.monotonic()

    async def _totals(self) -> dict[str, float]:
        told = await self.discovery.do("figures")
        shared = await all_do(self.hollow, "figures")
        return {
            "calls": told["calls"] + self.lost_calls,
            "bytes": told["bytes"] + self.lost_bytes,
            "disc_s": told["cpu_s"] + self.lost_cpu,
            "cpu_s": sum(one["cpu_s"] for one in shared),
            "real_s": self._real_cpu_s(),
            "stall": shared[0]["stalled_s"] * 1e3,
            "shared": max(one["stalled_s"] for one in shared[1:]) * 1e3,
        }

    async def _event(self, name: str, work: Callable[[], Awaitable[Any]], born: bool = False) -> None:
        """Let something happen, wait until it is in force everywhere, and check."""
        chosen = self.chosen
        self.lost_cpu = self.lost_bytes = self.lost_calls = 0.0
        before = await self._totals()
        start = time.monotonic()
        since = await work()
        known = await self.discovery.do("list")
        waited = await all_do(self.hollow, "wait", index=known["index"], limit_s=chosen.limit_s)
        await asyncio.sleep(max(0.0, start + LEAST_S - time.monotonic()))
        after = await self._totals()
        seconds = time.monotonic() - start
        told = await self.application.do("window", start=start)
        since = float(since) if isinstance(since, float) else start
        took = [
            max(0.0, at - (birth if born else since))
            for one in waited
            for at, birth in zip(one["at"], one["born"], strict=True)
        ]
        asleep = name == "nothing"
        if len(took) < self.sidecars:
            self.failures.append(
                f"{name}: not in force at {self.sidecars - len(took)} of {self.sidecars} after {chosen.limit_s:g} s"
            )
        await asyncio.sleep(GRACE_S)
        wrong = [text for one in await all_do(self.hollow, "check", lines=known["lines"]) for text in one["wrong"]]
        self.failures += [f"{name}: {text}" for text in wrong]
        share = self.sidecars * seconds
        asking = (self.sidecars + (self.real is not None)) * seconds  # the real one asks, too
        self.rows.append(
            {
                "event": name,
                "s": seconds,
                "took": [] if asleep else took,
                "late": 0 if asleep else sum(one > TOLD_S for one in took) + self.sidecars - len(took),
                "msgs/s": (after["calls"] - before["calls"]) / asking,
                "B/s": (after["bytes"] - before["bytes"]) / asking,
                "ms/s": (after["cpu_s"] - before["cpu_s"] - self.base_hollow * seconds) / share * 1e3,
                "disc. core": (after["disc_s"] - before["disc_s"]) / seconds - self.base_discovery,
                "disc. KB/s": (after["bytes"] - before["bytes"]) / seconds / 1e3,
                "real ms/s": (after["real_s"] - before["real_s"]) / seconds * 1e3,
                "stall ms": after["stall"],
                "shared ms": after["shared"],
                "real p99 ms": told["p99"],
                "longest ms": told["max"],
                "check": "ok" if not wrong and len(took) == self.sidecars else "FAILED",
                "real calls": told["calls"],
                "real served": told["served"],
            }
        )


def merged(rows: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The same event played several times is one row: all its sidecars, the mean of rates, the longest stall."""
    made: dict[str, list[dict[str, Any]]] = {}
    for row in rows:
        made.setdefault(row["event"], []).append(row)
    out = []
    for name, same in made.items():
        took = [one for row in same for one in row["took"]]
        seconds = sum(row["s"] for row in same)
        out.append(
            {
                "event": name if len(same) == 1 else f"{name}, {len(same)} times",
                "s": seconds,
                "p50": quantile(took, 0.5),
                "p99": quantile(took, 0.99),
                "last": max(took, default=math.nan),
                **{key: sum(row[key] for row in same) for key in ("late", "real calls", "real served")},
                **{
                    key: sum(row[key] * row["s"] for row in same) / seconds
                    for key in ("msgs/s", "B/s", "ms/s", "disc. core", "disc. KB/s", "real ms/s")
                },
                **{
                    key: max(row[key] for row in same)
                    for key in ("stall ms", "shared ms", "real p99 ms", "longest ms")
                },
                "check": "ok" if all(row["check"] == "ok" for row in same) else "FAILED",
            }
        )
    return out


def table(point: Point) -> str:
    """A point's rows and what stands beside them."""
    lines = [
        f"\n{point.sidecars:,} sidecars, {point.servers:,} servers\n",
        "| " + " | ".join(HEAD) + " |",
        "| --- |" + " --- |" * (len(HEAD) - 1),
    ]
    digits = {"s": 2, "p50": 3, "p99": 3, "last": 3, "late": 0, "msgs/s": 2, "B/s": 0, "ms/s": 2, "disc. core": 3}
    rows = merged(point.rows)
    for row in rows:
        cells = [row[key] if isinstance(row[key], str) else f"{row[key]:,.{digits.get(key, 1)}f}" for key in HEAD]
        lines.append("| " + " | ".join("-" if cell == "nan" else cell for cell in cells) + " |")
    calls, served = (sum(row[key] for row in rows) for key in ("real calls", "real served"))
    lines.append(
        "\n"
        + ", ".join(f"{key.removesuffix('_mb')} {value:.2f} MB" for key, value in point.memory.items())
        + f"; calls through the real one: {calls:,}, served {served:,}"
    )
    lines += [f"FAILED {text}" for text in point.failures[:12]]
    if len(point.failures) > 12:
        lines.append(f"FAILED and {len(point.failures) - 12} more")
    return "\n".join(lines)


async def measure(chosen: argparse.Namespace) -> list[Point]:
    """All points, one after the other."""
    points = []
    for sidecars, servers in chosen.point:
        point = Point(sidecars, servers, chosen)
        await point.play()
        print(table(point), flush=True)
        points.append(point)
    return points


def options(arguments: list[str] | None = None) -> argparse.Namespace:
    """What was asked for."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--point", nargs=2, type=int, action="append", metavar=("SIDECARS", "SERVERS"))
    parser.add_argument("--mode", choices=("ask", "push"), default="ask")
    parser.add_argument("--helpers", type=int, default=2, help="processes that hollow sidecars share")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=4)
    parser.add_argument("--idle-s", type=float, default=5.0)
    parser.add_argument("--limit-s", type=float, default=60.0, help="after which a change must be in force")
    parser.add_argument("--per-s", type=float, default=264.0, help="calls a second through the real sidecar")
    parser.add_argument("--no-real", dest="real", action="store_false")
    parser.add_argument("--events", nargs="+", choices=EVENTS, default=EVENTS, help="after the start")
    parser.add_argument("--fault", choices=("", "stale"), default="", help="planted in the first sidecar")
    parser.add_argument("--tree", type=pathlib.Path, default=HERE, help="the checkout that sidecars come from")
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--role", choices=tuple(ROLES), help=argparse.SUPPRESS)
    chosen = parser.parse_args(arguments)
    chosen.tree = chosen.tree.resolve()
    chosen.point = chosen.point or (QUICK if chosen.quick else POINTS)
    if chosen.quick:
        chosen.changes, chosen.idle_s = 2, 3.0
        chosen.events = [event for event in chosen.events if event != "renumbered"]
    return chosen


async def act(role: str) -> None:
    """Be one of the processes."""
    await ROLES[role]().run()


def main() -> int:
    chosen = options()
    if chosen.role:
        from rosechute import native

        native.install_finder()
        import gc

        import uvloop

        from rosechute.proxy.core.log import setup

        setup(level="error")
        if chosen.role == "hollow":
            import rosechute.load_balancing.rules  # noqa: F401 - what is loaded is no part of a sidecar's memory
            import rosechute.sidecar.discovery  # noqa: F401
        gc.freeze()
        uvloop.run(act(chosen.role))
        return 0
    import uvloop

    with open("/proc/meminfo", encoding="ascii") as file:
        total = int(file.readline().split()[1]) / (1 << 20)
    built = subprocess.run([sys.executable, str(chosen.tree / "deploy" / "compile.py"), "--check"]).returncode == 0
    plain = os.environ.get("ROSECHUTE_PLAIN") == "1" or not built
    print(
        f"{'plain' if plain else 'compiled'}, {chosen.mode}, seed {chosen.seed}, {chosen.helpers} processes for "
        f"the hollow, {os.cpu_count()} cores, {total:.0f} GiB, load before {os.getloadavg()[0]:.1f}, "
        f"Python {sys.version.split()[0]}"
    )
    points = uvloop.run(measure(chosen))
    print(f"\nload after {os.getloadavg()[0]:.1f}; failures: {sum(len(point.failures) for point in points)}")
    if chosen.json:
        chosen.json.write_text(
            json.dumps(
                [
                    {
                        "sidecars": p.sidecars,
                        "servers": p.servers,
                        "rows": merged(p.rows),
                        "memory": p.memory,
                        "failures": p.failures,
                    }
                    for p in points
                ]
            )
        )
    return 1 if any(point.failures for point in points) else 0


if __name__ == "__main__":
    sys.exit(main())

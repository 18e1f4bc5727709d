"""How soon restarted sidecars are ready: many processes started at once on one core, discovery up, down or slow.

    python -m benchmarks.restart [--count 30] [--rounds 3] [--core N] [--servers 200] [--plain]

For each way that discovery can be: seconds from a process's start to its first 200 at `/-/ready` (p50, p90, max over
all processes and rounds), and the processor time that it had used by then. All processes of a round share the one
core that they are bound to, so each has 1/count of it; on a machine of its own with a share of a core, a start takes
the processor time over the share.

- up: answers at once
- down: nothing listens at its address
- silent: connections come up and no call is ever answered
- overbooked: one call in five is answered, two seconds late; the others get 503 after as long

The operators want nine in ten restarted processes ready within 10 s.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import math
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
LOOK_S = 0.02  # between looks at a process that is not ready
LATE_S = 2.0  # how long an overbooked discovery takes
WHOLE_S = 120.0  # a process that is not ready by then never is
TICKS = os.sysconf("SC_CLK_TCK")
STATES = ("up", "down", "silent", "overbooked")
READY = b"GET /-/ready HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n"


class Start(NamedTuple):
    """One process's start, in seconds."""

    ready_s: float
    cpu_s: float


def settings(servers: int) -> tuple[dict[str, Any], dict[str, Any]]:
    """The settings and the list that every process starts with."""
    raw = {
        "classes": [{"name": "rooms", "onTimeNs": 400_000_000, "hardLimitNs": 1_000_000_000, "repeat": "free"}],
        "failureDomains": ["a", "b"],
        "kinds": ["m"],
        "discovery": "subscribe",
        "limits": {"maxAttempts": 3, "connectTimeoutNs": 250_000_000},
    }
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": f"s-{i}",
                "address": f"127.0.0.1:{1 + i}",
                "zone": "ab"[i % 2],
                "type": "m",
                "group": i // 2,
                "status": "SERVING",
                "weight": 1.0,
                "since_ms": 0,
            }
            for i in range(servers)
        ],
    }
    return raw, known


class Discovery:
    """A discovery in one of `STATES`."""

    def __init__(self, state: str, known: dict[str, Any]) -> None:
        self._state, self._body = state, json.dumps(known).encode()
        self._calls = itertools.count()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._server: asyncio.Server | None = None
        self.calls = 0

    async def start(self) -> int:
        """Its port."""
        if self._state == "down":
            return free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """End, with all that is on."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                if self._state == "silent" or b"wait_ms=0" not in head and b"after=" in head:
                    await asyncio.sleep(WHOLE_S)
                status, body = 200, self._body
                if self._state == "overbooked":
                    await asyncio.sleep(LATE_S)
                    status, body = (200, self._body) if next(self._calls) % 5 == 4 else (503, b"")
                writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body))
        writer.close()


def free_port() -> int:
    """A port of the loopback address that nobody listens on."""
    with socket.socket() as made:
        made.bind(("127.0.0.1", 0))
        return int(made.getsockname()[1])


def cpu_s(pid: int) -> float:
    """Processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def spawn(env: dict[str, str], core: int | None) -> subprocess.Popen[bytes]:
    """Start a sidecar, bound to a core: it takes over what this thread is bound to."""
    before = os.sched_getaffinity(0)
    try:
        if core is not None:
            os.sched_setaffinity(0, {core})
        return subprocess.Popen(
            [sys.executable, "-m", "rosechute.sidecar"], cwd=ROOT, env=env, stderr=subprocess.DEVNULL
        )
    finally:
        os.sched_setaffinity(0, before)


async def ready(process: subprocess.Popen[bytes], port: int, since: float, whole_s: float) -> Start:
    """Look until a process says that it is ready. Raises RuntimeError where it ends before."""
    while time.monotonic() - since < whole_s:
        if process.poll() is not None:
            raise RuntimeError(f"a process ended with {process.returncode}")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(READY)
                first = await reader.readline()
            finally:
                writer.close()
            if b" 200 " in first:
                return Start(time.monotonic() - since, cpu_s(process.pid))
        await asyncio.sleep(LOOK_S)
    raise RuntimeError(f"not ready after {whole_s:.0f} s")


async def round_of(
    state: str, count: int, core: int | None, servers: int, plain: bool, whole_s: float = WHOLE_S
) -> list[Start]:
    """Start that many processes at once, and see each become ready. They have all ended on return.

    Raises RuntimeError where one ends, or is not ready `whole_s` after its start.
    """
    raw, known = settings(servers)
    discovery = Discovery(state, known)
    place = await discovery.start()
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            looks = []
            for number in range(count):
                port = free_port()
                path = Path(folder, f"{number}.json")
                path.write_text(
                    json.dumps(
                        {
                            "name": f"n{number}",
                            "listen": f"127.0.0.1:{port}",
                            "discovery": f"127.0.0.1:{place}",
                            "seed": f"{number + 1:x}",
                            "limits": {"memory_mb": 192, "sockets": 1024},
                            "known": known,
                            "settings": raw,
                        }
                    ),
                    encoding="utf-8",
                )
                env = {**os.environ, "NODE_CONFIG": str(path), **({"ROSECHUTE_PLAIN": "1"} if plain else {})}
                since = time.monotonic()
                processes.append(spawn(env, core))
                looks.append(ready(processes[-1], port, since, whole_s))
            return list(await asyncio.gather(*looks))
        finally:
            for process in processes:
                if process.poll() is None:
                    process.send_signal(signal.SIGKILL)
                process.wait()
            discovery.stop()


def quantile(values: Sequence[float], share: float) -> float:
    """The least value that so many are at or under."""
    ranked = sorted(values)
    return ranked[math.ceil(len(ranked) * share - 1e-9) - 1]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--count", type=int, default=30)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--core", type=int, default=max(os.sched_getaffinity(0)), help="which one they share")
    parser.add_argument("--servers", type=int, default=200, help="in the list")
    parser.add_argument("--plain", action="store_true", help="from the sources, also where they are compiled")
    chosen = parser.parse_args()
    print(
        f"{chosen.count} processes at once on core {chosen.core}, {chosen.rounds} rounds, "
        f"{chosen.servers} servers in the list{', plain' if chosen.plain else ''}"
    )
    print(f"{'discovery':12}{'p50 s':>9}{'p90 s':>9}{'max s':>9}{'CPU a start, s':>16}{'in 10 s':>10}")
    for state in STATES:
        starts: list[Start] = []
        for _ in range(chosen.rounds):
            starts += asyncio.run(round_of(state, chosen.count, chosen.core, chosen.servers, chosen.plain))
        times = [start.ready_s for start in starts]
        spent = sum(start.cpu_s for start in starts) / len(starts)
        in_time = sum(1 for at in times if at <= 10.0)
        print(
            f"{state:12}{quantile(times, 0.5):9.2f}{quantile(times, 0.9):9.2f}{max(times):9.2f}{spent:16.3f}"
            f"{in_time:6}/{len(times)}",
            flush=True,
        )


if __name__ == "__main__":
    main()

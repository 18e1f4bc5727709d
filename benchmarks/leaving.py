"""How soon a client's leaving is noticed, with many whose connections are not read from and a loop that is busy.

    python -m benchmarks.leaving [--clients 500] [--turns 0 10 40 120] [--seconds 6]

Each client sends 12 requests at once, so that its connection is no longer read from while they wait in order, and
leaves at a random time, by a close or a reset; clients and servers are processes of their own. The sidecar's loop is
kept busy by turns of so many ms, one after another. For each length of a turn:

- noticed: ms from the close to the end of the client's request at the sidecar (p50, p99, max)
- late: attempts that came to a server more than 0.1 s after their client's close, of so many that left
- look: ms of processor time that one look at all of them takes, and all looks of a second
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import random
import socket
import struct
import sys
import time
from multiprocessing.connection import Connection
from typing import Any

from rosechute.load_balancing import Settings
from rosechute.proxy.core.address import Address
from rosechute.proxy.http1.listener import DISCONNECT_POLL_S
from rosechute.proxy.http1.message import Message
from rosechute.sidecar.config import Config
from rosechute.sidecar.sidecar import Sidecar

AHEAD = 12  # requests that each client sends at once
SERVE_S = 0.02
LOOKS = 50  # that are timed
LATE_S = 0.1
SECOND = 10**9
SETTINGS: dict[str, Any] = {
    "classes": [{"name": "once", "onTimeNs": 50 * SECOND, "hardLimitNs": 60 * SECOND, "repeat": "single_shot"}],
    "failureDomains": ["a"],
    "kinds": ["m"],
    "discovery": "subscribe",
    "limits": {"maxAttempts": 3, "connectTimeoutNs": SECOND},
    "invariants": {"drainGraceNs": SECOND},
}


class Noticing:
    """The sidecar as its connections see it, with the time at which each client's leaving shows."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar
        self.at: dict[int, float] = {}

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sidecar, name)

    def hangup(self, message: Message) -> None:
        rid = message.header(b"x-request-id")
        if rid is not None:
            self.at.setdefault(int(rid.split(b"-")[0]), time.monotonic())
        self._sidecar.hangup(message)


def servers(pipe: Connection) -> None:
    """One booking server, in a process of its own: tells its port, then when which request came."""
    asyncio.run(_serve(pipe))


async def _serve(pipe: Connection) -> None:
    came: list[tuple[str, float]] = []

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                came.append((head.partition(b"x-request-id: ")[2].partition(b"\r\n")[0].decode(), time.monotonic()))
                await asyncio.sleep(SERVE_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    pipe.send(server.sockets[0].getsockname()[1])
    await asyncio.to_thread(pipe.recv)
    pipe.send(came)


def clients(pipe: Connection, port: int, number: int, seconds: float, seed: int) -> None:
    """All clients: come, wait to be told, leave one by one, and tell when."""
    draw = random.Random(seed)
    held: list[socket.socket] = []
    for i in range(number):
        held.append(socket.create_connection(("127.0.0.1", port)))
        held[-1].sendall(
            b"".join(
                b"POST /once HTTP/1.1\r\nHost: app\r\nX-Request-ID: %d-%d\r\nContent-Length: 0\r\n\r\n" % (i, n)
                for n in range(AHEAD)
            )
        )
    pipe.send("all here")
    pipe.recv()
    start, left = time.monotonic(), {}
    for at, i in sorted((draw.uniform(0.0, seconds), i) for i in range(number)):
        time.sleep(max(0.0, start + at - time.monotonic()))
        if draw.random() < 0.5:
            held[i].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        left[i] = time.monotonic()
        held[i].close()
    pipe.send(left)


async def measure(args: argparse.Namespace, turn_s: float) -> dict[str, Any]:
    """One row."""
    loop, fork = asyncio.get_running_loop(), multiprocessing.get_context("spawn")
    here, there = fork.Pipe()
    serving = fork.Process(target=servers, args=(there,))
    serving.start()
    port = await asyncio.to_thread(here.recv)
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": "s1",
                "address": f"127.0.0.1:{port}",
                "zone": "a",
                "type": "m",
                "group": 0,
                "status": "SERVING",
                "weight": 1.0,
                "since_ms": 0,
            }
        ],
    }
    sidecar = Sidecar(
        Config("n0", Address("127.0.0.1", 0), Address("127.0.0.1", 1), 7, 4096, known, Settings.parse(SETTINGS)), loop
    )
    listening = await sidecar.start()
    noticing = Noticing(sidecar)
    sidecar._listener.service = noticing
    ours, theirs = fork.Pipe()
    coming = fork.Process(target=clients, args=(theirs, listening, args.clients, args.seconds, args.seed))
    coming.start()
    await asyncio.to_thread(ours.recv)
    await asyncio.sleep(0.5)
    paused = len(sidecar._listener.paused)
    start = time.process_time()
    for _ in range(LOOKS):
        sidecar._listener.check_paused()
    cost = (time.process_time() - start) / LOOKS * 1e3

    def burn() -> None:
        end = time.perf_counter() + turn_s
        while time.perf_counter() < end:
            pass
        loop.call_later(0.001, burn)

    if turn_s:
        burn()
    ours.send("go")
    left: dict[int, float] = await asyncio.to_thread(ours.recv)
    await asyncio.sleep(0.5)
    here.send("end")
    came = await asyncio.to_thread(here.recv)
    for process in (serving, coming):
        process.join()
    delays = sorted(1e3 * (noticing.at[i] - at) for i, at in left.items() if i in noticing.at)
    late = sum(at > left[int(rid.split("-")[0])] + LATE_S for rid, at in came)
    return {
        "turn_ms": round(turn_s * 1e3),
        "paused": paused,
        "noticed": len(delays),
        "left": len(left),
        "p50": round(pick(delays, 0.5), 1),
        "p99": round(pick(delays, 0.99), 1),
        "max": round(delays[-1], 1),
        "late": late,
        "attempts": len(came),
        "look_ms": round(cost, 3),
        "looks_ms_a_second": round(cost / DISCONNECT_POLL_S, 1),
    }


def pick(values: list[float], part: float) -> float:
    return values[min(len(values) - 1, int(part * len(values)))]


def main() -> None:
    import uvloop

    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--turns", type=float, nargs="+", default=[0, 10, 40, 120])
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for turn in args.turns:
        print(json.dumps(uvloop.run(measure(args, turn / 1e3))), file=sys.stdout, flush=True)


if __name__ == "__main__":
    main()

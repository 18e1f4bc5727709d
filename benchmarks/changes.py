"""What news of the server list costs, as the list grows: one change, a zone's worth, a whole list again.

    python -m benchmarks.changes [--plain] [--servers 450 1800 7200] [--module]

The first table is the decision module alone, in wall time. The second is a sidecar without clients that watches a
scripted discovery over loopback, in a process of its own; a turn of its loop is counted in the processor time of its
thread, as the machine may be busy, and "nothing" is the longest turn while nothing is told. Medians, and the longest.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gc
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from rosechute import native

SECOND = 1_000_000_000
ZONES = 5
CHANGES = 200
NEWS = ("whole", "some", "ones", "whole", "zone", "zone back", "zone gone", "whole")
RAW = {
    "classes": [{"name": "a", "onTimeNs": SECOND, "hardLimitNs": 2 * SECOND, "repeat": "free"}],
    "failureDomains": [f"z{i}" for i in range(ZONES)],
    "kinds": ["m"],
    "discovery": "subscribe",
}


def line(i: int, **changes: Any) -> dict[str, Any]:
    return {
        "name": f"booking-{i:05d}.svc",
        "zone": f"z{i % ZONES}",
        "type": "m",
        "group": i % 40 + 1,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 0,
        "address": f"127.1.{i >> 8 & 255}.{i & 255}:8080",
        **changes,
    }


def timed(work: Callable[[], object]) -> float:
    start = time.perf_counter()
    work()
    return time.perf_counter() - start


def module(servers: int) -> None:
    from rosechute.load_balancing.interface import Directory, Settings
    from rosechute.load_balancing.rules import Balancer
    from rosechute.sidecar.discovery import read_listing

    settings = Settings.parse(RAW)
    body = json.dumps({"index": 1, "snapshot": True, "endpoints": [line(i) for i in range(servers)]})
    reads = [timed(lambda: read_listing(json.loads(body), settings)) for _ in range(5)]
    lists = [tuple(one.entry for one in read_listing(json.loads(body), settings).lines) for _ in range(2)]
    balancer = Balancer(settings, 7, SECOND)
    first = timed(lambda: balancer.handle(SECOND, Directory("FULL", lists[0])))
    again = [timed(lambda: balancer.handle(SECOND, Directory("FULL", lists[1]))) for _ in range(9)]
    ones = []
    for i in range(2 * CHANGES):  # one drains and comes back as another process, by turns
        entry = lists[0][i // 2 * 37 % servers]
        entry = entry._replace(started_ns=SECOND + i) if i % 2 else entry._replace(lifecycle="draining")
        ones.append(timed(lambda entry=entry: balancer.handle(2 * SECOND, Directory("INCREMENTAL", (entry,)))))
    zone = [
        timed(lambda entry=entry: balancer.handle(2 * SECOND, Directory("INCREMENTAL", (entry,))))
        for entry in (e._replace(lifecycle="removed") for e in lists[0][2::ZONES])
    ]
    print(
        f"| {servers:,} | {len(body) // 1000:,} | {statistics.median(reads) * 1e3:.1f} | {first * 1e3:.1f} | "
        f"{statistics.median(again) * 1e3:.2f} | {statistics.median(ones) * 1e6:.1f} | {max(ones) * 1e6:.0f} | "
        f"{len(zone):,}: {sum(zone) * 1e3:.1f} | {max(zone) * 1e3:.2f} |",
        flush=True,
    )


# --- a sidecar


async def serve(servers: int) -> None:
    """Discovery: answers each watch with the next of what "/put/..." has asked for."""
    answers: asyncio.Queue[bytes] = asyncio.Queue()
    index = 1

    def put(lines: list[dict[str, Any]], whole: bool = False) -> None:
        nonlocal index
        index += 1
        answers.put_nowait(json.dumps({"index": index, "snapshot": whole, "endpoints": lines}).encode())

    def news(what: str) -> None:
        zone = range(2, servers, ZONES)
        if what in ("whole", "some"):
            put([line(i, since_ms=7 * (what == "some" and i % 100 == 0)) for i in range(servers)], True)
        elif what == "ones":
            for i in range(CHANGES):
                put([line(i // 2 * 37 % servers, status="SERVING" if i % 2 else "DRAINING")])
        elif what == "zone":
            for i in zone:
                put([line(i, status="DRAINING")])
        else:
            put([line(i, since_ms=9, status="DELETED" if what == "zone gone" else "SERVING") for i in zone])

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1].decode()
                body = b""
                if target.startswith("/put/"):
                    news(target[5:].replace("_", " "))
                else:
                    body = await answers.get()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    server = await asyncio.start_server(talk, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


async def sidecar(servers: int, port: int) -> None:
    from rosechute.load_balancing.interface import Settings
    from rosechute.proxy.core.address import Address
    from rosechute.sidecar.config import Config
    from rosechute.sidecar.sidecar import Sidecar

    loop = asyncio.get_running_loop()
    known = {"index": 0, "snapshot": True, "endpoints": []}
    made = Sidecar(
        Config(
            "n0",
            Address("127.0.0.1", 0),
            Address("127.0.0.1", port),
            7,
            1024,
            known,
            Settings.parse(RAW),
            None,
            memory_mb=192,
        ),
        loop,
    )
    await made.start()
    gc.collect()
    gc.freeze()
    took: list[float] = []
    take = made._apply_list

    def watched(listing: Any, scope: str) -> None:
        start = time.thread_time()
        take(listing, scope)
        took.append(time.thread_time() - start)

    made._apply_list = watched  # type: ignore[method-assign]

    async def longest_turn(work: Callable[[], Awaitable[None]]) -> float:
        last, most, on = time.thread_time(), 0.0, True

        def turn() -> None:
            nonlocal last, most
            now = time.thread_time()
            last, most = now, max(most, now - last)
            if on:
                loop.call_soon(turn)

        loop.call_soon(turn)
        await work()
        on = False
        await asyncio.sleep(0.01)
        return most

    async def play(what: str) -> None:
        count = {"ones": CHANGES, "zone": len(range(2, servers, ZONES))}.get(what, 1)
        until = (made._list_version if made._list_version > 0 else 1) + count
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /put/%s HTTP/1.1\r\n\r\n" % what.replace(" ", "_").encode())
        while made._list_version < until:
            await asyncio.sleep(0.001)
        writer.close()

    nothing = [await longest_turn(lambda: asyncio.sleep(0.15)) for _ in range(10)]
    print(f"| {servers:,} | nothing | | | {statistics.median(nothing) * 1e3:.2f}, at most {max(nothing) * 1e3:.2f} |")
    for what in ("first", *NEWS):
        took.clear()
        most = await longest_turn(lambda what=what: play("whole" if what == "first" else what))
        print(
            f"| {servers:,} | {what} | {sum(took) * 1e3:.2f} | {max(took) * 1e3:.3f} | {most * 1e3:.2f} |", flush=True
        )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--plain", action="store_true", help="the modules from their sources")
    parser.add_argument("--servers", nargs="+", type=int, default=[450, 1800, 7200])
    parser.add_argument("--module", action="store_true", help="the first table only")
    parser.add_argument("--serve", type=int, help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.serve:
        asyncio.run(serve(chosen.serve))
        return
    if not chosen.plain and not native.install_finder():
        sys.exit("nothing was compiled from these sources: run deploy/build.sh, or choose --plain")
    print(
        "| servers | KB | read, ms | first, ms | again, ms | one change, us | longest | a zone, one by one, ms "
        "| longest |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |", flush=True)
    for servers in chosen.servers:
        module(servers)
    if chosen.module:
        return
    import uvloop

    print("\n| servers | news | taken up in all, ms | a piece at most | longest turn |")
    print("| --- | --- | --- | --- | --- |", flush=True)
    for servers in chosen.servers:
        discovery = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.changes", "--serve", str(servers)], stdout=subprocess.PIPE
        )
        try:
            assert discovery.stdout is not None
            uvloop.run(sidecar(servers, int(discovery.stdout.readline())))
        finally:
            discovery.kill()
            discovery.wait()


if __name__ == "__main__":
    main()

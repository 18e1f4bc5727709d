"""What a list of servers costs one sidecar, by the length of the list. No network, one core.

    python -m benchmarks.slopes [--runs 1] [--plain] [--tree FOLDER] [--sizes 100 450 1800 7200] [--json FILE]

Each size is a process of its own. `--tree` measures the packages of another checkout by this same script, so that
before and after can be told apart; `--plain` loads its sources, else what its build has compiled. Times are medians
of the processor time of one thread, in milliseconds where nothing else is said: the machine may be busy with other
things, which then cost caches but no time. "stall" is the longest turn of the loop in a whole sidecar without
traffic, from an answer of discovery until it is in force. Memory is by `tracemalloc`, in a process of its own, as it
slows all else down. Beside the points: a line through them by least squares for each figure, and the largest distance
of a point from it, as a share of the largest point.
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import pathlib
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("a", "b", "c", "d", "e")
SETTINGS = {
    "classes": [
        {"name": "hold", "onTimeNs": 600_000_000, "hardLimitNs": 1_200_000_000, "repeat": "single_shot"},
        {"name": "list", "onTimeNs": 400_000_000, "hardLimitNs": 1_500_000_000, "repeat": "free"},
    ],
    "discovery": "subscribe",
    "failureDomains": list(ZONES),
    "kinds": ["m"],
    "limits": {
        "maxAttempts": 5,
        "secondCopies": True,
        "retryAfter": True,
        "maxRetryAfterNs": 1_200_000_000,
        "connectTimeoutNs": 250_000_000,
        "cancel": True,
        "connIdleNs": 30_000_000_000,
    },
    "invariants": {
        "drainGraceNs": 250_000_000,
        "coldFrom": 0.1,
        "coldNs": 4_000_000_000,
        "fallMultiple": 3.0,
        "fallNs": 1_500_000_000,
    },
}
CALLS = 20_000
SQUARED = ("zone_one_by_one",)  # by the length of the list for each line that changes, which are a fifth of it
UNITS = {
    "whole_bytes": "B",
    "change_bytes": "B",
    "figures_bytes": "B",
    "call_us": "us",
    "module_mb": "MB",
    "lines_mb": "MB",
    "targets_mb": "MB",
    "parse_peak_mb": "MB",
}


def line(index: int, **more: Any) -> dict[str, Any]:
    """One line of the list, as discovery tells it: a fifth of the servers in each zone."""
    return {
        "name": f"s-{index * 2654435761 % 2**32:08x}",
        "address": f"10.1.{index // 250}.{index % 250}:3000",
        "zone": ZONES[index % len(ZONES)],
        "type": "m",
        "group": index % 16,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": 0,
        **more,
    }


def body(lines: list[dict[str, Any]], index: int, whole: bool) -> bytes:
    """An answer of discovery, without spaces."""
    return json.dumps({"index": index, "snapshot": whole, "endpoints": lines}, separators=(",", ":")).encode()


def timed(work: Callable[[], Any]) -> float:
    """Milliseconds of processor time that `work` takes, once."""
    start = time.thread_time_ns()
    work()
    return (time.thread_time_ns() - start) / 1e6


def times(size: int, seed: int) -> dict[str, float]:
    """Milliseconds at one size, and bytes."""
    import asyncio

    from rosechute.load_balancing.interface import Accept, Directory, Hangup, How, Response, Settings, Submit
    from rosechute.load_balancing.rules import Balancer
    from rosechute.proxy.http1.upstream import Upstream
    from rosechute.sidecar.discovery import read_listing
    from rosechute.sidecar.stats import Gauges, Stats

    settings = Settings.parse(SETTINGS)
    draw = random.Random(seed)
    lines = [line(i) for i in range(size)]
    whole = body(lines, 1, True)
    some = body([line(0, status="DRAINING")], 2, False)
    figures = Stats(f"class-{i}" for i in range(5)).render(Gauges(0, size, 0))  # what operators read
    found: dict[str, float] = {"whole_bytes": len(whole), "change_bytes": len(some), "figures_bytes": len(figures)}
    rounds = 5 if size > 2000 else 9

    def directory(scope: str, raw: bytes) -> Directory:
        listing = read_listing(json.loads(raw), settings)
        return Directory(scope, tuple(told.entry for told in listing.lines), listing.version)

    found["json"] = statistics.median(timed(lambda: json.loads(whole)) for _ in range(rounds))
    found["parse"] = statistics.median(
        timed(lambda: read_listing(json.loads(whole), settings)) for _ in range(rounds)
    )
    first, again = [], []
    now = 10**18
    for _ in range(rounds):
        module = Balancer(settings, seed, now)
        event, same = directory("FULL", whole), directory("FULL", whole)
        first.append(timed(lambda module=module, event=event: module.handle(now, event)))
        again.append(timed(lambda module=module, same=same: module.handle(now + 1, same)))
    found["take_first"], found["take_again"] = statistics.median(first), statistics.median(again)

    loop = asyncio.new_event_loop()
    upstream = Upstream(loop, 250_000_000, 30_000_000_000, 1000)
    listing = read_listing(json.loads(whole), settings)

    def targets() -> None:
        for entry, address in listing.lines:
            upstream.update(entry.server, address, entry.started_ns, True)
        upstream.keep_only({told.entry.server for told in listing.lines})

    found["targets_first"], found["targets_again"] = timed(targets), timed(targets)
    found["sweep"] = statistics.median(timed(upstream._sweep) for _ in range(9))

    # One change: a server drains, and serves again; and one goes and a new one comes, which deploys bring.
    module = Balancer(settings, seed, now)
    module.handle(now, directory("FULL", whole))
    flips, swaps = [], []
    for turn in range(40):
        at = draw.randrange(size)
        for status in ("DRAINING", "SERVING"):
            event = directory("INCREMENTAL", body([line(at, status=status)], turn, False))
            now += 1_000_000
            flips.append(timed(lambda event=event, now=now: module.handle(now, event)))
        # Two changes in two events: the cost of one is half.
        gone = directory("INCREMENTAL", body([line(at, status="DELETED")], turn, False))
        comes = directory("INCREMENTAL", body([line(at, since_ms=1)], turn, False))
        now += 1_000_000
        swaps.append(timed(lambda both=(gone, comes), now=now: [module.handle(now, event) for event in both]) / 2)
    found["one_change"], found["join_or_leave"] = statistics.median(flips), statistics.median(swaps)
    found["one_change_max"] = max(flips)

    found["census"] = statistics.median(timed(lambda now=now: module.census(now)) for _ in range(9))

    # A zone: told one by one, and as one answer.
    zone = [i for i in range(size) if i % len(ZONES) == 1]
    events = [directory("INCREMENTAL", body([line(i, status="DELETED")], i, False)) for i in zone]
    found["zone_one_by_one"] = timed(lambda: [module.handle(now, event) for event in events])
    back = directory("INCREMENTAL", body([line(i, since_ms=2) for i in zone], 5, False))
    found["zone_back_as_one"] = timed(lambda: module.handle(now, back))

    module = Balancer(settings, seed, now)
    module.handle(now, directory("FULL", whole))
    start = time.thread_time_ns()
    for number in range(CALLS):
        tid = f"r{number}"
        now += 3_800_000  # 264 a second
        for action in module.handle(now, Accept(tid, number % 2, 1_000_000_000)):
            if isinstance(action, Submit):
                module.handle(now + 500_000, Response(tid, How.OK, 500_000, action.server, 0, True))
                break
        else:
            module.handle(now, Hangup(tid))
    found["call_us"] = (time.thread_time_ns() - start) / CALLS / 1e3
    loop.close()
    return found


def stalls(size: int, seed: int) -> dict[str, float]:
    """Milliseconds of processor time of the longest turn of the loop in a whole sidecar, from discovery's answer to
    all of it being in force: a list where none was known, one change, a zone gone in one answer and back, and the
    list once more; the median of a few each. Its client is the checkout's own; only its connection is not there."""
    import asyncio

    from rosechute.load_balancing.interface import Settings
    from rosechute.proxy.core.address import Address
    from rosechute.proxy.http1.connection import Reply
    from rosechute.sidecar import discovery
    from rosechute.sidecar.config import Config
    from rosechute.sidecar.sidecar import Sidecar

    zone = [i for i in range(size) if i % len(ZONES) == 1]
    whole = [line(i) for i in range(size)]
    script = [("stall_first", body(whole, 1, True))]
    for turn in range(9):
        script.append(("stall_change", body([line(0, status=("DRAINING", "SERVING")[turn % 2])], 2 + turn, False)))
    for turn in range(20, 29, 3):
        script += [
            ("stall_zone", body([line(i, status="DELETED") for i in zone], turn, False)),
            ("stall_zone_back", body([line(i) for i in zone], turn + 1, False)),
            ("stall_again", body(whole, turn + 2, True)),
        ]
    found = [(name, [0.0]) for name, _ in script]
    script.reverse()
    now = [-1]

    class Answers:
        """In the place of the connection: what discovery says next, and after that nothing."""

        def __init__(self, *_: object) -> None:
            pass

        async def call(self, data: bytes) -> Reply:
            await asyncio.sleep(0.05)
            if not script:
                over.set()
                await asyncio.Event().wait()
            now[0] += 1
            return Reply(200, [], script.pop()[1])

        def close(self) -> None:
            pass

    def beat(before: int) -> None:
        at = time.thread_time_ns()
        if now[0] >= 0:
            longest = found[now[0]][1]
            longest[0] = max(longest[0], (at - before) / 1e6)
        loop.call_soon(beat, time.thread_time_ns())

    async def play() -> None:
        nothing = {"index": 0, "snapshot": True, "endpoints": []}
        local = Address("127.0.0.1", 0)
        sidecar = Sidecar(Config("slopes", local, local, seed, 1024, nothing, Settings.parse(SETTINGS)), loop)
        gc.freeze()  # as the program does
        sidecar.subscribe(True)
        loop.call_soon(beat, time.thread_time_ns())
        await over.wait()

    discovery._Client = Answers  # type: ignore[assignment, misc]
    loop = asyncio.new_event_loop()
    over = asyncio.Event()
    loop.run_until_complete(play())
    return {name: statistics.median(longest[0] for other, longest in found if other == name) for name, _ in found}


def memory(size: int, seed: int) -> dict[str, float]:
    """Megabytes at one size."""
    import asyncio

    from rosechute.load_balancing.interface import Directory, Settings
    from rosechute.load_balancing.rules import Balancer
    from rosechute.proxy.http1.upstream import Upstream
    from rosechute.sidecar.discovery import read_listing

    settings = Settings.parse(SETTINGS)
    whole = body([line(i) for i in range(size)], 1, True)
    loop = asyncio.new_event_loop()
    upstream = Upstream(loop, 250_000_000, 30_000_000_000, 1000)
    module = Balancer(settings, seed, 10**18)
    read_listing(json.loads(whole), settings)  # what is made once and kept is not the list's
    gc.collect()
    tracemalloc.start()
    found: dict[str, float] = {}

    def used(name: str) -> None:
        gc.collect()
        now = tracemalloc.get_traced_memory()[0]
        found[name] = (now - used.before) / 1e6
        used.before = now

    used.before = tracemalloc.get_traced_memory()[0]
    listing = read_listing(json.loads(whole), settings)
    kept = {told.entry.server: told for told in listing.lines}
    found["parse_peak_mb"] = tracemalloc.get_traced_memory()[1] / 1e6
    version = listing.version
    del listing
    used("lines_mb")
    for entry, address in kept.values():
        upstream.update(entry.server, address, entry.started_ns, True)
    used("targets_mb")
    module.handle(10**18, Directory("FULL", tuple(told.entry for told in kept.values()), version))
    used("module_mb")
    loop.close()
    return found


def fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Slope, intercept, and the largest distance of a point from the line as a share of the largest value."""
    slope, at_zero = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    off = max(abs(y - at_zero - slope * x) for x, y in points)
    return slope, at_zero, off / max((y for _, y in points), default=1.0)


def child(tree: pathlib.Path, size: int, seed: int, kind: str, plain: bool) -> dict[str, Any]:
    """Measure in a process of its own, with the packages of `tree`."""
    env = {**os.environ, "PYTHONPATH": str(tree), "PYTHONHASHSEED": "0", "ROSECHUTE_PLAIN": str(int(plain))}
    command = [sys.executable, str(pathlib.Path(__file__).resolve()), "--one", kind, str(size), "--seed", str(seed)]
    done = subprocess.run(command, cwd=tree, env=env, check=True, capture_output=True, text=True)
    return json.loads(done.stdout)  # type: ignore[no-any-return]


def one(kind: str, size: int, seed: int) -> None:
    """In the process of its own: print what was found."""
    from rosechute import native

    native.install_finder()
    found: dict[str, Any] = {"times": times, "stalls": stalls, "memory": memory}[kind](size, seed)
    found["compiled"] = native.is_compiled()
    print(json.dumps(found))


def measure(tree: pathlib.Path, sizes: list[int], seed: int, plain: bool, runs: int = 1) -> dict[int, dict[str, Any]]:
    """All figures at each size: of each the median of the runs, which take turns with the sizes."""
    taken = [{size: child(tree, size, seed, "times", plain) for size in sizes} for _ in range(runs)]
    rows: dict[int, dict[str, Any]] = {}
    for size in sizes:
        same = [one[size] for one in taken]
        rows[size] = {name: statistics.median(row[name] for row in same) for name in same[0] if name != "compiled"}
        held = [child(tree, size, seed, "stalls", plain) for _ in range(runs)]
        rows[size] |= {name: statistics.median(row[name] for row in held) for name in held[0] if name != "compiled"}
        rows[size] |= child(tree, size, seed, "memory", plain)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", nargs="+", type=int, default=[100, 450, 1800, 7200])
    parser.add_argument("--plain", action="store_true")
    parser.add_argument("--runs", type=int, default=1, help="whose median is taken of each figure")
    parser.add_argument("--tree", type=pathlib.Path, default=HERE)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=pathlib.Path)
    parser.add_argument("--one", nargs=2, help=argparse.SUPPRESS)
    chosen = parser.parse_args()
    if chosen.one:
        one(chosen.one[0], int(chosen.one[1]), chosen.seed)
        return
    rows = measure(chosen.tree.resolve(), chosen.sizes, chosen.seed, chosen.plain, chosen.runs)
    last = rows[chosen.sizes[-1]]
    load = os.getloadavg()[0]
    print(
        f"{'compiled' if last['compiled'] else 'plain'}, seed {chosen.seed}, median of {chosen.runs}, "
        f"{os.cpu_count()} cores, load {load:.1f} (of all that runs here), Python {sys.version.split()[0]}\n"
    )
    print("| figure | " + " | ".join(f"{size:,}" for size in chosen.sizes) + " | a server more | at zero | off by |")
    print("| --- |" + " --- |" * (len(chosen.sizes) + 3))
    for name in last:
        if name == "compiled":
            continue
        power = 2 if name in SQUARED else 1
        slope, at_zero, off = fit([(size**power, rows[size][name]) for size in chosen.sizes])
        unit = UNITS.get(name, "ms")
        cells = " | ".join(
            f"{rows[size][name]:,.0f}" if unit == "B" else f"{rows[size][name]:.3f}" for size in chosen.sizes
        )
        milli = f"{slope * 1e6:.1f} ns by the square" if power == 2 else f"{slope * 1e3:.3f} us"
        per = {"ms": milli, "MB": f"{slope * 1e6:,.0f} B", "B": f"{slope:.1f} B", "us": f"{slope * 1e3:.3f} ns"}[unit]
        print(
            f"| {name.removesuffix('_mb').removesuffix('_us').removesuffix('_bytes')}, {unit} | {cells} | {per} | "
            f"{at_zero:.3f} {unit} | {off:.0%} |"
        )
    if chosen.json:
        chosen.json.write_text(json.dumps(rows))


if __name__ == "__main__":
    main()

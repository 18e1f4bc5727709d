"""The router fleet's control plane at its size on one machine: hollow edges against a real chain of core processes.

    python -m benchmarks.hollow_fleet [--edges 350] [--core 8] [--listed 6800] [--rate 10] [--list-rate 4000]
                                      [--events steady release ...] [--start-s 1] [--steady-s 20] [--routes 200]
    python -m benchmarks.hollow_fleet --edges 20 --listed 130 --events steady --fault stale   a check can fail

Real: the core processes with their disks, links and reader of the list, the edges' subscribers and links, every
connection. Not there: data path, regions' distance, machines of their own. The list is the project's stand-in, with
`--list-rate` calls a second for all callers. Changes of the configuration go on all the time, at `--rate` times those
of a day.

Checked after every event: no configuration and no list goes back in the life of an edge; what was acknowledged in
calm times is in force at every edge within 5 s; every edge counts all edges; every edge holds the platform's list.
Exit status 1 if not. The run ends by itself within three minutes and leaves no process behind.

A column holds: seconds until all edges were settled; orders acknowledged, seconds from the order to that, the longest
time between two, and from there until in force, over all edges and for the last edge of each order; from a change of
the platform's list to an edge; for an edge in the mean and for the busiest one the KB/s; processor time of an edge,
the leader and the mean other core machine; the longest that an edge did not know its configuration to be the newest,
and for how long edges had no lease on it, summed. "waited": the share of the time in which a process was ready to run
and got no processor; where it is not small, the machine is what is slow.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.fitting import machine as machine_told
from benchmarks.fleet_size import SIZE, ZONES, configuration, servers
from benchmarks.hollow_checks import IN_FORCE_S, Acknowledged, Log, counted, late, never_back, same_list
from benchmarks.hollow_core import Core, waited_s
from benchmarks.hollow_list import LargeList
from benchmarks.hollow_meter import Meter
from rosechute.coordination.replica_state import load_replica_state
from rosechute.fakes.fleet.operator import Operator
from rosechute.fakes.fleet.platform import Instance
from rosechute.storage.files import DiskDirectory
from rosechute.storage.record_store import RecordStore

LIMIT_S = 175.0
WORKERS = 6
LINE_BYTES = 1 << 27
SETTLE_WITHIN_S = 25.0
LOOK_S = 0.25
COUNT_S = 1.2  # until a change of the count of edges is known
MOST_TOLD = 5
RELEASE_S, DRAIN_S = 10.0, 3.0
RACK = 40
AWAY_S = 8.0
EVENTS = ("steady", "release", "rack", "zone", "half", "edges", "core", "wiped")


@dataclass(slots=True)
class Row:
    """One event."""

    name: str
    seconds: float
    settled_s: float
    cells: dict[str, float]
    problems: list[str] = field(default_factory=list)


class Workers:
    """The processes of the hollow edges."""

    def __init__(self, network: int, edges: int, fault: str) -> None:
        self.told: list[list[dict[str, str]]] = [[] for _ in range(WORKERS)]
        for number in range(edges):
            zone = number % len(ZONES)
            one = {
                "name": f"edge-{ZONES[zone]}-{number:03d}",
                "zone": ZONES[zone],
                "ip": f"127.{network}.{10 + zone}.{number // len(ZONES) + 1}",
            }
            if fault and number == edges // 2:
                one["fault"] = fault
            self.told[number % WORKERS].append(one)
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, seeds: list[str]) -> None:
        """Start the processes, not the edges."""
        for edges in self.told:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "benchmarks.hollow_edges",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=LINE_BYTES,
            )
            assert process.stdin is not None
            process.stdin.write(json.dumps({"seeds": seeds, "edges": edges}).encode() + b"\n")
            self.processes.append(process)

    async def ask(self, **command: Any) -> list[Any]:
        """One command to all."""

        async def one(process: asyncio.subprocess.Process) -> Any:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(json.dumps(command).encode() + b"\n")
            return json.loads(await process.stdout.readline())

        return await asyncio.gather(*(one(process) for process in self.processes))

    def waited_s(self) -> float:
        """For how long the processes have waited for a processor."""
        return sum(waited_s(process.pid) for process in self.processes if process.returncode is None)

    async def stop(self) -> None:
        """End the processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


class Run:
    """One run."""

    def __init__(self, options: argparse.Namespace, folder: Path) -> None:
        self.options = options
        self.network = 221 + os.getpid() % 30
        self.list = LargeList(options.list_rate)
        self.folder = folder
        self.workers = Workers(self.network, options.edges, options.fault)
        self.log = Log()
        self.orders: list[Acknowledged] = []
        self.sent = 0
        self.failed_orders = 0
        self.late: list[str] = []
        self._judged = 0  # orders
        self.rows: list[Row] = []
        self.troubled_until = 0.0
        self.began = time.monotonic()
        self.meter = Meter()

    async def play(self) -> None:
        """Start all, and play the events."""
        for one in servers(self.options.listed):
            self.list.put(Instance(id=one.id, service=one.service, address=one.address, zone=one.zone, slots=64))
        address = await self.list.start(f"127.{self.network}.1.1")
        self.core = Core(self.folder, self.network, address, self.options.list_rate, self.options.core)
        self.operator = Operator(self.core.controls())
        try:
            for each in self.core.machines:
                await self.core.start(each)
            await self.workers.start(self.core.seeds())
            await self._first_configuration()
            await self._event("all start", self._all_start)
            ordering = asyncio.create_task(self._order())
            try:
                for name in self.options.events:
                    await self._event(name, getattr(self, f"_{name}"))
            finally:
                ordering.cancel()
        finally:
            await self.workers.stop()
            await self.core.stop()
            await self.list.stop()

    # --- orders

    async def _first_configuration(self) -> None:
        self.wanted = msgspec.json.decode(configuration(self.options.routes, self.options.tenants))
        await self._replace(0)
        self.tell(f"first configuration after {time.monotonic() - self.began:.1f} s")

    async def _replace(self, base: int) -> None:
        sent_at = time.monotonic()
        self.sent += 1
        outcome = await self.operator.replace(self.wanted, base, 20.0)
        now = time.monotonic()
        if outcome.status == 200:
            calm = now > self.troubled_until
            self.orders.append(Acknowledged(self.wanted["config_version"], sent_at, now, calm))
        else:
            self.failed_orders += 1
            self.tell(f"order {self.wanted['config_version']}: status {outcome.status} after {outcome.calls} calls")

    async def _order(self) -> None:
        """Changes at an even pace; those that come late follow at once."""
        pause = 1.0 / (SIZE.changes_per_s * self.options.rate)
        due = time.monotonic()
        while True:
            due = max(due + pause, time.monotonic() - 1.0)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            base = self.orders[-1].version
            self.wanted["config_version"] = max(base, self.wanted["config_version"]) + 1
            self.wanted["routes"][0]["timeout_ms"] = 20_000 + self.sent
            await self._replace(base)

    # --- events

    async def _event(self, name: str, play: Callable[[], Awaitable[float]]) -> None:
        """Play one event and note what it cost."""
        await self._report()
        self.meter.begin(self.core)
        began, orders, sent = time.monotonic(), len(self.orders), self.sent
        waited = self.workers.waited_s()
        calls, refused = self.list.stats.calls, self.list.stats.refused
        changed_at = await play()
        settled_s = await self._settled(changed_at)
        await asyncio.sleep(COUNT_S)
        await self._report()
        seconds = time.monotonic() - began
        changes = {key: at for key, at in self.list.changes.items() if at >= began}
        cells = self.meter.figures(self.core, self.log, self.orders[orders:], changes, seconds)
        cells["edges waited %"] = 100 * (self.workers.waited_s() - waited) / WORKERS / seconds
        cells |= {
            "orders sent": self.sent - sent,
            "list calls/s": (self.list.stats.calls - calls) / seconds,
            "list calls refused": self.list.stats.refused - refused,
        }
        problems = [*never_back(self.log), *counted(self.meter.edges)]
        if not self.options.no_list:
            problems += same_list(self.meter.edges, self.list.listed())
        self._judge()
        self.rows.append(Row(name, seconds, settled_s, cells, problems))
        told = ", ".join(f"{key} {_short(value)}" for key, value in cells.items())
        self.tell("; ".join([f"{name}: settled after {settled_s:.2f} s", told, *problems]))

    def _judge(self) -> None:
        """Whether orders were in force in time. The newest are judged after the next event."""
        old = [order for order in self.orders if order.at < time.monotonic() - IN_FORCE_S]
        self.late += late(self.log, old[self._judged :])
        self._judged = len(old)

    def _trouble(self, seconds: float) -> None:
        """Orders acknowledged from now on, and for so long, are not judged by the bound, but still measured. Nor are
        those of the last seconds before."""
        now = time.monotonic()
        self.troubled_until = max(self.troubled_until, now + seconds)
        for order in self.orders:
            if order.at > now - 5.0:
                order.calm = False

    async def _all_start(self) -> float:
        started = await self.workers.ask(do="start", over_s=self.options.start_s)
        return max(one["at"] for one in started)

    async def _steady(self) -> float:
        await asyncio.sleep(self.options.steady_s)
        return time.monotonic()

    async def _release(self) -> float:
        """Half of a model's servers drain one after the other, go, and come back under other names."""
        half = [one for one in self.list.instances.values() if one.service == "model-00"]
        half = half[: len(half) // 2]
        fresh = servers(self.options.listed + len(half) * SIZE.services)[self.options.listed :: SIZE.services]
        waiting: list[tuple[float, Instance, str]] = []
        began = time.monotonic()
        for number, one in enumerate(half):
            await self._until(began + RELEASE_S * number / len(half))
            self.list.leave(one.id)
            waiting.append((time.monotonic() + DRAIN_S, one, fresh[number].id))
            while waiting and waiting[0][0] <= time.monotonic():
                self._replaced(*waiting.pop(0)[1:])
        for at, one, name in waiting:
            await self._until(at)
            self._replaced(one, name)
        return time.monotonic()

    @staticmethod
    async def _until(at: float) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    def _replaced(self, one: Instance, name: str) -> None:
        gone = self.list.end(one.id)
        self.list.show(Instance(id=name, service=gone.service, address=gone.address, zone=gone.zone, slots=64))

    async def _rack(self) -> float:
        """Servers of one zone end at once."""
        for one in [one for one in self.list.instances.values() if one.zone == ZONES[1]][:RACK]:
            self.list.end(one.id)
        return time.monotonic()

    async def _zone(self) -> float:
        """A zone is lost, with its edges, servers and core machines, and comes back."""
        zone = ZONES[0]
        self._trouble(AWAY_S + 12.0)
        gone = [one for one in self.list.instances.values() if one.zone == zone]
        for one in gone:
            self.list.end(one.id)
        away = [each for each in self.core.machines if each.zone == zone]
        await asyncio.gather(*(self.core.kill(each) for each in away))
        await self.workers.ask(do="stop", zone=zone)
        await asyncio.sleep(AWAY_S)
        for each in away:
            await self.core.start(each)
        for one in gone:
            self.list.show(one)
        await self.workers.ask(do="start", zone=zone, over_s=1.0)
        return time.monotonic()

    async def _half(self) -> float:
        """Half of the core stands still, as it would beyond a cut between the regions, and goes on."""
        self._trouble(AWAY_S + 10.0)
        away = [each for each in self.core.machines if each.zone in ZONES[2:]]
        for each in away:
            self.core.freeze(each, True)
        await asyncio.sleep(AWAY_S)
        for each in away:
            self.core.freeze(each, False)
        return time.monotonic()

    async def _edges(self) -> float:
        """All edges are restarted."""
        self._trouble(6.0)
        await self.workers.ask(do="stop")
        await self.workers.ask(do="start", over_s=1.0)
        return time.monotonic()

    async def _core(self) -> float:
        """All core machines are killed and started again."""
        self._trouble(12.0)
        await asyncio.gather(*(self.core.kill(each) for each in self.core.machines))
        for each in self.core.machines:
            await self.core.start(each)
        return time.monotonic()

    async def _wiped(self) -> float:
        """A machine of the chain's middle loses its disk: seconds until it is in the chain again."""
        self._trouble(12.0)
        victim = self.core.machines[-1]
        await self.core.kill(victim, wipe=True)
        began = time.monotonic()
        await self.core.start(victim)
        while time.monotonic() - began < SETTLE_WITHIN_S:
            await asyncio.sleep(0.05)
            place, length, size = self._chain(victim.data)
            if place >= 0:
                self.tell(
                    f"wiped: in the chain at place {place + 1} of {length} after "
                    f"{time.monotonic() - began:.2f} s, with {size} bytes of configuration"
                )
                break
        return began

    @staticmethod
    def _chain(data: Path) -> tuple[int, int, int]:
        """Place in the chain by the records on a disk, or -1; length of the chain; bytes of the configuration."""
        try:
            opened = RecordStore.open(DiskDirectory(str(data)))
            memory = load_replica_state(opened.unwrap()[1])
        except Exception:  # it is being written
            return -1, 0, 0
        own = memory.machine.id if memory.machine is not None else ""
        place = memory.view.chain.index(own) if own in memory.view.chain else -1
        return place, len(memory.view.chain), len(memory.committed.body)

    # --- measuring

    async def _report(self) -> None:
        told = await self.workers.ask(do="report")
        self.meter.add(told)
        self.log.add(self.meter.edges)

    def _behind(self, version: int) -> list[str]:
        """Why the edges are not settled."""
        running = [edge for edge in self.meter.edges if edge["running"]]
        known = {name: entries[-1][2] for name, entries in self.log.in_force.items() if entries}
        missing = sum(known.get(edge["name"], 0) < version or not edge["attached"] for edge in running)
        problems = [f"{missing} edges are behind or not attached"] if missing else []
        return problems + ([] if self.options.no_list else same_list(running, self.list.listed()))

    async def _settled(self, changed_at: float) -> float:
        """Wait until every edge that runs holds what was acknowledged by now, and the list; seconds until then."""
        version, began = self.orders[-1].version, time.monotonic()
        while time.monotonic() - began < SETTLE_WITHIN_S:
            await self._report()
            problems = self._behind(version)
            if not problems:
                return (
                    max(time.monotonic() - LOOK_S if not self.meter.list_at else self.meter.list_at, changed_at)
                    - changed_at
                )
            await asyncio.sleep(LOOK_S)
        self.tell(f"not settled within {SETTLE_WITHIN_S:g} s: {'; '.join(problems)}")
        return float("inf")

    def tell(self, text: str) -> None:
        """Print with the time."""
        print(f"{time.monotonic() - self.began:6.1f} s  {text}", file=sys.stderr, flush=True)

    def problems(self) -> list[str]:
        """Everything that did not hold."""
        found = [f"{row.name}: {problem}" for row in self.rows for problem in row.problems]
        found += self.late[:MOST_TOLD]
        if len(self.rows) < 1 + len(self.options.events):
            found.append("the run did not come to its end")
        return found


def table(rows: Sequence[Row]) -> str:
    """All events; one column each."""
    lines = ["| figure | " + " | ".join(row.name for row in rows) + " |", "| --- " * (len(rows) + 1) + "|"]
    lines.append("| seconds | " + " | ".join(f"{row.seconds:.1f}" for row in rows) + " |")
    lines.append("| settled after, s | " + " | ".join(f"{row.settled_s:.2f}" for row in rows) + " |")
    for key in rows[0].cells if rows else ():
        lines.append(f"| {key} | " + " | ".join(_short(row.cells[key]) for row in rows) + " |")
    lines.append("| checks | " + " | ".join("FAILED" if row.problems else "ok" for row in rows) + " |")
    return "\n".join(lines)


def _short(value: float) -> str:
    if value != value:
        return "-"
    return f"{value:,.0f}" if abs(value) >= 100 or value == int(value) else f"{value:.3g}"


def arguments_of(arguments: Sequence[str] | None) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--edges", type=int, default=SIZE.edges)
    parser.add_argument("--core", type=int, default=SIZE.core_machines)
    parser.add_argument("--listed", type=int, default=SIZE.servers)
    parser.add_argument("--rate", type=float, default=10.0, help="over the changes of a day")
    parser.add_argument("--list-rate", type=float, default=4000.0, help="calls a second that the list takes")
    parser.add_argument("--no-list", action="store_true", help="do not wait for the list, nor check it")
    parser.add_argument("--routes", type=int, default=200)
    parser.add_argument("--tenants", type=int, default=SIZE.tenants)
    parser.add_argument("--start-s", type=float, default=1.0, help="over which the edges start")
    parser.add_argument("--steady-s", type=float, default=20.0)
    parser.add_argument("--events", nargs="*", default=list(EVENTS), choices=EVENTS)
    parser.add_argument("--fault", default="", choices=("", "stale", "back", "list", "uncounted"))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--logs", type=Path, help="folder to which the core's logs are copied")
    return parser.parse_args(arguments)


async def _play(run: Run) -> None:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):  # so that nothing is left behind
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            await run.play()
    except (TimeoutError, asyncio.CancelledError):
        run.tell(f"ended before its end, after {time.monotonic() - run.began:.0f} s")


def _keep_logs(wanted: Path | None, folder: Path) -> None:
    if wanted is not None:
        wanted.mkdir(exist_ok=True)
        for log in folder.glob("*.log"):
            shutil.copy(log, wanted)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run, print the table and what did not hold."""
    options = arguments_of(arguments)
    with tempfile.TemporaryDirectory(prefix="rosechute-hollow-") as folder:
        run = Run(options, Path(folder))
        try:
            asyncio.run(_play(run))
        finally:
            _keep_logs(options.logs, Path(folder))
    print(
        f"{options.edges} hollow edges in {WORKERS} processes, {options.core} core processes, {options.listed} "
        f"servers, {options.routes} routes, {options.tenants} tenants; {machine_told()}\n\n{table(run.rows)}\n"
    )
    problems = run.problems()
    print("\n".join(f"FAILED  {problem}" for problem in problems) or "every check holds")
    if options.json:
        rows = [
            {"name": row.name, "seconds": row.seconds, "settled_s": row.settled_s, **row.cells} for row in run.rows
        ]
        options.json.write_text(json.dumps(rows, indent=1) + "\n")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

"""A run whose sidecars are processes: the rest of the world is the model's, played in real time on loopback."""

from __future__ import annotations

import asyncio
import gc
import tempfile
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import BinaryIO, NamedTuple

from rosechute.load_balancing.interface import Directory
from rosechute.sidecar.operator_configuration.problems import FileError, Problem
from rosechute.simulation.draw import Streams
from rosechute.simulation.figures import Figures
from rosechute.simulation.host import Host
from rosechute.simulation.instance import Request
from rosechute.simulation.judge import Judge
from rosechute.simulation.real.asking import SLACK_NS, Sidecar
from rosechute.simulation.real.process import Process, free_ports
from rosechute.simulation.real.pump import Pump
from rosechute.simulation.real.serving import Listening
from rosechute.simulation.run import Run, concluded
from rosechute.simulation.server import Server
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import INSTANCE, Reader
from rosechute.simulation.world import TAIL_NS, World, settings

MOST_RATE, MOST_SERVERS, MOST_INSTANCES, LONGEST_NS = 2000.0, 100, 64, 600_000_000_000
AT_A_TIME = 8  # processes that start at once
KEPT_NS = 5_000_000_000  # for how long after its client's time a request may still be seen at a server
UNREAL = {"partition": "the loopback can't be parted", "one-way-cut": "the loopback can't be cut one way"}


class Played(NamedTuple):
    """A run in real time, and how far its own bench lagged behind the times that it should have kept."""

    run: Run
    lag_p99_ms: float
    lag_max_ms: float


def playable(scenario: Scenario) -> None:
    """Raise FileError with all that keeps a scenario from being played against real processes."""
    found = [
        Problem(f"fault[{i}].kind", fault.kind, f"only the model can play it: {UNREAL[fault.kind]}")
        for i, fault in enumerate(scenario.faults)
        if fault.kind in UNREAL
    ]
    for path, value, most in (
        ("clients.rate", scenario.clients.rate, MOST_RATE),
        ("fleet.servers", scenario.fleet.servers, MOST_SERVERS),
        ("instances.count", scenario.instances.count, MOST_INSTANCES),
    ):
        if value > most:
            found.append(Problem(path, value, f"up to {most:g} are played against real processes"))
    if scenario.duration > LONGEST_NS:
        found.append(Problem("duration", f"{scenario.duration / 1e9:g}s", "a real run takes up to 10m"))
    if found:
        raise FileError(found)


class RealWorld(World):
    """Servers, network, discovery's queue, clients and faults are the model's; sidecars and sockets are real."""

    block = 128  # judged in a millisecond or two: whoever judges longer reads the next answers late

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        folder: Path,
        readers: Iterable[Reader] = (),
        file: BinaryIO | None = None,
    ) -> None:
        self._folder = folder
        self._requests: dict[str, tuple[Request, Sidecar]] = {}
        self._processes: dict[tuple[str, int], int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wall = time.time_ns()
        super().__init__(scenario, "module", seed, readers, file)

    def _hosts(self, streams: Streams, by_name: dict[str, Server]) -> Sequence[Host]:
        scenario, fleet = self.scenario, self.scenario.fleet
        self.pump = Pump(self.engine)
        self._streams = streams
        self._by_name = by_name
        self.listeners = [Listening(self, server, fleet) for server in self.servers]
        for listener in self.listeners:
            listener.open()
        self.sidecars = [
            Sidecar(i, i % fleet.zones, self.engine, self.pump, self.trace, scenario.classes, self)
            for i in range(scenario.instances.count)
        ]
        return self.sidecars

    # --- what servers and sidecars need

    def asked(self, rid: str) -> tuple[Request, int, int] | None:
        found = self._requests.get(rid)
        return (found[0], found[1].number, found[1].zone) if found is not None else None

    def taken(self, request: Request, by: Sidecar) -> None:
        """A client has asked: servers may see this request from now on, until long after its time."""
        self._requests[request.tid] = request, by
        self.engine.at(request.until + KEPT_NS, self._forget, request.tid)

    def _forget(self, tid: str) -> None:
        self._requests.pop(tid, None)

    def place(self, server: str) -> tuple[int, int, int]:
        found = self._by_name[server]
        since_ms = (self._wall + found.started) // 1_000_000 if found.started else 0
        self._processes[server, since_ms] = found.started
        return found.number, self.listeners[found.number].port, since_ms

    def started(self, server: str, since_ms: int) -> int:
        return self._processes.get((server, since_ms), 0)

    def watch(self, instance: int) -> None:
        if not self.listing.watches(instance):
            self.pump.act(lambda number: self.listing.subscribe(number, True), instance)

    def _tell(self, number: int, news: Directory) -> None:
        if news.scope != "FAILED":
            self.instances[number].hear(news)

    # --- what happens to processes

    def _stop(self, server: Server) -> None:
        server.stop()
        self.listeners[server.number].close()

    def _start(self, server: Server) -> None:
        server.start()
        self.listeners[server.number].open()

    def _back(self, instance: Host) -> None:
        sidecar = self.sidecars[instance.number]
        self._tasks.add(asyncio.get_running_loop().create_task(self._revive(sidecar)))

    async def _revive(self, sidecar: Sidecar) -> None:
        assert sidecar.process is not None
        await sidecar.process.gone()
        await sidecar.process.start(sidecar.discovery.whole())
        self.pump.act(self._revived, sidecar)

    def _revived(self, sidecar: Sidecar) -> None:
        self.trace.add((self.engine.now, INSTANCE, sidecar.number, 1))
        sidecar.start()
        self.clients.up.append(sidecar)

    # --- the run

    async def real(self) -> str:
        """Play it in real time, then on until all has ended; the trace's digest.

        Raises RuntimeError where a sidecar does not come up.
        """
        try:
            await self._begin()
            gc.disable()  # a collection takes 100 ms, in which nothing is read; what ends here leaves no cycles
            self._wall = time.time_ns()
            self.pump.start()
            end = int(self.scenario.duration)
            await self.pump.until(end)
            self.clients.stopped = True
            await self.pump.until(end + max(c.deadline for c in self.scenario.classes) + TAIL_NS)
        finally:
            gc.enable()
            self.pump.stop()
            for task in self._tasks:
                task.cancel()
            for sidecar in self.sidecars:
                sidecar.close()
            for listener in self.listeners:
                listener.close()
            for sidecar in self.sidecars:
                if sidecar.process is not None:
                    await sidecar.process.gone()
            broken = [task.exception() for task in self._tasks if task.done() and not task.cancelled()]
        for error in broken:
            if error is not None:
                raise error
        self.trace.flush()
        return self.trace.digest()

    async def _begin(self) -> None:
        for listener in self.listeners:
            await listener.opened()
        ports = free_ports(len(self.sidecars))
        gate = asyncio.Semaphore(AT_A_TIME)

        async def begin(sidecar: Sidecar, port: int) -> None:
            async with gate:
                sidecar.discovery.refuses = lambda: bool(self.listing.down)
                discovery = await sidecar.discovery.start()
                folder = self._folder / str(sidecar.number)
                folder.mkdir()
                number = sidecar.number
                sidecar.join(
                    Process(
                        folder,
                        f"lab-{number}",
                        port,
                        discovery,
                        settings(self.scenario, number, sidecar.zone),
                        self._streams.number(f"policy/{number}/1"),
                    )
                )
                assert sidecar.process is not None
                await sidecar.process.start(sidecar.discovery.whole())
                sidecar.start()

        async with asyncio.TaskGroup() as group:
            for sidecar, port in zip(self.sidecars, ports, strict=True):
                group.create_task(begin(sidecar, port))


async def real(scenario: Scenario, seed: int = 1, file: BinaryIO | None = None) -> Played:
    """Play a scenario against real processes, in real time. Raises FileError where that can't be done."""
    playable(scenario)
    figures, judge = Figures(scenario), Judge(scenario, SLACK_NS)
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        world = RealWorld(scenario, seed, Path(folder), (figures, judge), file)
        digest = await world.real()
    return Played(
        concluded(digest, judge, figures, world.engine.played), world.pump.lag_ms(99), world.pump.lag_ms(100)
    )

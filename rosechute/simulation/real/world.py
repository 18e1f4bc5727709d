"""Run with real sidecar processes; all other components are simulated in real time on the loopback interface."""

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
from rosechute.simulation.real.serving import Listener
from rosechute.simulation.run import Run, concluded
from rosechute.simulation.server import Server
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import INSTANCE, Reader
from rosechute.simulation.world import TAIL_NS, World, settings

MAX_RATE_PER_S, MAX_SERVERS, MAX_INSTANCES, MAX_DURATION_NS = 2000.0, 100, 64, 600_000_000_000
MAX_CONCURRENT_STARTS = 8  # processes
REQUEST_RETENTION_NS = 5_000_000_000  # how long after its client timeout a request may still reach a server
UNSUPPORTED_FAULTS = {
    "partition": "the loopback interface cannot be partitioned",
    "one-way-cut": "the loopback interface cannot be cut in one direction",
}


class Played(NamedTuple):
    """Result of a real-time run, with the delay of the test driver's own events."""

    run: Run
    lag_p99_ms: float
    lag_max_ms: float


def playable(scenario: Scenario) -> None:
    """Check that a scenario can be run against real processes.

    Raises:
        FileError: The scenario is too large or has an unsupported fault; lists all problems.
    """
    found = [
        Problem(f"fault[{i}].kind", fault.kind, f"supported only in the simulation: {UNSUPPORTED_FAULTS[fault.kind]}")
        for i, fault in enumerate(scenario.faults)
        if fault.kind in UNSUPPORTED_FAULTS
    ]
    for path, value, maximum in (
        ("clients.rate", scenario.clients.rate, MAX_RATE_PER_S),
        ("fleet.servers", scenario.fleet.servers, MAX_SERVERS),
        ("instances.count", scenario.instances.count, MAX_INSTANCES),
    ):
        if value > maximum:
            found.append(Problem(path, value, f"at most {maximum:g} with real processes"))
    if scenario.duration > MAX_DURATION_NS:
        found.append(Problem("duration", f"{scenario.duration / 1e9:g}s", "at most 10m with real processes"))
    if found:
        raise FileError(found)


class RealWorld(World):
    """World with real sidecars and sockets; servers, network, discovery queue, clients and faults are simulated."""

    block = 128  # checked in 1 to 2 ms; a larger block would delay the reading of answers

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

    def _create_instances(self, streams: Streams, by_name: dict[str, Server]) -> Sequence[Host]:
        scenario, fleet = self.scenario, self.scenario.fleet
        self.pump = Pump(self.engine)
        self._streams = streams
        self._by_name = by_name
        self.listeners = [Listener(self, server, fleet) for server in self.servers]
        for listener in self.listeners:
            listener.open()
        self.sidecars = [
            Sidecar(i, i % fleet.zones, self.engine, self.pump, self.trace, scenario.classes, self)
            for i in range(scenario.instances.count)
        ]
        return self.sidecars

    # --- interface for servers and sidecars

    def asked(self, rid: str) -> tuple[Request, int, int] | None:
        """Return the client request with this id and the number and zone of its instance, or None if unknown."""
        found = self._requests.get(rid)
        return (found[0], found[1].number, found[1].zone) if found is not None else None

    def taken(self, request: Request, by: Sidecar) -> None:
        """Register a client request until `REQUEST_RETENTION_NS` after its client timeout."""
        self._requests[request.tid] = request, by
        self.engine.at(request.until + REQUEST_RETENTION_NS, self._forget, request.tid)

    def _forget(self, tid: str) -> None:
        self._requests.pop(tid, None)

    def place(self, server: str) -> tuple[int, int, int]:
        """Return a server's number, its current port, and the start of its process in ms of the wall clock."""
        found = self._by_name[server]
        since_ms = (self._wall + found.started) // 1_000_000 if found.started else 0
        self._processes[server, since_ms] = found.started
        return found.number, self.listeners[found.number].port, since_ms

    def started(self, server: str, since_ms: int) -> int:
        """Return the start of that process in ns of the simulated clock, 0 if unknown."""
        return self._processes.get((server, since_ms), 0)

    def watch(self, instance: int) -> None:
        """Subscribe an instance to discovery if it is not subscribed."""
        if not self.listing.watches(instance):
            self.pump.act(lambda number: self.listing.subscribe(number, True), instance)

    def _deliver_update(self, number: int, update: Directory) -> None:
        if update.scope != "FAILED":
            self.instances[number].on_directory(update)

    # --- process lifetime

    def _stop(self, server: Server) -> None:
        server.stop()
        self.listeners[server.number].close()

    def _start(self, server: Server) -> None:
        server.start()
        self.listeners[server.number].open()

    def _restarted(self, instance: Host) -> None:
        sidecar = self.sidecars[instance.number]
        self._tasks.add(asyncio.get_running_loop().create_task(self._revive(sidecar)))

    async def _revive(self, sidecar: Sidecar) -> None:
        assert sidecar.process is not None
        await sidecar.process.gone()
        await sidecar.process.start(sidecar.discovery.snapshot())
        self.pump.act(self._revived, sidecar)

    def _revived(self, sidecar: Sidecar) -> None:
        self.trace.add((self.engine.now, INSTANCE, sidecar.number, 1))
        sidecar.start()
        self.clients.up.append(sidecar)

    # --- the run

    async def real(self) -> str:
        """Run in real time until all requests have ended; return the digest of the trace.

        Raises:
            RuntimeError: A sidecar did not start.
        """
        try:
            await self._begin()
            gc.disable()  # a collection would block reading for 100 ms; ended requests leave no reference cycles
            self._wall = time.time_ns()
            self.pump.start()
            end = int(self.scenario.duration)
            # An event like the arrivals: a driver that is late would let more of them in than the model.
            self.engine.at(end + 1, self._stop_clients)
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

    def _stop_clients(self, _: None) -> None:
        self.clients.stopped = True

    async def _begin(self) -> None:
        for listener in self.listeners:
            await listener.opened()
        ports = free_ports(len(self.sidecars))
        gate = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def begin(sidecar: Sidecar, port: int) -> None:
            async with gate:
                sidecar.discovery.is_refusing = lambda: bool(self.listing.down)
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
                await sidecar.process.start(sidecar.discovery.snapshot())
                sidecar.start()

        async with asyncio.TaskGroup() as group:
            for sidecar, port in zip(self.sidecars, ports, strict=True):
                group.create_task(begin(sidecar, port))


async def real(scenario: Scenario, seed: int = 1, file: BinaryIO | None = None) -> Played:
    """Run a scenario against real processes in real time.

    Raises:
        FileError: The scenario is not supported with real processes.
    """
    playable(scenario)
    figures, judge = Figures(scenario), Judge(scenario, SLACK_NS)
    with tempfile.TemporaryDirectory(prefix="lab-") as folder:
        world = RealWorld(scenario, seed, Path(folder), (figures, judge), file)
        digest = await world.real()
    return Played(
        concluded(digest, judge, figures, world.engine.played), world.pump.lag_ms(99), world.pump.lag_ms(100)
    )

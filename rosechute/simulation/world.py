"""One run: all parts of the model wired together, from a scenario, a policy's name and a seed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import BinaryIO

from rosechute.load_balancing.interface import Directory, Entry, Invariants, Limits, RequestClass, Settings, Tenant
from rosechute.simulation.clients import Clients
from rosechute.simulation.draw import Streams
from rosechute.simulation.engine import Engine
from rosechute.simulation.faults import Actor
from rosechute.simulation.host import Host
from rosechute.simulation.instance import Instance, Policy
from rosechute.simulation.listing import Listing
from rosechute.simulation.network import Paths
from rosechute.simulation.rivals import Place, make
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import BEGIN, BLOCK, DRAINING, FELL, GAUGE, GONE, INSTANCE, SERVER, UP, Reader, Trace

GAUGE_NS = 100_000_000
COLUMNS = {"none": (), "some": ("inflight", "queue", "util"), "rates": ("inflight", "queue", "util", "qps")}
TAIL_NS = 1_000_000_000  # after the last client's time: for what is still on its way


def settings(scenario: Scenario, index: int = 0, zone: int = 0) -> Settings:
    """What an instance is told, in the decision module's terms."""
    own, fleet = scenario.instances, scenario.fleet
    return Settings(
        classes=tuple(
            RequestClass(c.name, c.aim, c.deadline, c.worth, c.late_worth, c.repeat, c.group, c.window)
            for c in scenario.classes
        ),
        zones=tuple(f"z{i}" for i in range(fleet.zones)),
        zone=zone,
        kinds=("m",),
        index=index,
        replicas=own.count,
        must_ask=scenario.discovery.subscribe,
        marks_retry=True,
        warm_keys=fleet.cache > 0,
        reports=fleet.reports,
        columns=COLUMNS[fleet.reports],
        limits=Limits(
            max_attempts=own.attempts,
            second_copies=own.second_copies,
            retry_after=own.retry_after,
            max_retry_after_ns=1_200_000_000,
            conn_idle_ns=own.idle,
            connect_timeout_ns=own.connect_timeout,
            cancel=own.cancel,
            may_probe=own.probes,
        ),
        invariants=Invariants(
            cold_from=fleet.cold_from,
            cold_ns=fleet.cold,
            fall_multiple=fleet.fall_multiple,
            fall_ns=fleet.fall,
            drain_grace_ns=own.grace,
        ),
        tenants=tuple(Tenant(f"t{i}", share) for i, share in enumerate(scenario.clients.tenants)),
    )


class World:
    """A run that can be played.

    Args:
        scenario: What there is, and what goes wrong.
        policy: "module" for the decision module, else the name of a rival; see `rivals.NAMES`.
        seed: Of all chance in the run.
        readers: Called with each record, in order.
        file: Where the trace goes, if anywhere.
    """

    block = BLOCK
    """Records that are judged and counted at a time."""

    def __init__(
        self, scenario: Scenario, policy: str, seed: int, readers: Iterable[Reader] = (), file: BinaryIO | None = None
    ) -> None:
        self.scenario, self.policy, self.seed = scenario, policy, seed
        streams = Streams(seed)
        engine = self.engine = Engine()
        trace = self.trace = Trace(readers, file, self.block)
        fleet = scenario.fleet
        self.servers = [
            Server(engine, fleet, i, i % fleet.zones, self._began, self._fell) for i in range(fleet.servers)
        ]
        speeds = streams.of("speeds")
        for server in self.servers:
            server._speed = fleet.speed * (1.0 + fleet.unlike * (2.0 * speeds.uniform() - 1.0))
        by_name = {server.name: server for server in self.servers}
        self.paths = Paths(scenario.network, streams.of("network"))
        self.listing = Listing(engine, scenario.discovery, self._tell, scenario.instances.count)
        entries = [self._entry(server) for server in self.servers]
        self.listing.seed(entries)
        self.instances = self._hosts(streams, by_name)
        for server in self.servers:
            trace.add((0, SERVER, server.number, UP, server._speed * fleet.cores, fleet.cold_from))
        for instance in self.instances:
            instance.start(entries)
        self.clients = Clients(engine, scenario, streams, self.instances, trace)
        Actor(self, streams.of("faults"))
        engine.after(GAUGE_NS, self._gauge)

    def _hosts(self, streams: Streams, by_name: dict[str, Server]) -> Sequence[Host]:
        """All instances, in order of their numbers."""
        scenario, fleet, engine = self.scenario, self.scenario.fleet, self.engine

        def maker(number: int, life: int) -> Policy:
            zone = number % fleet.zones
            seed_of = streams.number(f"policy/{number}/{life}")
            return make(self.policy, Place(settings(scenario, number, zone), seed_of, engine, by_name))

        return [
            Instance(
                i,
                i % fleet.zones,
                engine,
                scenario.instances,
                by_name,
                self.paths,
                self.listing,
                self.trace,
                maker,
                fleet.reports != "none",
                int(fleet.handshake or 0),
                fleet.connections,
            )
            for i in range(scenario.instances.count)
        ]

    def play(self) -> str:
        """Play it to the end, then on until all has ended; the trace's digest."""
        self.engine.run(self.scenario.duration)
        self.clients.stopped = True
        self.engine.run(self.scenario.duration + max(c.deadline for c in self.scenario.classes) + TAIL_NS)
        self.trace.flush()
        return self.trace.digest()

    # --- what faults do

    def crash(self, number: int, pause: int | None, planned: bool = False) -> None:
        """A server process dies; another starts after the pause, if there is one. Discovery learns of both."""
        server = self.servers[number]
        if not server.up:
            return
        self._say(server, GONE)
        self._stop(server)
        server.draining = False
        self.listing.change(self._entry(server)._replace(lifecycle="removed"))
        if pause is not None:
            self.engine.after(pause, self.start, number)

    def start(self, number: int) -> None:
        """A new process, cold."""
        server = self.servers[number]
        if not server.up:
            self._start(server)
            self._say(server, UP)
            self.listing.change(self._entry(server))

    def drain(self, number: int) -> None:
        """A server is to be left alone; it goes on with what it has."""
        server = self.servers[number]
        if server.up and not server.draining:
            server.draining = True
            self._say(server, DRAINING)
            self.listing.change(self._entry(server))

    def undrain(self, number: int) -> None:
        """It takes part again."""
        server = self.servers[number]
        if server.up and server.draining:
            server.draining = False
            self.listing.change(self._entry(server))

    def restart(self, instance: Host) -> None:
        """An instance is killed, and comes back with its last list only."""
        if instance.up:
            instance.kill()
            self.clients.up.remove(instance)
            self.trace.add((self.engine.now, INSTANCE, instance.number, 0))
            self.engine.after(self.scenario.instances.restart, self._back, instance)

    def _back(self, instance: Host) -> None:
        self.trace.add((self.engine.now, INSTANCE, instance.number, 1))
        instance.start()
        self.clients.up.append(instance)

    def _stop(self, server: Server) -> None:
        server.stop()

    def _start(self, server: Server) -> None:
        server.start()

    # --- what the parts tell

    def _entry(self, server: Server) -> Entry:
        state = "draining" if server.draining else "up"
        return Entry(server.name, server.zone, 0, server.number, state, 1.0, server.started)

    def _say(self, server: Server, state: int) -> None:
        self.trace.add(
            (
                self.engine.now,
                SERVER,
                server.number,
                state,
                server._speed * self.scenario.fleet.cores,
                self.scenario.fleet.cold_from,
            )
        )

    def _tell(self, number: int, news: Directory) -> None:
        self.instances[number].hear(news)

    def _began(self, server: Server, job: Job) -> None:
        self.trace.add((self.engine.now, BEGIN, job.rid, job.number, server.number))

    def _fell(self, server: Server) -> None:
        self.engine.at(self.engine.now, self._falls, server)

    def _falls(self, server: Server) -> None:
        """It remains down, as the rule has it; discovery lists it still, since nobody told it otherwise."""
        if server.up:
            self._say(server, FELL)
            self._stop(server)

    def _gauge(self, _: None) -> None:
        self.trace.add(
            (
                self.engine.now,
                GAUGE,
                sum(s.held for s in self.servers),
                sum(len(i.requests) for i in self.instances),
                sum(s.up for s in self.servers),
            )
        )
        if self.engine.now < self.scenario.duration:
            self.engine.after(GAUGE_NS, self._gauge)

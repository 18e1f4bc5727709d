"""Simulated world: all components of the model, built from a scenario, the name of a policy and a seed."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import BinaryIO

from rosechute.load_balancing.interface import Directory, Entry, Invariants, Limits, RequestClass, Settings, Tenant
from rosechute.simulation.clients import Clients
from rosechute.simulation.draw import Streams
from rosechute.simulation.engine import Engine
from rosechute.simulation.faults import FaultInjector
from rosechute.simulation.host import Host
from rosechute.simulation.instance import Instance, Policy
from rosechute.simulation.listing import Listing
from rosechute.simulation.network import Paths
from rosechute.simulation.rivals import PolicyContext, make
from rosechute.simulation.server import Job, Server
from rosechute.simulation.spec import Scenario
from rosechute.simulation.trace import (
    BEGIN,
    BLOCK,
    CRASHED,
    DRAINING,
    GAUGE,
    INSTANCE,
    SERVER,
    STOPPED,
    UP,
    Reader,
    Trace,
)

GAUGE_NS = 100_000_000
COLUMNS = {"none": (), "some": ("inflight", "queue", "util"), "rates": ("inflight", "queue", "util", "qps")}
TAIL_NS = 1_000_000_000  # simulated time after the last client timeout, for messages in transit


def settings(scenario: Scenario, index: int = 0, zone: int = 0) -> Settings:
    """Return the load balancing settings of an instance."""
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
    """All components of one run.

    Args:
        scenario: The simulated system and its faults.
        policy: "module" for the load balancing module, else the name of a baseline policy; see `rivals.NAMES`.
        seed: Seed of all random numbers of the run.
        readers: Called with each trace record, in order.
        file: Optional file for the trace.
    """

    block = BLOCK
    """Number of trace records passed to the readers at a time."""

    def __init__(
        self, scenario: Scenario, policy: str, seed: int, readers: Iterable[Reader] = (), file: BinaryIO | None = None
    ) -> None:
        self.scenario, self.policy, self.seed = scenario, policy, seed
        streams = Streams(seed)
        engine = self.engine = Engine()
        trace = self.trace = Trace(readers, file, self.block)
        fleet = scenario.fleet
        self.servers = [
            Server(engine, fleet, i, i % fleet.zones, self._on_begin, self._on_overload) for i in range(fleet.servers)
        ]
        speeds = streams.of("speeds")
        for server in self.servers:
            server._speed = fleet.speed * (1.0 + fleet.unlike * (2.0 * speeds.uniform() - 1.0))
        by_name = {server.name: server for server in self.servers}
        self.paths = Paths(scenario.network, streams.of("network"))
        self.listing = Listing(engine, scenario.discovery, self._deliver_update, scenario.instances.count)
        entries = [self._entry(server) for server in self.servers]
        self.listing.seed(entries)
        self.instances = self._create_instances(streams, by_name)
        for server in self.servers:
            trace.add((0, SERVER, server.number, UP, server._speed * fleet.cores, fleet.cold_from))
        for instance in self.instances:
            instance.start(entries)
        self.clients = Clients(engine, scenario, streams, self.instances, trace)
        FaultInjector(self, streams.of("faults"))
        engine.after(GAUGE_NS, self._gauge)

    def _create_instances(self, streams: Streams, by_name: dict[str, Server]) -> Sequence[Host]:
        """Create all instances, in order of their numbers."""
        scenario, fleet, engine = self.scenario, self.scenario.fleet, self.engine

        def maker(number: int, life: int) -> Policy:
            zone = number % fleet.zones
            policy_seed = streams.number(f"policy/{number}/{life}")
            return make(self.policy, PolicyContext(settings(scenario, number, zone), policy_seed, engine, by_name))

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
        """Run to the end of the scenario and until all requests have ended; return the digest of the trace."""
        self.engine.run(self.scenario.duration)
        self.clients.stopped = True
        self.engine.run(self.scenario.duration + max(c.deadline for c in self.scenario.classes) + TAIL_NS)
        self.trace.flush()
        return self.trace.digest()

    # --- operations of faults

    def crash(self, number: int, pause: int | None, planned: bool = False) -> None:
        """Stop a server process and remove it from discovery; start a new one after `pause` ns, if not None."""
        server = self.servers[number]
        if not server.up:
            return
        self._record_state(server, STOPPED)
        self._stop(server)
        server.draining = False
        self.listing.change(self._entry(server)._replace(lifecycle="removed"))
        if pause is not None:
            self.engine.after(pause, self.start, number)

    def start(self, number: int) -> None:
        """Start a new, cold server process and list it in discovery."""
        server = self.servers[number]
        if not server.up:
            self._start(server)
            self._record_state(server, UP)
            self.listing.change(self._entry(server))

    def drain(self, number: int) -> None:
        """Mark a server as draining; it completes the requests that it has."""
        server = self.servers[number]
        if server.up and not server.draining:
            server.draining = True
            self._record_state(server, DRAINING)
            self.listing.change(self._entry(server))

    def undrain(self, number: int) -> None:
        """End the draining of a server."""
        server = self.servers[number]
        if server.up and server.draining:
            server.draining = False
            self.listing.change(self._entry(server))

    def restart(self, instance: Host) -> None:
        """Kill an instance and restart it later with only its last server list."""
        if instance.up:
            instance.kill()
            self.clients.up.remove(instance)
            self.trace.add((self.engine.now, INSTANCE, instance.number, 0))
            self.engine.after(self.scenario.instances.restart, self._restarted, instance)

    def _restarted(self, instance: Host) -> None:
        self.trace.add((self.engine.now, INSTANCE, instance.number, 1))
        instance.start()
        self.clients.up.append(instance)

    def _stop(self, server: Server) -> None:
        server.stop()

    def _start(self, server: Server) -> None:
        server.start()

    # --- callbacks of the components

    def _entry(self, server: Server) -> Entry:
        state = "draining" if server.draining else "up"
        return Entry(server.name, server.zone, 0, server.number, state, 1.0, server.started)

    def _record_state(self, server: Server, state: int) -> None:
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

    def _deliver_update(self, number: int, update: Directory) -> None:
        self.instances[number].on_directory(update)

    def _on_begin(self, server: Server, job: Job) -> None:
        self.trace.add((self.engine.now, BEGIN, job.rid, job.number, server.number))

    def _on_overload(self, server: Server) -> None:
        self.engine.at(self.engine.now, self._stop_overloaded, server)

    def _stop_overloaded(self, server: Server) -> None:
        """Stop an overloaded cold server for good; it stays listed, since discovery is not notified."""
        if server.up:
            self._record_state(server, CRASHED)
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

"""A simulated deployment of the distribution: core machines, edges, links with faults, clocks, and checkers.

Leadership, commits and the platform's list are scripted here; the code under test is the core machine with its
publisher, quotas and list reader, and the edge's subscriber and quota client.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from loguru import logger

from rosechute.configuration.process import Bounds
from rosechute.control_plane.endpoint_list_page import Instance
from rosechute.distribution.actions import (
    Action,
    ConfigurationChanged,
    Connection,
    DialedLink,
    EdgesTotalChanged,
    SendMessage,
    ServersChanged,
)
from rosechute.distribution.membership import EdgeIdentity
from rosechute.distribution.publisher import PublisherState
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.topics import Position, list_topic
from rosechute.messages.distribution_pb2 import Distribution
from rosechute.processes.quota_client import QuotaClient

from .distribution_checkers import CONTACT_S, Checkers
from .distribution_machines import Machine, Process, ProcessLoop, SimulatedCore, quota_issue_of
from .distribution_network import Network
from .distribution_timeline import Clock, Timeline
from .quota_world import Limit

FRESHNESS_INTERVAL_S = 0.15
CORE_TICK_S = 0.1
LEAST_SLEEP_S = 0.001
FIRST_PORTS = (7500, 7501)  # of core machines and edges
SEEDS = 3
PLATFORM_PAGES = 2
PLATFORM_S = (0.002, 0.03)  # there and back, each
BOUNDS = Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=4_000.0)
SERVICES = ("model", "listing")
TENANT = "t"
RATE = 20_000.0  # of the tenant, in tokens a second
LIMIT = Limit(RATE, RATE)


def setUpModule() -> None:
    """Of the tests that import it: what is played here would be told at length."""
    logger.disable("rosechute.control_plane")


def tearDownModule() -> None:
    """The same."""
    logger.enable("rosechute.control_plane")


@dataclass
class World:
    """Everything, in one process and on one clock."""

    seed: int
    edges: int = 6
    zones: int = 3
    core_size: int = 3
    delay_s: float = 0.0014
    loss: float = 0.0
    drift: float = 0.0  # by which two clocks run apart at most
    link_bytes_per_s: float = math.inf
    body_bytes: int = 200
    bounds: Bounds = BOUNDS
    limit: Limit = LIMIT  # of the tenant
    services: tuple[str, ...] = SERVICES  # that the platform's list names
    make_subscriber: Callable[[float, EdgeIdentity, int, list[str]], Subscriber] = Subscriber

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.checkers = Checkers(self)
        self.timeline = Timeline(self.checkers.check_all)
        self.network = Network(
            self.timeline, self.random, self.delay_s, self.loss, self._deliver, self._connection_closed
        )
        self.core = [self._machine(f"core-{number}", number, is_core=True) for number in range(self.core_size)]
        self.edge = [self._machine(f"edge-{number}", number, is_core=False) for number in range(self.edges)]
        self.leader: Machine | None = None
        self.term = 0
        self.committed: list[tuple[float, float, int]] = [(-1.0, -1.0, 0)]  # time, acknowledged at, sequence
        self.core_troubled_until = 0.0
        self.list_truth: list[tuple[float, int]] = [(-1.0, 0)]  # since when, version
        self.list_down = False
        self.platform_s = PLATFORM_S
        self.platform_calm_since = 0.0
        self.members_changed = 0.0
        for machine in [*self.core, *self.edge]:
            self.at(self.random.uniform(0.0, 0.3), lambda machine=machine: self.start(machine))  # type: ignore[misc]
        self.timeline.every(FRESHNESS_INTERVAL_S, self.tell_freshness)
        self.timeline.every(CORE_TICK_S, self._tick_core)

    # clock

    @property
    def now(self) -> float:
        return self.timeline.now

    @property
    def checks(self) -> int:
        return self.checkers.checks

    @property
    def bytes_between_zones(self) -> int:
        return self.network.bytes_between_zones

    def at(self, delay: float, call: Callable[[], None]) -> None:
        self.timeline.at(delay, call)

    def run(self, seconds: float) -> None:
        self.timeline.run(seconds)

    # machines

    def _machine(self, name: str, number: int, is_core: bool) -> Machine:
        port = FIRST_PORTS[0] if is_core else FIRST_PORTS[1]
        address = f"10.{1 if is_core else 2}.{number // 250}.{number % 250}:{port}"
        rate = 1.0 + self.drift / 2.0 * self.random.uniform(-1.0, 1.0)
        machine = Machine(
            name,
            f"zone-{number % self.zones}",
            address,
            is_core,
            Clock(self.random.uniform(0.0, 1e4), rate),
            link_bytes_per_s=self.link_bytes_per_s,
        )
        self.network.add(machine)
        return machine

    def start(self, machine: Machine) -> None:
        if machine.process is not None or machine.removed:
            return
        process = machine.process = Process(machine, self.timeline)
        if machine.starts:
            self.trouble(machine, over=True)
        machine.starts += 1
        machine.calm_since = self.now
        if machine.is_core:
            self._start_core(process)
        else:
            self._start_edge(process)

    def _start_core(self, process: Process) -> None:
        process.core = SimulatedCore(
            process, self.bounds, self._send_all, self._platform, PLATFORM_PAGES, self.random.random
        )
        self.tell_core()
        if self.knows_commits(process.machine):
            self.tell_committed(process.machine)
        self._tell_leader()

    def _start_edge(self, process: Process) -> None:
        machine = process.machine
        boot = self.random.getrandbits(62)
        identity = EdgeIdentity(machine.name, machine.zone, machine.address)
        seeds = [one.address for one in self.core if not one.removed][:SEEDS]
        subscriber = self.make_subscriber(process.local_now(), identity, boot, seeds)
        process.subscriber = subscriber
        loop: object = ProcessLoop(process)

        def send_to_leader(message: Distribution) -> None:
            if subscriber.leader is not None:
                self.network.dial(process, subscriber.leader, message)

        process.quota = QuotaClient(loop, machine.name, boot, send_to_leader, subscriber.leaderless_since)  # type: ignore[arg-type]
        self.members_changed = self.now
        self._do(process, subscriber.tick(process.local_now()))

    def kill(self, machine: Machine, restart_after: float | None = None) -> None:
        process, machine.process = machine.process, None
        self.trouble(machine, over=False)
        self.members_changed = self.now
        if process is not None:
            self.network.end(process)
        if machine is self.leader:
            self.leader = None
            self._tell_leader()
        if restart_after is not None:
            self.at(restart_after, lambda: self.start(machine))

    def freeze(self, machine: Machine, seconds: float) -> None:
        if machine.frozen:
            return
        machine.frozen = True
        self.trouble(machine, over=False)

        def thaw() -> None:
            machine.frozen = False
            self.trouble(machine, over=True)
            process = machine.process
            if process is None:
                return
            timers_first = self.random.random() < 0.5
            if timers_first:
                self._woken(process)
            process.thaw()
            if not timers_first:
                self._woken(process)

        self.at(seconds, thaw)

    def _woken(self, process: Process) -> None:
        """Its timers are due."""
        if process.subscriber is not None:
            self._wake_now(process)
        elif process.core is not None:
            process.core.turn()

    def cut(self, sources: Iterable[Machine], targets: Iterable[Machine], seconds: float, both: bool = True) -> None:
        sources, targets = list(sources), list(targets)
        paths = [(a.address, b.address) for a in sources for b in targets if a is not b]
        if both:
            paths += [(b.address, a.address) for a in sources for b in targets if a is not b]
        self.network.cut(paths, seconds)
        # whoever lost the path to the core is out of touch; the peers of a cut edge are not
        machines = list(dict.fromkeys([*sources, *targets]))
        cut_off = [one for one in machines if one in self.edge and not self.reaches_core(one)]
        core_cut = any(one.is_core for one in sources) and any(one.is_core for one in targets)
        for machine in cut_off:
            self.trouble(machine, over=False)
        if core_cut:
            self.core_cut(over=False)

        def join() -> None:
            for machine in cut_off:
                self.trouble(machine, over=True)
            if core_cut:
                self.core_cut(over=True)

        self.at(seconds, join)

    def core_cut(self, over: bool) -> None:
        """Core machines were cut off from each other, or are joined again."""
        self.core_troubled_until = self.now if over else math.inf

    def reaches_core(self, machine: Machine) -> bool:
        """Whether an edge has a path both ways to the core, as far as the rules ask for it."""
        return all(self.network.joined(machine, one) for one in self.core)

    def slow(self, machine: Machine, delay: float, seconds: float) -> None:
        machine.slow_s = delay
        self.trouble(machine, over=False)

        def over() -> None:
            machine.slow_s = 0.0
            self.trouble(machine, over=True)

        self.at(seconds, over)

    def trouble(self, machine: Machine, over: bool) -> None:
        machine.troubles += -1 if over else 1
        machine.calm_since = self.now
        if machine.is_core:
            self.core_troubled_until = max(one.troubled_until for one in self.core)

    # leadership, commits, the list

    def elect(self, machine: Machine | None) -> None:
        """Another machine holds the leader lease from now on, or none."""
        self.end_lease()
        if machine is not None and machine.running:
            self.core_troubled_until = max(self.core_troubled_until, self.now)
            self.begin_lease(machine, math.inf)
        self._tell_leader()

    def end_lease(self) -> None:
        """The lease of the leader has run out."""
        former, self.leader = self.leader, None
        core = former.process.core if former is not None and former.process is not None else None
        if former is not None and core is not None:
            core.replica.lease_until = min(core.replica.lease_until, former.clock.local(self.now))
            if not former.frozen:
                core.notice_lease()

    def begin_lease(self, machine: Machine, until: float) -> None:
        """A machine holds the lease, for a new term, up to a time of its own clock."""
        assert machine.process is not None and machine.process.core is not None
        self.leader = machine
        self.term += 1
        core = machine.process.core
        core.replica.lease_until = until
        core.leadership_gained(self.term)
        core.read_list()

    def _tell_leader(self) -> None:
        for machine, core in self.core_processes():
            if self.knows_commits(machine):
                leader = self.leader.process.core if self.leader is not None and self.leader.process else None
                core.replica.leader = leader.replica.identity if leader is not None else None

    def core_processes(self) -> list[tuple[Machine, SimulatedCore]]:
        """The core machines that run."""
        return [
            (one, one.process.core)
            for one in self.core
            if one.running and one.process is not None and one.process.core is not None
        ]

    def knows_commits(self, machine: Machine) -> bool:
        """Whether a core machine hears what the core has committed."""
        return machine.running

    def tell_core(self) -> None:
        """Every core machine that hears of it knows all core machines."""
        running = [one.process.core.replica.identity for one in self.core if one.process and one.process.core]
        for machine, core in self.core_processes():
            if self.knows_commits(machine):
                core.replica.machines = running

    def commit(self) -> int:
        """Commit the next configuration; acknowledged a moment later."""
        sequence = self.committed[-1][2] + 1
        self.committed.append((self.now, self.now + 0.005, sequence))
        for machine in self.core:
            self.at(self.random.uniform(0.001, 0.01), lambda machine=machine: self.tell_committed(machine))  # type: ignore[misc]
        return sequence

    def body(self, sequence: int) -> bytes:
        """The operator's JSON, a part of which can't be compressed."""
        tenant = {"name": TENANT, "api_keys": ["k"], "rate_per_s": self.limit.rate, "burst": self.limit.burst}
        tenant["unit"] = "token_stream"
        padding = random.Random(sequence).randbytes(self.body_bytes).hex()
        whole = {"config_version": sequence * 3, "routes": [], "services": [], "tenants": [tenant], "pad": padding}
        return json.dumps(whole).encode()

    def tell_committed(self, machine: Machine) -> None:
        """A core machine hears of the newest configuration."""
        sequence = self.committed[-1][2]
        process = machine.process
        if not sequence or process is None or process.core is None or machine.frozen:
            return
        if self.knows_commits(machine):
            process.core.commit(sequence, sequence * 3, self.body(sequence))

    def tell_freshness(self) -> None:
        """Core machines that reach a majority know how new their knowledge is."""
        for machine, core in self.core_processes():
            if self.knows_commits(machine):
                as_of = self.now - self.random.uniform(0.003, 0.02)
                sequence = next(number for at, _, number in reversed(self.committed) if at <= as_of)
                core.replica.fresh = (sequence, machine.clock.local(as_of))
                self.tell_committed(machine)

    def change_list(self) -> int:
        version = self.list_truth[-1][1] + 1
        self.list_truth.append((self.now, version))
        return version

    def platform_trouble(self, seconds: float, slow_s: tuple[float, float] | None) -> None:
        """The platform is slow for a while, or where no times are given it is down."""
        self.list_down = slow_s is None
        self.platform_s = slow_s or PLATFORM_S
        self.platform_calm_since = math.inf

        def over() -> None:
            self.list_down, self.platform_s, self.platform_calm_since = False, PLATFORM_S, self.now

        self.at(seconds, over)

    def _platform(self, process: Process, page: int, answered: Callable[[Sequence[Instance] | None], None]) -> None:
        """A call for one page of the platform's list: one service on each."""
        there, back = self.random.uniform(*self.platform_s), self.random.uniform(*self.platform_s)

        def read() -> None:
            version = self.list_truth[-1][1]
            entries = None if self.list_down else _entries(version, self.services[page : page + 1])
            self.at(back, lambda: process.run(lambda: answered(entries)))

        self.at(there, read)

    def _tick_core(self) -> None:
        for _, core in self.core_processes():
            core.turn()

    # messages

    def _send_all(self, process: Process, sends: Sequence[SendMessage]) -> None:
        self._do(process, sends)

    def _do(self, process: Process, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(connection=DialedLink(address=address), message=message):
                    self.network.dial(process, address, message)
                case SendMessage(connection=int() as number, message=message):
                    self.network.answer(number, message)
                case ConfigurationChanged():
                    self.checkers.applied_configuration(process, action)
                case ServersChanged():
                    self.checkers.applied_list(process, action)
                case EdgesTotalChanged():
                    process.total = action.count
        if process.subscriber is not None and process.alive:
            due = max(process.machine.clock.true(process.subscriber.next_wake()), self.now + LEAST_SLEEP_S)
            if due < process.wake:
                process.wake = due
                self.timeline.at_time(due, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        if not process.alive or process.machine.frozen or process.subscriber is None:
            return
        if self.now < process.wake < math.inf:
            return
        process.wake = math.inf
        self.checkers.check(process)
        self._do(process, process.subscriber.tick(process.local_now()))
        self.checkers.check(process)

    def _wake_now(self, process: Process) -> None:
        """Something was asked of the subscriber."""
        process.wake = math.inf
        self._wake(process)

    def _deliver(self, process: Process, connection: Connection, data: bytes) -> None:
        if process.core is not None:
            process.core.receive(connection, data)
            return
        assert process.subscriber is not None and process.quota is not None
        self.checkers.check(process)
        message = Distribution.FromString(data)
        issue = quota_issue_of(message)
        if issue is not None:
            process.quota.on_quota_issue(issue)
        else:
            self._do(process, process.subscriber.receive(process.local_now(), connection, message))
        self.checkers.check(process)

    def _connection_closed(self, process: Process, connection: Connection) -> None:
        if process.core is not None:
            process.core.closed(connection)
        elif process.subscriber is not None:
            self.checkers.check(process)
            self._do(process, process.subscriber.connection_closed(process.local_now(), connection))
            self.checkers.check(process)

    # what the rules ask

    def stop_loss(self) -> None:
        """No message is lost from here on."""
        self.loss = self.network.loss = 0.0
        for machine in self.edge:
            machine.calm_since = self.now

    def in_touch(self, machine: Machine) -> bool:
        """As the rules say it; on lossy links nobody is."""
        if self.loss:
            return False
        since = max(machine.troubled_until, self.core_troubled_until)
        return machine.running and self.now - since >= CONTACT_S and self.leader is not None

    # questions of tests

    def reading(self, machine: Machine) -> bool:
        """Whether a core machine has called for the list."""
        return machine.process is not None and machine.process.core is not None and machine.process.core.reading

    def subscriber(self, machine: Machine) -> Subscriber:
        assert machine.process is not None and machine.process.subscriber is not None
        return machine.process.subscriber

    def confirmed_age(self, machine: Machine) -> float:
        assert machine.process is not None
        return machine.process.local_now() - self.subscriber(machine).confirmed_at

    def zone_of(self, zone: int) -> list[Machine]:
        return [machine for machine in self.edge if machine.zone == f"zone-{zone}"]

    def states(self) -> list[PublisherState]:
        return [one.process.core.publisher.state for one in self.core if one.process and one.process.core]

    def list_positions(self, service: str) -> set[Position]:
        return {self.subscriber(one).position(list_topic(service)) for one in self.edge if one.process is not None}


def _entries(version: int, services: Sequence[str]) -> list[Instance]:
    """Four servers for each service: the slots of the first tell the version, the others come and go."""
    entries = []
    for service in services if version else ():
        for number in range(4):
            first = number == 0
            if first or (version + number) % 3:
                state = "ready" if first or version % 2 == 0 else "draining"
                slots = version if first else 64
                entries.append(Instance(f"{service}-{number}", service, "10.3.0.1:80", "zone-0", slots, state))
    return entries

"""A simulated deployment of the distribution: core machines, edges, links with faults, a clock, and checkers.

Leadership, commits and the platform's list are scripted here; the code under test is Publisher and Subscriber.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from rosechute.distribution.actions import (
    Action,
    ConfigurationChanged,
    Dialed,
    EdgesTotalChanged,
    Send,
    ServersChanged,
)
from rosechute.distribution.membership import LEASE_S, EdgeIdentity
from rosechute.distribution.publisher import CoreAddress, Publisher, PublisherState
from rosechute.distribution.subscriber import Subscriber
from rosechute.distribution.values import CONFIG_TOPIC, ListedServer, Position, list_topic
from rosechute.messages.distribution_pb2 import Distribution

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
LIST_APPLY_S = 1.5
FRESH_S = 1.5  # a confirmation is no older, in touch
TOTAL_APPLY_S = CONTACT_S + LEASE_S
FRESHNESS_INTERVAL_S = 0.15
READ_INTERVAL_S = 0.5
CORE_TICK_S = 0.25
USER_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
BACKOFF_S = 0.1
FRAME_BYTES = 5
EVENTS_LIMIT = 20_000  # in one second
SERVICES = ("model", "listing")


class RuleBroken(AssertionError):
    """A checker found a broken rule."""


@dataclass(eq=False)
class Process:
    """One life of a process on a machine."""

    machine: Machine
    subscriber: Subscriber | None = None
    publisher: Publisher | None = None
    wake: float = math.inf
    configuration: int = 0
    lists: dict[str, Position] = field(default_factory=dict)
    list_versions: dict[str, int] = field(default_factory=dict)
    total: int = 0
    applied: list[tuple[float, int]] = field(default_factory=list)


@dataclass(eq=False)
class Machine:
    """A machine of the core or an edge, with its troubles."""

    name: str
    zone: str
    address: str
    process: Process | None = None
    life: int = 0  # how often it was started
    frozen: bool = False
    slow_s: float = 0.0
    link_bytes_per_s: float = math.inf
    link_free: float = 0.0
    troubles: int = 0  # that last
    calm_since: float = 0.0

    @property
    def troubled_until(self) -> float:
        """Infinite while a trouble lasts."""
        return math.inf if self.troubles else self.calm_since

    @property
    def running(self) -> bool:
        return self.process is not None and not self.frozen


@dataclass(eq=False)
class Channel:
    """One connection, from the process that opened it to the one that accepted it."""

    opener: Process
    acceptor: Process
    address: str
    number: int
    open: bool = True
    last: dict[bool, float] = field(default_factory=dict)  # by direction: arrival of the last message


@dataclass
class World:
    """Everything, in one process and on one clock."""

    seed: int
    edges: int = 6
    zones: int = 3
    core_size: int = 3
    delay_s: float = 0.0014
    loss: float = 0.0
    link_bytes_per_s: float = math.inf
    make_publisher: Callable[[], Publisher] = lambda: Publisher(lambda now, request: None)
    make_subscriber: Callable[[float, EdgeIdentity, int, list[str]], Subscriber] = Subscriber
    body_bytes: int = 200

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._channels: dict[tuple[Process, str], Channel] = {}
        self._accepted: dict[int, Channel] = {}
        self._blocked: set[tuple[str, str]] = set()
        self._backoff: dict[tuple[Process, str], float] = {}
        self._events_in_second = 0
        self.bytes_between_zones = 0
        self.sent_bytes: dict[str, int] = {}
        self.core = [self._machine(f"core-{i}", i % self.zones, f"10.1.0.{i}:7500") for i in range(self.core_size)]
        self.edge = [self._machine(f"edge-{i}", i % self.zones, f"10.2.0.{i}:7501") for i in range(self.edges)]
        self.by_address = {machine.address: machine for machine in [*self.core, *self.edge]}
        self.leader: Machine | None = None
        self.term = 0
        self.committed: list[tuple[float, float, int]] = [(-1.0, -1.0, 0)]  # time, acknowledged at, sequence
        self.core_troubled_until = 0.0
        self.list_truth: list[tuple[float, int]] = [(-1.0, 0)]  # since when, version
        self.list_down = False
        self.draining: set[str] = set()
        self.members_changed = 0.0
        self.checks = 0
        for machine in [*self.core, *self.edge]:
            self.at(self.random.uniform(0.0, 0.3), lambda machine=machine: self.start(machine))  # type: ignore[misc]
        self._every(FRESHNESS_INTERVAL_S, self._tell_freshness)
        self._every(READ_INTERVAL_S, self._read_list)
        self._every(CORE_TICK_S, self._tick_core)

    # clock

    def at(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._numbers), call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            when, _, call = heapq.heappop(self._events)
            self._count_event(when)
            self.now = when
            call()
            self.check()
        self.now = end

    def _count_event(self, when: float) -> None:
        """Nobody keeps others, or itself, busy without end."""
        if int(when) != int(self.now):
            self._events_in_second = 0
        self._events_in_second += 1
        if self._events_in_second > EVENTS_LIMIT:
            raise RuleBroken(f"a storm of events at {when}")

    def _every(self, interval: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.at(interval, again)

        self.at(interval, again)

    # machines

    def _machine(self, name: str, zone: int, address: str) -> Machine:
        return Machine(name, f"zone-{zone}", address, link_bytes_per_s=self.link_bytes_per_s)

    def start(self, machine: Machine) -> None:
        if machine.process is not None:
            return
        process = machine.process = Process(machine)
        if machine.life:
            self._trouble(machine, over=True)
        machine.life += 1
        machine.calm_since = self.now
        if machine in self.core:
            process.publisher = self.make_publisher()
            process.publisher.core([CoreAddress(one.name, one.address, one.address) for one in self.core])
            self._tell_committed(machine)
            self._tell_leader()
            return
        identity = EdgeIdentity(machine.name, machine.zone, machine.address)
        seeds = [one.address for one in self.core[:3]]
        process.subscriber = self.make_subscriber(self.now, identity, self.random.getrandbits(62), seeds)
        self.members_changed = self.now
        self._do(process, process.subscriber.tick(self.now))

    def kill(self, machine: Machine, restart_after: float | None = None) -> None:
        process, machine.process = machine.process, None
        self._trouble(machine, over=False)
        self.members_changed = self.now
        for channel in [one for one in self._accepted.values() if process in (one.opener, one.acceptor)]:
            self._break(channel, self.delay_s)
        if machine is self.leader:
            self.leader = None
            self._tell_leader()
        if restart_after is not None:
            self.at(restart_after, lambda: self.start(machine))

    def freeze(self, machine: Machine, seconds: float) -> None:
        machine.frozen = True
        self._trouble(machine, over=False)

        def thaw() -> None:
            machine.frozen = False
            self._trouble(machine, over=True)
            if machine.process is not None:
                machine.process.wake = math.inf
                self._wake(machine.process)

        self.at(seconds, thaw)

    def cut(self, sources: Iterable[Machine], targets: Iterable[Machine], seconds: float, both: bool = True) -> None:
        sources, targets = list(sources), list(targets)
        pairs = {(a.address, b.address) for a in sources for b in targets if a is not b}
        if both:
            pairs |= {(b, a) for a, b in pairs}
        self._blocked |= pairs
        # whoever lost the path to the core is out of touch; the peers of a cut edge are not
        cut_off = [one for one in {*sources, *targets} if one in self.edge and not self._reaches_core(one)]
        core_cut = any(one in self.core for one in sources) and any(one in self.core for one in targets)
        for machine in cut_off:
            self._trouble(machine, over=False)
        if core_cut:
            self.core_troubled_until = math.inf

        def join() -> None:
            self._blocked -= pairs
            for machine in cut_off:
                self._trouble(machine, over=True)
            if core_cut:
                self.core_troubled_until = self.now

        self.at(seconds, join)

    def _reaches_core(self, machine: Machine) -> bool:
        return not any(
            pair in self._blocked
            for one in self.core
            for pair in ((machine.address, one.address), (one.address, machine.address))
        )

    def slow(self, machine: Machine, delay: float, seconds: float) -> None:
        machine.slow_s = delay
        self._trouble(machine, over=False)

        def over() -> None:
            machine.slow_s = 0.0
            self._trouble(machine, over=True)

        self.at(seconds, over)

    def _trouble(self, machine: Machine, over: bool) -> None:
        machine.troubles += -1 if over else 1
        machine.calm_since = self.now
        if machine in self.core:
            self.core_troubled_until = max(one.troubled_until for one in self.core)

    # leadership, commits, the list

    def elect(self, machine: Machine | None) -> None:
        former, self.leader = self.leader, None
        if former is not None and former.process is not None and former.process.publisher is not None:
            self._do(former.process, former.process.publisher.lease_lost(self.now))
        if machine is not None and machine.running and machine.process is not None:
            assert machine.process.publisher is not None
            self.leader = machine
            self.term += 1
            self.core_troubled_until = max(self.core_troubled_until, self.now)
            self._do(machine.process, machine.process.publisher.lease_gained(self.now, self.term))
        self._tell_leader()

    def _tell_leader(self) -> None:
        for machine in self.core:
            if machine.process is not None and machine.process.publisher is not None and machine is not self.leader:
                machine.process.publisher.redirect(self.leader.address if self.leader is not None else None)

    def commit(self) -> int:
        """Commit the next configuration; acknowledged a moment later."""
        sequence = self.committed[-1][2] + 1
        self.committed.append((self.now, self.now + 0.005, sequence))
        for machine in self.core:
            self.at(self.random.uniform(0.001, 0.01), lambda machine=machine: self._tell_committed(machine))  # type: ignore[misc]
        return sequence

    def body(self, sequence: int) -> bytes:
        return random.Random(sequence).randbytes(self.body_bytes)

    def _tell_committed(self, machine: Machine) -> None:
        if not machine.running or machine.process is None or machine.process.publisher is None:
            return
        sequence = self.committed[-1][2]
        if sequence:
            publisher = machine.process.publisher
            self._do(machine.process, publisher.committed(self.now, sequence, sequence * 3, self.body(sequence)))

    def _tell_freshness(self) -> None:
        for machine in self.core:
            if machine.running and machine.process is not None and machine.process.publisher is not None:
                age = self.random.uniform(0.003, 0.02)
                sequence = max(number for at, _, number in self.committed if at <= self.now - age)
                machine.process.publisher.freshness(self.now, sequence, age)
                self._tell_committed(machine)

    def change_list(self) -> int:
        version = self.list_truth[-1][1] + 1
        self.list_truth.append((self.now, version))
        return version

    def _read_list(self) -> None:
        version = self.list_truth[-1][1]
        leader = self.leader
        if self.list_down or leader is None or not leader.running or leader.process is None or version == 0:
            return
        assert leader.process.publisher is not None
        entries = []
        for service in SERVICES:
            for number in range(4):
                first = number == 0  # its slots tell the version; the others come and go
                if first or (version + number) % 3:
                    ready = first or version % 2 == 0
                    slots = version if first else 64
                    entries.append(
                        ListedServer(f"{service}-{number}", service, "10.3.0.1:80", "zone-0", slots, ready)
                    )
        self._do(leader.process, leader.process.publisher.servers(self.now, entries))

    def _tick_core(self) -> None:
        for machine in self.core:
            if machine.running and machine.process is not None and machine.process.publisher is not None:
                self._do(machine.process, machine.process.publisher.tick(self.now))

    # messages

    def _do(self, process: Process, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send(connection=Dialed(address=address), message=message):
                    self._dial(process, address, message)
                case Send(connection=connection, message=message):
                    channel = self._accepted.get(connection) if isinstance(connection, int) else None
                    if channel is not None and channel.open:
                        self._transmit(channel, from_opener=False, message=message)
                case ConfigurationChanged():
                    self._applied_configuration(process, action)
                case ServersChanged():
                    self._applied_list(process, action)
                case EdgesTotalChanged():
                    process.total = action.count
        if process.subscriber is not None and process.machine.process is process:
            wake = max(process.subscriber.next_wake(), self.now)
            if wake < process.wake:
                process.wake = wake
                self.at(wake - self.now, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        if process.machine.process is not process or process.machine.frozen or process.subscriber is None:
            return
        if self.now < process.wake < math.inf:
            return
        process.wake = math.inf
        self._do(process, process.subscriber.tick(self.now))

    def _dial(self, process: Process, address: str, message: Distribution) -> None:
        channel = self._channels.get((process, address))
        if channel is not None and channel.open:
            self._transmit(channel, from_opener=True, message=message)
            return
        if self._backoff.get((process, address), -1.0) > self.now:
            return
        machine = self.by_address.get(address)
        own = process.machine.address
        if machine is None or {(own, address), (address, own)} & self._blocked:
            self._refuse(process, address, CONNECT_TIMEOUT_S)
            return
        if machine.process is None:
            self._refuse(process, address, 2 * self.delay_s)
            return
        channel = Channel(process, machine.process, address, next(self._numbers))
        self._channels[process, address] = channel
        self._accepted[channel.number] = channel
        channel.last[True] = self.now + 2 * self.delay_s
        self._transmit(channel, from_opener=True, message=message)

    def _refuse(self, process: Process, address: str, after: float) -> None:
        self._backoff[process, address] = self.now + after + BACKOFF_S
        self.at(after, lambda: self._told_closed(process, Dialed(address)))

    def _transmit(self, channel: Channel, from_opener: bool, message: Distribution) -> None:
        source = channel.opener if from_opener else channel.acceptor
        target = channel.acceptor if from_opener else channel.opener
        pair = (source.machine.address, target.machine.address)
        if pair in self._blocked:
            self.at(USER_TIMEOUT_S, lambda: self._break(channel, 0.0))
            return
        data = message.SerializeToString()
        size = len(data) + FRAME_BYTES
        if source.machine.zone != target.machine.zone:
            self.bytes_between_zones += size
        self.sent_bytes[source.machine.name] = self.sent_bytes.get(source.machine.name, 0) + size
        if self.random.random() < self.loss:
            return
        source.machine.link_free = max(source.machine.link_free, self.now) + size / source.machine.link_bytes_per_s
        arrival = source.machine.link_free + self.delay_s * self.random.uniform(0.9, 1.3)
        arrival += source.machine.slow_s + target.machine.slow_s
        arrival = max(arrival, channel.last.get(from_opener, 0.0))
        channel.last[from_opener] = arrival
        self.at(arrival - self.now, lambda: self._arrive(channel, from_opener, data))

    def _arrive(self, channel: Channel, from_opener: bool, data: bytes) -> None:
        target = channel.acceptor if from_opener else channel.opener
        source = channel.opener if from_opener else channel.acceptor
        if not channel.open or target.machine.process is not target:
            return
        if (source.machine.address, target.machine.address) in self._blocked:
            self.at(USER_TIMEOUT_S, lambda: self._break(channel, 0.0))
            return
        if target.machine.frozen:
            self.at(0.05, lambda: self._arrive(channel, from_opener, data))
            return
        message = Distribution.FromString(data)
        connection = channel.number if from_opener else Dialed(channel.address)
        if target.subscriber is not None:
            self._do(target, target.subscriber.receive(self.now, connection, message))
        elif target.publisher is not None:
            self._do(target, target.publisher.receive(self.now, connection, message))

    def _break(self, channel: Channel, after: float) -> None:
        if not channel.open:
            return
        channel.open = False
        self._accepted.pop(channel.number, None)
        if self._channels.get((channel.opener, channel.address)) is channel:
            del self._channels[channel.opener, channel.address]
        self.at(after, lambda: self._told_closed(channel.opener, Dialed(channel.address)))
        self.at(after, lambda: self._told_closed(channel.acceptor, channel.number))

    def _told_closed(self, process: Process, connection: Dialed | int) -> None:
        machine = process.machine
        if machine.process is not process:
            return
        if machine.frozen:
            self.at(0.05, lambda: self._told_closed(process, connection))
            return
        if process.subscriber is not None:
            self._do(process, process.subscriber.connection_closed(self.now, connection))
        elif process.publisher is not None:
            process.publisher.connection_closed(self.now, connection)

    # checkers

    def _applied_configuration(self, process: Process, change: ConfigurationChanged) -> None:
        if change.sequence <= process.configuration:
            raise RuleBroken(f"configuration back from {process.configuration} to {change.sequence}")
        if change.body != self.body(change.sequence) or change.version != change.sequence * 3:
            raise RuleBroken(f"configuration {change.sequence} differs from what was committed")
        process.configuration = change.sequence
        process.applied.append((self.now, change.sequence))

    def _applied_list(self, process: Process, change: ServersChanged) -> None:
        if change.position <= process.lists.get(change.service, (0, 0)):
            raise RuleBroken(f"list of {change.service} back to {change.position}")
        process.lists[change.service] = change.position
        slots = {server.id: server.slots for server in change.servers}
        version = slots.get(f"{change.service}-0", 0)
        expected = {f"{change.service}-{number}" for number in range(4) if number == 0 or (version + number) % 3}
        if version and set(slots) != expected:
            raise RuleBroken(f"list of {change.service} at version {version} holds {sorted(slots)}")
        process.list_versions[change.service] = version

    def stop_loss(self) -> None:
        """No message is lost from here on."""
        self.loss = 0.0
        for machine in self.edge:
            machine.calm_since = self.now

    def in_touch(self, machine: Machine) -> bool:
        """As the rules say it; on lossy links nobody is."""
        if self.loss:
            return False
        since = max(machine.troubled_until, self.core_troubled_until)
        return machine.running and self.now - since >= CONTACT_S and self.leader is not None

    def check(self) -> None:
        for machine in self.edge:
            process = machine.process
            if process is None or process.subscriber is None or machine.frozen:
                continue
            self._check_confirmed(process, process.subscriber)
            if self.in_touch(machine):
                self.checks += 1
                self._check_in_force(process)
                self._check_fresh(process)
                self._check_list(process)
                self._check_total(process)

    def _check_confirmed(self, process: Process, subscriber: Subscriber) -> None:
        newer = min(
            (acked for _, acked, sequence in self.committed if sequence > process.configuration), default=math.inf
        )
        if subscriber.confirmed_at > min(newer, self.now):
            raise RuleBroken(
                f"{process.machine.name}: {process.configuration} confirmed after a newer acknowledgement"
            )
        if subscriber.position(CONFIG_TOPIC) != (0, process.configuration):
            raise RuleBroken("what is held is not what was applied")

    def _check_in_force(self, process: Process) -> None:
        due = max(sequence for _, acked, sequence in self.committed if acked <= self.now - CONFIG_APPLY_S)
        if process.configuration < due:
            raise RuleBroken(f"{process.machine.name}: {process.configuration} in force at {self.now}, due is {due}")

    def _check_fresh(self, process: Process) -> None:
        assert process.subscriber is not None
        if self.now - process.subscriber.confirmed_at > FRESH_S:
            raise RuleBroken(f"{process.machine.name}: confirmed long ago, in touch")

    def _check_list(self, process: Process) -> None:
        due = max(version for since, version in self.list_truth if since <= self.now - LIST_APPLY_S)
        for service in SERVICES:
            if not self.list_down and process.list_versions.get(service, 0) < due:
                raise RuleBroken(f"{process.machine.name}: list of {service} is behind at {self.now}")

    def _check_total(self, process: Process) -> None:
        if self.now - self.members_changed < TOTAL_APPLY_S or any(machine.frozen for machine in self.edge):
            return
        if any(one.process is not None and one.troubled_until + TOTAL_APPLY_S > self.now for one in self.edge):
            return
        living = sum(machine.running for machine in self.edge)
        if process.total != living:
            raise RuleBroken(f"{process.machine.name}: {process.total} edges told, {living} live")

    # questions of tests

    def subscriber(self, machine: Machine) -> Subscriber:
        assert machine.process is not None and machine.process.subscriber is not None
        return machine.process.subscriber

    def zone_of(self, zone: int) -> list[Machine]:
        return [machine for machine in self.edge if machine.zone == f"zone-{zone}"]

    def states(self) -> list[PublisherState]:
        return [one.process.publisher.state for one in self.core if one.process and one.process.publisher]

    def list_positions(self, service: str) -> set[Position]:
        return {self.subscriber(one).position(list_topic(service)) for one in self.edge if one.process is not None}

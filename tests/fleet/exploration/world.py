"""The explored world: machines, links and true time, changed by single steps that the search chooses.

`save` takes the state, and `load` puts it back; saved states share what is the same. Nothing here is random: a
process draws one fixed number of its own, the clocks have fixed rates.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from typing import Any

from rosechute.coordination import Action, Outcome, Replica, Timing, WriteRequest
from rosechute.messages.coordination_pb2 import CoreMessage, Heartbeat
from tests.fleet.exploration.invariants import Ledger
from tests.fleet.exploration.machine import TICK_S, Machine, MachineState

HOP_S = 0.005  # in calm: all that is on its way or being synced comes to its end in this time

Link = tuple[int, int]  # numbers of the sender and of the receiver


@dataclass(frozen=True, slots=True)
class Saved:
    """State of the world."""

    now: float
    machines: tuple[MachineState, ...]
    links: dict[Link, tuple[CoreMessage, ...]]
    cuts: frozenset[Link]
    used: frozenset[str]  # calls of operators that were made
    ledger: dict[str, Any]

    def key(self) -> int:
        """Return a hash of everything that decides which steps can follow."""
        links = tuple(
            (link, tuple(each.SerializeToString(deterministic=True) for each in queue))
            for link, queue in sorted(self.links.items())
        )
        return hash((self.now, self.machines, links, self.cuts, self.used, Ledger.key(self.ledger)))


class World:
    """True time, the machines, and the links between them."""

    def __init__(self, size: int, timing: Timing | None = None, judged: Collection[str] | None = None) -> None:
        self.now = 0.0
        self.timing = timing or Timing()
        self.machines: list[Machine] = []
        self.make_replica: Callable[..., Replica] = Replica
        self.links: dict[Link, tuple[CoreMessage, ...]] = {}
        self.cuts: frozenset[Link] = frozenset()
        self.used: frozenset[str] = frozenset()
        self.observers: list[Any] = []  # the history enters itself here
        self.outcomes: dict[int, Outcome] = {}
        self.ledger = Ledger(self, judged)
        for number in range(size):
            self.add_machine(f"core-{number}")
        self.seeds = tuple((each.control, each.peer) for each in self.machines[:3])

    def add_machine(self, name: str) -> Machine:
        machine = Machine(self, len(self.machines), name)
        self.machines.append(machine)
        return machine

    # Saved states

    def save(self) -> Saved:
        """Return the current state, which is immutable."""
        states = tuple(each.save() for each in self.machines)
        links = {link: queue for link, queue in self.links.items() if queue}
        return Saved(self.now, states, links, self.cuts, self.used, self.ledger.save())

    def load(self, saved: Saved) -> None:
        """Restore a state."""
        self.now = saved.now
        for machine, state in zip(self.machines, saved.machines, strict=True):
            machine.load(state)
        self.links = dict(saved.links)
        self.cuts, self.used = saved.cuts, saved.used
        self.ledger.load(saved.ledger)

    # Links

    def send(self, source: Machine, address: str, message: CoreMessage) -> None:
        """Put a message behind the others of its link. A heartbeat that tells nothing new but its stamps takes the
        place of the one right before it."""
        target = next((each for each in self.machines if each.peer == address), None)
        if target is None or target.state.removed:
            return
        self.ledger.on_sent(source, message)
        link = (source.number, target.number)
        queue = self.links.get(link, ())
        if queue and _tells_the_same(queue[-1], message):
            queue = queue[:-1]
        self.links[link] = (*queue, message)

    def deliverable(self) -> list[Link]:
        """Return the links whose next message can be delivered now."""
        return [
            link
            for link, queue in sorted(self.links.items())
            if queue and link not in self.cuts and self.machines[link[1]].running
        ]

    def deliver(self, link: Link) -> None:
        """The next message of a link comes."""
        message = self.take(link)
        self.machines[link[1]].receive(link[0], message)

    def take(self, link: Link) -> CoreMessage:
        """Take the next message off a link."""
        message, *rest = self.links[link]
        self.links[link] = tuple(rest)
        return message

    def cut_off(self, machine: Machine, inward: bool, outward: bool) -> None:
        """Hold what a machine is sent, what it sends, or both."""
        links = set()
        for other in self.machines:
            if other is not machine:
                links |= {(other.number, machine.number)} if inward else set()
                links |= {(machine.number, other.number)} if outward else set()
        self.cuts |= links

    def heal(self, keep: bool) -> None:
        """Join the links again; what they held comes late, or is lost with its connection."""
        if not keep:
            for link in self.cuts:
                self.links.pop(link, None)
        self.cuts = frozenset()

    # Operators

    def propose_write(self, machine: Machine, order: WriteRequest) -> None:
        def call(replica: Replica) -> list[Action]:
            self.ledger.on_request(machine, order.request_id, order)
            return replica.propose_write(machine.now(), order)

        machine.run(call)

    def read(self, machine: Machine, request: int) -> None:
        def call(replica: Replica) -> list[Action]:
            self.ledger.on_request(machine, request, None)
            return replica.read(machine.now(), request)

        machine.run(call)

    def answered(self, machine: Machine, request: int, outcome: Outcome) -> None:
        self.outcomes[request] = outcome
        self.ledger.on_answer(machine, request, outcome)

    # Time

    def pass_time(self, seconds: float) -> None:
        """Time passes and the machines that run tick, in turn; nothing is delivered or synced."""
        self.now += seconds
        for machine in self.machines:
            if machine.running:
                machine.tick()
        self.ledger.check_answered()

    def calm(self, seconds: float) -> None:
        """Time passes in the usual way: messages come and disks work, but for what is cut, frozen or down."""
        for _ in self.calm_moments(seconds):
            pass
        self.ledger.check_answered()

    def calm_moments(self, seconds: float) -> Iterator[float]:
        """The same, moment by moment."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self._next_moment())
            self._moment()
            yield self.now

    def _next_moment(self) -> float:
        if self.deliverable() or any(each.works and each.state.queue for each in self.machines):
            return self.now + HOP_S
        ticks = [each.state.next_tick for each in self.machines if each.running]
        return max(self.now, min(ticks, default=self.now + TICK_S))  # a tick that fell into a freeze comes at once

    def _moment(self) -> None:
        counts = {link: len(self.links[link]) for link in self.deliverable()}
        for machine in self.machines:
            for _ in machine.state.queue if machine.works else ():
                if machine.state.queue:
                    machine.sync()
        for link, count in counts.items():
            for _ in range(min(count, len(self.links[link]))):
                self.deliver(link)
        for machine in self.machines:
            if machine.running and machine.state.next_tick <= self.now:
                machine.tick()
        for link, queue in self.links.items():
            if queue and not self.machines[link[1]].up:
                self.links[link] = ()


def _tells_the_same(before: CoreMessage, message: CoreMessage) -> bool:
    if before.WhichOneof("body") != "heartbeat" or message.WhichOneof("body") != "heartbeat":
        return False
    return before.boot == message.boot and _without_stamps(before.heartbeat) == _without_stamps(message.heartbeat)


def _without_stamps(beat: Heartbeat) -> Heartbeat:
    plain = Heartbeat()
    plain.CopyFrom(beat)
    plain.stamp = plain.echo = 0.0
    return plain

"""The steps that the search chooses between, and the bounds within which it does.

Every step is a value that can be told, sorted and given back by its text: a schedule is a list of such texts.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from rosechute.coordination import WriteRequest
from tests.fleet.exploration.machine import Machine
from tests.fleet.exploration.world import World

FAULTS = frozenset({"lose", "crash", "refuse", "hang", "freeze", "cut", "wipe"})
# All at one moment, and with time that passes:
DELIVERIES = frozenset({"deliver", "lose", "sync", "refuse", "crash", "restart", "call"})
TROUBLES = frozenset(
    {"crash", "restart", "wipe", "refuse", "hang", "mend", "freeze", "thaw", "resign", "cut", "heal", "snapshot"}
    | {"call", "pass", "calm"}
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the search from a root."""

    depth: int = 8  # steps
    faults: int = 1  # of FAULTS, in all
    moves: int = 1  # steps that let time pass
    kinds: frozenset[str] = frozenset()  # of steps that may be chosen; empty: all
    calls: tuple[str, ...] = ()  # of CALLS that may be made on the way, each once
    waits: tuple[float, ...] = (0.05, 0.3, 1.3)  # s


@dataclass(frozen=True, slots=True, order=True)
class Choice:
    """One step: its kind, its machine and its arguments."""

    kind: str
    machine: int = 0
    other: int = 0
    note: str = ""

    def __str__(self) -> str:
        return " ".join([self.kind, *_words(self)])

    @property
    def is_fault(self) -> bool:
        """Whether the step counts against the bound on faults."""
        return self.kind in FAULTS

    @property
    def is_move(self) -> bool:
        """Whether the step advances the time."""
        return self.kind in {"pass", "calm"}


def parse(text: str) -> Choice:
    """Return the choice that a text denotes."""
    kind, *words = text.split()
    if kind in {"deliver", "lose"}:
        return Choice(kind, int(words[0]), int(words[1]))
    if kind in {"pass", "calm"}:
        return Choice(kind, note=words[0])
    if kind == "heal":
        return Choice(kind, note=words[0])
    return Choice(kind, int(words[0]), note=words[1] if len(words) > 1 else "")


def _words(choice: Choice) -> list[str]:
    if choice.kind in {"deliver", "lose"}:
        return [str(choice.machine), str(choice.other)]
    if choice.kind in {"pass", "calm", "heal"}:
        return [choice.note]
    return [str(choice.machine), choice.note] if choice.note else [str(choice.machine)]


# Calls of the operators: two orders with the same number and base and different bytes, each repeated, one that builds
# on either of them, and reads. The request's number is the place of the name.

CALLS = ("order-one", "order-two", "order-one-again", "order-two-again", "read-one", "read-two", "order-next")
VERSIONS = {"order-one": (1, 2), "order-two": (1, 2), "order-next": (2, 3)}  # base, and its own


def call(world: World, machine: Machine, name: str) -> None:
    """Make a request of an operator at a machine."""
    world.used |= {name}
    request = 1 + CALLS.index(name)
    if name.startswith("read"):
        world.read(machine, request)
    else:
        world.propose_write(machine, order(name.removesuffix("-again"), request))


def order(name: str, request: int) -> WriteRequest:
    """Return one of the operators' write requests; all roots start with version 1."""
    base, version = VERSIONS[name]
    body = f"{version} on {base}, {name}".encode()
    return WriteRequest(request, base, version, body, hashlib.sha256(body).digest())


def play(world: World, choice: Choice) -> None:
    """Perform a step."""
    machine = world.machines[choice.machine]
    match choice.kind:
        case "deliver":
            world.deliver((choice.machine, choice.other))
        case "lose":
            world.take((choice.machine, choice.other))
        case "sync":
            machine.sync()
        case "snapshot":
            machine.snapshot()
        case "refuse":
            machine.refuse()
        case "hang":
            machine.change(hung=True)
        case "mend":
            machine.change(hung=False)
        case "resign":
            machine.run(lambda replica: replica.resign(machine.now()))
        case "crash":
            _crash(machine, choice.note)
        case "restart":
            machine.start()
        case "wipe":
            machine.wipe()
        case "freeze":
            machine.change(frozen=True)
        case "thaw":
            machine.change(frozen=False, thawed_at=world.now)
        case "cut":
            world.cut_off(machine, choice.note != "outward", choice.note != "inward")
        case "heal":
            world.heal(choice.note == "late")
        case "call":
            call(world, machine, choice.note)
        case "pass":
            world.pass_time(float(choice.note))
        case "calm":
            world.calm(float(choice.note))
        case _:
            raise ValueError(f"no such step: {choice}")


def _crash(machine: Machine, left: str) -> None:
    """End a process; `left` tells what its disk gives back."""
    match left:
        case "unsynced":
            machine.stop(0)
        case "partly":
            machine.stop(1)
        case "synced":
            machine.stop(len(machine.state.queue))
        case "snapshot":
            machine.snapshot()
            machine.stop(len(machine.state.queue))
        case _:
            raise ValueError(f"no such crash: {left}")


def choices(world: World, bounds: Bounds, path: Sequence[Choice]) -> list[Choice]:
    """Return the steps that are possible now, within the bounds."""
    faults = sum(each.is_fault for each in path)
    moves = sum(each.is_move for each in path)
    disk_lost = any(each.kind == "wipe" for each in path)  # one at a time is borne
    return [
        each
        for each in _possible(world, bounds)
        if (not bounds.kinds or each.kind in bounds.kinds)
        and not (each.is_fault and faults >= bounds.faults)
        and not (each.is_move and moves >= bounds.moves)
        and not (each.kind == "wipe" and disk_lost)
    ]


def _possible(world: World, bounds: Bounds) -> Iterator[Choice]:
    for source, target in world.deliverable():
        yield Choice("deliver", source, target)
        yield Choice("lose", source, target)
    for machine in world.machines:
        if not machine.state.removed:
            yield from _of_machine(world, machine, bounds)
    if world.cuts:
        yield Choice("heal", note="late")
        yield Choice("heal", note="lost")
    for wait in bounds.waits:
        yield Choice("pass" if wait <= 0.1 else "calm", note=str(wait))


def _of_machine(world: World, machine: Machine, bounds: Bounds) -> Iterator[Choice]:
    number = machine.number
    if not machine.up:
        yield Choice("restart", number)
        return
    for left in _crashes(machine):
        yield Choice("crash", number, note=left)
    yield Choice("wipe", number)
    if machine.frozen:
        yield Choice("thaw", number)
        return
    yield Choice("freeze", number)
    yield Choice("mend" if machine.state.hung else "hang", number)
    if machine.state.queue and not machine.state.hung:
        yield Choice("sync", number)
        yield Choice("refuse", number)
    if not (machine.state.queue and machine.state.queue[-1].replaces):
        yield Choice("snapshot", number)
    yield Choice("resign", number)
    if not world.cuts:
        for direction in ("both", "inward", "outward"):
            yield Choice("cut", number, note=direction)
    for name in bounds.calls:
        if name not in world.used and _may_come(world, name):
            yield Choice("call", number, note=name)


def _crashes(machine: Machine) -> Iterator[str]:
    yield "unsynced"
    if len(machine.state.queue) > 1:
        yield "partly"
    if machine.state.queue:
        yield "synced"
    if not machine.frozen:
        yield "snapshot"


def _may_come(world: World, name: str) -> bool:
    """A repetition comes after what it repeats, and the second read after the first."""
    if name.endswith("-again"):
        return name.removesuffix("-again") in world.used
    return name != "read-two" or "read-one" in world.used

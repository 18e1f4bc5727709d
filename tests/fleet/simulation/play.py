"""One random run from a seed: operators at work, troubles, and at the end an order and a read that must come
through."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from rosechute.coordination import Outcome, ReadResult, Redirect
from tests.fleet.simulation.certainty import Certainty
from tests.fleet.simulation.checkers import History, Violation
from tests.fleet.simulation.faults import Troubles
from tests.fleet.simulation.operators import REDIRECTS, Operator
from tests.fleet.simulation.world import Machine, World

SIZES = (3, 3, 3, 4, 4, 5, 5, 6, 7, 8)
SNAPSHOTS = (0.03, 0.03, 0.3, 1.0)  # share of the writes that are snapshots
READ_BACK_S = 1.1
AGAIN_S = 0.05
FORMED_S = 1.8
FAR_S = (0.02, 0.06)  # delay between machines in other regions
ACKNOWLEDGED_WITHIN_S = 4.0  # after the last trouble has ended


@dataclass
class Result:
    """What a run has shown."""

    seed: int
    size: int
    simulated_s: float
    acknowledgements: int
    refusals: int
    reads: int
    epochs: int
    terms: int
    recovery_s: float
    longest_answer_s: float
    troubles: list[str]
    snapshots: int = 0
    cut_off_answers: int = 0  # given without a majority: none was of certainty
    longest_outage_s: float = 0.0  # until an order was acknowledged


def play(
    seed: int,
    change: Callable[[World], None] | None = None,
    troubles: int | None = None,
    only: Collection[str] = (),
    sizes: Sequence[int] = SIZES,
    judged: Collection[str] | None = None,
) -> Result:
    """Play a seed; raises `Violation`. `change` plants a fault, `only` names the troubles to draw from, `judged` the
    checks that count."""
    random = Random(seed)
    size = random.choice(sizes)
    world = World(seed, size)
    world.compaction = random.choice(SNAPSHOTS)
    history = History(world, judged)
    Certainty(world, history, judged)
    if change is not None:
        change(world)
    if random.random() < 0.1:
        world.network.delay = FAR_S
    operators = [Operator(world, f"operator-{number}") for number in range(random.choice((1, 2, 2, 8)))]
    for operator in operators:
        operator.lose_answers = random.choice((0.0, 0.0, 0.3))
        operator.start()
    world.bootstrap()
    early = size < 6 and random.random() < 0.1
    world.run_until(0.31 if early else FORMED_S + (4.0 if size >= 6 else 0.5))
    played = Troubles(world, (size - 1) // 2, only, lambda: history.acknowledgements)
    played.play(troubles if troubles is not None else random.randint(2, 6))
    recovery = finish(world, history, operators)
    return result_of(seed, size, world, history, recovery, played.done)


def result_of(seed: int, size: int, world: World, history: History, recovery: float, troubles: list[str]) -> Result:
    """What a world has shown that was played to its end."""
    return Result(
        seed,
        size,
        world.now,
        history.acknowledgements,
        history.refusals,
        history.reads,
        max(history.views, default=0),
        history.last_term,
        recovery,
        history.longest_answer,
        troubles,
        sum(each.disk.snapshots for each in world.machines),
        sum(each.answers for each in world.observers if isinstance(each, Certainty)),
    )


def finish(world: World, history: History, operators: list[Operator]) -> float:
    """All is well again: an order is acknowledged in time, and the newest configuration is read back."""
    for operator in operators:
        operator.lose_answers = 0.0
    recovered = acknowledge(world, history, ACKNOWLEDGED_WITHIN_S)
    for operator in operators:
        operator.stopped = True
    world.run_for(2.5)
    history.check_answered()
    read_back(world, history)
    return recovered


def acknowledge(world: World, history: History, within_s: float) -> float:
    """An operator gives proper orders until a new one is acknowledged, its own or another's; how long that took."""
    since, before = world.now, history.newest_acknowledged()
    asker = Operator(world, f"asker at {since:.3f}", (0.0, 0.0))
    asker.stopped = True
    while history.newest_acknowledged() == before:
        if not asker.busy:
            asker.give(history.newest_version())
        waiting = world.run_while(
            lambda: asker.busy and history.newest_acknowledged() == before, since + within_s - world.now
        )
        if not waiting:
            raise Violation("live", f"no order was acknowledged within {within_s} s, {before} before")
    return world.now - since


def read_back(world: World, history: History) -> None:
    """Read at every machine: each answers, or leads to the one that does; all within `READ_BACK_S`."""
    there = [each for each in world.machines if each.up]
    found: dict[str, Outcome] = {}
    for machine in there:
        _read_from(world, machine, machine, found)
    world.run_for(READ_BACK_S)
    if len(found) != len(there):
        raise Violation("live", f"{len(found)} of {len(there)} reads were answered")
    if not all(isinstance(each, ReadResult) for each in found.values()):
        raise Violation("live", f"a read was not answered: {found}")


def _read_from(world: World, machine: Machine, first: Machine, found: dict[str, Outcome], redirects: int = 0) -> None:
    """Read at this machine for the one that was asked first; after two redirects begin again there.

    While the tail changes, the old one and the new one may name each other.
    """

    def answered(_: Machine, outcome: Outcome) -> None:
        target = world.by_control(outcome.control_address) if isinstance(outcome, Redirect) else None
        if target is None:
            found[first.name] = outcome
        elif redirects < REDIRECTS:
            _read_from(world, target, first, found, redirects + 1)
        else:
            world.after(AGAIN_S, _read_from, world, first, first, found)

    world.read(machine, answered)

"""One random run from a seed: operators at work, troubles, and at the end an order and a read that must come
through."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from rosechute.coordination import Configuration, Elsewhere, Outcome
from tests.fleet.simulation.checkers import History, Violation
from tests.fleet.simulation.faults import Troubles
from tests.fleet.simulation.operators import Operator
from tests.fleet.simulation.world import Machine, World

SIZES = (3, 3, 3, 4, 4, 5, 5, 8)
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
    history = History(world, judged)
    if change is not None:
        change(world)
    if random.random() < 0.1:
        world.network.delay = FAR_S
    operators = [Operator(world, f"operator-{number}") for number in range(random.choice((1, 2, 2, 8)))]
    for operator in operators:
        operator.lose_answers = random.choice((0.0, 0.0, 0.3))
        operator.start()
    world.bootstrap()
    early = size < 8 and random.random() < 0.1
    world.run_until(0.31 if early else FORMED_S + (4.0 if size == 8 else 0.5))
    played = Troubles(world, (size - 1) // 2, only, lambda: history.acknowledgements)
    played.play(troubles if troubles is not None else random.randint(2, 6))
    recovery = finish(world, history, operators)
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
        played.done,
    )


def finish(world: World, history: History, operators: list[Operator]) -> float:
    """All is well again: an order is acknowledged in time, and the newest configuration is read back."""
    since = world.now
    for operator in operators:
        operator.lose_answers = 0.0
    before = history.acknowledgements
    asker = Operator(world, "last", (0.0, 0.0))
    asker.stopped = True
    recovered = 0.0
    while not asker.waits:
        if not asker.busy:
            asker.known = max((history.orders[each].version for each in history.place), default=0)
            asker.give(asker.known)
        if not world.run_while(lambda: asker.busy, since + ACKNOWLEDGED_WITHIN_S - world.now):
            raise Violation("live", f"no order was acknowledged within {ACKNOWLEDGED_WITHIN_S} s, {before} before")
        recovered = world.now - since
    for operator in operators:
        operator.stopped = True
    world.run_for(2.5)
    history.check_answered()
    read_back(world, history)
    return recovered


def read_back(world: World, history: History) -> None:
    """Read at every machine; each answers, or names the one that does."""
    found: list[Outcome] = []

    def answered(machine: Machine, outcome: Outcome) -> None:
        found.append(outcome)

    there = [each for each in world.machines if each.up]
    for machine in there:
        world.read(machine, answered)
    world.run_for(1.1)
    if len(found) != len(there):
        raise Violation("live", f"{len(found)} of {len(there)} reads were answered")
    if not any(isinstance(each, Configuration) for each in found):
        raise Violation("live", f"no machine answers a read: {found}")
    if not all(isinstance(each, Configuration | Elsewhere) for each in found):
        raise Violation("live", f"a read was not answered: {found}")

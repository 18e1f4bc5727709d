"""Kinds of worlds, each with its own troubles; a seed draws everything else.

`short`: one trouble of any kind. `mixed`: several, overlapping or not (`faults.py`). `paced`: losses up to the
tolerance, each as soon as the rules allow (`losses.py`). `races`: operators that race and repeat, through cuts of
20 s and more. `hundreds`: hundreds of changes, then a loss, and again. `disks`: a snapshot at every other write,
disks in trouble, power that fails.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

from tests.fleet.simulation.certainty import Certainty
from tests.fleet.simulation.checkers import History, Violation
from tests.fleet.simulation.faults import CATCH_UP_S
from tests.fleet.simulation.losses import Losses
from tests.fleet.simulation.operators import Operator
from tests.fleet.simulation.play import FORMED_S, SNAPSHOTS, Result, acknowledge, finish, play, result_of
from tests.fleet.simulation.races import Races
from tests.fleet.simulation.world import World

SIZES = ((3, 1), (3, 1), (4, 1), (5, 1), (5, 2), (5, 2), (6, 2), (7, 2), (8, 2))  # machines, tolerance
CONTACT_S = 3.0  # the core counts as stable so long after the last event
ACK_S = 4.0
STABLE_ACK_S = CONTACT_S + ACK_S
CHANGES = (100, 100, 200, 300)  # between two losses
CHANGES_WITHIN_S = 120.0
NEVER_RETURN = 0.3  # share of the paced worlds that end with machines that never return
GONE_S = 10.0
LARGE = 6  # machines; a larger core takes longer to form


class Kind(enum.Enum):
    """Kind of a world."""

    SHORT = "short"
    MIXED = "mixed"
    PACED = "paced"
    RACES = "races"
    HUNDREDS = "hundreds"
    DISKS = "disks"


SHARES = {Kind.SHORT: 70, Kind.MIXED: 12, Kind.PACED: 8, Kind.RACES: 6, Kind.DISKS: 3, Kind.HUNDREDS: 1}
OF_HUNDRED = [kind for kind, share in SHARES.items() for _ in range(share)]


@dataclass
class Stage:
    """A formed cluster under all checkers, with operators at work."""

    seed: int
    size: int
    tolerance: int
    random: Random
    world: World
    history: History
    losses: Losses
    operators: list[Operator] = field(default_factory=list)
    races: list[Races] = field(default_factory=list)
    longest_outage_s: float = 0.0

    def race(self, pause: tuple[float, float]) -> None:
        """Let operators race from now on."""
        races = Races(self.world, self.history, self.random, pause)
        self.races.append(races)
        races.start()

    def operate(self, pause: tuple[float, float], lose_answers: float) -> None:
        """One more operator works from now on."""
        operator = Operator(self.world, f"operator-{len(self.operators)}", pause)
        operator.lose_answers = lose_answers
        self.operators.append(operator)
        operator.start()

    def expect_order(self, within_s: float = STABLE_ACK_S) -> None:
        """Some new order is acknowledged in time."""
        self.longest_outage_s = max(self.longest_outage_s, acknowledge(self.world, self.history, within_s))

    def through(self, back: float) -> None:
        """A loss has begun: orders come through, also after the return; then the next one is borne."""
        self.expect_order()
        self.world.run_until(back)
        self.expect_order()
        self.losses.wait_until_borne(back)
        self.expect_members()

    def expect_members(self) -> None:
        """After `CATCH_UP_S` the acceptors are the machines that are there, and all know what was acknowledged."""
        newest = self.history.newest_acknowledged()
        there = self.losses.there()
        views = [each.replica.view for each in there if each.replica is not None]
        view = max(views, key=lambda each: each.epoch)
        if len(view.acceptors) > len(there):
            raise Violation("surplus", f"{len(view.acceptors)} acceptors, {len(there)} machines")
        for machine in there:
            replica = machine.replica
            if replica is None or not view.is_acceptor(replica.identity.id):
                raise Violation("joined", f"{machine.name} is no acceptor {CATCH_UP_S} s after the last return")
            known = replica._context.replica_state.newest.sequence
            if known < newest:
                raise Violation("behind", f"{machine.name} knows {known}, {newest} was acknowledged")


def begin(seed: int, change: Callable[[World], None] | None, judged: Collection[str] | None) -> Stage:
    """Form a cluster of 3 to 8 machines that bears the loss of one or two."""
    random = Random(seed)
    size, tolerance = random.choice(SIZES)
    return form(seed, size, tolerance, random, change, judged)


def form(
    seed: int,
    size: int,
    tolerance: int,
    random: Random,
    change: Callable[[World], None] | None = None,
    judged: Collection[str] | None = None,
) -> Stage:
    """Form a cluster of this size under all checkers."""
    world = World(seed, size)
    world.compaction = random.choice(SNAPSHOTS)
    history = History(world, judged)
    Certainty(world, history, judged)
    if change is not None:
        change(world)
    world.bootstrap()
    world.run_until(FORMED_S + (4.0 if size >= LARGE else 0.5))
    return Stage(seed, size, tolerance, random, world, history, Losses(world, tolerance, random))


def paced(stage: Stage) -> None:
    """Losses up to the tolerance, all processes at once, disks lost beside a loss of power."""
    for _ in range(stage.random.choice((1, 2))):
        stage.operate((0.05, 1.5), stage.random.choice((0.0, 0.3)))
    losses = stage.losses
    for _ in range(stage.random.randint(2, 4)):
        draw = stage.random.random()
        if draw < 0.8:
            back = losses.lose()
        elif draw < 0.9:
            back = losses.lose_all_processes()
        else:
            back = losses.wipe_while_the_others_lose_power()
        stage.through(back)
    if stage.random.random() < NEVER_RETURN:
        losses.lose("gone")
        stage.expect_order()
        stage.world.run_for(GONE_S)
        stage.expect_order()


def races(stage: Stage) -> None:
    """Operators race on both sides of cuts of 20 s and more, and send again what they sent."""
    stage.race((0.02, 0.6))
    stage.operate((0.05, 1.5), 0.3)
    for _ in range(stage.random.choice((1, 1, 2))):
        stage.through(stage.losses.lose(stage.random.choice(("cut", "cut", "frozen", "killed"))))


def hundreds(stage: Stage) -> None:
    """Hundreds of changes, then the losses."""
    line = stage.history.line
    stage.race((0.005, 0.05))
    stage.operate((0.0, 0.02), 0.1)
    for _ in range(stage.random.choice((1, 2))):
        target = max(line, default=0) + stage.random.choice(CHANGES)
        if not stage.world.run_while(lambda target=target: max(line, default=0) < target, CHANGES_WITHIN_S):
            raise Violation("live", f"{target} changes were not taken within {CHANGES_WITHIN_S} s")
        stage.through(stage.losses.lose())


def disks(stage: Stage) -> None:
    """Snapshots at every other write; disks hang, are full or slow; power fails while they write."""
    stage.world.compaction = 0.5
    stage.operate((0.0, 0.2), 0.3)
    losses = stage.losses
    for _ in range(stage.random.randint(2, 4)):
        name = stage.random.choice(("disk_hangs", "disk_full", "disk_slow", "power_lost", "killed", "all", "wipe"))
        if name == "all":
            back = losses.lose_all_processes()
        elif name == "wipe":
            back = losses.wipe_while_the_others_lose_power()
        else:
            back = losses.lose(name)
        stage.through(back)


PLANS: dict[Kind, Callable[[Stage], None]] = {
    Kind.PACED: paced,
    Kind.RACES: races,
    Kind.HUNDREDS: hundreds,
    Kind.DISKS: disks,
}


def play_world(
    seed: int,
    kind: Kind | None = None,
    change: Callable[[World], None] | None = None,
    judged: Collection[str] | None = None,
) -> Result:
    """Play a seed of this kind, or of the one that the seed names; raises `Violation`."""
    kind = kind or OF_HUNDRED[seed % len(OF_HUNDRED)]
    if kind in (Kind.SHORT, Kind.MIXED):
        return play(seed, change, 1 if kind is Kind.SHORT else None, judged=judged)
    stage = begin(seed, change, judged)
    PLANS[kind](stage)
    for each in stage.races:
        each.stopped = True
    recovery = finish(stage.world, stage.history, stage.operators)
    result = result_of(stage.seed, stage.size, stage.world, stage.history, recovery, stage.losses.done)
    result.longest_outage_s = stage.longest_outage_s
    return result

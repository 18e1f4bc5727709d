"""The operators' worst days, played at random on the simulated deployment of the distribution.

Many seeds: `python -m tests.fleet.distribution_days --seeds 2000 --from 0 --processes 2`.
"""

from __future__ import annotations

import argparse
import collections
import multiprocessing
import sys
import traceback
from collections.abc import Callable
from dataclasses import dataclass

from .distribution_day_world import LEAVING_S, DayWorld
from .distribution_machines import Machine
from .distribution_timeline import InvariantViolationError
from .distribution_world import RATE, setUpModule

DRIFT = 0.01
SLOW_LINK_BYTES_PER_S = 625_000.0  # 5 Mbit/s
SLOW_LINK_BODY_BYTES = 4_000  # compressed; a home of 11 others is at 40 % of its link then
SLOW_PLATFORM_S = (0.05, 0.3)  # there and back, each
CALM_S = 12.0
PROGRESS = 250  # seeds between two lines


@dataclass(frozen=True, slots=True)
class Played:
    """What a day was."""

    seed: int
    simulated_s: float
    checks: int
    commits: int
    terms: int
    replacements: int
    spent: int  # requests that were given tokens


class Day:
    """Troubles of one day."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.draw = DayWorld(seed=seed).random
        slow = self.draw.random() < 0.25
        self.world = DayWorld(
            seed=seed,
            edges=self.draw.choice((3, 6, 9)),
            zones=self.draw.choice((1, 2, 3)),
            core_size=self.draw.choice((3, 3, 4, 5)),
            loss=self.draw.choice((0.0, 0.0, 0.0, 0.02)),
            drift=DRIFT,
            link_bytes_per_s=SLOW_LINK_BYTES_PER_S if slow else 1e9,
            body_bytes=SLOW_LINK_BODY_BYTES if slow else 200,
        )
        self.commit_pause_s = 0.2 if slow else 0.03
        self.seconds = seconds
        self.platform_free_at = 0.0  # when it may be in trouble again
        self.core_free_at = 0.0  # when the core bears the next loss

    def play(self) -> Played:
        """The whole day, and calm at its end."""
        world, draw = self.world, self.draw
        self.begin()
        end = world.now + self.seconds
        while world.now < end:
            world.run(draw.uniform(0.05, 2.0))
            draw.choice(STEPS)(self)
        world.stop_loss()
        world.run(self.core_free_at - world.now if self.core_free_at > world.now else 0.0)
        world.run(max(0.0, max(self.thaws, default=0.0) - world.now))
        world.run(CALM_S)
        self.check_end()
        commits = world.committed[-1][2]
        spent = len(world.counted.admitted)
        return Played(world.seed, world.now, world.checks, commits, world.terms, world.replacements, spent)

    def begin(self) -> None:
        """Everything starts, and is used."""
        world = self.world
        self.thaws: list[float] = []
        world.run(3.0)
        world.commit()
        world.change_list()
        world.press(0.8 * RATE)
        world.run(4.0)

    def check_end(self) -> None:
        """All are there again, and no window of the day exceeded the quota."""
        world = self.world
        for machine in world.edge:
            if machine.process is not None and not world.in_touch(machine):
                raise InvariantViolationError(f"{machine.name} is not in touch after {CALM_S} s of calm")
        if world.checks == 0:
            raise InvariantViolationError("nobody was ever in touch")
        excess = world.quota_excess()
        if excess > 0.0:
            raise InvariantViolationError(f"quota: {excess:.0f} tokens too many in some window")

    # steps

    def commits(self) -> None:
        """One change, or many in a row."""
        count = self.draw.choice((1, 1, 3, 30))
        for _ in range(count):
            if self.world.core_works():
                self.world.commit()
            self.world.run(self.draw.uniform(0.5, 1.5) * self.commit_pause_s)

    def list_changes(self) -> None:
        self.world.change_list()

    def demand(self) -> None:
        self.world.press(self.draw.choice((0.1, 0.8, 2.0, 5.0)) * RATE)

    def resign(self) -> None:
        """The leader gives its lease back, once or several in turn: then nobody leads for as long as a reading takes,
        and lists are due as after a trouble of the platform."""
        times = self.draw.choice((1, 1, 4))
        for _ in range(times):
            self.world.resign()
            self.world.run(self.draw.uniform(0.0, 0.6))
            if times > 1:
                self.world.platform_calm_since = max(self.world.platform_calm_since, self.world.now)

    def core_cut(self) -> None:
        """A core machine is cut off from the others, both ways or one, with edges or without, or from edges too."""
        world, draw = self.world, self.draw
        machine, seconds = self._core_machine(draw.choice((0.5, 3.0, 22.0)))
        if machine is None:
            return
        others = [one for one in world.core if one is not machine]
        edges = draw.sample(world.edge, draw.randint(0, len(world.edge) - 1))
        kind = draw.choice(("core", "with edges", "from edges", "all"))
        aside = [machine, *edges] if kind == "with edges" else [machine]
        far = {"core": others, "with edges": others, "from edges": [*others, *edges], "all": [*others, *world.edge]}
        sources, targets = (aside, far[kind]) if draw.random() < 0.5 else (far[kind], aside)
        world.cut(sources, targets, seconds, both=draw.random() < 0.6)

    def edges_cut(self) -> None:
        """Some edges are cut off from the core, or from everybody, or from their zone."""
        world, draw = self.world, self.draw
        edges = draw.sample(world.edge, draw.randint(1, max(1, len(world.edge) // 2)))
        rest = [one for one in world.edge if one not in edges]
        targets = draw.choice((world.core, [*world.core, *rest], rest))
        seconds = draw.choice((0.3, 2.0, 6.0, 20.0))
        self._until(seconds)
        if targets:
            world.cut(edges, targets, seconds, both=draw.random() < 0.6)

    def core_freeze(self) -> None:
        machine, seconds = self._core_machine(self.draw.choice((0.8, 1.5, 4.0, 20.0)))
        if machine is not None and machine.running:
            self.world.freeze(machine, seconds)

    def core_kill(self) -> None:
        machine, seconds = self._core_machine(self.draw.uniform(0.3, 1.0))
        if machine is not None:
            self.world.kill(machine, restart_after=seconds)

    def core_replaced(self) -> None:
        """Seldom while edges are away: they would know nobody of the core any more."""
        if any(machine.process is not None and machine.troubles for machine in self.world.edge):
            return
        machine, _ = self._core_machine(3.0)
        if machine is not None:
            self.world.replace(machine)

    def core_restarts(self) -> None:
        """All processes of the core die at once."""
        if self.world.now < self.core_free_at:
            return
        self._core_busy(1.0)
        for machine in self.world.core:
            if machine.process is not None and not machine.frozen:
                self.world.kill(machine, restart_after=self.draw.uniform(0.2, 1.0))

    def edge_restart(self) -> None:
        machine = self._edge()
        if machine is not None:
            self.world.kill(machine, restart_after=self.draw.uniform(0.1, 3.0))

    def edge_freeze(self) -> None:
        machine, seconds = self._edge(), self.draw.choice((0.4, 2.0, 6.0, 20.0))
        if machine is not None:
            self._until(seconds)
            self.world.freeze(machine, seconds)

    def edge_leaves(self) -> None:
        machine = self._edge()
        if machine is not None:
            self._until(LEAVING_S + 0.2)
            self.world.leave(machine)

    def platform(self) -> None:
        """It is slow, or down."""
        if self.world.now < self.platform_free_at:
            return
        seconds = self.draw.uniform(0.5, 6.0)
        self.platform_free_at = self.world.now + seconds + 2.0
        self._until(seconds)
        self.world.platform_trouble(seconds, self.draw.choice((None, SLOW_PLATFORM_S, SLOW_PLATFORM_S)))

    def edge_slow(self) -> None:
        machine, seconds = self._edge(), self.draw.uniform(0.5, 4.0)
        if machine is not None and machine.slow_s == 0.0:
            self._until(seconds)
            self.world.slow(machine, self.draw.uniform(0.1, 1.0), seconds)

    def edges_come_and_go(self) -> None:
        living = [one for one in self.world.edge if one.running]
        machine = self._edge()
        if machine is not None and len(living) > 2 and self.draw.random() < 0.5:
            self.world.remove_edge(machine)
        elif len(living) < 12:
            self.world.add_edge()

    def _until(self, seconds: float) -> None:
        self.thaws.append(self.world.now + seconds)

    def _edge(self) -> Machine | None:
        """One that runs."""
        running = [one for one in self.world.edge if one.running]
        return self.draw.choice(running) if running else None

    def _core_machine(self, seconds: float) -> tuple[Machine | None, float]:
        """One of the core, the leader half of the time, if the core bears the loss; and for how long."""
        world = self.world
        running = [one for one in world.view if one.running]
        if world.now < self.core_free_at or len(running) < len(world.view):
            return None, seconds
        self._core_busy(seconds)
        leads = world.leader is not None and world.leader.running and self.draw.random() < 0.5
        return (world.leader if leads else self.draw.choice(running)), seconds

    def _core_busy(self, seconds: float) -> None:
        self.core_free_at = self.world.now + seconds + self.draw.choice((0.2, 2.0, 5.0))


STEPS: tuple[Callable[[Day], None], ...] = (
    Day.commits,
    Day.commits,
    Day.commits,
    Day.list_changes,
    Day.list_changes,
    Day.demand,
    Day.resign,
    Day.core_cut,
    Day.core_cut,
    Day.core_freeze,
    Day.core_kill,
    Day.core_replaced,
    Day.core_restarts,
    Day.edges_cut,
    Day.edges_cut,
    Day.edge_restart,
    Day.edge_freeze,
    Day.edge_slow,
    Day.edges_come_and_go,
    Day.edge_leaves,
    Day.platform,
)


def play(seed: int, seconds: float = 60.0) -> Played:
    """One day; InvariantViolationError where a checker finds something."""
    return Day(seed, seconds).play()


def attempt(seed: int) -> Played | tuple[int, str]:
    """Play one seed; a failure is told, with its seed."""
    try:
        return play(seed)
    except Exception as error:  # every failure is of interest here, with its seed
        return seed, f"{error}\n{traceback.format_exc(limit=-4)}"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--from", dest="first", type=int, default=0)
    parser.add_argument("--processes", type=int, default=1)
    options = parser.parse_args()
    setUpModule()
    played: list[Played] = []
    kinds: collections.Counter[str] = collections.Counter()
    with multiprocessing.Pool(options.processes) as pool:
        seeds = range(options.first, options.first + options.seeds)
        for outcome in pool.imap_unordered(attempt, seeds, chunksize=4):
            if isinstance(outcome, Played):
                played.append(outcome)
                if len(played) % PROGRESS == 0:
                    print(f"{len(played)} held, {kinds.total()} failed", flush=True)
                continue
            kinds[outcome[1].split("\n")[0].split(":")[-1][:60]] += 1
            if kinds.total() <= 10:
                print(f"seed {outcome[0]}: {outcome[1]}", flush=True)
    print(f"seeds {seeds.start} to {seeds.stop - 1}: {len(played)} held, {kinds.total()} failed {dict(kinds) or ''}")
    print(
        f"  simulated {sum(each.simulated_s for each in played) / 3600:.1f} h, "
        f"{sum(each.commits for each in played)} configurations, {sum(each.terms for each in played)} terms, "
        f"{sum(each.replacements for each in played)} core machines replaced, "
        f"{sum(each.checks for each in played)} checks in touch, {sum(each.spent for each in played)} requests"
    )
    return 1 if kinds else 0


if __name__ == "__main__":
    sys.exit(main())

"""Bounded exhaustive search: a fixed part of it, and faults that it has to find. See docs/fleet/exploration.md."""

from __future__ import annotations

import unittest

from tests.fleet.exploration import plants, roots
from tests.fleet.exploration.choices import parse, play
from tests.fleet.exploration.command import Task, total
from tests.fleet.exploration.search import Report, Search, describe, replay
from tests.fleet.simulation.checkers import Violation

MOST = 20_000  # transitions of one search; the bounds come first


class FixedPart(unittest.TestCase):
    def explore(self, aspect: str, size: int, depth: int, faults: int, moves: int, probe_every: int) -> None:
        """Exhaust these bounds from every root."""
        reports = []
        for root in roots.ROOTS:
            with self.subTest(root=root.name):
                report = Task(root.name, aspect, size, depth, faults, moves, MOST, probe_every).run()
                reports.append(report)
                self.assertIsNone(report.violation, f"\n{report}")
                self.assertTrue(report.exhausted, f"\n{report}")
                self.assertGreater(report.states, 0)
        print(f"{aspect}, {size} machines: {total(reports)}")

    def test_deliveries(self) -> None:
        self.explore("deliveries", 3, depth=4, faults=1, moves=0, probe_every=40)

    def test_deliveries_of_four(self) -> None:
        self.explore("deliveries", 4, depth=3, faults=1, moves=0, probe_every=40)

    def test_troubles(self) -> None:
        self.explore("troubles", 3, depth=2, faults=2, moves=1, probe_every=40)


class Planted(unittest.TestCase):
    """Each fault is found, by its consequence, within the bounds that its entry names; the right code isn't."""

    def search(self, plant: plants.Plant, there: bool) -> Report:
        world = roots.begin(roots.BY_NAME[plant.root], 3, plant.timing if there else None, plant.checks)
        with plants.planted(plant if there else None):
            return Search(plant.root, 3, world, plant.bounds, MOST).run()

    def test_each_is_found(self) -> None:
        for plant in plants.PLANTS:
            with self.subTest(plant=plant.name):
                report = self.search(plant, there=True)
                assert report.violation is not None, f"not found\n{report}"
                self.assertIn(report.violation.check, plant.checks)
                self.assertGreater(len(report.schedule), 0)

    def test_none_is_seen_in_the_right_code(self) -> None:
        for plant in plants.PLANTS:
            with self.subTest(plant=plant.name):
                report = self.search(plant, there=False)
                self.assertIsNone(report.violation, f"\n{report}")
                self.assertTrue(report.exhausted, f"\n{report}")

    def test_counterexample_is_replayed_from_its_text(self) -> None:
        plant = plants.BY_NAME["epoch_not_compared"]
        found = self.search(plant, there=True)
        told: list[str] = []
        world = roots.begin(roots.BY_NAME[plant.root], 3)
        with plants.planted(plant), self.assertRaises(Violation) as caught:
            replay(world, [parse(str(each)) for each in found.schedule], told.append)
        self.assertEqual(str(caught.exception), str(found.violation))
        self.assertIn(f"1. {found.schedule[0]}", told)


class Copies(unittest.TestCase):
    def test_a_step_leaves_saved_states_alone(self) -> None:
        world = roots.begin(roots.BY_NAME["epoch_sealed"], 3)
        saved = world.save()
        key = saved.key()
        world.calm(1.0)
        self.assertNotEqual(world.save().key(), key)
        world.load(saved)
        self.assertEqual(world.save().key(), key)

    def test_saved_steps_and_steps_in_one_go_come_to_the_same_state(self) -> None:
        schedule = ("sync 0", "deliver 0 1", "crash 2 synced", "restart 2", "calm 0.3")
        one = roots.begin(roots.BY_NAME["epoch_being_sealed"], 3)
        for text in schedule:
            play(one, parse(text))
        other = roots.begin(roots.BY_NAME["epoch_being_sealed"], 3)
        for text in schedule:
            saved = other.save()
            play(other, parse("calm 0.3"))
            other.load(saved)
            play(other, parse(text))
        self.assertEqual(describe(one), describe(other))
        for here, there in zip(one.machines, other.machines, strict=True):
            self.assertEqual(here.state.records, there.state.records)

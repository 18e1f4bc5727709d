"""Days by point for the operators' bench, and what their player reads from a report: without the bench."""

from __future__ import annotations

import tomllib
import unittest

from benchmarks.fleet_days.player import outcome_of
from benchmarks.fleet_days.points import LAST_LOSS_S, POINTS, SHORTEST_DAY_S, day_of

SEEDS = range(1, 6)


class Days(unittest.TestCase):
    """`day_of`."""

    def test_the_same_point_and_seed_give_the_same_day(self) -> None:
        for point in POINTS:
            self.assertEqual(day_of(point, 3).toml(), day_of(point, 3).toml())
            self.assertNotEqual(day_of(point, 3).troubles, day_of(point, 4).troubles)

    def test_every_day_is_long_and_its_troubles_begin_within_it(self) -> None:
        for point in POINTS:
            for seed in SEEDS:
                day = day_of(point, seed)
                with self.subTest(day.name):
                    self.assertGreaterEqual(day.length_s, SHORTEST_DAY_S)
                    self.assertTrue(all(0.0 < trouble.at < day.length_s for trouble in day.troubles))

    def test_the_file_tells_planned_work_apart_from_faults(self) -> None:
        for point in POINTS:
            day = day_of(point, 1)
            file = tomllib.loads(day.toml())
            self.assertEqual(file["seed"], day.seed)
            self.assertEqual(file["closing"]["kind"], day.closing.kind if day.closing else None)
            for planned, name in ((True, "plan"), (False, "faults")):
                written = [(entry["at"], entry["kind"]) for entry in file[name]]
                self.assertEqual(written, [(one.at, one.kind) for one in day.troubles if one.planned is planned])

    def test_cuts_of_the_core_last_twenty_seconds(self) -> None:
        for seed in SEEDS:
            cuts = [one for one in day_of("core_cuts", seed).troubles if one.kind == "core_cut"]
            self.assertGreaterEqual(len(cuts), 3)
            self.assertGreaterEqual(min(cut.for_s or 0.0 for cut in cuts), 20.0)

    def test_the_last_losses_end_in_lost_disks(self) -> None:
        for seed in SEEDS:
            day = day_of("losses", seed)
            self.assertEqual(day.closing.kind if day.closing else None, "wipe_after_ack")
            self.assertLessEqual(day.length_s - day.troubles[-1].at, LAST_LOSS_S + 0.1)

    def test_hundreds_of_changes_come_before_the_losses(self) -> None:
        for seed in SEEDS:
            storm = day_of("many_changes", seed).troubles[0]
            self.assertEqual(storm.kind, "config_storm")
            self.assertGreaterEqual(storm.count or 0, 200)


class Reports(unittest.TestCase):
    """`outcome_of`."""

    def test_a_broken_rule_or_a_fault_is_not_good(self) -> None:
        kept = {"served": 0.9, "breaks": {}, "first": [], "fault": None}
        self.assertTrue(outcome_of("day", kept).good)
        self.assertFalse(outcome_of("day", kept | {"breaks": {"CONFIG": 1}}).good)
        self.assertFalse(outcome_of("day", kept | {"fault": "a process ended"}).good)

    def test_the_line_names_rules_and_the_first_break(self) -> None:
        first = [{"rule": "CONFIG", "at_s": 3.5, "what": "an older one was read", "history": []}]
        line = outcome_of("day", {"served": 0.9, "breaks": {"CONFIG": 2}, "first": first, "fault": None}).line()
        self.assertIn("CONFIG 2", line)
        self.assertIn("CONFIG at 3.5 s: an older one was read", line)

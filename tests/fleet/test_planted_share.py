"""A fixed share of the planted faults, each against the test recorded to find it; and what the tool plants.

Where the sources have changed so that another test finds a fault, the other direct tests are asked, too.
"""

from __future__ import annotations

import hashlib
import tempfile
import unittest
from pathlib import Path

from tests.fleet.planted_faults import records
from tests.fleet.planted_faults.areas import AREAS
from tests.fleet.planted_faults.faults import Fault, faults_in, faults_of
from tests.fleet.planted_faults.play import Player
from tests.fleet.planted_faults.trial import ROOT

SHARE = 16
PROCESSES = 2
SHARED_AREAS = ("coordination", "storage")
QUICK = f"{records.PREFIX}test_planted_"

SOURCE = """
LEASE_S = 2.0


class Memory:
    def _apply_term(self, term):
        if term.number <= self.term.number:
            return
        self.term, self.since = term, None

    def message(self):
        return Term(number=self.number, holder=self.holder)


def decide(disk, now, one, other):
    until = max(one.until, now + LEASE_S)
    disk.after(3, one.grant)
    return until if one.ready and other.ready else None
"""


class Share(unittest.TestCase):
    """The same faults every time, by the hash of their ids."""

    def chosen(self) -> list[tuple[Fault, records.Row]]:
        found: list[tuple[Fault, records.Row]] = []
        for area in AREAS:
            if area.name in SHARED_AREAS:
                known = records.load(area.name)
                faults = faults_in(ROOT, area.paths(ROOT))
                found += [(fault, known[fault.id]) for fault in faults if fault.id in known]
        quick = [each for each in found if each[1].test.startswith(QUICK)]
        return sorted(quick, key=lambda each: hashlib.sha256(each[0].id.encode()).digest())[:SHARE]

    def test_a_share_is_found(self) -> None:
        chosen = self.chosen()
        self.assertEqual(len(chosen), SHARE)
        player = Player(PROCESSES)
        self.addCleanup(player.close)
        areas = [area for area in AREAS if area.name in SHARED_AREAS]
        tests = [name for area in areas for name in area.test_modules(ROOT) if name.startswith(QUICK)]
        player.check_baseline([*tests, *sorted({row.test for _, row in chosen})])
        self.assertEqual(player.unfound(chosen, tests), [])


class Lists(unittest.TestCase):
    """The lists that are checked in fit the sources."""

    def test_excused_faults_exist_and_have_a_reason(self) -> None:
        excused = records.excused()
        paths = {f"rosechute/{name.partition(':')[0]}" for name in excused}
        existing = {fault.id for fault in faults_in(ROOT, sorted(paths))}
        for name, reason in excused.items():
            with self.subTest(fault=name):
                self.assertIn(name, existing)
                self.assertGreater(len(reason), 20)


class Kinds(unittest.TestCase):
    """What is planted into a small source."""

    def setUp(self) -> None:
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        (Path(place.name) / "module.py").write_text(SOURCE, encoding="utf-8")
        self.faults = {fault.id: fault for fault in faults_of(Path(place.name), "module.py")}

    def assert_plants(self, name: str, planted: str) -> None:
        self.assertIn(f"module.py:{name}", self.faults)
        self.assertIn(planted, self.faults[f"module.py:{name}"].source)

    def test_condition_dropped_and_turned(self) -> None:
        guard = "term.number <= self.term.number"
        self.assert_plants(f"Memory._apply_term:drop-guard: {guard}", "if (False):\n            return")
        self.assert_plants(f"Memory._apply_term:turn-condition: {guard}", f"if (not ({guard})):")
        self.assert_plants("decide:drop-operand: one.ready of one.ready and other.ready", "until if ((other.ready))")

    def test_field_not_saved(self) -> None:
        self.assert_plants("Memory.message:drop-field: Term(number=self.number)", "return Term(holder=self.holder)")
        assignment = "self.term, self.since = (term, None)"
        self.assert_plants(f"Memory._apply_term:drop-assignment: self.term of {assignment}", "  self.since = None")

    def test_sync_not_awaited(self) -> None:
        self.assert_plants("decide:no-sync: disk.after(3, one.grant)", "    (one.grant)()\n")

    def test_margin_zero_and_newest_not_taken(self) -> None:
        self.assert_plants("module:zero: LEASE_S", "LEASE_S = 0\n")
        self.assert_plants("decide:no-margin: LEASE_S of now + LEASE_S", "max(one.until, (now))")
        self.assert_plants("decide:no-max: one.until for max(one.until, now + LEASE_S)", "until = (one.until)")

    def test_nothing_else_is_changed(self) -> None:
        for fault in self.faults.values():
            changed = [
                pair
                for pair in zip(SOURCE.splitlines(), fault.source.splitlines(), strict=True)
                if pair[0] != pair[1]
            ]
            self.assertEqual(len(changed), 1, fault.id)

"""Tests of the core section of the state page: all fields, and the values of unknown fields."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import TestCase

from rosechute.control_plane.core_report import build_core_report
from rosechute.coordination.outcomes import CommittedConfiguration
from rosechute.coordination.replica_config import MachineIdentity

OWN = MachineIdentity("a", "core-a", "z", "10.0.0.1:8367", "10.0.0.1:7500")
OTHER = MachineIdentity("b", "core-b", "z", "10.0.0.2:8367", "10.0.0.2:7500")


def reported_replica(**fields: Any) -> Any:
    """Return a fake replica with all fields known; `fields` override attributes."""
    view = SimpleNamespace(epoch=7, acceptors=(OWN, OTHER), chain=("b", "a", "gone"))
    known = {
        "view": view,
        "identity": OWN,
        "term": 5,
        "committed": CommittedConfiguration(3, 40, b"", b""),
        "is_leader": lambda now: now == 9.0,
        "leader_hint": lambda: OTHER,
        "freshness": lambda now: (3, 0.25),
    }
    return SimpleNamespace(**(known | fields))


class CoreReportTest(TestCase):
    def test_all_fields_known(self) -> None:
        found = build_core_report(reported_replica(), 9.0, 0.125, 12)
        self.assertEqual((found.id, found.leader, found.leader_name, found.term), ("a", True, "core-b", 5))
        self.assertEqual((found.epoch, found.acceptors), (7, ["core-a", "core-b"]))
        self.assertEqual(found.chain, ["core-b", "core-a", "gone"])
        self.assertEqual((found.config_sequence, found.config_version, found.config_age_ms), (3, 40, 250))
        self.assertEqual((found.write_age_ms, found.edges), (125, 12))

    def test_unknown_fields(self) -> None:
        nothing = {"committed": None, "leader_hint": lambda: None, "freshness": lambda now: None}
        found = build_core_report(reported_replica(**nothing), 8.0, 0.0, 0)
        self.assertEqual((found.leader, found.leader_name, found.config_age_ms), (False, "", None))
        self.assertEqual((found.config_sequence, found.config_version), (0, 0))

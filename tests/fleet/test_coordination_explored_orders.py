"""Orders of events that the exhaustive search has found, brought down to their shortest form."""

from __future__ import annotations

import unittest

from rosechute.coordination.replica_state import ReplicaState
from tests.fleet.exploration import roots
from tests.fleet.exploration.invariants import on_disk

PARTS = tuple(ReplicaState.__dataclass_fields__)


class OldRecordsBehindANewerSnapshot(unittest.TestCase):
    """`memory.py` allows it: a log may follow a whole record that was made later than its first records."""

    def differing(self, root: roots.Root) -> list[str]:
        """The parts of a machine's memory that its old log changes behind its newest snapshot."""
        found = []
        for machine in roots.begin(root, 3).machines:
            if machine.replica is None:
                continue
            snapshot = tuple(machine.replica.snapshot())
            alone, followed = on_disk(snapshot), on_disk((*snapshot, *machine.state.records))
            found += [part for part in PARTS if getattr(alone, part) != getattr(followed, part)]
        return found

    def test_change_nothing(self) -> None:
        for root in roots.ROOTS:
            with self.subTest(root=root.name):
                self.assertEqual(self.differing(root), [])

    def test_an_adoption_of_an_earlier_epoch_adopts_no_undecided_view(self) -> None:
        """A leader's first ballots of two epochs were the same: an old adoption took the new proposal for its own."""
        world = roots.begin(roots.BY_NAME["epoch_sealed"], 3)
        leader = world.machines[roots.LEADER]
        assert leader.replica is not None
        replica_state = leader.replica._context.replica_state
        self.assertIsNotNone(replica_state.accepted, "accepted, and not decided")
        behind = on_disk((*leader.replica.snapshot(), *leader.state.records))
        self.assertEqual(behind.view, replica_state.view)

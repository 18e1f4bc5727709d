"""Orders that are sent again: after many later ones, at every machine, after starts from snapshots, beyond memory."""

from __future__ import annotations

import unittest
from unittest import mock

from rosechute.coordination import OutcomeUnknown, Redirect, VersionConflict, WriteAcknowledged, WriteRequest, views
from tests.fleet.simulation.cluster import Cluster
from tests.fleet.simulation.operators import order_of
from tests.fleet.simulation.world import Machine

REMEMBERED = 8  # taken orders, in the test of what is forgotten
ANSWERED_S = 1.2


def send_everywhere(cluster: Cluster, order: WriteRequest) -> dict[Machine, object]:
    """Send an order to each machine in turn; the answer of each."""
    answers: dict[Machine, object] = {}
    for machine in cluster.machines:
        outcomes = cluster.propose_write(machine, order)
        cluster.run_until(outcomes.__len__, ANSWERED_S)
        answers[machine] = outcomes[0]
    return answers


def take(cluster: Cluster, count: int) -> None:
    """So many orders, one after the other."""
    for _ in range(count):
        outcomes = cluster.propose_write(cluster.role("head"), cluster.make())
        assert cluster.run_until(outcomes.__len__, ANSWERED_S)
        assert isinstance(outcomes[0], WriteAcknowledged)


class Repeats(unittest.TestCase):
    def test_after_later_orders_at_every_machine(self) -> None:
        cluster = Cluster(3, compaction=0.03)
        first = cluster.settle()
        for later in (1, 9, 490):
            take(cluster, later)
            cluster.run(0.5)
            answers = send_everywhere(cluster, first)
            self.assertEqual(set(answers.values()), {WriteAcknowledged(first.version)})

    def test_at_machines_that_never_saw_it_or_start_from_a_snapshot(self) -> None:
        for size in (3, 4, 5):
            with self.subTest(size=size):
                cluster = Cluster(size, compaction=1.0)
                first = cluster.settle()
                take(cluster, 10)
                old = cluster.machines[0]
                old.kill()
                old.removed = True
                cluster.world.add_machine("another", "10.9.1.1").start()
                cluster.run(4.0)
                answers = send_everywhere(cluster, first)
                self.assertEqual(set(answers.values()), {WriteAcknowledged(first.version)})
                cluster.restart(cluster.machines)
                cluster.run(4.0)
                answers = send_everywhere(cluster, first)
                self.assertEqual(set(answers.values()), {WriteAcknowledged(first.version)})

    def test_bytes_that_differ_by_a_space_are_another_order(self) -> None:
        cluster = Cluster(3)
        base = cluster.settle().version
        one, other = order_of(base, base + 1, b'{"a": 1}'), order_of(base, base + 1, b'{"a": 1} ')
        answers = [cluster.propose_write(cluster.role("head"), each) for each in (one, other)]
        cluster.run(ANSWERED_S)
        self.assertEqual(answers, [[WriteAcknowledged(base + 1)], [VersionConflict(base + 1)]])
        again = send_everywhere(cluster, other)
        self.assertTrue(all(isinstance(each, VersionConflict | Redirect) for each in again.values()), again)
        self.assertEqual(set(send_everywhere(cluster, one).values()), {WriteAcknowledged(base + 1)})

    def test_orders_that_are_no_longer_remembered_get_no_certain_answer(self) -> None:
        with mock.patch.object(views, "MAX_APPLIED_WRITES", REMEMBERED):
            cluster = Cluster(3)
            first = cluster.settle()
            take(cluster, REMEMBERED - 1)
            cluster.run(0.5)
            self.assertEqual(set(send_everywhere(cluster, first).values()), {WriteAcknowledged(first.version)})
            take(cluster, 1)
            cluster.run(0.5)
            head = cluster.propose_write(cluster.role("head"), first)
            cluster.run(ANSWERED_S)
            self.assertEqual(head, [OutcomeUnknown()])
            never = cluster.propose_write(cluster.role("head"), cluster.make(base=first.version + 2))
            cluster.run(ANSWERED_S)
            self.assertEqual(never, [VersionConflict(cluster.version())])


if __name__ == "__main__":
    unittest.main()

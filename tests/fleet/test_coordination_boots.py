"""Late bytes of a process that has ended, which arrive after those of its successor."""

from __future__ import annotations

import itertools
import unittest
from typing import Any

from tests.fleet.simulation.cluster import Cluster, kind
from tests.fleet.simulation.world import Machine

REACHED_AGAIN_WITHIN_S = 1.5


def late_bytes_after_the_successors(cluster: Cluster) -> tuple[Machine, Machine]:
    """A receiver restarts behind a cut; a sender's heartbeats to it are held up, and the sender is restarted.

    After the cut the successor's heartbeats come first, then those of the process that has ended: its connection was
    closed in order, so the kernel still delivers what it had taken. Sender and receiver.
    """
    cluster.settle()
    sender, receiver = cluster.machines[:2]
    held: list[tuple[Machine, Any]] = []

    def take(source: Machine, target: Machine, message: Any) -> bool:
        if source is not sender or target is not receiver:
            return False
        held.append((target, message))
        return True

    cluster.world.network.intercept = take
    cluster.restart([receiver])
    held.clear()
    cluster.run(1.0)
    late = next(message for _, message in held if kind(message) == "heartbeat")
    cluster.restart([sender])
    cluster.world.network.intercept = None
    cluster.run(0.5)
    cluster.world.network.release([(receiver, late)])
    cluster.run(REACHED_AGAIN_WITHIN_S)
    return sender, receiver


def late_bytes_both_ways(cluster: Cluster) -> tuple[Machine, Machine]:
    """The same between two machines in both directions: neither answers the running process of the other."""
    cluster.settle()
    one, other = cluster.machines[:2]
    held: list[tuple[Machine, Any]] = []

    def take(source: Machine, target: Machine, message: Any) -> bool:
        if {source, target} != {one, other}:
            return False
        held.append((target, message))
        return True

    cluster.world.network.intercept = take
    cluster.run(0.5)
    late = [(target, message) for target, message in held if kind(message) == "heartbeat"][-2:]
    cluster.restart([one, other])
    cluster.world.network.intercept = None
    cluster.run(0.5)
    cluster.world.network.release(late)
    cluster.run(REACHED_AGAIN_WITHIN_S)
    return one, other


class LateBytes(unittest.TestCase):
    def test_running_process_is_heard_again(self) -> None:
        for schedule in (late_bytes_after_the_successors, late_bytes_both_ways):
            for size, seed in itertools.product((3, 4, 5), range(3)):
                with self.subTest(schedule=schedule.__name__, size=size, seed=seed):
                    cluster = Cluster(size, seed)
                    one, other = schedule(cluster)
                    for source, target in ((one, other), (other, one)):
                        detector = cluster.replica(target)._context.failure_detector
                        self.assertIn(cluster.replica(source).identity.id, detector.reachable_ids(target.now()))
                    cluster.run(2.0)
                    self.assertEqual(len(cluster.newest_view().chain), size)


if __name__ == "__main__":
    unittest.main()

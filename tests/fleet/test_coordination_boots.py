"""Late bytes of a process that has ended, which arrive after those of its successor."""

from __future__ import annotations

import unittest
from typing import Any

from tests.fleet.simulation.cluster import Cluster, kind
from tests.fleet.simulation.world import Machine

REACHED_AGAIN_WITHIN_S = 1.0


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


class LateBytes(unittest.TestCase):
    def test_successor_is_heard_again(self) -> None:
        for size in (3, 4, 5):
            for seed in range(3):
                with self.subTest(size=size, seed=seed):
                    cluster = Cluster(size, seed)
                    sender, receiver = late_bytes_after_the_successors(cluster)
                    detector = cluster.replica(receiver)._context.detector
                    self.assertIn(cluster.replica(sender).identity.id, detector.reached(receiver.now()))
                    cluster.run(2.0)
                    self.assertEqual(len(cluster.newest_view().chain), size)


if __name__ == "__main__":
    unittest.main()

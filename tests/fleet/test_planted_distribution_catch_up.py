"""Anti-entropy: when a topic that is behind is fetched."""

from __future__ import annotations

import math
import unittest

from rosechute.distribution import catch_up
from rosechute.distribution.catch_up import CatchUp
from tests.fleet.distribution_builders import LEADER, NOW, OTHER


class CatchUpTest(unittest.TestCase):
    def setUp(self) -> None:
        self.catch_up = CatchUp()

    def test_fetches_back_off_until_the_position_is_applied(self) -> None:
        self.catch_up.on_newer_position("x", (0, 4), LEADER, NOW)
        self.assertEqual(self.catch_up.next_due(), NOW)
        times = []
        for step in range(0, 700):
            for topic, source, attempt in self.catch_up.due(NOW + step / 100):
                self.assertEqual((topic, source, attempt), ("x", LEADER, len(times)))
                times.append(step / 100)
        self.assertEqual(times, [0.0, 0.5, 1.5, 3.5, 5.5])
        self.catch_up.on_position_applied("x", (0, 3))
        self.assertLess(self.catch_up.next_due(), math.inf)
        self.catch_up.on_position_applied("x", (0, 4))
        self.assertEqual(self.catch_up.next_due(), math.inf)
        self.catch_up.on_position_applied("x", (0, 4))

    def test_a_newer_position_of_another_source_restarts_the_backoff(self) -> None:
        self.catch_up.on_newer_position("x", (0, 4), LEADER, NOW)
        self.catch_up.due(NOW)
        self.catch_up.on_newer_position("x", (0, 4), OTHER, NOW)
        self.assertEqual(self.catch_up.due(NOW + 0.5), [("x", LEADER, 1)])
        self.catch_up.on_newer_position("x", (0, 5), OTHER, NOW + 9.0)
        self.assertEqual(self.catch_up.due(NOW + 1.5), [("x", OTHER, 0)])
        self.catch_up.on_position_applied("x", (0, 4))
        self.assertLess(self.catch_up.next_due(), math.inf)

    def test_times(self) -> None:
        self.assertGreater(catch_up.PATIENCE_S, 0.05)
        self.assertGreater(catch_up.PATIENCE_PER_EDGE_S, 0.0)


if __name__ == "__main__":
    unittest.main()

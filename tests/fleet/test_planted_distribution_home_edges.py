"""Selection of home edges by rendezvous hashing."""

from __future__ import annotations

import unittest

from rosechute.distribution.home_edges import home_edge, rendezvous_weight


class HomesTest(unittest.TestCase):
    def test_the_same_home_whatever_the_order(self) -> None:
        names = [f"edge-{number}" for number in range(8)]
        for topic in ("x", "y", "z"):
            found = home_edge(topic, names)
            self.assertEqual(found, home_edge(topic, names[::-1]))
            self.assertEqual(found, max(names, key=lambda name, topic=topic: rendezvous_weight(topic, name)))  # type: ignore[misc]
            self.assertEqual(
                home_edge(topic, [name for name in names if name != "edge-0" or found == "edge-0"]), found
            )
        self.assertIsNone(home_edge("x", []))
        self.assertGreater(len({home_edge(f"topic-{number}", names) for number in range(40)}), 4)


if __name__ == "__main__":
    unittest.main()

"""How long the requests of a route take: shares, the longest, and what is too little to tell."""

from __future__ import annotations

import unittest

from rosechute.data_plane.durations import KEPT, LEAST_FOR_LONGEST, LEAST_FOR_SHARE, RouteDurations


class Durations(unittest.TestCase):
    def test_nothing_is_told_by_too_few(self) -> None:
        durations = RouteDurations()
        for count in range(1, LEAST_FOR_LONGEST):
            durations.add("a", 1.0)
            self.assertEqual(durations.within_s("a", 0.5) is None, count < LEAST_FOR_SHARE)
            self.assertIsNone(durations.longest_s("a"))
        durations.add("a", 1.0)
        self.assertEqual(durations.longest_s("a"), 1.0)
        self.assertIsNone(durations.within_s("b", 0.5))

    def test_a_share_of_the_newest_ones(self) -> None:
        durations = RouteDurations()
        for number in range(1000, 0, -1):
            durations.add("a", float(number))
        self.assertEqual(durations.longest_s("a"), float(KEPT))
        self.assertEqual(durations.within_s("a", 0.75), KEPT * 0.75 + 1.0)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        durations = RouteDurations()
        for route in ("a", "b"):
            for _ in range(LEAST_FOR_SHARE):
                durations.add(route, 1.0)
        durations.keep({"b", "c"})
        self.assertIsNone(durations.within_s("a", 0.5))
        self.assertEqual(durations.within_s("b", 0.5), 1.0)

"""Statistics of request durations: quantiles, maximum and minimum number of samples."""

from __future__ import annotations

import unittest

from rosechute.data_plane.route_durations import (
    MIN_SAMPLES_FOR_MAXIMUM,
    MIN_SAMPLES_FOR_QUANTILE,
    SAMPLES_PER_ROUTE,
    RouteDurations,
)


class RouteDurationsTest(unittest.TestCase):
    def test_no_statistics_with_too_few_samples(self) -> None:
        durations = RouteDurations()
        for count in range(1, MIN_SAMPLES_FOR_MAXIMUM):
            durations.add("a", 1.0)
            self.assertEqual(durations.quantile_s("a", 0.5) is None, count < MIN_SAMPLES_FOR_QUANTILE)
            self.assertIsNone(durations.maximum_s("a"))
        durations.add("a", 1.0)
        self.assertEqual(durations.maximum_s("a"), 1.0)
        self.assertIsNone(durations.quantile_s("b", 0.5))

    def test_quantile_of_most_recent_samples(self) -> None:
        durations = RouteDurations()
        for number in range(1000, 0, -1):
            durations.add("a", float(number))
        self.assertEqual(durations.maximum_s("a"), float(SAMPLES_PER_ROUTE))
        self.assertEqual(durations.quantile_s("a", 0.75), SAMPLES_PER_ROUTE * 0.75 + 1.0)

    def test_retain_removes_other_routes(self) -> None:
        durations = RouteDurations()
        for route in ("a", "b"):
            for _ in range(MIN_SAMPLES_FOR_QUANTILE):
                durations.add(route, 1.0)
        durations.retain({"b", "c"})
        self.assertIsNone(durations.quantile_s("a", 0.5))
        self.assertEqual(durations.quantile_s("b", 0.5), 1.0)

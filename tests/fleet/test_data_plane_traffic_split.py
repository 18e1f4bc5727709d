"""Shares of a `traffic_split`: each part gets its weight's share of the requests, also over many edges."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from rosechute.configuration.operator import Route, TrafficSplit
from rosechute.data_plane.traffic_split import SplitSequences

WEIGHTS = ((90.0, 10.0), (50.0, 50.0), (70.0, 20.0, 10.0), (1.0, 99.0))
REQUESTS = 300
OFF = 0.03  # of all requests that a part's share may be off its weight's


def route(weights: tuple[float, ...], name: str = "r") -> Route:
    parts = tuple(TrafficSplit(service=f"s{index}", weight=weight) for index, weight in enumerate(weights))
    return Route(name=name, host="h", path_prefix="/", timeout_ms=1, traffic_split=parts)


class TrafficSplitTest(unittest.TestCase):
    def shares(self, weights: tuple[float, ...], edges: int, seed: int) -> list[float]:
        """Shares of requests that come to edges at random."""
        draw = random.Random(seed)
        sequences = [SplitSequences(draw.random) for _ in range(edges)]
        counted: Counter[str] = Counter()
        for _ in range(REQUESTS):
            sequence = draw.choice(sequences)
            counted[route(weights).pick_service(lambda sequence=sequence: sequence.next_point("r"))] += 1  # type: ignore[misc]
        return [counted[f"s{index}"] / REQUESTS for index in range(len(weights))]

    def test_each_part_gets_its_share_over_one_edge_and_over_sixty(self) -> None:
        for edges in (1, 6, 60):
            for weights in WEIGHTS:
                for seed in range(40):
                    with self.subTest(edges=edges, weights=weights, seed=seed):
                        for share, weight in zip(self.shares(weights, edges, seed), weights, strict=True):
                            self.assertLess(abs(share - weight / sum(weights)), OFF + 0.02 * (edges == 60))

    def test_any_run_of_one_edge_is_even(self) -> None:
        sequence = SplitSequences(random.Random(1).random)
        parts = [sequence.next_point("r") < 0.3 for _ in range(2_000)]
        for length in (10, 50, 200):
            for start in range(0, 1_500, 7):
                self.assertLessEqual(abs(sum(parts[start : start + length]) - 0.3 * length), 2.0)

    def test_routes_have_sequences_of_their_own(self) -> None:
        sequences = SplitSequences(lambda: 0.25)
        self.assertEqual([sequences.next_point(name) for name in ("a", "b")], [0.25, 0.25])
        self.assertNotEqual(sequences.next_point("a"), 0.25)

    def test_routes_that_are_gone_are_forgotten(self) -> None:
        sequences = SplitSequences(lambda: 0.25)
        for name in ("a", "b"):
            sequences.next_point(name)
        sequences.retain({"a"})
        self.assertNotEqual(sequences.next_point("a"), 0.25)
        self.assertEqual(sequences.next_point("b"), 0.25)


if __name__ == "__main__":
    unittest.main()

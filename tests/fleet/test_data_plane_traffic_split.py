"""`traffic_split`: each service gets its share of the requests, also over many edges."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from rosechute.configuration.operator import Route, TrafficSplit
from rosechute.data_plane.traffic_split import SplitSequences

WEIGHTS = ((90.0, 10.0), (50.0, 50.0), (70.0, 20.0, 10.0), (1.0, 99.0))
REQUESTS = 300
MAX_SHARE_ERROR = 0.03  # maximum difference between a measured share and the share by weight


def route(weights: tuple[float, ...], name: str = "r") -> Route:
    parts = tuple(TrafficSplit(service=f"s{index}", weight=weight) for index, weight in enumerate(weights))
    return Route(name=name, host="h", path_prefix="/", timeout_ms=1, traffic_split=parts)


class TrafficSplitTest(unittest.TestCase):
    def measured_shares(self, weights: tuple[float, ...], edges: int, seed: int) -> list[float]:
        """Return the measured share of each service for requests that reach random edges."""
        rng = random.Random(seed)
        sequences = [SplitSequences(rng.random) for _ in range(edges)]
        counts: Counter[str] = Counter()
        for _ in range(REQUESTS):
            sequence = rng.choice(sequences)
            counts[route(weights).pick_service(lambda sequence=sequence: sequence.next_point("r"))] += 1  # type: ignore[misc]
        return [counts[f"s{index}"] / REQUESTS for index in range(len(weights))]

    def test_shares_match_weights_over_any_number_of_edges(self) -> None:
        for edges in (1, 6, 60):
            for weights in WEIGHTS:
                for seed in range(40):
                    with self.subTest(edges=edges, weights=weights, seed=seed):
                        for share, weight in zip(self.measured_shares(weights, edges, seed), weights, strict=True):
                            self.assertLess(
                                abs(share - weight / sum(weights)), MAX_SHARE_ERROR + 0.02 * (edges == 60)
                            )

    def test_any_subsequence_at_one_edge_is_even(self) -> None:
        sequence = SplitSequences(random.Random(1).random)
        parts = [sequence.next_point("r") < 0.3 for _ in range(2_000)]
        for length in (10, 50, 200):
            for start in range(0, 1_500, 7):
                self.assertLessEqual(abs(sum(parts[start : start + length]) - 0.3 * length), 2.0)

    def test_routes_have_independent_sequences(self) -> None:
        sequences = SplitSequences(lambda: 0.25)
        self.assertEqual([sequences.next_point(name) for name in ("a", "b")], [0.25, 0.25])
        self.assertNotEqual(sequences.next_point("a"), 0.25)

    def test_retain_removes_other_routes(self) -> None:
        sequences = SplitSequences(lambda: 0.25)
        for name in ("a", "b"):
            sequences.next_point(name)
        sequences.retain({"a"})
        self.assertNotEqual(sequences.next_point("a"), 0.25)
        self.assertEqual(sequences.next_point("b"), 0.25)


if __name__ == "__main__":
    unittest.main()

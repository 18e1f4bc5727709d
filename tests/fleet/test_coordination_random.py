"""Random troubles on clusters of several sizes. `python -m tests.fleet.simulation` plays as many as one likes."""

from __future__ import annotations

import unittest

from tests.fleet.simulation.play import play

SEEDS_SHORT = 100
SEEDS_LONG = 5


class RandomTroubles(unittest.TestCase):
    def test_short(self) -> None:
        for seed in range(SEEDS_SHORT):
            with self.subTest(seed=seed):
                play(100_000 + seed, troubles=1, sizes=(3, 3, 4))

    def test_long(self) -> None:
        for seed in range(SEEDS_LONG):
            with self.subTest(seed=seed):
                play(seed)

"""Random troubles on clusters of several sizes. `python -m tests.fleet.simulation` plays as many as one likes."""

from __future__ import annotations

import unittest

from tests.fleet.simulation.play import play
from tests.fleet.simulation.worlds import Kind, play_world

SEEDS_SHORT = 150
SEEDS_LONG = 5
SEEDS_OF_KIND = {Kind.PACED: 24, Kind.RACES: 24, Kind.DISKS: 24, Kind.HUNDREDS: 2}


class RandomTroubles(unittest.TestCase):
    def test_short(self) -> None:
        for seed in range(SEEDS_SHORT):
            with self.subTest(seed=seed):
                play(100_000 + seed, troubles=1, sizes=(3, 3, 4))

    def test_long(self) -> None:
        for seed in range(SEEDS_LONG):
            with self.subTest(seed=seed):
                play(seed)

    def test_kinds_of_worlds(self) -> None:
        for kind, seeds in SEEDS_OF_KIND.items():
            for seed in range(seeds):
                with self.subTest(kind=kind.value, seed=seed):
                    play_world(200_000 + seed, kind)

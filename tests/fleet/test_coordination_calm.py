"""Calm clusters of several sizes: they form, take orders, refuse stale ones and answer reads."""

from __future__ import annotations

import hashlib
import unittest

from rosechute.coordination import Acknowledged, Configuration, Elsewhere, Order, Outcome, Stale
from tests.fleet.simulation.world import World


def make_order(world: World, base: int, version: int) -> Order:
    body = f"configuration {version} on {base}".encode()
    return Order(world.new_request(), base, version, body, hashlib.sha256(body).digest())


class Calm(unittest.TestCase):
    def test_sizes(self) -> None:
        for size in (1, 2, 3, 4, 5, 8):
            with self.subTest(size=size):
                self._play(size)

    def _play(self, size: int) -> None:
        world = World(size, size)
        world.bootstrap()
        world.run_until(6.0)
        for machine in world.machines:
            assert machine.replica is not None
            self.assertEqual(len(machine.replica.view.acceptors), size)
            self.assertEqual(len(machine.replica.view.chain), size)
        leaders = [each for each in world.machines if each.replica and each.replica.is_leader(each.now())]
        self.assertEqual(len(leaders), 1)
        outcomes: list[Outcome] = []
        order = make_order(world, 0, 3)
        for each in (order, make_order(world, 0, 5), order, make_order(world, 3, 4)):
            repeated = Order(world.new_request(), each.base_version, each.version, each.body, each.digest)
            world.submit(world.machines[0], repeated, lambda machine, outcome: outcomes.append(outcome))
            world.run_for(0.2)
        self.assertEqual(outcomes, [Acknowledged(3), Stale(3), Acknowledged(3), Acknowledged(4)])
        reads: list[Outcome] = []
        for machine in world.machines:
            world.read(machine, lambda machine, outcome: reads.append(outcome))
        world.run_for(0.2)
        self.assertEqual(sum(isinstance(each, Configuration) and each.version == 4 for each in reads), 1)
        self.assertEqual(sum(isinstance(each, Elsewhere) for each in reads), size - 1)

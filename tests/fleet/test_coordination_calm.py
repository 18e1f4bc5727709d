"""Calm clusters of several sizes: they form, take orders, refuse stale ones and answer reads."""

from __future__ import annotations

import hashlib
import unittest

from rosechute.coordination import Outcome, ReadResult, Redirect, VersionConflict, WriteAcknowledged, WriteRequest
from tests.fleet.simulation.world import World


def make_order(world: World, base: int, version: int) -> WriteRequest:
    body = f"configuration {version} on {base}".encode()
    return WriteRequest(world.new_request(), base, version, body, hashlib.sha256(body).digest())


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
            repeated = WriteRequest(world.new_request(), each.base_version, each.version, each.body, each.digest)
            world.propose_write(world.machines[0], repeated, lambda machine, outcome: outcomes.append(outcome))
            world.run_for(0.2)
        self.assertEqual(
            outcomes, [WriteAcknowledged(3), VersionConflict(3), WriteAcknowledged(3), WriteAcknowledged(4)]
        )
        reads: list[Outcome] = []
        for machine in world.machines:
            world.read(machine, lambda machine, outcome: reads.append(outcome))
        world.run_for(0.2)
        self.assertEqual(sum(isinstance(each, ReadResult) and each.version == 4 for each in reads), 1)
        self.assertEqual(sum(isinstance(each, Redirect) for each in reads), size - 1)

    def test_seeds_in_any_order(self) -> None:
        world = World(1, 4)
        world.seeds = lambda: world.random.sample(world.seed_list, 3)  # type: ignore[method-assign]
        world.bootstrap()
        world.run_until(3.0)
        views = {each.replica.view for each in world.machines if each.replica}
        self.assertEqual(len(views), 1)
        self.assertEqual(len(views.pop().chain), 4)

    def test_one_machine_starts_late(self) -> None:
        for size in (3, 4, 5):
            for late in range(size):
                with self.subTest(size=size, late=late):
                    world = World(late, size)
                    for machine in world.machines:
                        wait = 8.0 if machine is world.machines[late] else world.random.uniform(0.0, 0.3)
                        world.after(wait, machine.start, True)
                    world.run_until(3.5)
                    outcomes: list[Outcome] = []
                    order = make_order(world, 0, 1)
                    there = [each for each in world.machines if each.up]
                    views = [each.replica.view for each in there if each.replica]
                    head = max(views, key=lambda view: view.epoch).head()
                    assert head is not None
                    target = world.by_control(head.control_address)
                    assert target is not None
                    world.propose_write(target, order, lambda machine, outcome, into=outcomes: into.append(outcome))
                    world.run_for(0.3)
                    self.assertEqual(outcomes, [WriteAcknowledged(1)])
                    world.run_until(11.0)
                    self.assertEqual(
                        {len(each.replica.view.chain) for each in world.machines if each.replica}, {size}
                    )

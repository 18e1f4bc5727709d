"""Deployments of the distribution on a simulated network: calm days and hard cases, checked at every event."""

from __future__ import annotations

import unittest

from rosechute.distribution.home_edges import home_edge
from rosechute.distribution.home_subscriptions import SubscriptionState
from rosechute.distribution.topics import CONFIG_TOPIC, list_topic
from tests.fleet.distribution_machines import Machine
from tests.fleet.distribution_world import World, setUpModule, tearDownModule  # noqa: F401


def calm(world: World, seconds: float = 6.0) -> World:
    """Start, elect the first core machine, and let everybody find it."""
    world.run(0.5)
    world.elect(world.core[0])
    world.commit()
    world.change_list()
    world.run(seconds)
    return world


def home_of(world: World, topic: str, zone: int) -> Machine:
    name = home_edge(topic, [machine.name for machine in world.zone_of(zone)])
    return next(machine for machine in world.edge if machine.name == name)


def reading_under_way_while_another_machine_leads() -> World:
    """The leader has called for the list; another machine leads for a moment and tells a newer one; the first leads
    again, and then its old call is answered."""
    world = calm(World(seed=44))
    first, second = world.core[0], world.core[1]
    while world.reading(first):
        world.run(0.001)
    world.platform_s = (0.25, 0.25)
    while not world.reading(first):
        world.run(0.001)
    world.run(0.26)  # the call has been read at the platform, its answer is on the way
    world.platform_s = (0.002, 0.002)
    world.change_list()
    world.elect(second)
    world.run(0.12)
    world.elect(first)
    world.run(6.0)
    return world


class CalmTest(unittest.TestCase):
    def test_configuration_and_lists_reach_everybody(self) -> None:
        world = calm(World(seed=1))
        for _ in range(10):
            world.commit()
            world.change_list()
            world.run(1.0)
        world.run(3.0)
        self.assertEqual([machine.process.configuration for machine in world.edge if machine.process], [11] * 6)
        self.assertEqual([machine.process.total for machine in world.edge if machine.process], [6] * 6)
        self.assertEqual(len(world.list_positions("model")), 1)
        self.assertGreater(world.checks, 1000)

    def test_updates_come_through_the_home_within_some_milliseconds(self) -> None:
        world = calm(World(seed=2, edges=9, zones=3))
        for zone in range(3):
            states = {world.subscriber(one).subscription_state(CONFIG_TOPIC) for one in world.zone_of(zone)}
            self.assertEqual(states, {SubscriptionState.LOCAL, SubscriptionState.SUBSCRIBED})
        sequence = world.commit()
        before = world.bytes_between_zones
        world.run(0.03)
        self.assertEqual({one.process.configuration for one in world.edge if one.process}, {sequence})
        self.assertLess(world.bytes_between_zones - before, 9 * 200)

    def test_a_reading_that_changes_nothing_sends_nothing(self) -> None:
        world = calm(World(seed=3))
        position = world.list_positions("model")
        world.run(5.0)
        self.assertEqual(world.list_positions("model"), position)

    def test_a_service_that_the_new_leader_does_not_find_has_no_servers(self) -> None:
        world = calm(World(seed=4))
        world.services = ("listing",)
        world.elect(world.core[1])
        world.run(4.0)
        for machine in world.edge:
            assert machine.process is not None
            self.assertEqual(machine.process.list_versions["model"], 0)
            self.assertEqual(machine.process.lists["model"][0], 2)


class ZoneTest(unittest.TestCase):
    def test_a_zone_with_one_edge_and_one_with_none(self) -> None:
        world = calm(World(seed=5, edges=2, zones=3))
        world.commit()
        world.run(4.0)

    def test_all_edges_restarted_at_once(self) -> None:
        world = calm(World(seed=6))
        for machine in world.edge:
            world.kill(machine, restart_after=world.random.uniform(0.2, 1.0))
        world.run(0.1)
        world.commit()
        world.run(8.0)

    def test_everything_restarted_at_once(self) -> None:
        world = calm(World(seed=7))
        for machine in [*world.core, *world.edge]:
            world.kill(machine, restart_after=world.random.uniform(0.2, 1.0))
        world.run(2.5)
        world.elect(world.core[2])
        world.run(0.3)
        world.commit()
        world.change_list()
        world.run(8.0)

    def test_23_edges_of_one_zone_on_links_of_5_mbit(self) -> None:
        world = World(seed=8, edges=23, zones=1, link_bytes_per_s=625_000.0, body_bytes=15_000)
        calm(world)
        for _ in range(5):
            world.commit()
            world.run(2.5)
        for machine in world.edge:
            world.kill(machine, restart_after=0.5)
        world.run(0.2)
        world.commit()
        world.run(8.0)

    def test_configurations_in_quick_succession(self) -> None:
        world = calm(World(seed=9, edges=12))
        for _ in range(30):
            world.commit()
            world.run(0.05)
        world.run(4.0)


class HomeTest(unittest.TestCase):
    def test_a_home_dies(self) -> None:
        for seed in range(10, 14):
            world = calm(World(seed=seed, edges=9))
            world.kill(home_of(world, CONFIG_TOPIC, 0))
            world.commit()
            world.change_list()
            world.run(0.7)
            world.commit()
            world.run(8.0)

    def test_a_home_is_cut_off_and_returns(self) -> None:
        for seed in range(14, 18):
            world = calm(World(seed=seed, edges=9))
            failing = home_of(world, CONFIG_TOPIC, 0)
            others = [one for one in [*world.edge, *world.core] if one is not failing]
            world.cut([failing], others, 5.0)
            world.run(0.3)
            world.commit()
            world.change_list()
            world.run(12.0)

    def test_a_home_reaches_the_core_but_not_its_zone(self) -> None:
        world = calm(World(seed=18, edges=9))
        failing = home_of(world, CONFIG_TOPIC, 0)
        world.cut([failing], [one for one in world.zone_of(0) if one is not failing], 8.0)
        for _ in range(6):
            world.run(1.0)
            world.commit()
            world.change_list()
        world.run(8.0)

    def test_a_home_receives_but_its_messages_are_lost(self) -> None:
        world = calm(World(seed=19, edges=9))
        failing = home_of(world, CONFIG_TOPIC, 0)
        world.cut([failing], [one for one in world.zone_of(0) if one is not failing], 8.0, both=False)
        for _ in range(6):
            world.run(1.0)
            world.commit()
            world.change_list()
        world.run(8.0)

    def test_a_home_is_frozen_and_wakes_with_old_updates(self) -> None:
        world = calm(World(seed=20, edges=9))
        world.freeze(home_of(world, CONFIG_TOPIC, 0), 4.0)
        for _ in range(4):
            world.run(1.0)
            world.commit()
            world.change_list()
        world.run(8.0)

    def test_a_home_is_slow(self) -> None:
        world = calm(World(seed=21, edges=9))
        world.slow(home_of(world, CONFIG_TOPIC, 0), 0.8, 6.0)
        for _ in range(5):
            world.run(1.0)
            world.commit()
            world.change_list()
        world.run(10.0)

    def test_two_homes_for_a_while(self) -> None:
        """The zone's edges disagree on who lives: the one that was restarted is a home for some only."""
        world = calm(World(seed=22, edges=9))
        failing = home_of(world, CONFIG_TOPIC, 0)
        world.kill(failing)
        world.run(2.2)
        world.start(failing)
        for _ in range(20):
            world.commit()
            world.change_list()
            world.run(0.1)
        world.run(8.0)

    def test_a_subscriber_that_moves_to_an_older_home_keeps_what_it_has(self) -> None:
        """The topic moves to an edge that was cut off meanwhile, and comes back with an old configuration."""
        world = calm(World(seed=23, edges=9))
        topic = CONFIG_TOPIC
        zone = [machine.name for machine in world.zone_of(0)]
        first = home_of(world, topic, 0)
        second_name = home_edge(topic, [name for name in zone if name != first.name])
        second = next(machine for machine in world.edge if machine.name == second_name)
        world.cut([second], [one for one in [*world.edge, *world.core] if one is not second], 2.0)
        world.run(1.0)
        world.commit()
        world.run(0.9)
        world.kill(first)
        world.run(8.0)

    def test_hints_are_handed_over_on_return(self) -> None:
        world = calm(World(seed=24, edges=3, zones=1))
        target = home_of(world, list_topic("model"), 0)
        world.cut([target], world.core, 1.6)
        world.run(1.1)
        world.change_list()
        world.run(0.45)
        due = world.list_truth[-1][1]
        assert target.process is not None
        self.assertLess(target.process.list_versions["model"], due)
        world.run(8.0)
        self.assertEqual(target.process.list_versions["model"], due)


class LeaderTest(unittest.TestCase):
    def test_a_new_leader_is_found_within_300_ms(self) -> None:
        for core_size in (3, 4, 8):
            world = calm(World(seed=30 + core_size, core_size=core_size, edges=6))
            assert world.leader is not None
            world.kill(world.leader)
            world.run(1.3)
            world.elect(world.core[core_size - 1])
            world.run(0.3)
            self.assertTrue(all(world.subscriber(machine).is_attached for machine in world.edge))
            world.core_troubled_until = world.now  # the dead one stays away
            world.commit()
            world.change_list()
            world.run(8.0)

    def test_the_leader_is_silent(self) -> None:
        world = calm(World(seed=40))
        assert world.leader is not None
        silent = world.leader
        others = [one for one in [*world.edge, *world.core] if one is not silent]
        world.cut([silent], others, 20.0)
        world.run(1.3)
        world.elect(world.core[1])
        world.run(0.3 + 0.1)
        self.assertTrue(all(world.subscriber(machine).leader == world.core[1].address for machine in world.edge))
        world.run(6.0)

    def test_leaders_change_often(self) -> None:
        world = calm(World(seed=41))
        for turn in range(12):
            world.elect(world.core[turn % 3])
            world.commit()
            world.change_list()
            world.run(0.4 + 0.2 * (turn % 4))
        world.run(8.0)

    def test_a_reading_under_way_while_another_machine_leads(self) -> None:
        reading_under_way_while_another_machine_leads()

    def test_edges_stay_fresh_while_there_is_no_leader(self) -> None:
        world = calm(World(seed=42))
        world.elect(None)
        world.commit()
        world.run(4.0)
        for machine in world.edge:
            self.assertLess(world.confirmed_age(machine), 1.5)
            self.assertEqual(world.subscriber(machine).position(CONFIG_TOPIC), (0, 2))

    def test_the_number_of_edges_follows_starts_and_ends(self) -> None:
        world = calm(World(seed=43))
        world.kill(world.edge[0])
        world.kill(world.edge[3])
        world.run(8.0)
        self.assertEqual({one.process.total for one in world.edge if one.process}, {4})
        world.start(world.edge[0])
        world.run(8.0)
        self.assertEqual({one.process.total for one in world.edge if one.process}, {5})


class RandomTest(unittest.TestCase):
    def test_random_troubles(self) -> None:
        for seed in range(100, 130):
            with self.subTest(seed=seed):
                random_day(seed)


def random_day(seed: int, seconds: float = 30.0, **options: object) -> World:
    """A day of random troubles, commits and list changes, then calm."""
    chosen = World(seed=seed)
    world = World(
        seed=seed,
        edges=chosen.random.choice((1, 4, 6, 9, 12)),
        zones=chosen.random.choice((1, 2, 3, 4)),
        core_size=chosen.random.choice((3, 4, 5)),
        loss=chosen.random.choice((0.0, 0.0, 0.02)),
        **options,  # type: ignore[arg-type]
    )
    calm(world, 1.0)
    end = world.now + seconds
    draw = world.random
    while world.now < end:
        world.run(draw.uniform(0.05, 1.5))
        step = draw.random()
        machine = draw.choice(world.edge)
        everybody = [one for one in [*world.edge, *world.core] if one is not machine]
        if step < 0.3:
            world.commit()
        elif step < 0.5:
            world.change_list()
        elif step < 0.6 and machine.process is not None:
            world.kill(machine, restart_after=draw.uniform(0.1, 3.0))
        elif step < 0.7 and machine.running:
            world.freeze(machine, draw.uniform(0.2, 5.0))
        elif step < 0.78:
            world.cut([machine], everybody, draw.uniform(0.2, 5.0), both=draw.random() < 0.5)
        elif step < 0.84:
            world.cut([machine], draw.sample(everybody, len(everybody) // 2), draw.uniform(0.2, 4.0), both=False)
        elif step < 0.89:
            world.slow(machine, draw.uniform(0.1, 1.0), draw.uniform(0.5, 4.0))
        elif step < 0.95:
            world.elect(draw.choice(world.core))
        else:
            leader = world.leader or world.core[0]
            if leader.process is not None:
                world.kill(leader, restart_after=1.0)
                world.run(1.3)
                world.elect(draw.choice([one for one in world.core if one.running]))
    if world.leader is None:
        world.elect(world.core[0])
    world.stop_loss()
    world.run(10.0)
    return world


if __name__ == "__main__":
    unittest.main()

"""The quota of a tenant over all machines: no window exceeds the limit under random faults, and tenants within their
limit are served while the leader changes or no core machine is reachable."""

from __future__ import annotations

import unittest
from statistics import mean
from unittest import mock

from rosechute.configuration.process import Bounds
from rosechute.control_plane.quota_service import QuotaService

from .quota_world import Limit, World, max_tokens_per_window

LARGE_SLACK = Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=110_000.0)
SMALL_SLACK = Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=2_000.0)
NO_SLACK = Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=0.0)
CASES = (
    (LARGE_SLACK, Limit(29_000, 29_000), (500, 1_500, 6_000)),
    (SMALL_SLACK, Limit(20_000, 20_000), (300, 700, 2_000)),
    (NO_SLACK, Limit(20_000, 5_000), (500, 1_000)),
    (Bounds(quota_window_s=4.0, quota_overshoot=0.05, quota_slack=3_000.0), Limit(8_000, 40_000), (100, 1_000)),
    (LARGE_SLACK, Limit(81_813, 81_813), (200, 543, 2_890, 9_200)),
    (Bounds(quota_window_s=8.0, quota_overshoot=0.1, quota_slack=100.0), Limit(1_000, 1_000), (5, 10, 20)),
)
SEEDS = 240
FAULTS_DURATION_S = 20.0


class NoLeasesAssumedService(QuotaService):
    """Injected fault: a new leader assumes that no leases are in force."""

    def leadership_gained(self, now: float, term: int, owners: frozenset[str] | None = None) -> None:
        self._term = term
        self._allocator.leadership_gained(now, now, now)


def troubled(world: World) -> None:
    """Run the simulation with random faults and a changing demand."""
    draw, events = world.draw, world.events
    faults_per_s = draw.choice((0.2, 0.5, 1.2))  # faults per second
    world.loss, world.slow_share = draw.choice(((0.0, 0.0), (0.05, 0.05), (0.2, 0.3)))
    world.elect(0)

    def inject_fault() -> None:
        edge = draw.choice(world.edges)
        kind = draw.choice(
            (
                "lead",
                "lead",
                "again",
                "stop",
                "power",
                "power",
                "cut",
                "cut",
                "freeze",
                "restart",
                "demand",
                "demand",
                "rest",
            )
        )
        if kind == "lead":
            world.elect(draw.randrange(4), draw.choice((0.0, 0.0, 0.05)))
        elif kind == "again":
            world.elect(max(world.leader_until, key=world.leader_until.__getitem__, default=0))
        elif kind == "power":
            last = max(world.leader_until, key=world.leader_until.__getitem__, default=0)
            world.lose_power(edges=draw.random() < 0.6)
            next_leader = draw.choice((last, last, last, draw.randrange(4)))
            events.at(events.now + draw.uniform(0.2, 2.0), lambda: world.elect(next_leader))
        elif kind == "stop":
            world.end_leadership()
            events.at(events.now + draw.uniform(0.3, 4.0), lambda: world.elect(draw.randrange(4)))
        elif kind == "cut":
            for other in draw.sample(world.edges, draw.randint(1, 4)):
                other.cut_until = events.now + draw.uniform(0.2, 6.0)
        elif kind == "freeze":
            edge.loop.frozen_until = events.now + draw.uniform(0.2, 6.0)
        elif kind == "restart":
            edge.restart(is_graceful=draw.random() < 0.5)
        else:
            load = draw.choice((0.1, 0.3)) if kind == "rest" else draw.choice((0.8, 2.0, 5.0))
            world.set_demand(load * world.limit.rate, [draw.choice((0.1, 1.0, 5.0)) for _ in world.edges])
        events.at(events.now + draw.expovariate(faults_per_s), inject_fault)

    def discover_leader() -> None:
        for core, until in world.leader_until.items():
            for edge in world.edges if until > events.now else ():
                world.discover_leader(edge, core)
        events.at(events.now + 0.4, discover_leader)

    world.set_demand(draw.choice((0.3, 0.8, 4.0)) * world.limit.rate)
    events.at(draw.uniform(1.0, 4.0), inject_fault)
    events.at(1.0, discover_leader)
    events.run(FAULTS_DURATION_S)


class IncompleteOwnersWorld(World):
    """Injected fault: a new leader gets a set of owners that lacks partitioned edges with leases."""

    def owners_known(self, core: int) -> frozenset[str] | None:
        return frozenset(edge.name for edge in self.edges if edge.cut_until <= self.events.now)


def cut_off_and_overload(world: World) -> None:
    """Partition half of the edges, which hold leases, at each change of leader, with demand above the limit."""
    world.elect(0)
    world.set_demand(0.8 * world.limit.rate)
    world.events.run(12.0)
    for round_number in range(4):
        for number, edge in enumerate(world.edges):
            if number % 2 == round_number % 2:
                edge.cut_until = world.events.now + 4.5
        world.elect(round_number % 4)
        world.set_demand(6.0 * world.limit.rate)
        world.events.run(world.events.now + 4.5)


class QuotaLimitTest(unittest.TestCase):
    def assert_limit_kept(self, world: World) -> None:
        max_tokens = max_tokens_per_window(world.bounds, world.limit)
        self.assertLessEqual(world.counted.max_excess(world.bounds.quota_window_s, lambda _: max_tokens), 0.0)

    def test_no_window_exceeds_the_limit_under_random_faults(self) -> None:
        for seed in range(SEEDS):
            bounds, limit, sizes = CASES[seed % len(CASES)]
            with self.subTest(seed=seed):
                world = World(seed, bounds, limit, sizes=sizes)
                troubled(world)
                self.assert_limit_kept(world)

    def test_limit_holds_with_partitioned_edges_and_leader_changes(self) -> None:
        for number, (bounds, limit, sizes) in enumerate(CASES):
            with self.subTest(case=number):
                world = World(number, bounds, limit, sizes=sizes)
                cut_off_and_overload(world)
                self.assert_limit_kept(world)

    def test_check_detects_a_leader_that_ignores_earlier_leases(self) -> None:
        bounds, limit, sizes = CASES[5]
        world = World(5, bounds, limit, sizes=sizes, service=NoLeasesAssumedService)
        cut_off_and_overload(world)
        max_tokens = max_tokens_per_window(bounds, limit)
        self.assertGreater(world.counted.max_excess(bounds.quota_window_s, lambda _: max_tokens), 0.0)

    def test_full_rate_after_a_power_loss_with_the_same_or_another_leader(self) -> None:
        for next_leader in (0, 1):
            served = [self.share_admitted_after_power_loss(seed, next_leader) for seed in range(24)]
            self.assertGreater(mean(served), 0.96, (next_leader, served))
            self.assertGreater(min(served), 0.75, (next_leader, served))

    def test_new_leader_does_not_wait_for_edges_that_shut_down_gracefully(self) -> None:
        """Half of the edges shut down, and the leader changes while they are down."""
        ended, died = (
            [self.share_admitted_after_edge_shutdowns(seed, is_graceful) for seed in range(12)]
            for is_graceful in (True, False)
        )
        self.assertGreater(mean(ended), 0.93, ended)
        self.assertGreater(mean(ended), mean(died) + 0.05, "the leader waits for edges that died")

    def share_admitted_after_edge_shutdowns(self, seed: int, is_graceful: bool) -> float:
        """Return the share of tokens admitted at the remaining edges from 0.6 s after a new leader is elected."""
        world = World(seed, LARGE_SLACK, Limit(81_813, 81_813), sizes=(200, 543, 2_890, 9_200))
        world.elect(0)
        world.set_demand(0.7 * world.limit.rate)
        world.events.run(12.0)
        for edge in world.edges[::2]:
            if is_graceful:
                edge.client.release()
            edge.loop.dead = True
        world.set_demand(0.7 * world.limit.rate, [float(place % 2) for place in range(len(world.edges))])
        world.events.run(12.4)
        world.end_leadership()
        world.events.run(13.4)
        world.elect(1)
        world.events.run(17.0)
        self.assert_limit_kept(world)
        return world.counted.admitted_share(14.0, 17.0)

    def test_leader_without_known_owners_waits_for_lease_expiry(self) -> None:
        with mock.patch.object(World, "owners_known", lambda world, core: None):
            served = [self.share_admitted_after_power_loss(seed, 1) for seed in range(8)]
        self.assertLess(mean(served), 0.75, served)

    def share_admitted_after_power_loss(self, seed: int, next_leader: int) -> float:
        """Return the share of tokens admitted from 0.6 s after a new leader is elected; check the limit as well."""
        world = World(seed, LARGE_SLACK, Limit(81_813, 81_813), sizes=(200, 543, 2_890, 9_200))
        world.elect(0)
        world.set_demand(0.7 * world.limit.rate)
        world.events.run(12.0)
        world.lose_power()
        world.events.at(13.0, lambda: world.elect(next_leader))
        world.events.run(17.0)
        self.assert_limit_kept(world)
        return world.counted.admitted_share(13.6, 17.0)

    def test_check_detects_persisted_owners_that_lack_edges(self) -> None:
        bounds, limit, sizes = CASES[5]
        world = IncompleteOwnersWorld(5, bounds, limit, sizes=sizes)
        cut_off_and_overload(world)
        max_tokens = max_tokens_per_window(bounds, limit)
        self.assertGreater(world.counted.max_excess(bounds.quota_window_s, lambda _: max_tokens), 0.0)

    def test_lowered_limit_is_enforced_and_raised_limit_is_served(self) -> None:
        low, high = Limit(10_000, 10_000), Limit(40_000, 40_000)
        for seed in range(12):
            world = World(seed, SMALL_SLACK, high, sizes=(300, 1_000))
            world.loss = 0.02
            world.elect(0)
            world.set_demand(0.8 * high.rate)
            world.events.run(10.0)
            world.configure(low)
            world.set_demand(0.0 if seed % 2 else 0.8 * high.rate)
            world.events.run(12.0)
            world.set_demand(0.8 * high.rate)
            world.events.run(24.0)
            world.configure(high)
            world.events.run(34.0)
            settled = [each for each in world.counted.admitted if 12.0 <= each[0] < 24.0]
            self.assertLessEqual(
                max_tokens_in_any_window(settled, 8.0), max_tokens_per_window(SMALL_SLACK, low), seed
            )
            self.assertLessEqual(
                max_tokens_in_any_window(world.counted.admitted, 8.0),
                max_tokens_per_window(SMALL_SLACK, high),
                seed,
            )
            self.assertGreater(world.counted.admitted_share(28.0, 34.0), 0.95, seed)


AVAILABILITY_CASES = (
    (LARGE_SLACK, Limit(29_000, 29_000), (200, 543, 2_890)),
    (LARGE_SLACK, Limit(81_813, 81_813), (543, 2_890)),
)


class QuotaAvailabilityTest(unittest.TestCase):
    """Service to a tenant with a demand of rate / 1.3, distributed over six edges."""

    def world_at_moderate_load(self, seed: int, until: float = 14.0) -> World:
        bounds, limit, sizes = AVAILABILITY_CASES[seed % 2]
        world = World(seed, bounds, limit, sizes=sizes)
        world.elect(0)
        world.set_demand(limit.rate / 1.3)
        world.events.run(until)
        return world

    def test_no_faults(self) -> None:
        for seed in range(8):
            self.assertGreater(self.world_at_moderate_load(seed, 20.0).counted.admitted_share(8.0, 20.0), 0.97, seed)

    def test_leader_change(self) -> None:
        served, around = [], []
        for seed in range(24):
            world = self.world_at_moderate_load(seed)
            world.end_leadership()
            world.events.run(16.5)
            world.elect(1)
            world.events.run(24.0)
            around.append(world.counted.admitted_share(14.0, 17.0))
            served.append(world.counted.admitted_share(14.0, 24.0))
        self.assertGreater(sum(around) / len(around), 0.93, around)
        self.assertGreater(sum(served) / len(served), 0.95, served)

    def test_four_seconds_without_a_leader(self) -> None:
        served = []
        for seed in range(24):
            world = self.world_at_moderate_load(seed)
            world.end_leadership()
            world.events.run(18.0)
            served.append(world.counted.admitted_share(14.0, 18.0))
        self.assertGreater(sum(served) / len(served), 0.85, served)

    def test_repeated_leader_changes(self) -> None:
        served = []
        for seed in range(8):
            world = self.world_at_moderate_load(seed)
            for round_number in range(1, 4):
                world.end_leadership()
                world.events.run(world.events.now + 2.0)
                world.elect(round_number)
                world.events.run(world.events.now + 2.5)
            served.append(world.counted.admitted_share(14.0, world.events.now))
        self.assertGreater(sum(served) / len(served), 0.9, served)

    def test_tenant_without_leases_is_served_soon_after_leader_changes(self) -> None:
        served = []
        for seed in range(6):
            world = World(seed, SMALL_SLACK, Limit(20_000, 20_000), sizes=(2_000,))
            world.elect(0)
            world.set_demand(20_000 / 1.3)
            world.events.run(14.0)
            for round_number in range(1, 4):
                world.end_leadership()
                world.events.run(world.events.now + 1.5)
                world.elect(round_number)
                since = world.events.now
                world.events.run(since + 3.0)
                served.append(world.counted.admitted_share(since + 0.5, since + 3.0))
        self.assertGreater(sum(served) / len(served), 0.9, served)

    def test_rejections_without_a_leader_are_fast(self) -> None:
        world = self.world_at_moderate_load(1)
        world.end_leadership()
        world.set_demand(6.0 * world.limit.rate)
        world.events.run(18.0)
        rejected = [each for each in world.counted.rejected if each[0] > 15.0]
        self.assertTrue(rejected)
        self.assertLessEqual(max(held for _, held, _ in rejected), 0.251)

    def test_message_rate_is_low(self) -> None:
        world = self.world_at_moderate_load(3)
        before = world.counted.messages
        world.events.run(24.0)
        self.assertLess(world.counted.messages - before, 6 * 10 * 8)

    def test_nothing_is_leased_to_many_edges_with_infrequent_requests(self) -> None:
        """With infrequent requests at each of many edges, nothing is leased and tokens are issued on request."""
        world = World(5, LARGE_SLACK, Limit(80_000, 80_000), edges=85, sizes=(10_000,))
        world.elect(0)
        world.set_demand(80_000 / 1.3)
        world.events.run(24.0)
        self.assertGreater(world.counted.admitted_share(6.0, 24.0), 0.97)


def max_tokens_in_any_window(admitted: list[tuple[float, int]], window_s: float) -> float:
    max_tokens, total, start = 0.0, 0.0, 0
    for at, tokens in admitted:
        total += tokens
        while admitted[start][0] < at - window_s:
            total -= admitted[start][1]
            start += 1
        max_tokens = max(max_tokens, total)
    return max_tokens


if __name__ == "__main__":
    unittest.main()

"""The leader's quota buckets: what all edges spend in any window stays within the rule."""

import random
from dataclasses import dataclass, field
from unittest import TestCase

from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.quota_policy import QuotaBounds, TenantLimit
from rosechute.control_plane.token_bucket import TokenDemand

TENANT = "a"
STEP_S = 0.05


@dataclass
class Spender:
    """Edges that ask for all they can and spend each issue at the worst time of its life."""

    draw: random.Random
    edges: int
    sizes: tuple[int, ...]
    spent: list[tuple[float, int]] = field(default_factory=list)

    def ask(self, now: float, allocator: QuotaAllocator) -> None:
        edge = f"edge-{self.draw.randrange(self.edges)}"
        least = self.draw.choice(self.sizes)
        issued = allocator.issue(now, edge, [TokenDemand(TENANT, least * self.draw.randint(1, 8), least)])[0]
        if issued.tokens:
            life = issued.lifetime_ms / 1000.0
            self.spent.append((now + self.draw.choice((0.0, life * self.draw.random(), life)), issued.tokens))

    def most_in_a_window(self, window_s: float, after: float = 0.0) -> int:
        spent = sorted(each for each in self.spent if each[0] >= after)
        most, total, start = 0, 0, 0
        for at, tokens in spent:
            total += tokens
            while spent[start][0] <= at - window_s:
                total -= spent[start][1]
                start += 1
            most = max(most, total)
        return most


def allowed(bounds: QuotaBounds, limit: TenantLimit) -> float:
    return (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack


CASES = (
    (QuotaBounds(8, 0.1, 110_000), TenantLimit(81_813, 81_813), (543, 2_890, 9_200)),
    (QuotaBounds(8, 0.1, 0), TenantLimit(100, 100), (1,)),
    (QuotaBounds(8, 0.1, 0), TenantLimit(100, 0), (1,)),
    (QuotaBounds(4, 0.05, 20), TenantLimit(40, 400), (1, 3)),
    (QuotaBounds(10, 0.2, 5), TenantLimit(5, 5), (1,)),
)


class QuotaWindowTest(TestCase):
    def test_any_number_of_edges_and_changes_of_leader(self) -> None:
        for number, (bounds, limit, sizes) in enumerate(CASES):
            for seed in range(6):
                draw = random.Random(number * 100 + seed)
                spender = Spender(draw, draw.choice((1, 2, 6, 23)), sizes)
                allocator, now = self.leader(bounds, limit, 0.0), 0.0
                while now < 40.0:
                    now += STEP_S
                    if draw.random() < 0.01:
                        allocator = self.leader(bounds, limit, now)
                    for _ in range(draw.choice((0, 0, 1, 4, 12))):
                        spender.ask(now, allocator)
                most = spender.most_in_a_window(bounds.window_s)
                self.assertLessEqual(most, allowed(bounds, limit), (number, seed))

    def test_the_full_rate_is_issued(self) -> None:
        for number, (bounds, limit, sizes) in enumerate(CASES):
            draw = random.Random(number)
            spender = Spender(draw, 6, sizes)
            allocator = self.leader(bounds, limit, 0.0)
            for step in range(800):
                for _ in range(6):
                    spender.ask(step * STEP_S, allocator)
            self.assertGreater(sum(tokens for _, tokens in spender.spent), 0.9 * limit.rate_per_s * 40.0, number)

    def test_a_lowered_limit_binds_one_window_later(self) -> None:
        bounds, high, low = QuotaBounds(8, 0.1, 10), TenantLimit(100, 500), TenantLimit(20, 20)
        draw = random.Random(1)
        spender = Spender(draw, 4, (1, 2))
        allocator = self.leader(bounds, high, 0.0)
        for step in range(800):
            if step == 400:
                allocator.configure(step * STEP_S, {TENANT: low})
            for _ in range(6):
                spender.ask(step * STEP_S, allocator)
        self.assertLessEqual(spender.most_in_a_window(8, after=22.0), allowed(bounds, low))

    def test_the_check_finds_a_leader_that_starts_full(self) -> None:
        bounds, limit = QuotaBounds(8, 0.1, 0), TenantLimit(100, 400)
        spender = Spender(random.Random(1), 4, (1,))
        for step in range(400):
            if step % 4 == 0:  # a leader issues less in its first moments since issued tokens live for 0.4 s
                allocator = self.leader(bounds, limit, step * STEP_S - 10.0)
            for _ in range(12):
                spender.ask(step * STEP_S, allocator)
        self.assertGreater(spender.most_in_a_window(8), allowed(bounds, limit))

    def leader(self, bounds: QuotaBounds, limit: TenantLimit, now: float) -> QuotaAllocator:
        allocator = QuotaAllocator(bounds)
        allocator.leadership_gained(now, now, now)  # no leases run
        allocator.configure(now, {TENANT: limit})
        return allocator


class QuotaTurnsTest(TestCase):
    def setUp(self) -> None:
        self.allocator = QuotaAllocator(QuotaBounds(8, 0.1, 110_000))
        self.allocator.leadership_gained(0.0, 0.0, 0.0)
        self.allocator.configure(0.0, {TENANT: TenantLimit(10_000, 10_000), "free": None})

    def issue(self, now: float, edge: str, tokens: int, least: int) -> int:
        return self.allocator.issue(now, edge, [TokenDemand(TENANT, tokens, least)])[0].tokens

    def test_without_a_limit_all_is_issued(self) -> None:
        self.assertEqual(self.allocator.issue(0.0, "e", [TokenDemand("free", 10**9, 1)])[0].tokens, 10**9)

    def test_of_an_unknown_tenant_nothing_is_issued(self) -> None:
        issued = self.allocator.issue(0.0, "e", [TokenDemand("nobody", 5, 1)])[0]
        self.assertEqual(issued.tokens, 0)
        self.assertGreater(issued.retry_after_ms, 0)

    def test_the_least_or_nothing(self) -> None:
        self.assertEqual(self.issue(0.1, "e", 5_000, 2_000), 0)
        self.assertGreaterEqual(self.issue(0.3, "e", 5_000, 2_000), 2_000)

    def test_when_to_ask_again_is_when_the_bucket_holds_enough(self) -> None:
        issued = self.allocator.issue(0.1, "e", [TokenDemand(TENANT, 5_000, 2_000)])[0]
        self.assertEqual(issued.retry_after_ms, 100)
        self.assertEqual(self.issue(0.1 + issued.retry_after_ms / 1000.0, "e", 2_000, 2_000), 2_000)

    def test_a_large_demand_gets_its_turn_among_small_ones(self) -> None:
        now, large = 0.0, 0
        for step in range(400):
            now = step * 0.01
            for edge in ("a", "b", "c"):
                self.issue(now, edge, 300, 300)
            large += self.issue(now, "large", 3_000, 3_000)
        self.assertGreaterEqual(large, 9_000)

    def test_edges_with_the_same_demand_get_the_same(self) -> None:
        got = dict.fromkeys("abcdef", 0)
        for step in range(2_000):
            for edge in got:
                got[edge] += self.issue(step * 0.01, edge, 2_000, 500)
        self.assertLess(max(got.values()), 1.3 * min(got.values()))

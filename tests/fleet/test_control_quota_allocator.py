"""Tests of `QuotaAllocator`: the tokens used by all edges in any window stay within the limit."""

import random
from dataclasses import dataclass, field
from unittest import TestCase

from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.quota_policy import QuotaBounds, TenantLimit
from rosechute.control_plane.token_bucket import TokenDemand

TENANT = "a"
STEP_S = 0.05


@dataclass
class WorstCaseEdges:
    """Edges that request many tokens and use each issue at a random or the latest time of its lifetime."""

    draw: random.Random
    edges: int
    sizes: tuple[int, ...]
    used: list[tuple[float, int]] = field(default_factory=list)

    def request(self, now: float, allocator: QuotaAllocator) -> None:
        edge = f"edge-{self.draw.randrange(self.edges)}"
        minimum = self.draw.choice(self.sizes)
        issued = allocator.issue(now, edge, [TokenDemand(TENANT, minimum * self.draw.randint(1, 8), minimum)])[0]
        if issued.tokens:
            lifetime_s = issued.lifetime_ms / 1000.0
            self.used.append(
                (now + self.draw.choice((0.0, lifetime_s * self.draw.random(), lifetime_s)), issued.tokens)
            )

    def max_tokens_in_any_window(self, window_s: float, after: float = 0.0) -> int:
        used = sorted(each for each in self.used if each[0] >= after)
        max_tokens, total, start = 0, 0, 0
        for at, tokens in used:
            total += tokens
            while used[start][0] <= at - window_s:
                total -= used[start][1]
                start += 1
            max_tokens = max(max_tokens, total)
        return max_tokens


def max_allowed_tokens(bounds: QuotaBounds, limit: TenantLimit) -> float:
    return (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack


CASES = (
    (QuotaBounds(8, 0.1, 110_000), TenantLimit(81_813, 81_813), (543, 2_890, 9_200)),
    (QuotaBounds(8, 0.1, 0), TenantLimit(100, 100), (1,)),
    (QuotaBounds(8, 0.1, 0), TenantLimit(100, 0), (1,)),
    (QuotaBounds(4, 0.05, 20), TenantLimit(40, 400), (1, 3)),
    (QuotaBounds(10, 0.2, 5), TenantLimit(5, 5), (1,)),
)


class QuotaWindowTest(TestCase):
    def test_limit_holds_for_any_number_of_edges_and_leader_changes(self) -> None:
        for number, (bounds, limit, sizes) in enumerate(CASES):
            for seed in range(6):
                draw = random.Random(number * 100 + seed)
                worst_case = WorstCaseEdges(draw, draw.choice((1, 2, 6, 23)), sizes)
                allocator, now = self.new_leader(bounds, limit, 0.0), 0.0
                while now < 40.0:
                    now += STEP_S
                    if draw.random() < 0.01:
                        allocator = self.new_leader(bounds, limit, now)
                    for _ in range(draw.choice((0, 0, 1, 4, 12))):
                        worst_case.request(now, allocator)
                max_tokens = worst_case.max_tokens_in_any_window(bounds.window_s)
                self.assertLessEqual(max_tokens, max_allowed_tokens(bounds, limit), (number, seed))

    def test_full_rate_is_issued(self) -> None:
        for number, (bounds, limit, sizes) in enumerate(CASES):
            draw = random.Random(number)
            worst_case = WorstCaseEdges(draw, 6, sizes)
            allocator = self.new_leader(bounds, limit, 0.0)
            for step in range(800):
                for _ in range(6):
                    worst_case.request(step * STEP_S, allocator)
            self.assertGreater(sum(tokens for _, tokens in worst_case.used), 0.9 * limit.rate_per_s * 40.0, number)

    def test_lowered_limit_is_enforced_one_window_later(self) -> None:
        bounds, high, low = QuotaBounds(8, 0.1, 10), TenantLimit(100, 500), TenantLimit(20, 20)
        draw = random.Random(1)
        worst_case = WorstCaseEdges(draw, 4, (1, 2))
        allocator = self.new_leader(bounds, high, 0.0)
        for step in range(800):
            if step == 400:
                allocator.configure(step * STEP_S, {TENANT: low})
            for _ in range(6):
                worst_case.request(step * STEP_S, allocator)
        self.assertLessEqual(worst_case.max_tokens_in_any_window(8, after=22.0), max_allowed_tokens(bounds, low))

    def test_check_detects_a_leader_that_starts_with_a_full_bucket(self) -> None:
        bounds, limit = QuotaBounds(8, 0.1, 0), TenantLimit(100, 400)
        worst_case = WorstCaseEdges(random.Random(1), 4, (1,))
        for step in range(400):
            if step % 4 == 0:  # a leader issues little at first: issued tokens are outstanding for 0.4 s
                allocator = self.new_leader(bounds, limit, step * STEP_S - 10.0)
            for _ in range(12):
                worst_case.request(step * STEP_S, allocator)
        self.assertGreater(worst_case.max_tokens_in_any_window(8), max_allowed_tokens(bounds, limit))

    def new_leader(self, bounds: QuotaBounds, limit: TenantLimit, now: float) -> QuotaAllocator:
        allocator = QuotaAllocator(bounds)
        allocator.leadership_gained(now, now, now)  # no leases are in force
        allocator.configure(now, {TENANT: limit})
        return allocator


class FairSharingTest(TestCase):
    def setUp(self) -> None:
        self.allocator = QuotaAllocator(QuotaBounds(8, 0.1, 110_000))
        self.allocator.leadership_gained(0.0, 0.0, 0.0)
        self.allocator.configure(0.0, {TENANT: TenantLimit(10_000, 10_000), "free": None})

    def issue(self, now: float, edge: str, tokens: int, minimum: int) -> int:
        return self.allocator.issue(now, edge, [TokenDemand(TENANT, tokens, minimum)])[0].tokens

    def test_unlimited_tenant_gets_all_tokens(self) -> None:
        self.assertEqual(self.allocator.issue(0.0, "e", [TokenDemand("free", 10**9, 1)])[0].tokens, 10**9)

    def test_unknown_tenant_gets_no_tokens(self) -> None:
        issued = self.allocator.issue(0.0, "e", [TokenDemand("nobody", 5, 1)])[0]
        self.assertEqual(issued.tokens, 0)
        self.assertGreater(issued.retry_after_ms, 0)

    def test_at_least_the_minimum_or_nothing_is_issued(self) -> None:
        self.assertEqual(self.issue(0.1, "e", 5_000, 2_000), 0)
        self.assertGreaterEqual(self.issue(0.3, "e", 5_000, 2_000), 2_000)

    def test_retry_delay_ends_when_the_bucket_holds_enough(self) -> None:
        issued = self.allocator.issue(0.1, "e", [TokenDemand(TENANT, 5_000, 2_000)])[0]
        self.assertEqual(issued.retry_after_ms, 100)
        self.assertEqual(self.issue(0.1 + issued.retry_after_ms / 1000.0, "e", 2_000, 2_000), 2_000)

    def test_large_requests_are_not_starved_by_small_ones(self) -> None:
        now, large = 0.0, 0
        for step in range(400):
            now = step * 0.01
            for edge in ("a", "b", "c"):
                self.issue(now, edge, 300, 300)
            large += self.issue(now, "large", 3_000, 3_000)
        self.assertGreaterEqual(large, 9_000)

    def test_edges_with_equal_demand_get_equal_shares(self) -> None:
        totals = dict.fromkeys("abcdef", 0)
        for step in range(2_000):
            for edge in totals:
                totals[edge] += self.issue(step * 0.01, edge, 2_000, 500)
        self.assertLess(max(totals.values()), 1.3 * min(totals.values()))

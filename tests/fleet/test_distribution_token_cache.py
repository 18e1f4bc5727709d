"""Quota tokens at an edge: spending, asking, waiting, refusing; and whole exchanges with a leader's buckets."""

from __future__ import annotations

import heapq
import itertools
import math
import random
import unittest
from collections.abc import Callable

from rosechute.control_plane.quota_allocator import QuotaAllocator
from rosechute.control_plane.quota_policy import QuotaBounds, TenantLimit
from rosechute.control_plane.token_bucket import TokenDemand
from rosechute.routing.token_cache import TokenCache
from rosechute.routing.token_exchange import TokenIssue, TokenRequest
from rosechute.routing.waiting_queue import Decision

ASKS = itertools.count(1)


class Told:
    """What was decided for requests."""

    def __init__(self) -> None:
        self.decisions: list[tuple[str, bool, float]] = []

    def as_(self, name: str) -> Callable[[bool, float], None]:
        return lambda allowed, retry_s: self.decisions.append((name, allowed, round(retry_s, 3)))

    def tell(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            decision.on_decision(decision.allowed, decision.retry_after_s)


class TokenCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = TokenCache()
        self.told = Told()

    def test_a_request_waits_for_the_tokens_it_needs(self) -> None:
        self.told.tell(self.cache.acquire(0.0, "t", 100, self.told.as_("a")))
        self.assertEqual(self.cache.next_token_requests(0.0, 1), [TokenRequest("t", 100, 100)])
        self.assertEqual(self.cache.next_token_requests(0.01, 2), [])
        self.told.tell(self.cache.on_tokens_issued(0.02, 1, [TokenIssue("t", 100, 1.0, 0.0)]))
        self.assertEqual(self.told.decisions, [("a", True, 0.0)])
        self.assertEqual(self.cache.available_tokens(0.02, "t"), 0)

    def test_requests_that_arrive_meanwhile_share_the_next_token_request(self) -> None:
        for name, at in (("a", 0.0), ("b", 0.001), ("c", 0.002)):
            self.told.tell(self.cache.acquire(at, "t", 10, self.told.as_(name)))
            self.cache.next_token_requests(at, next(ASKS) + 100)
        self.assertEqual(self.cache.next_token_requests(0.003, 5), [])
        request = min(self.cache._in_flight._sent_at)
        self.told.tell(self.cache.on_tokens_issued(0.004, request, [TokenIssue("t", 10, 1.0, 0.0)]))
        self.assertEqual(self.cache.next_token_requests(0.004, 6), [TokenRequest("t", 20, 10)])

    def test_tokens_expire_a_lifetime_after_the_request(self) -> None:
        self.cache.acquire(0.0, "t", 10, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.told.tell(self.cache.on_tokens_issued(0.1, 1, [TokenIssue("t", 30, 1.0, 0.0)]))
        self.assertEqual(self.cache.available_tokens(0.99, "t"), 20)
        self.assertEqual(self.cache.available_tokens(1.0, "t"), 0)
        self.assertEqual(self.cache.acquire(1.0, "t", 10, self.told.as_("b")), [])

    def test_an_answer_after_the_lifetime_gives_nothing(self) -> None:
        self.cache.acquire(0.0, "t", 10, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.told.tell(self.cache.on_tokens_issued(1.5, 1, [TokenIssue("t", 10, 1.0, 0.0)]))
        self.assertEqual(self.told.decisions, [])

    def test_an_empty_bucket_rejects_at_once_what_would_come_too_late(self) -> None:
        self.cache.acquire(0.0, "t", 50, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.told.tell(self.cache.on_tokens_issued(0.01, 1, [TokenIssue("t", 0, 1.0, 0.9)]))
        self.assertEqual(self.told.decisions, [("a", False, 0.9)])
        self.told.tell(self.cache.acquire(0.11, "t", 60, self.told.as_("b")))
        self.assertEqual(self.told.decisions[1:], [("b", False, 0.8)])
        self.assertEqual(self.cache.acquire(0.11, "t", 5, self.told.as_("smaller")), [])
        self.assertEqual(self.cache.next_token_requests(0.11, 2), [TokenRequest("t", 5, 5)])

    def test_an_empty_bucket_is_asked_again_within_the_wait(self) -> None:
        self.cache.acquire(0.0, "t", 50, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.told.tell(self.cache.on_tokens_issued(0.01, 1, [TokenIssue("t", 0, 1.0, 0.05)]))
        self.assertEqual(self.told.decisions, [])
        self.assertEqual(self.cache.next_token_requests(0.05, 2), [])
        self.assertEqual(self.cache.next_token_requests(0.061, 3), [TokenRequest("t", 50, 50)])

    def test_a_silent_leader_is_asked_again_and_then_the_request_rejected(self) -> None:
        self.cache.acquire(0.0, "t", 50, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.assertEqual(len(self.cache.next_token_requests(0.081, 2)), 1)
        self.told.tell(self.cache.tick(0.119, None))
        self.assertEqual(self.told.decisions, [])
        self.told.tell(self.cache.tick(0.12, None))
        self.assertEqual(self.told.decisions, [("a", False, 2.0)])

    def test_where_answers_take_long_silence_is_borne_for_longer(self) -> None:
        for number in range(1, 31):
            now = float(number)
            self.cache.acquire(now, "t", 10, self.told.as_("a"))
            self.cache.next_token_requests(now, number)
            self.told.tell(self.cache.on_tokens_issued(now + 0.15, number, [TokenIssue("t", 10, 1.0, 0.0)]))
        self.cache.acquire(40.0, "t", 10, self.told.as_("late"))
        self.cache.next_token_requests(40.0, 31)
        self.told.tell(self.cache.tick(40.4, None))
        self.assertEqual(self.cache.next_token_requests(40.4, 32), [])
        self.told.tell(self.cache.on_tokens_issued(40.42, 31, [TokenIssue("t", 10, 1.0, 0.0)]))
        self.assertEqual(self.told.decisions[-1], ("late", True, 0.0))

    def test_a_bucket_that_fills_is_waited_for_longer_than_silence(self) -> None:
        self.cache.acquire(0.0, "t", 50, self.told.as_("a"))
        self.cache.next_token_requests(0.0, 1)
        self.told.tell(self.cache.on_tokens_issued(0.01, 1, [TokenIssue("t", 0, 1.0, 0.2)]))
        self.told.tell(self.cache.tick(0.2, None))
        self.assertEqual(self.told.decisions, [])
        self.cache.next_token_requests(0.211, 2)
        self.told.tell(self.cache.on_tokens_issued(0.22, 2, [TokenIssue("t", 50, 1.0, 0.0)]))
        self.assertEqual(self.told.decisions, [("a", True, 0.0)])

    def test_without_a_leader_it_is_refused_sooner(self) -> None:
        self.cache.acquire(0.0, "t", 50, self.told.as_("a"))
        self.assertEqual(self.cache.next_action_at(0.5), 0.04)
        self.told.tell(self.cache.tick(0.04, 0.5))
        self.cache.acquire(5.0, "t", 50, self.told.as_("b"))
        self.told.tell(self.cache.tick(5.04, 5.0))
        self.assertEqual(self.told.decisions, [("a", False, 1.5), ("b", False, 0.3)])

    def test_a_dense_demand_is_prefetched(self) -> None:
        for number in range(200):
            now = number * 0.005
            self.told.tell(self.cache.acquire(now, "t", 10, self.told.as_("a")))
            for ask in self.cache.next_token_requests(now, number + 1):
                self.told.tell(
                    self.cache.on_tokens_issued(now + 0.004, number + 1, [TokenIssue("t", ask.tokens, 1.0, 0.0)])
                )
        self.assertEqual(len([1 for _, allowed, _ in self.told.decisions if allowed]), 200)
        self.assertLess(self.cache._tenants["t"].available(1.0), 400)
        self.assertGreater(self.cache._tenants["t"].demand.prefetch_tokens(1.0), 100)


class ExchangeTest(unittest.TestCase):
    """Edges with caches, a leader with buckets, messages that take time and get lost, leaders that change."""

    def test_no_window_sees_more_than_the_rule_allows(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                spent, asked = exchange(seed)
                self.assertLessEqual(worst_window(spent, 8.0), allowed_in(8.0))
                self.assertGreater(sum(tokens for _, tokens in spent), 0.75 * RATE * SECONDS)
                self.assertGreater(asked, len(spent))

    def test_the_check_fails_where_new_leaders_begin_with_full_buckets(self) -> None:
        """Planted: buckets that are full at the start of a lease."""
        spent, _ = exchange(1, full_buckets=True)
        self.assertGreater(worst_window(spent, 8.0), allowed_in(8.0))


RATE, BURST, OVERSHOOT, SLACK, SECONDS = 20_000.0, 20_000.0, 0.1, 2_000.0, 40.0


def allowed_in(window: float) -> float:
    return (RATE * window + BURST) * (1 + OVERSHOOT) + SLACK


def worst_window(spent: list[tuple[float, int]], window: float) -> float:
    worst, total, start = 0.0, 0.0, 0
    for at, tokens in spent:
        total += tokens
        while spent[start][0] < at - window:
            total -= spent[start][1]
            start += 1
        worst = max(worst, total)
    return worst


def exchange(seed: int, full_buckets: bool = False) -> tuple[list[tuple[float, int]], int]:
    """Requests at three times the limit at six edges; what was spent when, and how many asked."""
    draw = random.Random(seed)
    bounds = QuotaBounds(8.0, OVERSHOOT, SLACK)
    limits = {"t": TenantLimit(RATE, BURST)}
    allocators = [QuotaAllocator(bounds) for _ in range(2)]
    for allocator in allocators:
        allocator.configure(0.0, limits)
    allocators[0].leadership_gained(0.0, 0.0, 0.0)
    caches = [TokenCache() for _ in range(6)]
    spent: list[tuple[float, int]] = []
    events: list[tuple[float, int, Callable[[float], None]]] = []
    numbers = itertools.count(1)
    counts = {"asked": 0, "leader": 0}

    def at(when: float, call: Callable[[float], None]) -> None:
        heapq.heappush(events, (when, next(numbers), call))

    def tell(decisions: list[Decision]) -> None:
        for decision in decisions:
            decision.on_decision(decision.allowed, decision.retry_after_s)

    def arrive(now: float, cache: TokenCache) -> None:
        tokens = draw.choice((200, 700, 2000))
        counts["asked"] += 1

        def decided(allowed: bool, retry_s: float) -> None:
            if allowed:
                spent.append((clock[0], tokens))

        tell(cache.acquire(now, "t", tokens, decided))
        serve(now, cache)
        at(now + draw.expovariate(1.0) * 6 * 967 / (3 * RATE), lambda later: arrive(later, cache))

    def serve(now: float, cache: TokenCache) -> None:
        tell(cache.tick(now, None))
        request = next(numbers)
        asks = cache.next_token_requests(now, request)
        if asks and draw.random() > 0.02:
            name = str(caches.index(cache))
            at(now + draw.uniform(0.001, 0.03), lambda later: answer(later, cache, name, request, asks))
        due = cache.next_action_at(None)
        if due < math.inf:
            at(max(due, now + 0.002), lambda later: serve(later, cache))

    def answer(now: float, cache: TokenCache, name: str, request: int, asks: list[TokenRequest]) -> None:
        wanted = [TokenDemand(ask.tenant, ask.tokens, ask.minimum) for ask in asks]
        issued = allocators[counts["leader"]].issue(now, name, wanted)
        issues = [
            TokenIssue(each.tenant, each.tokens, each.lifetime_ms / 1e3, each.retry_after_ms / 1e3) for each in issued
        ]
        if draw.random() < 0.02:
            return
        at(now + draw.uniform(0.001, 0.03), lambda later: taken(later, cache, request, issues))

    def taken(now: float, cache: TokenCache, request: int, issues: list[TokenIssue]) -> None:
        tell(cache.on_tokens_issued(now, request, issues))
        serve(now, cache)

    def change_leader(now: float) -> None:
        counts["leader"] ^= 1
        allocators[counts["leader"]].leadership_gained(now - 1000.0 if full_buckets else now, now, now)

    clock = [0.0]
    for cache in caches:
        at(draw.random(), lambda now, cache=cache: arrive(now, cache))  # type: ignore[misc]
    for turn in range(1, 24 if full_buckets else 3):
        at(turn * (1.5 if full_buckets else 12.5), change_leader)
    while events and events[0][0] <= SECONDS:
        clock[0], _, call = heapq.heappop(events)
        call(clock[0])
    return spent, counts["asked"]


if __name__ == "__main__":
    unittest.main()

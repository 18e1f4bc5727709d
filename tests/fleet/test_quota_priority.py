"""Tests of priorities in `TokenCache`: scarce tokens go to urgent requests first, and no priority starves."""

from __future__ import annotations

import random
import unittest

from rosechute.routing.token_cache import TokenCache
from rosechute.routing.token_cache_policy import LOW_PRIORITY_SHARE, MAX_WAIT_S
from rosechute.routing.token_exchange import TokenIssue, TokenRequest
from rosechute.routing.waiting_queue import Decision

URGENT, NORMAL, LOW = 0, 1, 2


class TokenCacheTest(unittest.TestCase):
    """One edge; the test supplies the answers of the leader."""

    def setUp(self) -> None:
        self.cache = TokenCache()
        self.admitted: list[str] = []
        self.rejected: list[str] = []
        self.number = 0

    def notify(self, decisions: list[Decision]) -> None:
        for each in decisions:
            each.on_decision(each.allowed, each.retry_after_s)

    def acquire_tokens(self, now: float, name: str, tokens: int, priority: int) -> None:
        def on_decision(allowed: bool, retry_s: float) -> None:
            (self.admitted if allowed else self.rejected).append(name)

        self.notify(self.cache.acquire(now, "t", tokens, on_decision, priority))

    def request_tokens(self, now: float) -> list[TokenRequest]:
        self.number += 1
        return self.cache.next_token_requests(now, self.number)

    def issue(self, now: float, tokens: int) -> None:
        self.notify(self.cache.on_tokens_issued(now, self.number, [TokenIssue("t", tokens, 0.4, 0.0)]))

    def test_requests_are_admitted_by_priority_then_arrival(self) -> None:
        for name, priority in (("a", LOW), ("b", NORMAL), ("c", URGENT), ("d", URGENT)):
            self.acquire_tokens(0.0, name, 100, priority)
        self.request_tokens(0.0)
        self.issue(0.01, 300)
        self.assertEqual(self.admitted, ["c", "d", "b"])

    def test_minimum_is_that_of_the_next_request(self) -> None:
        self.acquire_tokens(0.0, "large", 900, LOW)
        self.acquire_tokens(0.0, "urgent", 200, URGENT)
        (request,) = self.request_tokens(0.0)
        self.assertEqual((request.minimum, request.tokens >= 1_100), (200, True))

    def test_only_a_more_urgent_request_uses_tokens_before_the_waiting_ones(self) -> None:
        self.acquire_tokens(0.0, "large", 900, NORMAL)
        self.request_tokens(0.0)
        self.issue(0.01, 500)
        self.acquire_tokens(0.02, "less", 100, LOW)
        self.acquire_tokens(0.02, "same", 100, NORMAL)
        self.acquire_tokens(0.02, "more", 100, URGENT)
        self.assertEqual(self.admitted, ["more"])

    def test_maximum_wait_applies_to_all_priorities(self) -> None:
        for name, priority in (("last", LOW), ("urgent", URGENT)):
            self.acquire_tokens(0.0, name, 100, priority)
        self.request_tokens(0.0)
        self.issue(0.001, 0)
        self.notify(self.cache.tick(MAX_WAIT_S + 0.01, None))
        self.assertEqual(sorted(self.rejected), ["last", "urgent"])

    def test_request_that_would_wait_too_long_is_rejected_immediately(self) -> None:
        self.acquire_tokens(0.0, "urgent", 500, URGENT)
        self.request_tokens(0.0)
        self.notify(self.cache.on_tokens_issued(0.001, self.number, [TokenIssue("t", 0, 0.4, 5.0)]))
        self.assertEqual(self.rejected, ["urgent"])
        self.acquire_tokens(0.002, "last", 500, LOW)
        self.assertEqual(self.rejected, ["urgent", "last"])

    def test_low_priority_is_not_starved_by_urgent_requests(self) -> None:
        draw, now, requested = random.Random(5), 0.0, {URGENT: 0, LOW: 0}
        admitted = {URGENT: 0, LOW: 0}

        def arrive(priority: int, tokens: int) -> None:
            requested[priority] += tokens

            def on_decision(allowed: bool, retry_s: float) -> None:
                admitted[priority] += tokens * allowed

            self.notify(self.cache.acquire(now, "t", tokens, on_decision, priority))

        for _ in range(3_000):
            now += 0.01
            arrive(URGENT, draw.choice((100, 300)))
            arrive(LOW, draw.choice((100, 300)))
            if self.request_tokens(now):
                self.issue(now, 100)
            self.notify(self.cache.tick(now, None))
        self.assertGreater(admitted[URGENT], 4 * admitted[LOW])
        self.assertGreater(admitted[LOW], 0.5 * LOW_PRIORITY_SHARE * admitted[URGENT])

    def test_sufficient_tokens_are_used_in_order_of_arrival(self) -> None:
        self.acquire_tokens(0.0, "a", 10, LOW)
        self.request_tokens(0.0)
        self.issue(0.01, 1_000)
        for name, priority in (("b", LOW), ("c", URGENT), ("d", NORMAL)):
            self.acquire_tokens(0.02, name, 10, priority)
        self.assertEqual(self.admitted, ["a", "b", "c", "d"])


if __name__ == "__main__":
    unittest.main()
